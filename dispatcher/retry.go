package dispatcher

import "time"

// This file decides on attempts after a request's first one: retries, hedged attempts and rescheduled attempts.

const (
	rescheduleBackoff    = 30 * time.Second      // pause after a rejection, since cancelled attempts may still fill queues
	maxReschedules       = 2                     // maximum attempts of a request that are cancelled to try another worker
	minLateValue         = 0.5                   // late value below which a request is ended once it cannot meet its target
	minStartTimeout      = 20 * time.Millisecond // lower bound of the timeout for a start notice
	maxStartTimeout      = time.Second           // upper bound of the timeout for a start notice
	promptStartTimeout   = 60 * time.Millisecond // timeout for a start notice if a slot is expected to be free
	minOvertakeGap       = 30 * time.Millisecond // minimum time between two sends for the later one to count as overtaking
	maxStartWaitMultiple = 3                     // multiple of the mean work after which an attempt without a start releases its slots
	maxRuntimeMultiple   = 4                     // multiple of the expected running time after which an attempt releases its slots
)

// retryOrEnd queues a request for a retry after all of its attempts have failed, or ends it.
func (d *Dispatcher) retryOrEnd(now time.Duration, r *request) {
	c := r.class
	uncertain := false
	for i := range r.attempts {
		uncertain = uncertain || !r.attempts[i].neverRan
	}
	if len(r.attempts) >= d.settings.MaxAttempts || uncertain && c.Idempotency == NotIdempotent || !d.budget.admits(now) ||
		!d.feasible(now, r, false) {
		d.rejectOrFail(now, r)
		return
	}
	d.enqueue(now, r)
	r.probeRounds = 0
	d.probeForLoad(now, r)
	d.setTimer(r.sendBy-now, tokenSendBy, r, 0)
}

// hedge queues a request for a hedged attempt while exactly one attempt is in flight, if
// the request may run twice.
func (d *Dispatcher) hedge(now time.Duration, r *request) {
	if !d.settings.AllowHedging || r.ended || r.queued || r.streaming || r.inFlight != 1 ||
		r.class.Idempotency == NotIdempotent || len(r.attempts) >= d.settings.MaxAttempts ||
		!d.budget.admits(now) || d.timeToSend(now, r) <= 0 {
		return
	}
	r.tenant.tokens++ // the attempt in flight has already used a token of the quota
	d.enqueue(now, r)
	d.setTimer(r.sendBy-now, tokenSendBy, r, 0)
}

// mayReschedule reports whether the request's attempt may be cancelled to try another
// worker. It may only while enough attempts start promptly, since otherwise another
// worker is no better, and not for rescheduleBackoff after a rejection, since the queues
// of workers may be full of cancelled attempts that still run.
func (d *Dispatcher) mayReschedule(now time.Duration, r *request) bool {
	return d.settings.AllowCancel && r.class.Idempotency != NotIdempotent && !r.streaming && r.inFlight == 1 &&
		len(r.attempts) < min(1+maxReschedules, d.settings.MaxAttempts) && d.connections.mayReschedule(now) &&
		d.workers.lightlyLoaded() && d.budget.admits(now) && d.timeToSend(now, r) > 0
}

// handleOverdueStart handles an attempt without a timely start notice, whose worker has a
// queue or hangs. It decreases the worker's limit, and marks the worker unhealthy if it
// was not heard from since the send. This guards against queues that cause no
// rejections. If allowed, it cancels the attempt to try another worker, or ends the
// request once it can no longer meet its target.
func (d *Dispatcher) handleOverdueStart(now time.Duration, r *request, n int) {
	a := &r.attempts[n]
	if a.ended || a.startedAt > 0 {
		return
	}
	a.startOverdue = true
	if d.settings.AllowCancel && r.class.LateValue < minLateValue && !r.streaming && d.workers.lightlyLoaded() {
		last := min(r.deadline, r.targetAt) - seconds(r.work/r.Slots)
		if now >= last {
			d.rejectOrFail(now, r) // running it would only delay other requests
			return
		}
		d.setTimer(last-now, tokenStartDue, r, n)
	}
	d.limits.decrease(&d.workers, a.worker, r.Slots)
	if a.worker.lastSeen < a.sentAt {
		a.worker.markUnhealthy(now, d.rng)
	}
	slotWasFree := a.worker.inFlight <= d.workers.maxFreeByKind[a.worker.Kind] && d.overdueStartImpliesUnresponsiveConn()
	if slotWasFree {
		d.releaseSlots(r, a) // the next attempt there shows whether the worker is full or the connection unresponsive
	}
	if !d.mayReschedule(now, r) {
		if slotWasFree {
			d.hedge(now, r)
		}
		return
	}
	a.avoidWorker = true
	r.tenant.tokens++ // this attempt has already used a token of the quota
	d.host.Cancel(r.ID, n)
}

// releaseOvertaken handles earlier attempts that have not started although their worker,
// which starts attempts in order, has started one that was sent well after them: their
// connections are unresponsive. It releases their slots, which would otherwise count as
// in flight until the attempts time out, and hedges the requests that may run twice.
func (d *Dispatcher) releaseOvertaken(now time.Duration, by *attempt) {
	for i := 0; d.settings.FIFOWorkers && !d.rounds.catchingUp && i < len(by.worker.attempts); i++ {
		ref := by.worker.attempts[i]
		a := &ref.request.attempts[ref.number]
		if a.sentAt+minOvertakeGap < by.sentAt && a.startedAt == 0 && !a.slotsReleased {
			d.connections.unresponsive++
			d.releaseSlots(ref.request, a)
			d.hedge(now, ref.request)
		}
	}
}

// releaseOverdue releases the slots of attempts that have run for maxRuntimeMultiple
// expected running times without a progress report, or have waited too long for a start.
// If connections were unresponsive recently, it also hedges attempts at twice the
// expected running time.
func (d *Dispatcher) releaseOverdue(now time.Duration, w *worker) {
	for i := range w.attempts {
		ref := w.attempts[i]
		a := &ref.request.attempts[ref.number]
		if a.slotsReleased {
			continue
		}
		if a.startedAt == 0 {
			if now-a.sentAt > seconds(maxStartWaitMultiple*d.estimates.meanWork) {
				d.releaseSlots(ref.request, a)
			}
			continue
		}
		expected := seconds(ref.request.class.meanRuntime * max(0.5, w.runtimeRatio))
		since := now - max(a.startedAt, a.progressAt)
		if since > maxRuntimeMultiple*expected+maxStartTimeout/4 {
			d.releaseSlots(ref.request, a)
		}
		if d.connections.recentlyUnresponsive() && since > 2*expected {
			d.hedge(now, ref.request)
		}
	}
}

// overdueStartImpliesUnresponsiveConn reports whether an overdue start at a worker with a
// free slot indicates an unresponsive connection: no other dispatcher occupies the
// worker's slots, or connections were unresponsive recently.
func (d *Dispatcher) overdueStartImpliesUnresponsiveConn() bool {
	return d.settings.Dispatchers == 1 || d.connections.recentlyUnresponsive()
}
