package dispatcher

import "time"

// This file rejects requests early that cannot meet their latency target, and ends requests.

// feasible reports whether the request can meet its latency target. On arrival it counts
// the wait behind the tenant's pending work in classes with at most as much slack.
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
	// Admit a request if none of the class is in flight: otherwise a high mean completion
	// time, which only outcomes lower, could cause the class to be rejected forever.
	if wait == 0 && r.class.inFlight == 0 {
		return now < min(r.deadline, r.targetAt)
	}
	return wait <= maxSlackFraction*d.timeToSend(now, r).Seconds()
}

// rejectOrFail ends a request without a response: it rejects the request if the client may
// safely retry, and fails it otherwise.
func (d *Dispatcher) rejectOrFail(now time.Duration, r *request) {
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

// retryAfter returns the retry delay for a rejected client, drawn at random so that clients
// do not return all at once. The maximum still lets the request meet its target; if it
// cannot, the maximum is the mean work, after which slots have become free.
func (d *Dispatcher) retryAfter(now time.Duration, r *request) time.Duration {
	after := maxSlackFraction * d.timeToSend(now, r).Seconds()
	if after <= 0 {
		after = d.estimates.meanWork
	}
	return min(d.settings.MaxRetryAfter, seconds(after*d.rng.Float64()))
}

// closeRequest marks the request as ended, so that nothing more is sent for it, and
// cancels its attempts if that is allowed.
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
	d.removeIfDone(r)
}

// removeIfDone removes the request once it has its final result and none of its attempts
// is in flight.
func (d *Dispatcher) removeIfDone(r *request) {
	if r.ended && r.inFlight == 0 && d.requests.byID[r.ID] == r {
		r.tenant.openRequests--
		d.requests.remove(r)
	}
}
