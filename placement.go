package sedgevale

// Placement: which worker gets a job.

import (
	"cmp"
	"slices"
	"time"
)

const (
	slotThresholdMargin = 0.5 // slot threshold over the mean of the slots in flight at workers
	maxSampledWorkers   = 16  // workers sampled for one placement
	maxQueuedAtWorker   = 1   // attempts that may wait at a worker that is known to be busy
	waitSafetyFactor    = 1.5 // what a wait at a worker may come to, over the mean
)

// pickWorker returns a random worker below the slot threshold, drawn by size: with
// few requests to a worker the threshold alone does not tell sizes apart. Without
// one, a request within its tenant's share goes to the worker with the lowest load
// for its size, others wait (nil).
func (d *Dispatcher) pickWorker(now time.Duration, r *request, withinShare bool) *worker {
	if r.keyHash != 0 {
		return d.pickHome(now, r)
	}
	if len(r.probed) > 0 {
		if w, decided := d.pickProbed(now, r, withinShare); decided {
			return w
		}
	}
	d.leastLoaded, d.leastLoad = nil, unlimited
	near, all := d.candidateZones(r)
	d.subsetUsable = 0
	// Where the own subset is full, those of other dispatchers are too, and their
	// load is not known here.
	if w := d.sampleWorkers(now, r, near, withinShare); w != nil || d.subsetUsable > 0 {
		return cmp.Or(w, d.leastLoaded)
	}
	if w := d.sampleWorkers(now, r, all, withinShare); w != nil {
		return w
	}
	return d.leastLoaded
}

// candidateZones returns where to look for a worker first, and then: the own subset
// or zone, and all. Once a request that is idempotent by key may have run, it
// returns only the group of workers that drops a repeat.
func (d *Dispatcher) candidateZones(r *request) (near, all [][]*worker) {
	all = r.class.pool.zones
	if w := d.mayHaveRun(r); w != nil {
		switch r.class.DedupScope {
		case DedupCell:
			all = [][]*worker{d.cells[w.Cell]}
		case DedupZone:
			all = all[min(w.Zone, len(all)):min(w.Zone+1, len(all))]
		}
	} else if near = d.subsetZones(r.class.pool); near == nil && d.settings.Zone < len(all) && len(r.attempts) == 0 {
		near = all[d.settings.Zone : d.settings.Zone+1]
	}
	return near, all
}

// sampleWorkers returns a worker below the slot threshold from a random sample, and
// notes the least loaded where the request may wait.
func (d *Dispatcher) sampleWorkers(now time.Duration, r *request, zones [][]*worker, withinShare bool) *worker {
	var small *worker
	for w := range d.randomWorkers(zones) {
		d.subsetUsable += int(boolToFloat(w.inSubset && r.class.pool.admits(w) && now >= max(w.ejectedUntil, w.unhealthyUntil)))
		if !d.usable(now, w, r, withinShare) || !d.mayAttempt(now, r, w) {
			continue
		}
		if !d.meetsTargetAt(now, w, r, 0) {
			continue // too slow for this request
		}
		if d.belowSlotThreshold(now, w, r, withinShare) {
			if d.rng.Float64()*d.maxWorkerSize > w.size {
				small = w // its size lost the draw; it serves if no other is found
				continue
			}
			return w
		}
		load := (w.inFlight + float64(w.notStarted) - min(0, w.freeSlots)) / w.size
		if withinShare && load < d.leastLoad && d.mayQueueAt(now, w, r) {
			d.leastLoaded, d.leastLoad = w, load
		}
	}
	return small
}

// admits reports whether the pool's classes may be sent to the worker, by
// their kinds and zones, the worker's state and its cordon. Nothing else decides that.
func (p *pool) admits(w *worker) bool {
	return w.State == Active && !w.cordoned && (p.allowedKinds == nil || slices.Contains(p.allowedKinds, w.Kind)) &&
		(p.allowedZones == nil || slices.Contains(p.allowedZones, w.Zone))
}

// usable reports whether the request may go to the worker at all.
func (d *Dispatcher) usable(now time.Duration, w *worker, r *request, withinShare bool) bool {
	if !r.class.pool.admits(w) || w.ejected(now) || r.avoids(w) {
		return false
	}
	if !withinShare && w.inFlight > 0 && w.inFlight+r.Slots > w.limit {
		return false
	}
	if w.unhealthy(now) {
		return false
	}
	if w.presumedRestartAt > 0 && now > w.presumedRestartAt+presumedRestartTTL {
		d.clearPresumedRestart(w)
	}
	return w.warmAt <= now || (d.subsetSize == 0 || w.inSubset) && d.slowStartAdmits(now, w, r)
}

// belowSlotThreshold reports whether the worker is below the slot threshold for the
// request.
func (d *Dispatcher) belowSlotThreshold(now time.Duration, w *worker, r *request, withinShare bool) bool {
	if d.settings.StartNotified && w.notStarted > 0 {
		return false
	}
	if w.inFlight >= slotThresholdMargin+r.class.pool.meanInFlight(w)*w.size {
		return false
	}
	// In the own subset the load of all dispatchers is known.
	if w.inSubset && w.inFlight > max(0, d.maxFreeByKind[w.Kind]-r.Slots) {
		return false
	}
	return w.freeSlotsAt == 0 || withinShare && now-w.freeSlotsAt > d.reportTTL() || w.freeSlots >= r.Slots-0.5
}

// mayQueueAt reports whether a request that finds no free slot at the worker may wait
// there. It guards against queues at workers, which make all requests late, where
// those that are pending here could be rejected.
func (d *Dispatcher) mayQueueAt(now time.Duration, w *worker, r *request) bool {
	if !d.settings.StartNotified {
		return true
	}
	if w.notStarted >= maxQueuedAtWorker {
		return false
	}
	slots := max(1, d.maxFreeByKind[w.Kind])
	wait := max(w.inFlight+r.Slots-slots, float64(w.notStarted)+r.Slots) / slots * d.meanWork * w.runtimeRatio
	return d.meetsTargetAt(now, w, r, waitSafetyFactor*wait)
}

// meetsTargetAt reports whether the request can be expected to meet its latency
// target at the worker, by its runtime ratio, after a wait in seconds. It guards against
// workers that have become slow, where all requests would be late.
func (d *Dispatcher) meetsTargetAt(now time.Duration, w *worker, r *request, wait float64) bool {
	return !d.settings.StartNotified || wait <= d.slackAt(now, r, w.runtimeRatio)
}
