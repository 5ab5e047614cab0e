package sedgevale

// Estimates that decisions are made of: levels, quantiles, waits, slack, work.

import (
	"time"

	"sedgevale/admission"
)

// meanHeld returns the slots that we know to be taken for each unit of weight: in our part, where others
// tell us of theirs, or outside it, by which side the worker is on.
func (p *pool) meanHeld(w *worker) float64 {
	if w.ours {
		return p.nearHeld / max(1e-9, p.nearWeight)
	}
	return (p.held - p.nearHeld) / max(1e-9, p.weight-p.nearWeight)
}

// ownWeight returns the weight of the workers that our jobs go to.
func (p *pool) ownWeight() float64 {
	if p.nearWeight > 1e-6 { // sums of floats leave traces
		return p.nearWeight
	}
	return max(1e-9, p.weight)
}

// claim returns what the tenant wants of the slots that all share.
func (t *tenant) claim() admission.Claimant {
	return admission.Claimant{Want: t.inflight + t.waiting, Share: t.share}
}

// fairLevel returns the max-min level: slots per unit of share.
func (d *Dispatcher) fairLevel(limit float64) float64 {
	d.claims = d.claims[:0]
	for _, t := range d.tenants {
		d.claims = append(d.claims, t.claim())
	}
	return admission.FairLevel(d.claims, limit)
}

func oneIf(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// quantile returns Q(sigma_d/alpha_d, q) over the workers that the tenant
// used. With few jobs to a worker alpha is mostly noise, so it is drawn to the
// even share by as many jobs as there are workers.
func (d *Dispatcher) quantile(t *tenant) float64 {
	n := float64(max(1, d.pools[0].active))
	jobs := min(float64(t.jobs), 1/alphaGain)
	d.scratch = d.scratch[:0]
	step := 1 + len(t.used)/quantileSpan
	for i := int(d.round) % step; i < len(t.used); i += step {
		w := d.workers[t.used[i]]
		if w == nil || w.State != Active {
			continue
		}
		a := t.alpha[t.used[i]].Now(t.jobs, alphaGain)
		d.scratch = append(d.scratch, w.sigma/admission.Smoothed(a, jobs, n))
	}
	return admission.Quantile(d.scratch, quantileQ)
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

// coolDown makes the worker a cold one that started at the time. A random part
// of a job is owed at first, so that dispatchers do not all begin at once.
func (d *Dispatcher) coolDown(now time.Duration, w *worker, started time.Duration) {
	w.coldUntil = started + d.set.WarmUp
	w.creditAt = now
	w.credit = -d.rng.Float64() * d.usualWork()
}

// strike makes the worker a cold one, unless it is known to be one.
func (d *Dispatcher) strike(now time.Duration, w *worker) {
	if d.set.WarmUp > 0 && (w.presumed > 0 || w.coldUntil <= now) {
		d.absolve(w)
		d.presumed++
		w.presumed = now
		d.coolDown(now, w, now)
	}
}

// absolve ends presumptions of a restart.
func (d *Dispatcher) absolve(workers ...*worker) {
	for _, w := range workers {
		if w != nil && w.presumed > 0 {
			w.presumed, w.coldUntil = 0, 0
			d.presumed--
		}
	}
}

// lively reads free slots from a live weight, which is the size over 1 +
// requests held per core: it guards against slots that other dispatchers fill.
func (d *Dispatcher) lively(now time.Duration, w *worker) {
	perCore := d.kindSize[w.Kind]/w.Weight - 1
	w.free, w.freeAt = (1-perCore)*d.kindRoom[w.Kind], now
}

// poolPart is the part of all workers that is open to the request's class; it
// is all while none is.
func (d *Dispatcher) poolPart(r *request) float64 {
	if p := r.class.pool; p.weight > 0 {
		return p.weight / d.pools[0].weight
	}
	return 1
}

// slack is how long a job of the class can wait when it arrives.
func (c *class) slack() float64 { return c.Aim.Seconds() + c.Stretch*c.run - c.complete }

// fresh is how long a report speaks for: slots change hands as jobs end.
func (d *Dispatcher) fresh() time.Duration { return seconds(freshPart * d.meanWork) }

// sparse reports whether less than a job a worker is known to be out, and so little of each.
func (d *Dispatcher) sparse() bool {
	if d.part > 0 {
		return d.pools[0].nearHeld < float64(d.part)
	}
	return d.pools[0].held < float64(d.pools[0].active)
}

// waitAt returns how long a job would wait at a worker by its last report.
func (d *Dispatcher) waitAt(w *worker, r *request) float64 {
	slots := d.kindRoom[w.Kind]
	return max(0, w.told.Held+r.Slots-slots-min(0, w.free)) / slots * r.class.run
}

// slackAt returns how long the request can still wait if a worker of that pace
// runs it. Its own time is not known where there is no hint; it may be short, and
// then its aim is near too. For a further attempt the mean is good enough.
func (d *Dispatcher) slackAt(now time.Duration, r *request, pace float64) float64 {
	part := shortPart
	if r.Hint > 0 || len(r.attempts) > 0 {
		part = 1
	}
	return (min(r.deadline, r.aim) - now).Seconds() - (1-part)*r.class.Stretch*r.own - part*pace*r.work/r.Slots
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

// feasibleFor returns how long the request can still wait to be sent: its own
// running time and the class's mean wait at workers come off the time left.
func (d *Dispatcher) feasibleFor(now time.Duration, r *request) time.Duration {
	c := r.class
	return seconds(d.slackAt(now, r, d.quick) - max(0, c.complete-c.run))
}

// withinBudget reports whether an attempt beyond a request's first keeps the
// budget of those. Attempts count for a 64th of the span longer and requests
// for as much less than they must, so it holds in every window.
func (d *Dispatcher) withinBudget(now time.Duration) bool {
	b := &d.set.Further
	if b.Span == 0 {
		return true
	}
	further, _ := d.further.counts(now)
	_, taken := d.taken.counts(now)
	return float64(further+1) <= float64(b.Free)+b.Ratio*float64(taken)
}

// reportsSpeak reports whether a worker's report changes often enough to tell
// of the next job's slot, not of those before: all who see an old free slot
// go there at once. How often it changes is measured, not told.
func (d *Dispatcher) reportsSpeak() bool {
	return d.metered >= meterLeast && d.metered < speakPart*d.meanWork*d.changes
}

// withinShare reports whether the tenant has sent less than its quota, or
// sends less than its share of what arrives here: a dispatcher may have more
// than its even part of everybody. Where no quota is told, the room counts.
func (d *Dispatcher) withinShare(now time.Duration, t *tenant) bool {
	if t.quota == 0 {
		return t.inflight < t.share*d.room
	}
	rate := t.quota
	if t.arrived <= t.share*d.arrived {
		rate *= modestRoom
	}
	t.tokens = min(max(2, rate), t.tokens+rate*(now-t.tokensAt).Seconds())
	t.tokensAt = now
	return t.tokens >= 1
}

// inTime reports whether a job may expect to be in time at the worker after a wait, by the worker's
// pace. It guards against workers that have become slow, where all jobs would be late.
func (d *Dispatcher) inTime(now time.Duration, w *worker, r *request, wait float64) bool {
	return !d.set.TellsStart || wait <= d.slackAt(now, r, w.pace)
}
