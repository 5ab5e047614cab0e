package dispatcher

import "time"

// This file decides which workers are eligible for a request and how long the request can wait.

const (
	slotThresholdMargin = 0.5 // slots by which the slot threshold exceeds the mean of the slots in flight at workers
	maxQueuedAtWorker   = 1   // maximum number of attempts queued at a worker that is known to be busy
	waitSafetyFactor    = 1.5 // factor from the mean wait at a worker to the wait that is assumed
)

// candidateZones returns the workers to consider first (near) and those to fall back to
// (all). The workers to consider first are those of the dispatcher's own subset or, for
// a first attempt, of its zone. For a request that is idempotent by key and may have
// run, near is nil and all holds only the group of workers that deduplicates it.
func (d *Dispatcher) candidateZones(r *request) (near, all [][]*worker) {
	all = r.class.pool.zones
	if w := r.dedupWorker(); w != nil {
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

// usable reports whether the worker can take the request, regardless of the slot
// threshold. The worker's learned limit applies only beyond the tenant's share.
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

// belowSlotThreshold reports whether the slots in flight at the worker are below the
// threshold, and no start notice or load report shows that it has no free slot for
// the request.
func (d *Dispatcher) belowSlotThreshold(now time.Duration, w *worker, r *request, withinShare bool) bool {
	if d.settings.StartNotified && w.notStarted > 0 {
		return false
	}
	if w.inFlight >= slotThresholdMargin+r.class.pool.meanInFlight(w)*w.size {
		return false
	}
	// The load of all dispatchers is known at workers of the own subset.
	if w.inSubset && w.inFlight > max(0, d.workers.maxFreeByKind[w.Kind]-r.Slots) {
		return false
	}
	return w.freeSlotsAt == 0 || withinShare && now-w.freeSlotsAt > d.estimates.reportTTL() || w.freeSlots >= r.Slots-0.5
}

// mayQueueAt reports whether a request that finds no free slot at the worker may wait
// there. It guards against queues at workers: they make all requests late, whereas a
// request that is queued here can still be rejected.
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

// meetsTargetAt reports whether the request is expected to meet its latency target at
// the worker after a wait in seconds, given the worker's runtime ratio. It returns true
// if workers send no start notices. It guards against sending requests to a worker that
// has become too slow for them.
func (d *Dispatcher) meetsTargetAt(now time.Duration, w *worker, r *request, wait float64) bool {
	return !d.settings.StartNotified || wait <= r.slackAt(now, w.runtimeRatio)
}

// timeToSend returns how long the request can still wait before it is sent: the time
// until its latency target less its running time and the class's mean wait at workers.
func (d *Dispatcher) timeToSend(now time.Duration, r *request) time.Duration {
	c := r.class
	return seconds(r.slackAt(now, d.estimates.lowRuntimeRatio) - max(0, c.meanCompletion-c.meanRuntime))
}

// mayAttempt reports whether another attempt of the request may be sent to this worker:
// the request has not ended, neither the maximum of attempts nor the retry budget is used
// up, hedging is allowed if an attempt is in flight, none is in flight at this worker, and
// no attempt that may have run rules out a repeat there. It is the only place that decides
// this.
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
