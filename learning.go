package sedgevale

// What is learned from outcomes: running times of classes, pace of workers, usual work.

import (
	"slices"
	"time"
)

const (
	meanGain        = 1.0 / 64   // EWMA weight of one outcome in a class's means
	completionDecay = 0.02       // a round draws a mean completion so far towards the running time
	maxSampleMeans  = 10         // one sample counts for at most this many means
	paceGain        = 1.0 / 8    // EWMA weight of one job in a worker's pace
	baseRuntimeGain = 1.0 / 4096 // EWMA weight of one job in its class\'s own running time
	paceDecay       = 0.01       // of a pace a round, towards the mean, to try it again
	maxWaitTargets  = 2          // a job's wait counts for so many aims at most in the mean completion
	hintTrust       = 0.01       // seconds of running time by which hints are trusted at first
)

// class is a class of jobs and what was learned of it. Jobs point to it: it stays as
// it is for those under way when the settings change.
type class struct {
	Class
	index          int // in tenant.backlog and Dispatcher.kept
	pool           *pool
	meanRuntime    float64 // mean running time, seconds
	baseRuntime    float64 // the same over long, and lower rather than higher: what aims grow by
	meanHint       float64 // mean hint of those
	meanCompletion float64 // mean time from send to answer
	samples        float64
	inFlight       int
}

// slack is how long a job of the class can wait when it arrives.
func (c *class) slack() float64 { return c.Aim.Seconds() + c.Stretch*c.meanRuntime - c.meanCompletion }

// learn draws the worker's and the class's figures from an outcome.
func (d *Dispatcher) learn(now time.Duration, r *request, a *attempt, o Outcome) {
	w := a.worker
	switch o {
	case Served:
		if w.errorRate *= 1 - errorRateGain; w.errorRate < maxErrorRate {
			w.ejectedUntil, w.ejectionBackoff = 0, 0
		}
		delete(d.brokenByCell, w.Cell)
		if d.catchingUp { // our own clock stood still
			return
		}
		c := r.class
		run, done := (now - a.sentAt).Seconds(), (now - a.sentAt).Seconds()
		if a.startedAt > 0 {
			run = (now - a.startedAt).Seconds()
		}
		c.samples++
		gain := max(meanGain, 1/c.samples)
		if c.samples > 8 {
			run, done = min(run, maxSampleMeans*c.meanRuntime), min(done, maxSampleMeans*c.meanCompletion)
		}
		if a.startedAt > 0 || run < c.meanRuntime || w.freeSlotsAt < now || w.freeSlots >= 0.5 {
			c.meanRuntime += gain * (run - c.meanRuntime) // else part of it was the wait for a slot
			c.meanHint += gain * (r.Hint.Seconds() - c.meanHint)
			up := max(baseRuntimeGain, 1/c.samples)
			if run < c.baseRuntime {
				up = max(up, meanGain/4)
			}
			c.baseRuntime += up * (run - c.baseRuntime)
			w.pace += paceGain * (run/max(1e-6, c.meanRuntime) - w.pace)
		}
		most := maxWaitTargets * r.class.Aim.Seconds() // one bad worker must not refuse all
		c.meanCompletion += gain * (min(done, c.meanRuntime+most) - c.meanCompletion)
		d.roundWork += r.Slots * run
		d.noteCleanOutcome(w)
		if now < r.targetAt {
			r.tenant.rememberWorker(w)
		}
	case Full:
		r.tenant.forgetWorker(w)
		if now-a.sentAt < roundInterval { // else a worker that drains has handed back what it had not begun
			d.rescheduleAllowedAt = now + rescheduleBackoff
		}
		w.freeSlots, w.freeSlotsAt = 0, now
		d.cutLimit(w, r.Slots)
		d.eject(now, w)
	case Errored:
		if w.errorRate += errorRateGain * (1 - w.errorRate); w.errorRate > maxErrorRate {
			d.cutLimit(w, r.Slots)
			d.eject(now, w)
		}
	case TimedOut, Lost, ConnectFailed:
		if o != TimedOut {
			w.connFailures++
		}
		if d.mayBeAlive(w, a, o) { // then the connection was at fault
			d.silentConnections += boolToFloat(o == TimedOut && !a.startOverdue)
			return
		}
		d.cutLimit(w, r.Slots)
		d.markUnhealthy(now, w)
		if o != TimedOut && w.connFailures >= minConnFailuresForRestart {
			d.presumeRestart(now, w)
		}
	}
}

// mayBeAlive reports whether a worker may live though an attempt there got no answer: it has given a sign
// since, or, where the attempt's connection broke, others there go on or none broke just before. It
// guards against the exclusion of workers for what single connections do.
func (d *Dispatcher) mayBeAlive(w *worker, a *attempt, o Outcome) bool {
	switch {
	case o != TimedOut && w.connFailures == 1:
		return true
	case o == Lost:
		return slices.ContainsFunc(w.attempts, func(f attemptRef) bool { return !f.request.attempts[f.number].writtenOff })
	}
	return w.lastSeen > a.sentAt
}

// provesNeverRan reports whether the outcome proves that nothing ran.
func (d *Dispatcher) provesNeverRan(o Outcome) bool {
	return o == ConnectFailed || o == NotSent || o == Full && !d.settings.FullMayHaveRun
}

// noteCleanOutcome notes that the worker had a clean outcome in this round.
func (d *Dispatcher) noteCleanOutcome(w *worker) {
	if !w.cleanRound {
		w.cleanRound = true
		d.cleanWorkers = append(d.cleanWorkers, w)
	}
}

// observeWork draws the usual work from a request whose class is known. One that is not stands for nothing: by a mean over
// requests of no work all who started with a release pushed its cold workers over together.
func (d *Dispatcher) observeWork(r *request) {
	if r.class.samples > 0 || r.Hint > 0 {
		d.knownRequests++
		d.meanKnownWork += (r.work - d.meanKnownWork) * max(meanGain, 1/d.knownRequests)
	}
}

// expectedWork is the mean work of requests whose class was known or, while there were none, what the settings let one
// expect: that a class's aim and its running time are alike.
func (d *Dispatcher) expectedWork() float64 {
	if d.knownRequests > 0 {
		return d.meanKnownWork
	}
	sum := 0.0
	for _, k := range d.classes {
		sum += k.Aim.Seconds()
	}
	return sum / float64(len(d.classes))
}

// expectedWorkOf is the request's work, or the usual while its class is not known.
func (d *Dispatcher) expectedWorkOf(r *request) float64 {
	if r.class.samples > 0 || r.Hint > 0 {
		return r.work
	}
	return r.Slots * d.expectedWork()
}

// fastestPace returns the pace of the second quickest of the workers that may be sent
// to, 1 at most: that much of its class's mean a job takes at least.
func (d *Dispatcher) fastestPace() float64 {
	first, second := 1.0, 1.0
	for _, w := range d.workers {
		if w == nil || w.State != Active || w.pace >= second {
			continue
		}
		if second = w.pace; w.pace < first {
			first, second = w.pace, first
		}
	}
	return second
}
