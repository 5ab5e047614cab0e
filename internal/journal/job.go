package journal

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Attempt is one dispatch of a job to a worker, as far as records of it exist. Times are in Unix microseconds; 0 means
// unknown. The order of the fields is part of the format.
type Attempt struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 an option of the encoder

	Number    int
	Worker    string
	IntentAt  int64
	SentAt    int64
	StartedAt int64
	EndedAt   int64
	Outcome   Outcome // 0: unknown
	NeverRan  bool    // the attempt ended and is known never to have run
}

// Job is the state of a job according to the journal. Times are in Unix microseconds; 0 means unknown. The order of the fields
// is part of the format.
//
// Invariant: Attempts is sorted by Number, without gaps unless RecordsMissing is set.
type Job struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 an option of the encoder

	Serial               uint64
	ID                   string
	Class                string
	Tenant               string
	Target               string
	Size                 int // size of the request body in bytes
	Digest               []byte
	AcceptedAt           int64
	Attempts             []Attempt
	Answer               AnswerKind // 0: no answer is recorded
	AnswerAt             int64
	Reason               string // reason given with the answer
	ClientDisconnectedAt int64
	Orphaned             bool // the process that handled the job ended while the job was open
	RecordsMissing       bool // records of the job may be missing

	DecidedAs      Verdict // verdict of an operator; 0: none
	DecidedAt      int64
	DecidedBy      string
	DecisionReason string
}

// Errors of a record that contradicts the records before it.
var (
	errAcceptedTwice = errors.New("accepted twice")
	errMissingIntent = errors.New("an attempt without its intent")
	errAlreadyEnded  = errors.New("a record after the end of its job or attempt")
)

// Apply replays a record of this job. A record that contradicts the records before it returns an error and changes nothing.
func (j *Job) Apply(r *Record) error {
	switch r.Kind {
	case Intent:
		return j.applyIntent(r)
	case Sent, Started, Ended:
		return j.applyAttempt(r)
	case Answered:
		if j.concluded() {
			return errAlreadyEnded
		}
		j.Answer, j.AnswerAt, j.Reason = AnswerKind(r.Code), r.At, r.Text
	case ClientGone:
		if j.concluded() {
			return errAlreadyEnded
		}
		j.ClientDisconnectedAt = r.At
	case Decided:
		j.DecidedAs, j.DecidedAt, j.DecidedBy, j.DecisionReason = Verdict(r.Code), r.At, r.Operator, r.Text
	default:
		return fmt.Errorf("a record of kind %d is not about a job in progress", r.Kind)
	}
	return nil
}

// concluded reports whether the client was answered or the process that handled the job has ended.
func (j *Job) concluded() bool { return j.Answer != 0 || j.Orphaned }

// applyIntent replays the intent of an attempt. Attempts are numbered without gaps unless records of the job may be missing.
func (j *Job) applyIntent(r *Record) error {
	next := j.nextAttempt()
	if r.Attempt < next || r.Attempt > next && !j.RecordsMissing {
		return intentOutOfOrderError(r.Attempt, next)
	}
	if j.concluded() {
		return errAlreadyEnded
	}
	j.Attempts = append(j.Attempts, Attempt{Number: r.Attempt, Worker: r.Worker, IntentAt: r.At})
	return nil
}

func intentOutOfOrderError(number, next int) error {
	return fmt.Errorf("intent of attempt %d where %d is the next", number, next)
}

// nextAttempt returns the number after that of the last recorded attempt.
func (j *Job) nextAttempt() int {
	if len(j.Attempts) == 0 {
		return 0
	}
	return j.Attempts[len(j.Attempts)-1].Number + 1
}

// applyAttempt replays a record of the progress or the end of an attempt.
func (j *Job) applyAttempt(r *Record) error {
	i, known := slices.BinarySearchFunc(j.Attempts, r.Attempt, func(a Attempt, number int) int { return cmp.Compare(a.Number, number) })
	if !known {
		if r.Kind == Ended && r.NeverRan { // the attempt was not sent, because its intent could not be written
			return nil
		}
		if !j.RecordsMissing || j.Orphaned {
			return errMissingIntent
		}
		j.Attempts = slices.Insert(j.Attempts, i, Attempt{Number: r.Attempt}) // its worker is unknown
	}
	a := &j.Attempts[i]
	if a.Outcome != 0 || j.Orphaned {
		return errAlreadyEnded
	}
	switch r.Kind {
	case Sent:
		a.SentAt = r.At
	case Started:
		a.StartedAt = r.At
	default:
		a.EndedAt, a.Outcome, a.NeverRan = r.At, Outcome(r.Code), r.NeverRan
	}
	return nil
}

