package dispatcher

import "time"

// What is learned from outcomes: running times of classes, runtime ratios of workers, expected work.

const (
	maxSampleMeans   = 10         // one sample counts for at most this many means
	runtimeRatioGain = 1.0 / 8    // EWMA weight of one answer in a worker's runtime ratio
	baseRuntimeGain  = 1.0 / 4096 // EWMA weight of one answer in its class's base running time
	maxWaitTargets   = 2          // latency targets for which a wait counts at most in the mean completion time
)

// learn updates the worker's and the class's figures from an outcome.
func (d *Dispatcher) learn(now time.Duration, r *request, a *attempt, o Outcome) {
	w := a.worker
	switch o {
	case Served:
		d.learnServed(now, r, a)
	case Rejected:
		r.tenant.forgetWorker(w)
		if now-a.sentAt < roundInterval { // else a draining worker has returned what it had not begun
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

// learnServed updates running times, the runtime ratio and the worker's health from an answer.
func (d *Dispatcher) learnServed(now time.Duration, r *request, a *attempt) {
	w, c := a.worker, r.class
	w.errorRate *= 1 - errorRateGain
	if w.errorRate < maxErrorRate {
		w.ejectedUntil, w.ejectionBackoff = 0, 0
	}
	delete(d.slowStart.brokenByCell, w.Cell)
	if d.rounds.catchingUp { // durations measured across the stall say nothing
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
	// Without a start notice the time may hold a wait for a slot.
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
	maxWait := maxWaitTargets * c.LatencyTarget.Seconds() // one bad worker must not have all rejected
	c.meanCompletion += gain * (min(completion, c.meanRuntime+maxWait) - c.meanCompletion)
	d.estimates.roundWork += r.Slots * run
	d.limits.addClean(w)
	if now < r.targetAt {
		r.tenant.rememberWorker(w)
	}
}

// learnUnanswered updates the worker's health from an attempt that got no answer.
func (d *Dispatcher) learnUnanswered(now time.Duration, r *request, a *attempt, o Outcome) {
	w := a.worker
	if o != TimedOut {
		w.connFailures++
	}
	if w.mayBeAlive(a, o) { // then the connection was at fault
		d.connections.silent += boolToFloat(o == TimedOut && !a.startOverdue)
		return
	}
	d.limits.decrease(&d.workers, w, r.Slots)
	w.markUnhealthy(now, d.rng)
	if o != TimedOut && w.connFailures >= minConnFailuresForRestart {
		d.presumeRestart(now, w)
	}
}

// presumeRestart presumes workers restarted before the list says so: one that broke
// or refused connections, and all of its cell if another there did lately and none
// has served since. It guards against workers that come back cold and are
// overloaded by dispatchers that do not know it yet. If that holds for most
// workers, the fault is not theirs.
func (d *Dispatcher) presumeRestart(now time.Duration, w *worker) {
	restarted := []*worker{w}
	before := d.slowStart.brokenByCell[w.Cell]
	d.slowStart.brokenByCell[w.Cell] = brokenConnection{w, now}
	if before.worker != nil && before.worker != w && now < before.at+presumedRestartTTL {
		restarted = d.workers.cells[w.Cell]
	}
	for _, v := range restarted {
		d.slowStart.presumeRestarted(now, v, d.firstCredit)
	}
	if d.slowStart.presumed*2 > d.workers.pools[0].active {
		d.slowStart.clearPresumed(d.workers.all...)
	}
}
