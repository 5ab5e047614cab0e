package dispatchdriver

import (
	"time"

	"sedgevale/dispatcher"
)

// Journal keeps a durable record of jobs that must not run twice, each identified by a
// number. Its methods are called from [Planner.Run] and must not block.
type Journal interface {
	// Register assigns a number to a job that is about to be accepted. Number 0 means that
	// the journal does not record the job. If ok is false, the job would have to be recorded
	// but cannot be, and must not be accepted.
	Register(j *Job) (number uint64, ok bool)
	// RecordIntent records that an attempt is about to be sent to a worker. It calls done,
	// from any goroutine, with true once the record is durable, or with false if it cannot
	// become durable.
	RecordIntent(number uint64, attempt int, id, worker string, done func(ok bool))
	AttemptSent(number uint64, attempt int)
	AttemptStarted(number uint64, attempt int)
	// AttemptEnded records the outcome of an attempt, and whether it is known that no worker
	// started it.
	AttemptEnded(number uint64, attempt int, o dispatcher.Outcome, neverRan bool)
	Answered(number uint64, a Response)
	ClientDisconnected(number uint64)
}

// unrecordableRetryAfter is the RetryAfter of a job that is rejected because it cannot be
// recorded, limited by the setting MaxRetryAfter.
const unrecordableRetryAfter = time.Second

// SetJournal sets the journal in which jobs are recorded. It must be called before Run.
func (p *Planner) SetJournal(j Journal) { p.journal = j }

// InJournal reports whether the attempt's job is recorded in a journal. If so, the transport
// must call [Planner.AttemptSent].
func (a *Attempt) InJournal() bool { return a.recordNumber != 0 }

// AttemptSent reports that an attempt's bytes were written to the connection to its worker.
// The call is required only for attempts whose job is recorded in a journal.
func (p *Planner) AttemptSent(a *Attempt) { p.queue.Put(event{kind: eventSent, attempt: a}) }

// registerInJournal registers a job in the journal, if there is one, and reports whether
// the job may be accepted.
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

// sendAttempt passes an attempt to the transport. If the job is recorded in the journal, it
// does so only once the intent is durable.
func (p *Planner) sendAttempt(a *Attempt) {
	if a.recordNumber == 0 {
		p.transport.Send(a)
		return
	}
	a.awaitingIntent = true
	p.journal.RecordIntent(a.recordNumber, a.Number, a.ID, a.Worker, func(ok bool) {
		p.queue.Put(event{kind: eventIntentRecorded, attempt: a, ok: ok})
	})
}

// handleIntentRecorded passes an attempt to the transport if its intent is durable, and rejects
// its job otherwise. The transport checks whether the worker has started to drain in the
// meantime.
func (p *Planner) handleIntentRecorded(a *Attempt, ok bool) {
	if !a.awaitingIntent || a.ended {
		return
	}
	if !ok {
		p.rejectUnrecordable(a)
		return
	}
	a.awaitingIntent = false
	p.transport.Send(a)
}

// rejectUnrecordable ends an attempt whose intent was not recorded in time, and answers
// its job: as failed if another attempt may have run, as rejected otherwise. Other attempts
// of the job continue.
func (p *Planner) rejectUnrecordable(a *Attempt) {
	if x := a.Exchange; !x.answered {
		if x.mayHaveRunExcept(a) {
			x.answer(Response{Kind: Failed, Reason: "it cannot be recorded where it goes next", MayHaveRun: true})
		} else {
			x.answer(Response{Kind: Rejected, RetryAfter: min(unrecordableRetryAfter, p.settings.MaxRetryAfter), Reason: "it cannot be recorded"})
		}
	}
	p.endAttempt(a, dispatcher.NotSent, nil, nil)
}

// mayHaveRunExcept reports whether any attempt except the given one may have run.
func (x *Exchange) mayHaveRunExcept(except *Attempt) bool {
	for _, a := range x.attempts {
		if a != except && (!a.ended || !a.neverRan) {
			return true
		}
	}
	return false
}
