package sedgevale

// Placement: which worker gets a job.

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

const (
	slotThresholdMargin = 0.5 // slot threshold over the mean of what workers hold of ours
	maxPickTries        = 16  // workers looked at for one placement
	maxQueuedAtWorker   = 1   // jobs of ours that may wait at a worker that we know to be busy
	waitSafetyFactor    = 1.5 // what a wait at a worker may come to, over the mean
)

// pickWorker returns a random worker below the slot threshold, drawn by size: with few jobs a worker the
// threshold alone does not tell sizes apart. Without one, a job within its tenant's share goes to the
// worker with the fewest of our slots for its size, others wait.
func (d *Dispatcher) pickWorker(now time.Duration, r *request, own bool) *worker {
	if r.keyHash != 0 {
		return d.pickHome(now, r)
	}
	if len(r.probed) > 0 {
		if w, decided := d.pickProbed(now, r, own); decided {
			return w
		}
	}
	d.leastLoaded, d.leastLoad = nil, unlimited
	near, all := d.candidateZones(r)
	d.subsetUsable = 0
	if w := d.sampleWorkers(now, r, near, own); w != nil || d.subsetUsable > 0 { // others' parts are full too, and not known
		return cmp.Or(w, d.leastLoaded)
	}
	if w := d.sampleWorkers(now, r, all, own); w != nil {
		return w
	}
	return d.leastLoaded
}

// candidateZones returns where to look for a worker first, and then: the own part or zone and
// all, or, once a keyed job may have run, only the group that drops a repeat.
func (d *Dispatcher) candidateZones(r *request) (near, all [][]*worker) {
	all = r.class.pool.zones
	if w := d.mayHaveRun(r); w != nil {
		switch r.class.Scope {
		case ScopeCell:
			all = [][]*worker{d.cells[w.Cell]}
		case ScopeZone:
			all = all[min(w.Zone, len(all)):min(w.Zone+1, len(all))]
		}
	} else if near = d.subsetZones(r.class.pool); near == nil && d.settings.Zone < len(all) && len(r.attempts) == 0 {
		near = all[d.settings.Zone : d.settings.Zone+1]
	}
	return near, all
}

func (d *Dispatcher) sampleWorkers(now time.Duration, r *request, zones [][]*worker, own bool) *worker {
	var small *worker
	for w := range d.randomWorkers(zones) {
		d.subsetUsable += int(boolToFloat(w.inSubset && r.class.pool.admits(w) && now >= max(w.ejectedUntil, w.unhealthyUntil)))
		if !d.usable(now, w, r, own) || !d.mayAttempt(now, r, w) {
			continue
		}
		if !d.meetsTargetAt(now, w, r, 0) {
			continue // too slow for this job
		}
		if d.belowSlotThreshold(now, w, r, own) {
			if d.rng.Float64()*d.maxWorkerSize > w.size {
				small = w // its size lost the draw; it serves if no other is found
				continue
			}
			return w
		}
		load := (w.inFlight + float64(w.notStarted) - min(0, w.freeSlots)) / w.size
		if own && load < d.leastLoad && d.mayQueueAt(now, w, r) {
			d.leastLoaded, d.leastLoad = w, load
		}
	}
	return small
}

// admits is placement, and rule 3: it alone decides which workers a class may be sent to.
func (p *pool) admits(w *worker) bool {
	return w.State == Active && !w.cordoned && (p.allowedKinds == nil || slices.Contains(p.allowedKinds, w.Kind)) &&
		(p.allowedZones == nil || slices.Contains(p.allowedZones, w.Zone))
}

// usable reports whether the job may go to the worker at all.
func (d *Dispatcher) usable(now time.Duration, w *worker, r *request, own bool) bool {
	if !r.class.pool.admits(w) || now < w.ejectedUntil || w.errorRate > maxErrorRate && w.inFlight > 0 ||
		slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.avoidWorker && a.worker == w }) {
		return false
	}
	if !own && (w.inFlight > 0 && w.inFlight+r.Slots > w.limit) {
		return false
	}
	if w.unhealthyUntil > 0 && now < max(w.unhealthyUntil, w.lastTrial+w.unhealthyBackoff) {
		return false
	}
	if w.presumedRestartAt > 0 && now > w.presumedRestartAt+presumedRestartTTL {
		d.clearPresumedRestart(w)
	}
	return w.warmAt <= now || (d.subsetSize == 0 || w.inSubset) && d.slowStartAdmits(now, w, r)
}

// belowSlotThreshold reports whether the worker is below the slot threshold for the job.
func (d *Dispatcher) belowSlotThreshold(now time.Duration, w *worker, r *request, own bool) bool {
	if d.settings.TellsStart && w.notStarted > 0 {
		return false
	}
	known := d.maxFreeByKind[w.Kind] - r.Slots // the most that may be out where others tell us of theirs
	if w.inFlight >= slotThresholdMargin+r.class.pool.meanInFlight(w)*w.size || w.inSubset && w.inFlight > max(0, known) {
		return false
	}
	return w.freeSlotsAt == 0 || own && now-w.freeSlotsAt > d.reportTTL() || w.freeSlots >= r.Slots-0.5
}

// mayQueueAt reports whether a job that finds no slot free at the worker may wait there. It guards against
// queues at workers that make all late alike, where held jobs could be refused.
func (d *Dispatcher) mayQueueAt(now time.Duration, w *worker, r *request) bool {
	if !d.settings.TellsStart {
		return true
	}
	if w.notStarted >= maxQueuedAtWorker {
		return false
	}
	slots := max(1, d.maxFreeByKind[w.Kind])
	wait := max(w.inFlight+r.Slots-slots, float64(w.notStarted)+r.Slots) / slots * d.meanWork * w.pace
	return d.meetsTargetAt(now, w, r, waitSafetyFactor*wait)
}

// meetsTargetAt reports whether a job may expect to be in time at the worker after a wait, by the worker's
// pace. It guards against workers that have become slow, where all jobs would be late.
func (d *Dispatcher) meetsTargetAt(now time.Duration, w *worker, r *request, wait float64) bool {
	return !d.settings.TellsStart || wait <= d.slackAtPace(now, r, w.pace)
}

// recentThenRandom returns the known workers, then a few of the zones, in random order.
func (d *Dispatcher) recentThenRandom(known []*worker, zones [][]*worker) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i, at := 0, d.rng.IntN(len(known)+1); i < len(known); i++ {
			if !yield(known[(i+at)%len(known)]) {
				return
			}
		}
		d.randomWorkers(zones)(yield)
	}
}

// randomWorkers returns a few workers of the zones in random order.
func (d *Dispatcher) randomWorkers(zones [][]*worker) iter.Seq[*worker] {
	n := 0
	for _, z := range zones {
		n += len(z)
	}
	return func(yield func(*worker) bool) {
		if n == 0 {
			return
		}
		at, step := d.rng.IntN(n), 1
		if n > maxPickTries {
			step += d.rng.IntN(n - 1)
		}
		for range min(n, maxPickTries) {
			if !yield(nthWorker(zones, at)) {
				return
			}
			at = (at + step) % n
		}
	}
}

func nthWorker(zones [][]*worker, i int) *worker {
	for _, z := range zones {
		if i < len(z) {
			return z[i]
		}
		i -= len(z)
	}
	return nil
}

// randomWorker returns a random worker that may be sent to, or nil.
func (d *Dispatcher) randomWorker() *worker {
	for w := range d.randomWorkers(d.pools[0].zones) {
		return w
	}
	return nil
}
