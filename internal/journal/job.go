package journal

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Attempt is one dispatch of a job to a worker, as far as it is on record. Times are Unix
// microseconds; 0 means not known. Fields are encoded in their order.
type Attempt struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 an option of the encoder

	Number    int
	Worker    string
	IntentAt  int64
	SentAt    int64
	StartedAt int64
	EndedAt   int64
	Outcome   Outcome // 0: not known
	NeverRan  bool    // ended, and certainly never ran
}

// Job is what the journal knows of a job. Times are Unix microseconds; 0 means not known.
// Fields are encoded in their order.
//
// Invariant: Attempts is sorted by Number, without gaps unless RecordsMissing.
type Job struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 an option of the encoder

	Serial               uint64
	ID                   string
	Class                string
	Tenant               string
	Target               string
	Size                 int
	Digest               []byte
	AcceptedAt           int64
	Attempts             []Attempt
	Answer               AnswerKind // 0: none on record
	AnswerAt             int64
	Reason               string // of the answer
	ClientDisconnectedAt int64
	Orphaned             bool // the process that had it died
	RecordsMissing       bool // records about it may be missing

	DecidedAs      Verdict // 0: not settled
	DecidedAt      int64
	DecidedBy      string
	DecisionReason string
}

// Why a record contradicts the ones before it.
var (
	errAcceptedTwice = errors.New("accepted twice")
	errNoAttempt     = errors.New("an attempt without its intent")
	errAlreadyEnded  = errors.New("a record after the end of its job or attempt")
)

// Apply replays a record of this job. A record that contradicts the ones before it returns an
// error and changes nothing.
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

// concluded reports whether the client was answered or the process that had the job has ended.
func (j *Job) concluded() bool { return j.Answer != 0 || j.Orphaned }

// applyIntent replays the intent of an attempt. Attempts are numbered without gaps, unless records of the job may be missing.
func (j *Job) applyIntent(r *Record) error {
	next := j.nextAttempt()
	if r.Attempt < next || r.Attempt > next && !j.RecordsMissing {
		return intentOutOfOrder(r.Attempt, next)
	}
	if j.concluded() {
		return errAlreadyEnded
	}
	j.Attempts = append(j.Attempts, Attempt{Number: r.Attempt, Worker: r.Worker, IntentAt: r.At})
	return nil
}

func intentOutOfOrder(number, next int) error {
	return fmt.Errorf("intent of attempt %d where %d is the next", number, next)
}

// nextAttempt returns the number that follows on those of the attempts on record.
func (j *Job) nextAttempt() int {
	if len(j.Attempts) == 0 {
		return 0
	}
	return j.Attempts[len(j.Attempts)-1].Number + 1
}

// applyAttempt replays how an attempt went on.
func (j *Job) applyAttempt(r *Record) error {
	i, known := slices.BinarySearchFunc(j.Attempts, r.Attempt, func(a Attempt, number int) int { return cmp.Compare(a.Number, number) })
	if !known {
		if r.Kind == Ended && r.NeverRan { // its intent could not be written, so it was not sent
			return nil
		}
		if !j.RecordsMissing || j.Orphaned {
			return errNoAttempt
		}
		j.Attempts = slices.Insert(j.Attempts, i, Attempt{Number: r.Attempt}) // to a worker that is not on record
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

// Open reports whether a living process still has the job.
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

// Resolved reports whether no further record of the job can come and no operator has to decide on
// it, so that it may be dropped when it is old.
func (j *Job) Resolved() bool {
	v, _, _ := j.Verdict()
	return !j.Open() && v != Unknown
}

// Verdict is what can be said of a job. The numbers are part of the format.
type Verdict uint8

// The verdicts.
const (
	Ran       Verdict = iota + 1 // a worker finished it
	DidNotRun                    // no worker has begun it
	Unknown                      // it may have run
)

func (v Verdict) String() string {
	return nameOf([]string{"", "ran", "did_not_run", "unknown"}, int(v))
}

// ParseVerdict reads a verdict.
func ParseVerdict(s string) (Verdict, error) {
	for v := Ran; v <= Unknown; v++ {
		if v.String() == s {
			return v, nil
		}
	}
	return 0, fmt.Errorf("%q is no verdict: ran, did_not_run or unknown", s)
}

// Verdict says whether the job ran, for which reason that is known or not, and at which workers
// it ran or may have. The absence of a record proves nothing: only an outcome on record shows that
// an attempt never ran, since a crash may lose the record of a dispatch, but not that of its intent,
// which is durable before the dispatch.
func (j *Job) Verdict() (v Verdict, reason string, workers []string) {
	var ran, mayHaveRun []string
	var why string
	for i := range j.Attempts {
		switch a := &j.Attempts[i]; {
		case a.Outcome == OutcomeServed:
			ran = append(ran, a.workerName())
		case a.NeverRan:
		default:
			mayHaveRun = append(mayHaveRun, a.workerName())
			why = a.uncertainty(j)
		}
	}
	v, reason = j.judge(ran, mayHaveRun, why)
	workers = slices.DeleteFunc(append(ran, mayHaveRun...), func(name string) bool { return name == unknownWorker })
	return v, reason, workers
}

// judge makes the verdict of the workers that ran the job and of those that may have; why is the doubt about the last of these.
func (j *Job) judge(ran, mayHaveRun []string, why string) (v Verdict, reason string) {
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
		return Unknown, why
	case j.RecordsMissing:
		return Unknown, "records of this time are missing from the journal"
	case j.Open():
		return Unknown, "the scheduler still has it; nothing was sent yet"
	case len(j.Attempts) > 0:
		return DidNotRun, "no attempt was taken up by a worker"
	}
	return DidNotRun, "it was never sent to a worker"
}

// unknownWorker stands for the worker of an attempt whose intent is not on record.
const unknownWorker = "a worker that is not on record"

func (a *Attempt) workerName() string {
	if a.Worker == "" {
		return unknownWorker
	}
	return a.Worker
}

// uncertainty returns why it is not known whether an attempt ran.
func (a *Attempt) uncertainty(j *Job) string {
	begun, worker := "", a.workerName()
	if a.StartedAt != 0 {
		begun = ", which had begun it"
	}
	switch a.Outcome {
	case 0:
		switch {
		case j.RecordsMissing:
			return "records are missing after it was to go to " + worker + begun
		case j.Orphaned:
			return "the scheduler died while it was out at " + worker + begun
		}
		return "it is out at " + worker + begun
	case OutcomeErrored:
		return worker + " said that it failed" + begun
	case OutcomeTimedOut:
		return "no answer in time from " + worker + begun
	case OutcomeCancelled:
		return "it was called off while out at " + worker + begun
	}
	return "the connection to " + worker + " broke" + begun
}
