package sedgevale

// Early rejection: which requests cannot be in time, and how a request ends unserved.

import (
	"time"
)

const (
	shortJobFraction = 0.4 // of the mean: a request may run for so short a time, and its target be as near
	maxSlackFraction = 0.4 // a request is queued for at most this fraction of its slack, since means hide a spread
)

// feasible reports whether the request can be in time: on arrival, behind the pending
// work of its tenant that has less slack.
func (d *Dispatcher) feasible(now time.Duration, r *request, onArrival bool) bool {
	wait := 0.0
	if onArrival {
		for c, work := range r.tenant.pendingWork {
			if d.classesInUse[c].slack() <= r.class.slack() {
				wait += work
			}
		}
		wait /= max(minLimit, min(r.tenant.limit, max(1, d.capacity))*d.poolWeightShare(r))
	}
	// Guards against rejecting a class for ever by a mean that no request updates.
	if wait == 0 && r.class.inFlight == 0 {
		return now < min(r.deadline, r.targetAt)
	}
	return wait <= maxSlackFraction*d.timeToSend(now, r).Seconds()
}

// timeToSend returns how long the request can still wait to be sent: the time left
// less its running time and the class's mean wait at workers.
func (d *Dispatcher) timeToSend(now time.Duration, r *request) time.Duration {
	c := r.class
	return seconds(d.slackAt(now, r, d.lowRuntimeRatio) - max(0, c.meanCompletion-c.meanRuntime))
}

// slackAt returns how many seconds the request can still wait if a worker of that
// runtime ratio runs it. Without a hint its running time is not known; it may be short, and
// then its latency target is near too. For a retry the mean is good enough.
func (d *Dispatcher) slackAt(now time.Duration, r *request, runtimeRatio float64) float64 {
	fraction := shortJobFraction
	if r.RuntimeHint > 0 || len(r.attempts) > 0 {
		fraction = 1
	}
	return (min(r.deadline, r.targetAt) - now).Seconds() - (1-fraction)*r.class.TargetStretch*r.runtime - fraction*runtimeRatio*r.work/r.Slots
}

// mayReject reports whether the request may be rejected, which tells the client that
// it may safely come again. It may not if an attempt may have run whose repeat would
// not be dropped.
func (d *Dispatcher) mayReject(r *request) bool {
	c := r.class
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == DedupAll {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return false
		}
	}
	return true
}

// endUnserved gives the request its one final answer: rejected where that is allowed,
// else failed.
func (d *Dispatcher) endUnserved(now time.Duration, r *request) {
	if r.ended {
		return
	}
	if d.mayReject(r) {
		d.host.Reject(r.ID, d.retryAfter(now, r))
	} else {
		d.host.Fail(r.ID)
	}
	d.closeRequest(r)
}

// retryAfter returns the advice to a rejected client: soon enough for its request to
// be in time yet, or after about the mean work, when slots have changed hands. It is
// drawn at random, so that not all come back at once.
func (d *Dispatcher) retryAfter(now time.Duration, r *request) time.Duration {
	after := maxSlackFraction * d.timeToSend(now, r).Seconds()
	if after <= 0 {
		after = d.meanWork
	}
	return min(d.settings.MaxRetryAfter, seconds(after*d.rng.Float64()))
}
