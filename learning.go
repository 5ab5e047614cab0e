package sedgevale

// What is learned from outcomes: running times of classes, pace of workers, usual work.

import (
	"slices"
	"time"
)

const (
	meanGain      = 1.0 / 64   // EWMA weight of one outcome in a class's means
	completeDecay = 0.02       // a round draws a mean completion so far towards the running time
	monsterClip   = 10         // one sample counts for at most this many means
	paceGain      = 1.0 / 8    // EWMA weight of one job in a worker's pace
	baseGain      = 1.0 / 4096 // EWMA weight of one job in its class\'s own running time
	paceDecay     = 0.01       // of a pace a round, towards the mean, to try it again
	waitClip      = 2          // a job's wait counts for so many aims at most in the mean completion
	hintTrust     = 0.01       // seconds of running time by which hints are trusted at first
)

// class is a class of jobs and what was learned of it. Jobs point to it: it stays as
// it is for those under way when the settings change.
type class struct {
	Class
	index    int // in tenant.backlog and Dispatcher.kept
	pool     *pool
	run      float64 // mean running time, seconds
	base     float64 // the same over long, and lower rather than higher: what aims grow by
	hint     float64 // mean hint of those
	complete float64 // mean time from send to answer
	runs     float64
	inflight int
}

// slack is how long a job of the class can wait when it arrives.
func (c *class) slack() float64 { return c.Aim.Seconds() + c.Stretch*c.run - c.complete }

// learn draws the worker's and the class's figures from an outcome.
func (d *Dispatcher) learn(now time.Duration, r *request, a *attempt, o Outcome) {
	w := a.w
	switch o {
	case Served:
		if w.bad *= 1 - badGain; w.bad < badMost {
			w.rest, w.restFor = 0, 0
		}
		delete(d.broke, w.Cell)
		if d.settling { // our own clock stood still
			return
		}
		c := r.class
		run, done := (now - a.sent).Seconds(), (now - a.sent).Seconds()
		if a.started > 0 {
			run = (now - a.started).Seconds()
		}
		c.runs++
		gain := max(meanGain, 1/c.runs)
		if c.runs > 8 {
			run, done = min(run, monsterClip*c.run), min(done, monsterClip*c.complete)
		}
		if a.started > 0 || run < c.run || w.freeAt < now || w.free >= 0.5 {
			c.run += gain * (run - c.run) // else part of it was the wait for a slot
			c.hint += gain * (r.Hint.Seconds() - c.hint)
			up := max(baseGain, 1/c.runs)
			if run < c.base {
				up = max(up, meanGain/4)
			}
			c.base += up * (run - c.base)
			w.pace += paceGain * (run/max(1e-6, c.run) - w.pace)
		}
		most := waitClip * r.class.Aim.Seconds() // one bad worker must not refuse all
		c.complete += gain * (min(done, c.run+most) - c.complete)
		d.served += r.Slots * run
		d.touch(w)
		if now < r.aim {
			r.tenant.know(w)
		}
	case Full:
		r.tenant.unknow(w)
		if now-a.sent < roundEvery { // else a worker that drains has handed back what it had not begun
			d.moveFrom = now + fullRest
		}
		w.free, w.freeAt = 0, now
		d.cut(w, r.Slots)
		d.rest(now, w)
	case Errored:
		if w.bad += badGain * (1 - w.bad); w.bad > badMost {
			d.cut(w, r.Slots)
			d.rest(now, w)
		}
	case TimedOut, Lost, ConnectFailed:
		if o != TimedOut {
			w.broken++
		}
		if d.lives(w, a, o) { // then the connection was at fault
			d.silent += oneIf(o == TimedOut && !a.late)
			return
		}
		d.cut(w, r.Slots)
		d.doubt(now, w)
		if o != TimedOut && w.broken >= presumeLeast {
			d.presume(now, w)
		}
	}
}

// lives reports whether a worker may live though an attempt there got no answer: it has given a sign
// since, or, where the attempt's connection broke, others there go on or none broke just before. It
// guards against the exclusion of workers for what single connections do.
func (d *Dispatcher) lives(w *worker, a *attempt, o Outcome) bool {
	switch {
	case o != TimedOut && w.broken == 1:
		return true
	case o == Lost:
		return slices.ContainsFunc(w.out, func(f flight) bool { return !f.r.attempts[f.n].off })
	}
	return w.lastSign > a.sent
}

// neverRan reports whether the outcome proves that nothing ran.
func (d *Dispatcher) neverRan(o Outcome) bool {
	return o == ConnectFailed || o == NotSent || o == Full && !d.set.FullMayHaveRun
}

// touch notes that the worker had a clean outcome in this round.
func (d *Dispatcher) touch(w *worker) {
	if !w.outcomes {
		w.outcomes = true
		d.touched = append(d.touched, w)
	}
}

// weigh draws the usual work from a request whose class is known. One that is not stands for nothing: by a mean over
// requests of no work all who started with a release pushed its cold workers over together.
func (d *Dispatcher) weigh(r *request) {
	if r.class.runs > 0 || r.Hint > 0 {
		d.weighed++
		d.usual += (r.work - d.usual) * max(meanGain, 1/d.weighed)
	}
}

// usualWork is the mean work of requests whose class was known or, while there were none, what the settings let one
// expect: that a class's aim and its running time are alike.
func (d *Dispatcher) usualWork() float64 {
	if d.weighed > 0 {
		return d.usual
	}
	sum := 0.0
	for _, k := range d.classes {
		sum += k.Aim.Seconds()
	}
	return sum / float64(len(d.classes))
}

// weightOf is the request's work, or the usual while its class is not known.
func (d *Dispatcher) weightOf(r *request) float64 {
	if r.class.runs > 0 || r.Hint > 0 {
		return r.work
	}
	return r.Slots * d.usualWork()
}

// quickest returns the pace of the second quickest of the workers that may be sent
// to, 1 at most: that much of its class's mean a job takes at least.
func (d *Dispatcher) quickest() float64 {
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
