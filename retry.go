package sedgevale

// Retries and hedged requests: attempts beyond a request's first, and when they may be made.

import (
	"time"
)

const (
	promptStartGain        = 1.0 / 32              // EWMA weight of one start
	minPromptStartRate     = 0.35                  // share of attempts that start at once, for another to be worth it
	rescheduleBackoff      = 30 * time.Second      // after 'full' none is: what was called off may still fill queues
	maxReschedules         = 2                     // times that a job is called off to try another worker
	minLateValue           = 0.5                   // a late answer that earns less is not waited for
	minStartTimeout        = 20 * time.Millisecond // least wait for a start note before it is late
	maxStartTimeout        = time.Second
	promptStartTimeout     = 60 * time.Millisecond // for a start note where a slot should be free
	minOvertakeGap         = 30 * time.Millisecond // a job sent so much later that starts before has overtaken another
	maxStartWaitJobs       = 3                     // mean jobs after which a start is not waited for any more
	maxRuntimeMultiple     = 4                     // usual running times after which a job is not counted any more
	minSilentConnections   = 1.0                   // decayed count of silent connections for running jobs to be copied
	silentConnectionsDecay = 0.01                  // of that count, a round
)

// mayAttempt is rule 2 for sends: it alone decides whether the request may be tried on this worker.
func (d *Dispatcher) mayAttempt(now time.Duration, r *request, w *worker) bool {
	if r.ended || len(r.attempts) >= d.settings.MaxAttempts || r.inFlight > 0 && !d.settings.ParallelTries ||
		len(r.attempts) > 0 && !d.withinRetryBudget(now) {
		return false
	}
	c := r.class
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.worker == w && !a.ended {
			return false
		}
		if a.neverRan || c.Effect == Safe {
			continue
		}
		same := c.Scope == ScopeAll || c.Scope == ScopeZone && a.worker.Zone == w.Zone ||
			c.Scope == ScopeCell && a.worker.Cell == w.Cell
		if c.Effect == Unsafe || !same || now >= a.sentAt+c.Window-min(roundInterval, c.Window/8) {
			return false
		}
	}
	return true
}

// mayHaveRun returns the worker of a keyed request's first attempt that may
// have run, or nil.
func (d *Dispatcher) mayHaveRun(r *request) *worker {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverRan && r.class.Effect == Keyed {
			return a.worker
		}
	}
	return nil
}

// retryOrEnd holds a request whose attempts all failed for another one, or ends it.
func (d *Dispatcher) retryOrEnd(now time.Duration, r *request) {
	c := r.class
	uncertain := false
	for i := range r.attempts {
		uncertain = uncertain || !r.attempts[i].neverRan
	}
	if len(r.attempts) >= d.settings.MaxAttempts || uncertain && c.Effect == Unsafe || !d.withinRetryBudget(now) ||
		!d.feasible(now, r, false) {
		d.endUnserved(now, r)
		return
	}
	d.enqueue(now, r)
	r.probeRounds = 0
	d.probeForLoad(now, r)
	d.setTimer(r.sendBy-now, tokenSendBy, r, 0)
}

// hedge holds a request for a further attempt beside the one that is out, where it may run twice.
func (d *Dispatcher) hedge(now time.Duration, r *request) {
	if !d.settings.ParallelTries || r.ended || r.queued || r.streaming || r.inFlight != 1 ||
		r.class.Effect == Unsafe || len(r.attempts) >= d.settings.MaxAttempts ||
		!d.withinRetryBudget(now) || d.timeToSend(now, r) <= 0 {
		return
	}
	r.tenant.tokens++ // the same demand comes again
	d.enqueue(now, r)
	d.setTimer(r.sendBy-now, tokenSendBy, r, 0)
}