// Open reports whether a running process still handles the job.
func (j *Job) Open() bool {
	if j.Orphaned {
		return false
	}
	if j.Answer == 0 && j.ClientDisconnectedAt == 0 {
		return true
	}
	for i := range j.Attempts {
		if j.Attempts[i].Outcome == 0 {
			return true
		}
	}
	return false
}

// Resolved reports whether no more records of the job can follow and no operator has to decide on it, so that retention may
// drop it.
func (j *Job) Resolved() bool {
	v, _, _ := j.Verdict()
	return !j.Open() && v != Unknown
}

// Verdict states whether a job ran. The numbers are part of the format.
type Verdict uint8

// The verdicts on a job.
const (
	Ran       Verdict = iota + 1 // a worker finished the job
	DidNotRun                    // no worker started the job
	Unknown                      // the job may have run
)

func (v Verdict) String() string {
	return enumName([]string{"", "ran", "did_not_run", "unknown"}, int(v))
}

// ParseVerdict returns the verdict with the given name.
func ParseVerdict(s string) (Verdict, error) {
	for v := Ran; v <= Unknown; v++ {
		if v.String() == s {
			return v, nil
		}
	}
	return 0, fmt.Errorf("%q is no verdict: ran, did_not_run or unknown", s)
}

// Verdict returns whether the job ran, the reason for that verdict, and the workers at which it ran or may have run. The absence
// of a record proves nothing: a crash may lose the record of a dispatch, though not that of its intent, which is durable before
// the dispatch. Only a recorded outcome therefore proves that an attempt never ran.
func (j *Job) Verdict() (v Verdict, reason string, workers []string) {
	var ran, mayHaveRun []string
	var uncertainty string
	for i := range j.Attempts {
		switch a := &j.Attempts[i]; {
		case a.Outcome == OutcomeServed:
			ran = append(ran, a.workerName())
		case a.NeverRan:
		default:
			mayHaveRun = append(mayHaveRun, a.workerName())
			uncertainty = a.uncertaintyReason(j)
		}
	}
	v, reason = j.deriveVerdict(ran, mayHaveRun, uncertainty)
	workers = slices.DeleteFunc(append(ran, mayHaveRun...), func(name string) bool { return name == unknownWorker })
	return v, reason, workers
}

// deriveVerdict derives the verdict from the workers that ran the job and those that may have; uncertainty states
// why it is unknown whether the last of these did.
func (j *Job) deriveVerdict(ran, mayHaveRun []string, uncertainty string) (v Verdict, reason string) {
	switch {
	case j.DecidedAs != 0:
		return j.DecidedAs, fmt.Sprintf("settled by %s: %s", j.DecidedBy, j.DecisionReason)
	case len(ran) > 0:
		reason = "finished by " + strings.Join(ran, ", ")
		if len(mayHaveRun) > 0 {
			reason += "; it may have run at " + strings.Join(mayHaveRun, ", ") + " too"
		}
		return Ran, reason
	case len(mayHaveRun) > 0:
		return Unknown, uncertainty
	case j.RecordsMissing:
		return Unknown, "records of this time are missing from the journal"
	case j.Open():
		return Unknown, "the scheduler still has it; nothing was sent yet"
	case len(j.Attempts) > 0:
		return DidNotRun, "no attempt was taken up by a worker"
	}
	return DidNotRun, "it was never sent to a worker"
}

// unknownWorker is the name used for the worker of an attempt whose intent is not recorded.
const unknownWorker = "a worker that is not on record"

func (a *Attempt) workerName() string {
	if a.Worker == "" {
		return unknownWorker
	}
	return a.Worker
}

// uncertaintyReason returns why it is unknown whether an attempt ran.
func (a *Attempt) uncertaintyReason(j *Job) string {
	startedSuffix, worker := "", a.workerName()
	if a.StartedAt != 0 {
		startedSuffix = ", which had begun it"
	}
	switch a.Outcome {
	case 0:
		switch {
		case j.RecordsMissing:
			return "records are missing after it was to go to " + worker + startedSuffix
		case j.Orphaned:
			return "the scheduler died while it was out at " + worker + startedSuffix
		}
		return "it is out at " + worker + startedSuffix
	case OutcomeErrored:
		return worker + " said that it failed" + startedSuffix
	case OutcomeTimedOut:
		return "no answer in time from " + worker + startedSuffix
	case OutcomeCancelled:
		return "it was called off while out at " + worker + startedSuffix
	}
	return "the connection to " + worker + " broke" + startedSuffix
}
