package dispatch

import (
	"time"

	"sedgevale/dispatcher"
)

// Journal keeps a durable record of jobs that must not run twice. Its methods must not
// block; they are called from a Planner's Run. A job is known to it by a number.
type Journal interface {
	// Register registers a job that is about to be accepted. Number 0 says that the
	// journal does not keep this job; not ok, that it should but cannot, and that the job
	// must not be accepted.
	Register(j *Job) (number uint64, ok bool)
	// RecordIntent records that an attempt is about to go to a worker. Done is called, from any
	// goroutine, once that is durable, or with false once it cannot be.
	RecordIntent(number uint64, attempt int, id, worker string, done func(ok bool))
	AttemptSent(number uint64, attempt int)
	AttemptStarted(number uint64, attempt int)
	// AttemptEnded records how an attempt ended, and whether it surely never ran.
	AttemptEnded(number uint64, attempt int, o dispatcher.Outcome, neverRan bool)
	Answered(number uint64, a Answer)
	ClientDisconnected(number uint64)
}

// unrecordedRetryAfter is the advice to a client whose job cannot be recorded, where
// the settings allow advice.
const unrecordedRetryAfter = time.Second

// SetJournal sets the journal that jobs are recorded in. It must be called before Run.
func (p *Planner) SetJournal(j Journal) { p.journal = j }

// InJournal reports whether the attempt's job is in a journal. If so, [Planner.AttemptSent]
// must be called.
func (a *Attempt) InJournal() bool { return a.recordNumber != 0 }

// AttemptSent reports that an attempt's bytes were written to its worker's connection, which
// only a journal needs.
func (p *Planner) AttemptSent(a *Attempt) { p.queue.Put(event{kind: eventSent, attempt: a}) }

// registerInJournal registers a job in the journal, if there is one, and reports
// whether it may be accepted.
func (p *Planner) registerInJournal(x *Exchange) bool {
	if p.journal == nil {
		return true
	}
	number, ok := p.journal.Register(&x.Job)
	if x.recordNumber = number; number != 0 {
		x.journal = p.journal
	}
	return ok
}

// sendAttempt sends an attempt: where a journal keeps the job, once the intent is
// durable.
func (p *Planner) sendAttempt(a *Attempt) {
	if a.recordNumber == 0 {
		p.carrier.Send(a)
		return
	}
	a.awaitsIntent = true
	p.journal.RecordIntent(a.recordNumber, a.Number, a.ID, a.Worker, func(ok bool) {
		p.queue.Put(event{kind: eventIntentRecorded, attempt: a, ok: ok})
	})
}

// intentRecorded sends an attempt whose intent is durable, or rejects it. The worker may
// have begun to drain since, which the carrier checks.
func (p *Planner) intentRecorded(a *Attempt, ok bool) {
	if !a.awaitsIntent || a.ended {
		return
	}
	if !ok {
		p.rejectUnrecorded(a)
		return
	}
	a.awaitsIntent = false
	p.carrier.Send(a)
}

// rejectUnrecorded rejects the job of an attempt that was not sent because its intent
// could not be recorded in time. Earlier attempts go on.
func (p *Planner) rejectUnrecorded(a *Attempt) {
	if x := a.Exchange; !x.answered {
		if x.mayHaveRunBesides(a) {
			x.answer(Answer{Kind: Failed, Reason: "it cannot be recorded where it goes next", MayHaveRun: true})
		} else {
			x.answer(Answer{Kind: Rejected, RetryAfter: min(unrecordedRetryAfter, p.settings.MaxRetryAfter), Reason: "it cannot be recorded"})
		}
	}
	p.endAttempt(a, dispatcher.NotSent, nil, nil)
}

// mayHaveRunBesides reports whether an attempt other than the given one may have run.
func (x *Exchange) mayHaveRunBesides(other *Attempt) bool {
	for _, a := range x.attempts {
		if a != other && (!a.ended || !a.neverRan) {
			return true
		}
	}
	return false
}
