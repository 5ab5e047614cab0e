package sedgevale

// What is learned from outcomes: running times of classes, runtime ratios of workers, expected work.

import (
	"slices"
	"time"
)

const (
	meanGain          = 1.0 / 64   // EWMA weight of one outcome in a class's means
	completionDecay   = 0.02       // by which a round draws a mean completion time towards the running time
	maxSampleMeans    = 10         // one sample counts for at most this many means
	runtimeRatioGain  = 1.0 / 8    // EWMA weight of one answer in a worker's runtime ratio
	baseRuntimeGain   = 1.0 / 4096 // EWMA weight of one answer in its class's base running time
	runtimeRatioDecay = 0.01       // by which a round draws a runtime ratio towards 1, so that a slow worker is tried again
	maxWaitTargets    = 2          // latency targets for which a wait counts at most in the mean completion time
	hintTrust         = 0.01       // seconds of running time by which hints are trusted at first
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
			d.rescheduleAllowedAt = now + rescheduleBackoff
		}
		w.freeSlots, w.freeSlotsAt = 0, now
		d.decreaseLimit(w, r.Slots)
		d.eject(now, w)
	case Errored:
		w.errorRate += errorRateGain * (1 - w.errorRate)
		if w.errorRate > maxErrorRate {
			d.decreaseLimit(w, r.Slots)
			d.eject(now, w)
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
	delete(d.brokenByCell, w.Cell)
	if d.catchingUp { // durations measured across the stall say nothing
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
	d.roundWork += r.Slots * run
	d.markCleanOutcome(w)
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
	if d.mayBeAlive(w, a, o) { // then the connection was at fault
		d.silentConnections += boolToFloat(o == TimedOut && !a.startOverdue)
		return
	}
	d.decreaseLimit(w, r.Slots)
	d.markUnhealthy(now, w)
	if o != TimedOut && w.connFailures >= minConnFailuresForRestart {
		d.presumeRestart(now, w)
	}
}

// mayBeAlive reports whether a worker may be alive though an attempt there got no
// answer: it has given a sign of life since, or, where the attempt's connection
// broke, others there go on or none broke just before. It guards against the
// exclusion of workers for faults of single connections.
func (d *Dispatcher) mayBeAlive(w *worker, a *attempt, o Outcome) bool {
	switch {
	case o != TimedOut && w.connFailures == 1:
		return true
	case o == ConnectionLost:
		return slices.ContainsFunc(w.attempts, func(ref attemptRef) bool {
			return !ref.request.attempts[ref.number].writtenOff
		})
	}
	return w.lastSeen > a.sentAt
}

// provesNeverRan reports whether the outcome proves that the worker did not begin
// the attempt.
func (d *Dispatcher) provesNeverRan(o Outcome) bool {
	return o == ConnectFailed || o == NotSent || o == Rejected && !d.settings.RejectedMayHaveRun
}

// markCleanOutcome notes that the worker had a clean outcome in this round.
func (d *Dispatcher) markCleanOutcome(w *worker) {
	if !w.cleanRound {
		w.cleanRound = true
		d.cleanWorkers = append(d.cleanWorkers, w)
	}
}