// mayReschedule reports whether a job may be called off for another worker: only
// while most attempts start at once, for else another is no better, and not
// while workers are full, which called off jobs may be that still run.
func (d *Dispatcher) mayReschedule(now time.Duration, r *request) bool {
	return d.settings.MayCancel && r.class.Effect != Unsafe && !r.streaming && r.inFlight == 1 &&
		len(r.attempts) < min(1+maxReschedules, d.settings.MaxAttempts) && d.promptStartRate > minPromptStartRate &&
		now >= d.rescheduleAllowedAt && d.lightlyLoaded() && d.withinRetryBudget(now) && d.timeToSend(now, r) > 0
}

// checkStart acts when no start note has come in good time: the worker has a
// queue, or hangs. Its limit is cut, and until some sign of it comes it gets
// nothing. It guards against queues that no 'full' reveals. The job is called
// off to try another worker where that is allowed, and ended once it must be late.
func (d *Dispatcher) checkStart(now time.Duration, r *request, n int) {
	a := &r.attempts[n]
	if a.ended || a.startedAt > 0 {
		return
	}
	a.startOverdue = true
	if d.settings.MayCancel && r.class.LateShare < minLateValue && !r.streaming && d.lightlyLoaded() {
		last := min(r.deadline, r.targetAt) - seconds(r.work/r.Slots)
		if now >= last {
			d.endUnserved(now, r) // it would only hold up others
			return
		}
		d.setTimer(last-now, tokenStartDue, r, n)
	}
	d.cutLimit(a.worker, r.Slots)
	if a.worker.lastSeen < a.sentAt {
		d.markUnhealthy(now, a.worker)
	}
	fits := a.worker.inFlight <= d.maxFreeByKind[a.worker.Kind] && d.lateStartMeansSilence()
	if fits {
		d.writeOff(r, a) // what goes there next tells whether the worker is full or this connection silent
	}
	if !d.mayReschedule(now, r) {
		if fits {
			d.hedge(now, r)
		}
		return
	}
	a.avoidWorker = true
	r.tenant.tokens++ // the same demand comes again
	d.host.Cancel(r.ID, n)
}

// writeOffOvertaken acts when a worker that starts jobs in order has started one that was sent well after others
// it has not: their connections have fallen silent. Nothing is expected of those any more, and what
// may run twice goes elsewhere as well. It guards against slots that seem taken until the time-outs land.
func (d *Dispatcher) writeOffOvertaken(now time.Duration, by *attempt) {
	for i := 0; d.settings.InOrder && !d.catchingUp && i < len(by.worker.attempts); i++ {
		f := by.worker.attempts[i]
		a := &f.request.attempts[f.number]
		if a.sentAt+minOvertakeGap < by.sentAt && a.startedAt == 0 && !a.writtenOff {
			d.silentConnections++
			d.writeOff(f.request, a)
			d.hedge(now, f.request)
		}
	}
}

// writeOffOverdue looks for jobs that have run for far longer than they should without a sign: their slots are
// not counted any more. While connections are known to fall silent, a copy goes out before it is too late.
func (d *Dispatcher) writeOffOverdue(now time.Duration, w *worker) {
	for i := range w.attempts {
		f := w.attempts[i]
		a := &f.request.attempts[f.number]
		if a.writtenOff {
			continue
		}
		if a.startedAt == 0 {
			if now-a.sentAt > seconds(maxStartWaitJobs*d.meanWork) {
				d.writeOff(f.request, a)
			}
			continue
		}
		usual := seconds(f.request.class.meanRuntime * max(0.5, w.pace))
		since := now - max(a.startedAt, a.progressAt)
		if since > maxRuntimeMultiple*usual+maxStartTimeout/4 {
			d.writeOff(f.request, a)
		}
		if d.silentConnections > minSilentConnections && since > 2*usual {
			d.hedge(now, f.request)
		}
	}
}

// lateStartMeansSilence reports whether a late start tells of a silent connection: nobody else
// fills the worker's slots, or connections are known to fall silent now.
func (d *Dispatcher) lateStartMeansSilence() bool {
	return d.settings.Peers == 1 || d.silentConnections > minSilentConnections
}
