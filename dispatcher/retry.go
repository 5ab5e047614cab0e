package dispatcher

import "time"

// Retries and hedged requests: attempts beyond a request's first, and when they may be made.

const (
	rescheduleBackoff  = 30 * time.Second      // after a rejection: cancelled attempts may still fill queues
	maxReschedules     = 2                     // times that an attempt is cancelled to try another worker
	minLateValue       = 0.5                   // a late answer that earns less is not waited for
	minStartTimeout    = 20 * time.Millisecond // for a start notice
	maxStartTimeout    = time.Second           // for a start notice
	promptStartTimeout = 60 * time.Millisecond // for a start notice where a slot should be free
	minOvertakeGap     = 30 * time.Millisecond // between two sends, for the later one to overtake by starting first
	maxStartWaitJobs   = 3                     // mean work after which a start is not waited for any more
	maxRuntimeMultiple = 4                     // expected running times after which an attempt is written off
)

// retryOrEnd queues a request whose attempts have all failed for a retry, or ends it.
func (d *Dispatcher) retryOrEnd(now time.Duration, r *request) {
	c := r.class
	uncertain := false
	for i := range r.attempts {
		uncertain = uncertain || !r.attempts[i].neverRan
	}
	if len(r.attempts) >= d.settings.MaxAttempts || uncertain && c.Idempotency == NotIdempotent || !d.budget.admits(now) ||
		!d.feasible(now, r, false) {
		d.endUnserved(now, r)
		return
	}
	d.enqueue(now, r)
	r.probeRounds = 0
	d.probeForLoad(now, r)
	d.setTimer(r.sendBy-now, tokenSendBy, r, 0)
}

// hedge queues a request for a hedged attempt, while one is in flight, where it may run
// twice.
func (d *Dispatcher) hedge(now time.Duration, r *request) {
	if !d.settings.AllowHedging || r.ended || r.queued || r.streaming || r.inFlight != 1 ||
		r.class.Idempotency == NotIdempotent || len(r.attempts) >= d.settings.MaxAttempts ||
		!d.budget.admits(now) || d.timeToSend(now, r) <= 0 {
		return
	}
	r.tenant.tokens++ // it has been counted against the quota once
	d.enqueue(now, r)
	d.setTimer(r.sendBy-now, tokenSendBy, r, 0)
}

// mayReschedule reports whether the attempt may be cancelled to try another worker:
// only while most attempts start at once, since otherwise another worker is no
// better, and not while workers reject requests, whose queues may be full of
// cancelled attempts that still run.
func (d *Dispatcher) mayReschedule(now time.Duration, r *request) bool {
	return d.settings.AllowCancel && r.class.Idempotency != NotIdempotent && !r.streaming && r.inFlight == 1 &&
		len(r.attempts) < min(1+maxReschedules, d.settings.MaxAttempts) && d.connections.mayReschedule(now) &&
		d.workers.lightlyLoaded() && d.budget.admits(now) && d.timeToSend(now, r) > 0
}

// checkStart acts when no start notice has come in time: the worker has a queue, or
// hangs. Its limit is decreased, and it gets nothing until it is known to be alive.
// This guards against queues that no rejection reveals. The attempt is cancelled to try another
// worker where that is allowed, and the request ended once it must be late.
func (d *Dispatcher) checkStart(now time.Duration, r *request, n int) {
	a := &r.attempts[n]
	if a.ended || a.startedAt > 0 {
		return
	}
	a.startOverdue = true
	if d.settings.AllowCancel && r.class.LateValue < minLateValue && !r.streaming && d.workers.lightlyLoaded() {
		last := min(r.deadline, r.targetAt) - seconds(r.work/r.Slots)
		if now >= last {
			d.endUnserved(now, r) // it would only delay others
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
		d.writeOff(r, a) // the next attempt there shows whether the worker is full or this connection silent
	}
	if !d.mayReschedule(now, r) {
		if slotWasFree {
			d.hedge(now, r)
		}
		return
	}
	a.avoidWorker = true
	r.tenant.tokens++ // it has been counted against the quota once
	d.host.Cancel(r.ID, n)
}

// writeOffOvertaken acts when a worker that starts attempts in order has started one
// that was sent well after others that have not started: the connections of those
// have fallen silent. They are written off, and hedged where they may run twice. It
// guards against slots that seem taken until the time-outs come.
func (d *Dispatcher) writeOffOvertaken(now time.Duration, by *attempt) {
	for i := 0; d.settings.FIFOWorkers && !d.rounds.catchingUp && i < len(by.worker.attempts); i++ {
		ref := by.worker.attempts[i]
		a := &ref.request.attempts[ref.number]
		if a.sentAt+minOvertakeGap < by.sentAt && a.startedAt == 0 && !a.writtenOff {
			d.connections.silent++
			d.writeOff(ref.request, a)
			d.hedge(now, ref.request)
		}
	}
}

// writeOffOverdue writes off attempts that have run for far longer than they should
// without a report of progress. While connections are known to fall silent, they are hedged
// before it is too late.
func (d *Dispatcher) writeOffOverdue(now time.Duration, w *worker) {
	for i := range w.attempts {
		ref := w.attempts[i]
		a := &ref.request.attempts[ref.number]
		if a.writtenOff {
			continue
		}
		if a.startedAt == 0 {
			if now-a.sentAt > seconds(maxStartWaitJobs*d.estimates.meanWork) {
				d.writeOff(ref.request, a)
			}
			continue
		}
		expected := seconds(ref.request.class.meanRuntime * max(0.5, w.runtimeRatio))
		since := now - max(a.startedAt, a.progressAt)
		if since > maxRuntimeMultiple*expected+maxStartTimeout/4 {
			d.writeOff(ref.request, a)
		}
		if d.connections.becomeUnresponsive() && since > 2*expected {
			d.hedge(now, ref.request)
		}
	}
}

// overdueStartImpliesUnresponsiveConn reports whether an overdue start means a silent connection:
// no other dispatcher fills the worker's slots, or connections are known to fall
// silent now.
func (d *Dispatcher) overdueStartImpliesUnresponsiveConn() bool {
	return d.settings.Dispatchers == 1 || d.connections.becomeUnresponsive()
}
