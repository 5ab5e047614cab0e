package dispatch

import (
	"time"

	"sedgevale"
)

// Journal keeps a durable record of jobs that must not run twice. Its methods must not
// block. A job is known to it by a number.
type Journal interface {
	// Take is asked of each job that is about to be taken in. Number 0 says that the
	// journal does not keep this job; not ok, that it should but cannot, and that the job
	// must not be taken in.
	Take(j *Job) (number uint64, ok bool)
	// Intent records that an attempt is about to go to a worker. Done is called, from any
	// goroutine, once that is durable, or with false once it cannot be.
	Intent(number uint64, attempt int, id, worker string, done func(ok bool))
	Sent(number uint64, attempt int)
	Started(number uint64, attempt int)
	// Ended records how an attempt ended, and whether it surely never ran.
	Ended(number uint64, attempt int, o sedgevale.Outcome, unseen bool)
	Answered(number uint64, a Answer)
	Gone(number uint64)
}

// unrecordedRetryAfter is when a client may come again whose job cannot be recorded, where the
// settings allow to say so.
const unrecordedRetryAfter = time.Second

// Record has jobs recorded in a journal. It must be called before Run.
func (p *Planner) Record(j Journal) { p.journal = j }

// Recorded reports whether the attempt's job is kept in a journal, which then wants to
// hear of its sending.
func (a *Attempt) Recorded() bool { return a.recordNumber != 0 }

// Sent tells that an attempt's bytes were written to its worker's connection. Only a
// Recorded attempt's need be told.
func (p *Planner) Sent(a *Attempt) { p.queue.Put(event{kind: eventSent, attempt: a}) }

// registerInJournal asks the journal for a job, and reports whether it may be taken in.
func (p *Planner) registerInJournal(x *Exchange) bool {
	if p.journal == nil {
		return true
	}
	number, ok := p.journal.Take(&x.Job)
	if x.recordNumber = number; number != 0 {
		x.journal = p.journal
	}
	return ok
}

// sendAttempt sends an attempt, once its intent is on record if it is to be.
func (p *Planner) sendAttempt(a *Attempt) {
	if a.recordNumber == 0 {
		p.carrier.Send(a)
		return
	}
	a.awaitsIntent = true
	p.journal.Intent(a.recordNumber, a.Number, a.ID, a.Worker, func(ok bool) {
		p.queue.Put(event{kind: eventIntentRecorded, attempt: a, ok: ok})
	})
}

// intentRecorded is told what became of an intent. The worker may have begun to drain since,
// which the carrier checks.
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

// rejectUnrecorded refuses the job of an attempt that was not sent, since that could not be
// recorded in time. What was sent of the job before stands.
func (p *Planner) rejectUnrecorded(a *Attempt) {
	if x := a.Exchange; !x.answered {
		if x.mayHaveRunBesides(a) {
			x.answer(Answer{Kind: Failed, Reason: "it cannot be recorded where it goes next", Ran: true})
		} else {
			x.answer(Answer{Kind: Refused, After: min(unrecordedRetryAfter, p.settings.MaxRetryAfter), Reason: "it cannot be recorded"})
		}
	}
	p.endAttempt(a, sedgevale.NotSent, nil, nil)
}

// mayHaveRunBesides reports whether an attempt but this one may have run.
func (x *Exchange) mayHaveRunBesides(but *Attempt) bool {
	for _, a := range x.attempts {
		if a != but && (!a.ended || !a.neverRan) {
			return true
		}
	}
	return false
}
