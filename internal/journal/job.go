package journal

import (
	"errors"
	"fmt"
	"strings"
)

// Attempt is one sending of a job, as far as it is on record. Times are Unix
// microseconds; 0 means not known.
type Attempt struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 an option of the encoder

	Number    int
	Worker    string
	IntentAt  int64
	SentAt    int64
	StartedAt int64
	EndedAt   int64
	Outcome   Outcome // 0: not known
	Unseen    bool    // ended, and surely never ran
}

// Job is what the journal knows of a job.
type Job struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 an option of the encoder

	Serial   uint64
	ID       string
	Class    string
	Tenant   string
	Target   string
	Size     int
	Digest   []byte
	TakenAt  int64
	Attempts []Attempt
	Answer   AnswerKind // 0: none on record
	AnswerAt int64
	Reason   string // of the answer
	GoneAt   int64
	Broken   bool // the process that had it died
	Gap      bool // records about it may be missing

	SettledAs  Verdict // 0: not settled
	SettledAt  int64
	SettledBy  string
	SettledWhy string
}

var (
	errNoAttempt = errors.New("an attempt without its intent")
	errOver      = errors.New("after the end of what it tells of")
)

// Apply takes a record of this job in. A record that cannot follow on what there is
// returns an error and changes nothing.
func (j *Job) Apply(r *Record) error {
	switch r.Kind {
	case Intent:
		if r.Attempt != len(j.Attempts) {
			return fmt.Errorf("intent of attempt %d where %d is the next", r.Attempt, len(j.Attempts))
		}
		if j.Answer != 0 || j.Broken {
			return errOver
		}
		j.Attempts = append(j.Attempts, Attempt{Number: r.Attempt, Worker: r.Worker, IntentAt: r.At})
		return nil
	case Sent, Started, Ended:
		if r.Attempt >= len(j.Attempts) {
			if r.Kind == Ended && r.Unseen { // its intent found no room, so it was not sent
				return nil
			}
			return errNoAttempt
		}
		a := &j.Attempts[r.Attempt]
		if a.Outcome != 0 || j.Broken {
			return errOver
		}
		switch r.Kind {
		case Sent:
			a.SentAt = r.At
		case Started:
			a.StartedAt = r.At
		default:
			a.EndedAt, a.Outcome, a.Unseen = r.At, Outcome(r.Code), r.Unseen
		}
		return nil
	case Answered:
		if j.Answer != 0 || j.Broken {
			return errOver
		}
		j.Answer, j.AnswerAt, j.Reason = AnswerKind(r.Code), r.At, r.Text
	case ClientGone:
		if j.Answer != 0 || j.Broken {
			return errOver
		}
		j.GoneAt = r.At
	case Settled:
		j.SettledAs, j.SettledAt, j.SettledBy, j.SettledWhy = Verdict(r.Code), r.At, r.Who, r.Text
	default:
		return fmt.Errorf("a record of kind %d tells of no job under way", r.Kind)
	}
	return nil
}

// Open reports whether a living process still has the job.
func (j *Job) Open() bool {
	if j.Broken {
		return false
	}
	if j.Answer == 0 && j.GoneAt == 0 {
		return true
	}
	for i := range j.Attempts {
		if j.Attempts[i].Outcome == 0 {
			return true
		}
	}
	return false
}

// Done reports whether nothing more can be learned of the job and nobody need look
// at it, so that it may be dropped when it is old.
func (j *Job) Done() bool {
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

func (v Verdict) String() string { return name([]string{"", "ran", "did_not_run", "unknown"}, int(v)) }

// ParseVerdict reads a verdict.
func ParseVerdict(s string) (Verdict, error) {
	for v := Ran; v <= Unknown; v++ {
		if v.String() == s {
			return v, nil
		}
	}
	return 0, fmt.Errorf("%q is no verdict: ran, did_not_run or unknown", s)
}

// Verdict says whether the job ran, why that is known or not, and at which workers
// to look: where it ran, or where it may have. Absence of a record is no proof: only
// an outcome on record tells that an attempt never ran, since the record of a sending
// may be lost in a crash while that of the intent cannot.
func (j *Job) Verdict() (v Verdict, reason string, workers []string) {
	var ran, may []string
	var why string
	for i := range j.Attempts {
		switch a := &j.Attempts[i]; {
		case a.Outcome == OutServed:
			ran = append(ran, a.Worker)
		case a.Unseen:
		default:
			may = append(may, a.Worker)
			why = a.doubt(j)
		}
	}
	switch {
	case j.SettledAs != 0:
		return j.SettledAs, fmt.Sprintf("settled by %s: %s", j.SettledBy, j.SettledWhy), append(ran, may...)
	case len(ran) > 0:
		reason = "finished by " + strings.Join(ran, ", ")
		if len(may) > 0 {
			reason += "; it may have run at " + strings.Join(may, ", ") + " too"
		}
		return Ran, reason, append(ran, may...)
	case len(may) > 0:
		return Unknown, why, may
	case j.Gap:
		return Unknown, "records of this time are missing from the journal", nil
	case j.Open():
		return Unknown, "the scheduler still has it; nothing was sent yet", nil
	case len(j.Attempts) > 0:
		return DidNotRun, "no attempt was taken up by a worker", nil
	}
	return DidNotRun, "it was never sent to a worker", nil
}

// doubt says why it is not known whether an attempt ran.
func (a *Attempt) doubt(j *Job) string {
	had := ""
	if a.StartedAt != 0 {
		had = ", which had begun it"
	}
	switch a.Outcome {
	case 0:
		switch {
		case j.Gap:
			return "records are missing after it was to go to " + a.Worker + had
		case j.Broken:
			return "the scheduler died while it was out at " + a.Worker + had
		}
		return "it is out at " + a.Worker + had
	case OutErrored:
		return a.Worker + " said that it failed" + had
	case OutTimedOut:
		return "no answer in time from " + a.Worker + had
	case OutCancelled:
		return "it was called off while out at " + a.Worker + had
	}
	return "the connection to " + a.Worker + " broke" + had
}
