package dispatchdriver

import (
	"time"

	"sedgevale/dispatcher"
)

// Send implements [dispatcher.Host].
func (p *Planner) Send(id, worker string, timeout time.Duration) {
	x := p.exchanges[id]
	if x == nil {
		return
	}
	a := &Attempt{Exchange: x, Worker: worker, Number: len(x.attempts), Deadline: x.deadline, Planner: p,
		AtMostOnce: x.Class.Idempotency == dispatcher.NotIdempotent}
	if timeout > 0 {
		a.Deadline = min(a.Deadline, p.now+timeout)
	}
	a.dispatchedAt, a.expiry = p.now, x.retryExpiry()
	p.counters.sent(a, p.now)
	x.attempts = append(x.attempts, a)
	x.inFlight++
	p.siblingUpdateDue = true
	a.timer = &timer{due: a.Deadline, attempt: a}
	p.pushTimer(a.timer)
	p.sendAttempt(a)
}

// Reject implements [dispatcher.Host].
func (p *Planner) Reject(id string, after time.Duration) {
	if x := p.exchanges[id]; x != nil {
		p.counters.reject()
		x.answer(Response{Kind: Rejected, RetryAfter: after, Reason: "cannot be in time"})
		p.cancelUnsent(x)
		p.removeIfDone(x)
	}
}

// Fail implements [dispatcher.Host].
func (p *Planner) Fail(id string) {
	if x := p.exchanges[id]; x != nil {
		p.counters.fail()
		x.answer(Response{Kind: Failed, Reason: x.failureReason(), MayHaveRun: x.mayHaveRun()})
		p.cancelUnsent(x)
		p.removeIfDone(x)
	}
}

// cancelUnsent ends the attempts of an exchange that have not been sent: those whose
// connection is still being established and those whose intent is not durable. It is called
// once the exchange is answered or its client has disconnected. It does not depend on the
// setting AllowCancel, since the worker has not seen these attempts.
func (p *Planner) cancelUnsent(x *Exchange) {
	for _, a := range x.attempts {
		switch {
		case a.ended:
		case a.awaitingIntent:
			p.AttemptEnded(a, dispatcher.NotSent, nil, nil)
		default:
			p.transport.CancelUnsent(a)
		}
	}
}

// Cancel implements [dispatcher.Host].
func (p *Planner) Cancel(id string, attempt int) {
	x := p.exchanges[id]
	if x == nil || attempt >= len(x.attempts) || x.attempts[attempt].ended {
		return
	}
	p.counters.cancel()
	if a := x.attempts[attempt]; a.awaitingIntent { // the transport does not have the attempt yet
		p.AttemptEnded(a, dispatcher.NotSent, nil, nil)
	} else {
		p.transport.Cancel(a)
	}
}

// SetTimer implements [dispatcher.Host].
func (p *Planner) SetTimer(after time.Duration, token uint64) {
	p.pushTimer(&timer{due: p.now + after, token: token})
}

// Probe implements [dispatcher.Host].
func (p *Planner) Probe(worker string) { p.transport.Probe(worker, p) }

// CloseIdleConnections implements [dispatcher.Host].
func (p *Planner) CloseIdleConnections(worker string) { p.transport.CloseIdleConnections(worker) }

// WatchWorkers implements [dispatcher.Host].
func (p *Planner) WatchWorkers() { p.watchWorkers() }

// Log implements [dispatcher.Host].
func (p *Planner) Log(text string) { p.log.Warn(text) }

// dedupWindowMargin is subtracted from a class's DedupWindow to allow for the time that an
// attempt takes to reach the worker.
const dedupWindowMargin = 10 * time.Millisecond

// retryExpiry returns the time on the Clock from which a retry must not be sent, or 0 if
// there is no such time. It is the end of the class's DedupWindow, in which workers discard
// duplicates, counted from the first attempt that may have run.
func (x *Exchange) retryExpiry() time.Duration {
	if x.Class.Idempotency != dispatcher.IdempotentByKey {
		return 0
	}
	for _, a := range x.attempts {
		if !a.neverRan {
			return max(1, a.dispatchedAt+x.Class.DedupWindow-dedupWindowMargin)
		}
	}
	return 0
}

// failureReason returns the human-readable reason of a failed exchange.
func (x *Exchange) failureReason() string {
	if x.inFlight > 0 {
		return "no answer in time"
	}
	switch x.lastOutcome {
	case dispatcher.Errored:
		return "the worker failed"
	case dispatcher.ConnectionLost:
		return "the connection to the worker broke"
	case dispatcher.TimedOut:
		return "no answer in time"
	}
	return "not served"
}
