package dispatcher

import "time"

// Early rejection: which requests cannot be in time, and how a request ends.

// feasible reports whether the request can be in time: on arrival, behind the pending
// work of its tenant that has less slack.
func (d *Dispatcher) feasible(now time.Duration, r *request, onArrival bool) bool {
	wait := 0.0
	if onArrival {
		for c, work := range r.tenant.pendingWork {
			if d.classes.inUse[c].slack() <= r.class.slack() {
				wait += work
			}
		}
		wait /= max(minLimit, min(r.tenant.limit, max(1, d.capacity.slots))*d.workers.weightShare(r.class.pool))
	}
	// Guards against rejecting a class for ever by a mean that no request updates.
	if wait == 0 && r.class.inFlight == 0 {
		return now < min(r.deadline, r.targetAt)
	}
	return wait <= maxSlackFraction*d.timeToSend(now, r).Seconds()
}

// endUnserved gives the request its one final answer: rejected where that is allowed,
// else failed.
func (d *Dispatcher) endUnserved(now time.Duration, r *request) {
	if r.ended {
		return
	}
	if r.mayReject() {
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
		after = d.estimates.meanWork
	}
	return min(d.settings.MaxRetryAfter, seconds(after*d.rng.Float64()))
}

// closeRequest marks the request as ended and cancels its attempts where that is
// allowed; nothing is sent for it from here on.
func (d *Dispatcher) closeRequest(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if r.queued {
		d.removePending(r)
	}
	if d.settings.AllowCancel && !r.streaming {
		for n := range r.attempts {
			if !r.attempts[n].ended {
				d.host.Cancel(r.ID, n)
			}
		}
	}
	d.forgetIfDone(r)
}

// forgetIfDone forgets the request once it has its answer and its attempts have ended.
func (d *Dispatcher) forgetIfDone(r *request) {
	if r.ended && r.inFlight == 0 && d.requests.byID[r.ID] == r {
		r.tenant.openRequests--
		d.requests.remove(r)
	}
}
