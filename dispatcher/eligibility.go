package dispatcher

import "time"

// Eligibility: where a request may go, and how long it can wait.

const (
	slotThresholdMargin = 0.5 // slot threshold over the mean of the slots in flight at workers
	maxQueuedAtWorker   = 1   // attempts that may wait at a worker that is known to be busy
	waitSafetyFactor    = 1.5 // what a wait at a worker may come to, over the mean
)

// candidateZones returns where to look for a worker first, and then: the own subset
// or zone, and all. Once a request that is idempotent by key may have run, it
// returns only the group of workers that drops a repeat.
func (d *Dispatcher) candidateZones(r *request) (near, all [][]*worker) {
	all = r.class.pool.zones
	if w := r.mayHaveRunAt(); w != nil {
		switch r.class.DedupScope {
		case DedupCell:
			all = [][]*worker{d.workers.cells[w.Cell]}
		case DedupZone:
			all = all[min(w.Zone, len(all)):min(w.Zone+1, len(all))]
		}
	} else if near = d.workers.subsetZones(r.class.pool); near == nil && d.settings.Zone < len(all) && len(r.attempts) == 0 {
		near = all[d.settings.Zone : d.settings.Zone+1]
	}
	return near, all
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
		d.slowStart.clearPresumed(w)
	}
	return w.warmAt <= now || (d.workers.subsetSize == 0 || w.inSubset) && d.slowStart.admits(now, w, r, &d.estimates)
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
	if w.inSubset && w.inFlight > max(0, d.workers.maxFreeByKind[w.Kind]-r.Slots) {
		return false
	}
	return w.freeSlotsAt == 0 || withinShare && now-w.freeSlotsAt > d.estimates.reportTTL() || w.freeSlots >= r.Slots-0.5
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
	slots := max(1, d.workers.maxFreeByKind[w.Kind])
	wait := max(w.inFlight+r.Slots-slots, float64(w.notStarted)+r.Slots) / slots * d.estimates.meanWork * w.runtimeRatio
	return d.meetsTargetAt(now, w, r, waitSafetyFactor*wait)
}

// meetsTargetAt reports whether the request can be expected to meet its latency
// target at the worker, by its runtime ratio, after a wait in seconds. It guards against
// workers that have become slow, where all requests would be late.
func (d *Dispatcher) meetsTargetAt(now time.Duration, w *worker, r *request, wait float64) bool {
	return !d.settings.StartNotified || wait <= r.slackAt(now, w.runtimeRatio)
}

// timeToSend returns how long the request can still wait to be sent: the time left
// less its running time and the class's mean wait at workers.
func (d *Dispatcher) timeToSend(now time.Duration, r *request) time.Duration {
	c := r.class
	return seconds(r.slackAt(now, d.estimates.lowRuntimeRatio) - max(0, c.meanCompletion-c.meanRuntime))
}

// mayAttempt reports whether the request may be sent to this worker: it has attempts
// and retry budget left, none in flight there, and none that may have run forbids a
// repeat there. Nothing else decides that.
func (d *Dispatcher) mayAttempt(now time.Duration, r *request, w *worker) bool {
	if r.ended || len(r.attempts) >= d.settings.MaxAttempts || r.inFlight > 0 && !d.settings.AllowHedging ||
		len(r.attempts) > 0 && !d.budget.admits(now) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.worker == w && !a.ended {
			return false
		}
		if !a.neverRan && !r.class.mayRepeatAt(now, a, w) {
			return false
		}
	}
	return true
}
