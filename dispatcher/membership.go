package dispatcher

import (
	"slices"
	"time"
)

// Updates of the list of workers, and the connections of workers that drain.

// WorkersUpdated brings the list of workers or changes of it, as kind says. Workers
// that drain or are removed get nothing more from here on; attempts that they have
// in flight go on.
func (d *Dispatcher) WorkersUpdated(now time.Duration, kind UpdateKind, entries []WorkerInfo) {
	first := !d.rounds.running
	d.startRounds(now)
	d.detectStall(now)
	if first && d.settings.WatchOnDemand {
		d.host.WatchWorkers()
	}
	if kind == UpdateFailed {
		d.host.Log("the watch on the list of workers failed; the last list stands, retrying")
		d.host.SetTimer(d.watch.retryDelay(d.rng), tokenWatch)
		return
	}
	if kind != UpdateStale {
		d.watch.backoff = minWatchBackoff
	}
	if kind != UpdateDelta {
		for _, w := range d.workers.missing(entries) {
			w.State = Removed
			d.workers.addToPools(w)
			d.removeWorker(w)
			d.closeIdleConns(now, w)
		}
	}
	for i := range entries {
		d.updateWorker(now, &entries[i])
	}
	d.workers.capacityChanged()
	d.releasePending(now)
}

// updateWorker applies one entry of the list.
func (d *Dispatcher) updateWorker(now time.Duration, e *WorkerInfo) {
	w := d.workers.byName[e.Worker]
	if w == nil {
		if e.State == Removed {
			return
		}
		w = d.workers.add(e)
		d.slowStart.beginIfRecent(now, w, d.firstCredit)
	} else {
		restarted := e.StartedAt > w.StartedAt
		d.workers.removeFromPools(w)
		w.WorkerInfo = *e
		if restarted {
			w.limit, w.unhealthyUntil, w.unhealthyBackoff, w.freeSlotsAt = unlimited, 0, 0, 0
			d.slowStart.beginIfRecent(now, w, d.firstCredit)
		}
	}
	d.workers.growKindTables(e.Kind)
	d.workers.maxWeightByKind[e.Kind] = max(d.workers.maxWeightByKind[e.Kind], e.Weight)
	d.workers.removeFromPools(w)
	w.size = d.workers.sizeOf(e, d.settings.Weights)
	d.workers.maxSize = max(d.workers.maxSize, w.size)
	d.workers.addToPools(w)
	if d.settings.Weights == WeightLive && e.Weight > 0 {
		d.workers.applyLiveWeight(now, w)
	}
	if e.State == Removed {
		d.removeWorker(w)
	}
	d.closeIdleConns(now, w)
}

// closeIdleConns closes the idle connections to a worker that drains: at the
// notice, after each outcome there, and once more later, since a connection may
// still be made for an attempt that was cancelled.
func (d *Dispatcher) closeIdleConns(now time.Duration, w *worker) {
	listed := d.workers.byName[w.Worker] // an entry of that name may have replaced w
	if d.settings.DrainCloseTimeout == 0 || w.State == Active || listed != nil && listed.State == Active {
		return
	}
	d.host.CloseIdleConnections(w.Worker)
	d.draining.closed(now, w)
}

// closeIdleConnsAgain closes idle connections once more, half the allowed time after
// the last notice or outcome.
func (d *Dispatcher) closeIdleConnsAgain(now time.Duration) {
	for _, w := range d.draining.due(now, d.settings.DrainCloseTimeout/2) {
		if listed := d.workers.byName[w.Worker]; listed == nil || listed.State != Active {
			d.host.CloseIdleConnections(w.Worker)
		}
	}
}

// removeWorker forgets a worker that has left the list, and the load of others there.
// Its attempts in flight keep it until they end.
func (d *Dispatcher) removeWorker(w *worker) {
	delete(d.workers.byName, w.Worker)
	d.addInFlight(w, -w.siblingLoad.InFlight)
	w.notStarted -= w.siblingLoad.NotStarted
	d.workers.addOccupied(w, -w.peerLoad.InFlight)
	w.notStarted -= w.peerLoad.NotStarted
	w.siblingLoad, w.peerLoad = Load{}, Load{}
	w.endProbe()
	d.slowStart.clearPresumed(w)
	d.workers.all[w.index] = nil
	for _, t := range d.tenants.all {
		if w.index < len(t.sendShares) && t.sendShares[w.index].Used {
			t.sendShares[w.index] = sendShare{}
			t.usedWorkers = slices.DeleteFunc(t.usedWorkers, func(i int) bool { return i == w.index })
		}
	}
}
