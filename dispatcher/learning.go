package dispatcher

import "time"

// This file updates the learned state from outcomes: running times of classes, runtime ratios, limits and health
// of workers.

const (
	maxSampleMeans   = 10         // multiple of the mean at which one sample is capped
	runtimeRatioGain = 1.0 / 8    // EWMA weight of one response in a worker's runtime ratio
	baseRuntimeGain  = 1.0 / 4096 // EWMA weight of one response in its class's base running time
	maxWaitTargets   = 2          // multiple of the latency target at which a wait is capped in the mean completion time
)

// learn updates the estimates of the worker, the class and the tenant from an outcome.
func (d *Dispatcher) learn(now time.Duration, r *request, a *attempt, o Outcome) {
	w := a.worker
	switch o {
	case Served:
		d.learnServed(now, r, a)
	case Rejected:
		r.tenant.removeRecentWorker(w)
		if now-a.sentAt < roundInterval { // a later rejection comes from a draining worker that returns attempts it has not begun
			d.connections.rescheduleAllowedAt = now + rescheduleBackoff
		}
		w.freeSlots, w.freeSlotsAt = 0, now
		d.limits.decrease(&d.workers, w, r.Slots)
		w.eject(now, d.rng)
	case Errored:
		w.errorRate += errorRateGain * (1 - w.errorRate)
		if w.errorRate > maxErrorRate {
			d.limits.decrease(&d.workers, w, r.Slots)
			w.eject(now, d.rng)
		}
	case TimedOut, ConnectionLost, ConnectFailed:
		d.learnUnanswered(now, r, a, o)
	}
}

// learnServed updates running times, the runtime ratio and the worker's health from a
// served attempt.
func (d *Dispatcher) learnServed(now time.Duration, r *request, a *attempt) {
	w, c := a.worker, r.class
	w.errorRate *= 1 - errorRateGain
	if w.errorRate < maxErrorRate {
		w.ejectedUntil, w.ejectionBackoff = 0, 0
	}
	delete(d.slowStart.lastFailureByCell, w.Cell)
	if d.rounds.catchingUp { // durations measured across a stall of this process are not the worker's
		return
	}
	completion := (now - a.sentAt).Seconds()
	run := completion
	if a.startedAt > 0 {
		run = (now - a.startedAt).Seconds()
	}
	c.samples++
	gain := max(meanGain, 1/c.samples)
	if c.samples > 8 {
		run, completion = min(run, maxSampleMeans*c.meanRuntime), min(completion, maxSampleMeans*c.meanCompletion)
	}
	// Without a start notice the measured time may include a wait for a slot.
	if a.startedAt > 0 || run < c.meanRuntime || w.freeSlotsAt < now || w.freeSlots >= 0.5 {
		c.meanRuntime += gain * (run - c.meanRuntime)
		c.meanHint += gain * (r.RuntimeHint.Seconds() - c.meanHint)
		baseGain := max(baseRuntimeGain, 1/c.samples)
		if run < c.baseRuntime {
			baseGain = max(baseGain, meanGain/4)
		}
		c.baseRuntime += baseGain * (run - c.baseRuntime)
		w.runtimeRatio += runtimeRatioGain * (run/max(1e-6, c.meanRuntime) - w.runtimeRatio)
	}
	maxWait := maxWaitTargets * c.LatencyTarget.Seconds() // otherwise one slow worker could cause all requests of the class to be rejected
	c.meanCompletion += gain * (min(completion, c.meanRuntime+maxWait) - c.meanCompletion)
	d.estimates.roundWork += r.Slots * run
	d.limits.addClean(w)
	if now < r.targetAt {
		r.tenant.addRecentWorker(w)
	}
}

// learnUnanswered updates the worker's health from an attempt that got no response.
func (d *Dispatcher) learnUnanswered(now time.Duration, r *request, a *attempt, o Outcome) {
	w := a.worker
	if o != TimedOut {
		w.connFailures++
	}
	if w.mayBeAlive(a, o) { // the failure is attributed to the connection
		d.connections.unresponsive += boolToFloat(o == TimedOut && !a.startOverdue)
		return
	}
	d.limits.decrease(&d.workers, w, r.Slots)
	w.markUnhealthy(now, d.rng)
	if o != TimedOut && w.connFailures >= minConnFailuresForRestart {
		d.presumeRestart(now, w)
	}
}

// presumeRestart presumes that workers have restarted before the worker list shows it:
// a worker whose connections broke or were refused, and its whole cell if another worker
// of the cell failed likewise within presumedRestartTTL and none has served since. It
// guards against overloading workers that come back cold. If the presumption covers more
// than half of the workers, the failure is not theirs and all presumptions are cleared.
func (d *Dispatcher) presumeRestart(now time.Duration, w *worker) {
	restarted := []*worker{w}
	before := d.slowStart.lastFailureByCell[w.Cell]
	d.slowStart.lastFailureByCell[w.Cell] = connFailure{w, now}
	if before.worker != nil && before.worker != w && now < before.at+presumedRestartTTL {
		restarted = d.workers.cells[w.Cell]
	}
	for _, v := range restarted {
		d.slowStart.beginPresumed(now, v, d.initialCredit)
	}
	if d.slowStart.presumedRestarts*2 > d.workers.pools[0].active {
		d.slowStart.clearPresumed(d.workers.all...)
	}
}
