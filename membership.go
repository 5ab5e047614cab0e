package sedgevale

// Updates of the list of workers, and the connections of workers that drain.

import (
	"slices"
	"time"
)

const (
	minWatchBackoff = 200 * time.Millisecond
	maxWatchBackoff = time.Second // with jitter and a failed call: retried within 6 s of discovery's return
)

// WorkersUpdated brings the list of workers or changes of it, as kind says. Workers
// that drain or are removed get nothing more from here on; attempts that they have
// in flight go on.
func (d *Dispatcher) WorkersUpdated(now time.Duration, kind UpdateKind, entries []WorkerInfo) {
	first := !d.running
	d.startRounds(now)
	d.detectStall(now)
	if first && d.settings.WatchOnDemand {
		d.host.WatchWorkers()
	}
	if kind == UpdateFailed {
		d.host.Log("the watch on the list of workers failed; the last list stands, retrying")
		d.host.SetTimer(d.watchBackoff/2+time.Duration(d.rng.Int64N(int64(d.watchBackoff))), tokenWatch)
		d.watchBackoff = min(2*d.watchBackoff, maxWatchBackoff)
		return
	}
	if kind != UpdateStale {
		d.watchBackoff = minWatchBackoff
	}
	if kind != UpdateDelta {
		for _, w := range d.missingWorkers(entries) {
			w.State = Removed
			d.addToPools(w)
			d.removeWorker(w)
			d.closeIdleConns(now, w)
		}
	}
	for i := range entries {
		d.updateWorker(now, &entries[i])
	}
	d.capacityChanged()
	d.releasePending(now)
}

// updateWorker applies one entry of the list.
func (d *Dispatcher) updateWorker(now time.Duration, e *WorkerInfo) {
	w := d.workersByName[e.Worker]
	if w == nil {
		if e.State == Removed {
			return
		}
		w = d.addWorker(e)
		d.slowStartIfRecent(now, w)
	} else {
		restarted := e.StartedAt > w.StartedAt
		d.removeFromPools(w)
		w.WorkerInfo = *e
		if restarted {
			w.limit, w.unhealthyUntil, w.unhealthyBackoff, w.freeSlotsAt = unlimited, 0, 0, 0
			d.slowStartIfRecent(now, w)
		}
	}
	d.growKindTables(e.Kind)
	d.maxWeightByKind[e.Kind] = max(d.maxWeightByKind[e.Kind], e.Weight)
	d.removeFromPools(w)
	w.size = d.sizeOf(e)
	d.maxWorkerSize = max(d.maxWorkerSize, w.size)
	d.addToPools(w)
	if d.settings.Weights == WeightLive && e.Weight > 0 {
		d.applyLiveWeight(now, w)
	}
	if e.State == Removed {
		d.removeWorker(w)
	}
	d.closeIdleConns(now, w)
}

// missingWorkers returns the workers that a complete list no longer has.
func (d *Dispatcher) missingWorkers(entries []WorkerInfo) (missing []*worker) {
	named := make(map[string]bool, len(entries))
	for i := range entries {
		named[entries[i].Worker] = true
	}
	for _, w := range d.workers {
		if w != nil && !named[w.Worker] {
			missing = append(missing, w)
		}
	}
	return missing
}

// closeIdleConns closes the idle connections to a worker that drains: at the
// notice, after each outcome there, and once more later, since a connection may
// still be made for an attempt that was cancelled.
func (d *Dispatcher) closeIdleConns(now time.Duration, w *worker) {
	listed := d.workersByName[w.Worker] // an entry of that name may have replaced w
	if d.settings.DrainCloseTimeout == 0 || w.State == Active || listed != nil && listed.State == Active {
		return
	}
	d.host.CloseIdleConnections(w.Worker)
	if w.idleClosedAt == 0 {
		d.drainingWorkers = append(d.drainingWorkers, w)
	}
	w.idleClosedAt = now
}

// closeIdleConnsAgain closes idle connections once more, half the allowed time after
// the last notice or outcome.
func (d *Dispatcher) closeIdleConnsAgain(now time.Duration) {
	d.drainingWorkers = slices.DeleteFunc(d.drainingWorkers, func(w *worker) bool {
		if now < w.idleClosedAt+d.settings.DrainCloseTimeout/2 {
			return false
		}
		w.idleClosedAt = 0
		if listed := d.workersByName[w.Worker]; listed == nil || listed.State != Active {
			d.host.CloseIdleConnections(w.Worker)
		}
		return true
	})
}
