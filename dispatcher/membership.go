package dispatcher

import (
	"slices"
	"time"
)

// This file applies updates of the worker list, and closes connections to draining workers.

// WorkersUpdated reports the worker list or changes of it, depending on kind. Nothing
// more is sent to workers that drain or are removed; their attempts in flight continue.
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

// updateWorker applies one entry of the worker list.
func (d *Dispatcher) updateWorker(now time.Duration, e *WorkerInfo) {
	w := d.workers.byName[e.Name]
	if w == nil {
		if e.State == Removed {
			return
		}
		w = d.workers.add(e)
		d.slowStart.beginIfRecent(now, w, d.initialCredit)
	} else {
		restarted := e.StartedAt > w.StartedAt
		d.workers.removeFromPools(w)
		w.WorkerInfo = *e
		if restarted {
			w.limit, w.unhealthyUntil, w.unhealthyBackoff, w.freeSlotsAt = unlimited, 0, 0, 0
			d.slowStart.beginIfRecent(now, w, d.initialCredit)
		}
	}
	d.workers.growKindTables(e.Kind)
	d.workers.maxWeightByKind[e.Kind] = max(d.workers.maxWeightByKind[e.Kind], e.Weight)
	d.workers.removeFromPools(w)
	w.size = d.workers.sizeOf(e, d.settings.WeightMeaning)
	d.workers.maxSize = max(d.workers.maxSize, w.size)
	d.workers.addToPools(w)
	if d.settings.WeightMeaning == WeightLive && e.Weight > 0 {
		d.workers.applyLiveWeight(now, w)
	}
	if e.State == Removed {
		d.removeWorker(w)
	}
	d.closeIdleConns(now, w)
}

// closeIdleConns closes the idle connections to a draining worker when it begins to
// drain and after each outcome there, and schedules another close, since a connection
// may still be established for an attempt that was cancelled.
func (d *Dispatcher) closeIdleConns(now time.Duration, w *worker) {
	listed := d.workers.byName[w.Name] // a new worker of the same name may have replaced w
	if d.settings.DrainCloseTimeout == 0 || w.State == Active || listed != nil && listed.State == Active {
		return
	}
	d.host.CloseIdleConnections(w.Name)
	d.draining.closed(now, w)
}

// closeDrainingIdleConns closes the idle connections to draining and removed workers once
// more, half of DrainCloseTimeout after they were last closed.
func (d *Dispatcher) closeDrainingIdleConns(now time.Duration) {
	for _, w := range d.draining.due(now, d.settings.DrainCloseTimeout/2) {
		if listed := d.workers.byName[w.Name]; listed == nil || listed.State != Active {
			d.host.CloseIdleConnections(w.Name)
		}
	}
}

// removeWorker removes a worker that is no longer listed, with the load of other
// dispatchers there. Its attempts in flight refer to it until they end.
func (d *Dispatcher) removeWorker(w *worker) {
	delete(d.workers.byName, w.Name)
	d.addInFlight(w, -w.siblingLoad.InFlight)
	w.notStarted -= w.siblingLoad.NotStarted
	d.workers.addInFlight(w, -w.peerLoad.InFlight)
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
