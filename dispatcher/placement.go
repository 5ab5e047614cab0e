package dispatcher

import (
	"cmp"
	"time"
)

// This file selects the worker for a request.

// pickAffinityWorker picks a worker for a request with an affinity key by consistent
// hashing: in each zone the key is owned by the first worker that follows its hash on
// the ring. The owner in the dispatcher's own zone is preferred. All dispatchers build
// the same rings, so they agree without communication.
func (d *Dispatcher) pickAffinityWorker(now time.Duration, r *request) *worker {
	for _, w := range d.affinityWorkers(r) {
		if d.usable(now, w, r, false) && d.belowSlotThreshold(now, w, r, true) && d.mayAttempt(now, r, w) {
			return w
		}
	}
	return nil
}

// affinityWorkers returns the owners of the request's affinity key, one per zone. The
// slice is valid until the next call.
func (d *Dispatcher) affinityWorkers(r *request) []*worker {
	d.placement.owners = r.class.pool.affinityWorkers(d.placement.owners, r.keyHash, d.settings.Zone)
	return d.placement.owners
}

// pickWorker returns a random worker below the slot threshold, weighted by size: with
// few requests per worker the threshold alone does not distinguish sizes. If there is
// none, a request within its tenant's share goes to the worker with the lowest load per
// size, and any other request stays queued (nil).
func (d *Dispatcher) pickWorker(now time.Duration, r *request, withinShare bool) *worker {
	if r.keyHash != 0 {
		return d.pickAffinityWorker(now, r)
	}
	if len(r.probed) > 0 {
		if w, decided := d.pickProbed(now, r, withinShare); decided {
			return w
		}
	}
	d.placement.reset()
	near, all := d.candidateZones(r)
	// When the own subset is full, the subsets of other dispatchers are likely full too,
	// and the load there is not known here.
	if w := d.sampleWorkers(now, r, near, withinShare); w != nil || d.placement.subsetUsable > 0 {
		return cmp.Or(w, d.placement.leastLoaded)
	}
	if w := d.sampleWorkers(now, r, all, withinShare); w != nil {
		return w
	}
	return d.placement.leastLoaded
}

// sampleWorkers returns a worker below the slot threshold from a random sample, and
// records the least loaded worker of the sample at which the request may wait.
func (d *Dispatcher) sampleWorkers(now time.Duration, r *request, zones [][]*worker, withinShare bool) *worker {
	var fallback *worker
	for w := range randomWorkers(d.rng, zones) {
		if w.inSubset && r.class.pool.admits(w) && now >= max(w.ejectedUntil, w.unhealthyUntil) {
			d.placement.subsetUsable++
		}
		if !d.usable(now, w, r, withinShare) || !d.mayAttempt(now, r, w) {
			continue
		}
		if !d.meetsTargetAt(now, w, r, 0) {
			continue
		}
		if d.belowSlotThreshold(now, w, r, withinShare) {
			if d.rng.Float64()*d.workers.maxSize > w.size {
				fallback = w // lost the draw by size; used if no other worker is found
				continue
			}
			return w
		}
		if withinShare && d.mayQueueAt(now, w, r) {
			d.placement.consider(w, w.loadPerSize())
		}
	}
	return fallback
}
