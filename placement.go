package sedgevale

// Placement: which worker gets a job.

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

const (
	thresholdOver = 0.5 // slot threshold over the mean of what workers hold of ours
	pickTries     = 16  // workers looked at for one placement
	queueMost     = 1   // jobs of ours that may wait at a worker that we know to be busy
	waitTrust     = 1.5 // what a wait at a worker may come to, over the mean
)

// pick returns a random worker below the slot threshold, drawn by size: with few jobs a worker the
// threshold alone does not tell sizes apart. Without one, a job within its tenant's share goes to the
// worker with the fewest of our slots for its size, others wait.
func (d *Dispatcher) pick(now time.Duration, r *request, own bool) *worker {
	if r.hash != 0 {
		return d.pickHome(now, r)
	}
	if len(r.looked) > 0 {
		if w, decided := d.pickLooked(now, r, own); decided {
			return w
		}
	}
	d.fewest, d.fewestLoad = nil, inf
	near, all := d.reach(r)
	d.met = 0
	if w := d.sample(now, r, near, own); w != nil || d.met > 0 { // others' parts are full too, and not known
		return cmp.Or(w, d.fewest)
	}
	if w := d.sample(now, r, all, own); w != nil {
		return w
	}
	return d.fewest
}

// reach returns where to look for a worker first, and then: the own part or zone and
// all, or, once a keyed job may have run, only the group that drops a repeat.
func (d *Dispatcher) reach(r *request) (near, all [][]*worker) {
	all = r.class.pool.zones
	if w := d.mayHaveRun(r); w != nil {
		switch r.class.Scope {
		case ScopeCell:
			all = [][]*worker{d.cells[w.Cell]}
		case ScopeZone:
			all = all[min(w.Zone, len(all)):min(w.Zone+1, len(all))]
		}
	} else if near = d.nearby(r.class.pool); near == nil && d.set.Zone < len(all) && len(r.attempts) == 0 {
		near = all[d.set.Zone : d.set.Zone+1]
	}
	return near, all
}

func (d *Dispatcher) sample(now time.Duration, r *request, zones [][]*worker, own bool) *worker {
	var small *worker
	for w := range d.draw(zones) {
		d.met += int(oneIf(w.ours && r.class.pool.admits(w) && now >= max(w.rest, w.suspect)))
		if !d.usable(now, w, r, own) || !d.mayTry(now, r, w) {
			continue
		}
		if !d.inTime(now, w, r, 0) {
			continue // too slow for this job
		}
		if d.roomy(now, w, r, own) {
			if d.rng.Float64()*d.largest > w.size {
				small = w // its size lost the draw; it serves if no other is found
				continue
			}
			return w
		}
		load := (w.held + float64(w.unstarted) - min(0, w.free)) / w.size
		if own && load < d.fewestLoad && d.mayWait(now, w, r) {
			d.fewest, d.fewestLoad = w, load
		}
	}
	return small
}

// admits is placement, and rule 3: it alone decides which workers a class may be sent to.
func (p *pool) admits(w *worker) bool {
	return w.State == Active && !w.cordoned && (p.kinds == nil || slices.Contains(p.kinds, w.Kind)) &&
		(p.places == nil || slices.Contains(p.places, w.Zone))
}

// usable reports whether the job may go to the worker at all.
func (d *Dispatcher) usable(now time.Duration, w *worker, r *request, own bool) bool {
	if !r.class.pool.admits(w) || now < w.rest || w.bad > badMost && w.held > 0 ||
		slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.moved && a.w == w }) {
		return false
	}
	if !own && (w.held > 0 && w.held+r.Slots > w.sigma) {
		return false
	}
	if w.suspect > 0 && now < max(w.suspect, w.trial+w.backoff) {
		return false
	}
	if w.presumed > 0 && now > w.presumed+presumeFor {
		d.absolve(w)
	}
	return w.coldUntil <= now || (d.part == 0 || w.ours) && d.coldRoom(now, w, r)
}

// roomy reports whether the worker is below the slot threshold for the job.
func (d *Dispatcher) roomy(now time.Duration, w *worker, r *request, own bool) bool {
	if d.set.TellsStart && w.unstarted > 0 {
		return false
	}
	known := d.kindRoom[w.Kind] - r.Slots // the most that may be out where others tell us of theirs
	if w.held >= thresholdOver+r.class.pool.meanHeld(w)*w.size || w.ours && w.held > max(0, known) {
		return false
	}
	return w.freeAt == 0 || own && now-w.freeAt > d.fresh() || w.free >= r.Slots-0.5
}

// mayWait reports whether a job that finds no slot free at the worker may wait there. It guards against
// queues at workers that make all late alike, where held jobs could be refused.
func (d *Dispatcher) mayWait(now time.Duration, w *worker, r *request) bool {
	if !d.set.TellsStart {
		return true
	}
	if w.unstarted >= queueMost {
		return false
	}
	slots := max(1, d.kindRoom[w.Kind])
	wait := max(w.held+r.Slots-slots, float64(w.unstarted)+r.Slots) / slots * d.meanWork * w.pace
	return d.inTime(now, w, r, waitTrust*wait)
}

// inTime reports whether a job may expect to be in time at the worker after a wait, by the worker's
// pace. It guards against workers that have become slow, where all jobs would be late.
func (d *Dispatcher) inTime(now time.Duration, w *worker, r *request, wait float64) bool {
	return !d.set.TellsStart || wait <= d.slackAt(now, r, w.pace)
}

// drawAfter returns the known workers, then a few of the zones, in random order.
func (d *Dispatcher) drawAfter(known []*worker, zones [][]*worker) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i, at := 0, d.rng.IntN(len(known)+1); i < len(known); i++ {
			if !yield(known[(i+at)%len(known)]) {
				return
			}
		}
		d.draw(zones)(yield)
	}
}

// draw returns a few workers of the zones in random order.
func (d *Dispatcher) draw(zones [][]*worker) iter.Seq[*worker] {
	n := 0
	for _, z := range zones {
		n += len(z)
	}
	return func(yield func(*worker) bool) {
		if n == 0 {
			return
		}
		at, step := d.rng.IntN(n), 1
		if n > pickTries {
			step += d.rng.IntN(n - 1)
		}
		for range min(n, pickTries) {
			if !yield(nth(zones, at)) {
				return
			}
			at = (at + step) % n
		}
	}
}

func nth(zones [][]*worker, i int) *worker {
	for _, z := range zones {
		if i < len(z) {
			return z[i]
		}
		i -= len(z)
	}
	return nil
}

// any returns a random worker that may be sent to, or nil.
func (d *Dispatcher) any() *worker {
	for w := range d.draw(d.pools[0].zones) {
		return w
	}
	return nil
}
