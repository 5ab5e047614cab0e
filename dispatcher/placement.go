package dispatcher

import (
	"cmp"
	"time"
)

// Placement: which worker gets a job.

// pickHome picks a worker for a request with a key: the key has one home in each
// zone, the first worker that follows its hash on the ring. The home in the own zone
// comes first. All dispatchers have the same rings, so they agree without messages.
func (d *Dispatcher) pickHome(now time.Duration, r *request) *worker {
	for _, w := range d.homeWorkers(r) {
		if d.usable(now, w, r, false) && d.belowSlotThreshold(now, w, r, true) && d.mayAttempt(now, r, w) {
			return w
		}
	}
	return nil
}

// homeWorkers returns the homes of the request's key. The slice is valid until the next
// call.
func (d *Dispatcher) homeWorkers(r *request) []*worker {
	d.placement.homes = r.class.pool.homeWorkers(d.placement.homes, r.keyHash, d.settings.Zone)
	return d.placement.homes
}

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
	d.placement.reset()
	near, all := d.candidateZones(r)
	// Where the own subset is full, those of other dispatchers are too, and their
	// load is not known here.
	if w := d.sampleWorkers(now, r, near, withinShare); w != nil || d.placement.subsetUsable > 0 {
		return cmp.Or(w, d.placement.leastLoaded)
	}
	if w := d.sampleWorkers(now, r, all, withinShare); w != nil {
		return w
	}
	return d.placement.leastLoaded
}

// sampleWorkers returns a worker below the slot threshold from a random sample, and
// notes the least loaded where the request may wait.
func (d *Dispatcher) sampleWorkers(now time.Duration, r *request, zones [][]*worker, withinShare bool) *worker {
	var small *worker
	for w := range randomWorkers(d.rng, zones) {
		if w.inSubset && r.class.pool.admits(w) && now >= max(w.ejectedUntil, w.unhealthyUntil) {
			d.placement.subsetUsable++
		}
		if !d.usable(now, w, r, withinShare) || !d.mayAttempt(now, r, w) {
			continue
		}
		if !d.meetsTargetAt(now, w, r, 0) {
			continue // too slow for this request
		}
		if d.belowSlotThreshold(now, w, r, withinShare) {
			if d.rng.Float64()*d.workers.maxSize > w.size {
				small = w // its size lost the draw; it serves if no other is found
				continue
			}
			return w
		}
		if withinShare && d.mayQueueAt(now, w, r) {
			d.placement.consider(w, w.loadForSize())
		}
	}
	return small
}
