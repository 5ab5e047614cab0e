package dispatcher

import "time"

// Load of other dispatchers: of siblings, which are the same scheduler while one process takes over from another, and
// of peers, which are other schedulers of one site.

// LoadByWorker returns this dispatcher's own load at each worker, without that of its
// siblings.
func (d *Dispatcher) LoadByWorker() map[string]Load {
	loads := map[string]Load{}
	for _, w := range d.workers.all {
		if w == nil {
			continue
		}
		if l := (Load{w.inFlight - w.siblingLoad.InFlight, w.notStarted - w.siblingLoad.NotStarted, w.workSent}); l != (Load{}) {
			loads[w.Worker] = l
		}
	}
	return loads
}

// SetSiblingLoad sets the load of other dispatchers of the same scheduler, by worker.
// It counts like this dispatcher's own, for limits and for workers that warm up.
func (d *Dispatcher) SetSiblingLoad(now time.Duration, loads map[string]Load) {
	d.startRounds(now)
	for _, w := range d.workers.all {
		if w == nil {
			continue
		}
		l := loads[w.Worker]
		d.addInFlight(w, l.InFlight-w.siblingLoad.InFlight)
		w.notStarted += l.NotStarted - w.siblingLoad.NotStarted
		if w.warmAt > now && w.siblingLoadKnown {
			w.slowStartCredit -= max(0, l.WorkSent-w.siblingLoad.WorkSent)
		}
		w.siblingLoad, w.siblingLoadKnown = l, true
	}
	d.workers.capacityChanged()
	d.releasePending(now)
}

// TrackLoadChanges has [Dispatcher.AppendLoadChanges] work from now on.
func (d *Dispatcher) TrackLoadChanges() { d.loadChanges.tracked = true }

// AppendLoadChanges appends the load at each worker where it has changed since the
// last call. Siblings' load is in it, since they are the same scheduler.
func (d *Dispatcher) AppendLoadChanges(buf []WorkerLoad) []WorkerLoad {
	for i, w := range d.loadChanges.workers {
		w.loadChanged, d.loadChanges.workers[i] = false, nil
		buf = append(buf, WorkerLoad{w.Worker, Load{w.inFlight - w.peerLoad.InFlight, w.notStarted - w.peerLoad.NotStarted, w.workSent},
			w.inFlight > d.workers.maxFreeByKind[w.Kind]})
	}
	d.loadChanges.workers = d.loadChanges.workers[:0]
	return buf
}

// UpdatePeerLoad brings the load of other schedulers of the site at some workers. Each
// is the sum over all peers and replaces the last one. It counts against the worker's
// capacity, but not as this dispatcher's load. Workers that no list has named are
// ignored.
func (d *Dispatcher) UpdatePeerLoad(now time.Duration, loads []WorkerLoad) {
	d.startRounds(now)
	for i := range loads {
		l := &loads[i]
		w := d.workers.byName[l.Worker]
		if w == nil {
			continue
		}
		d.workers.addOccupied(w, l.InFlight-w.peerLoad.InFlight)
		w.notStarted += l.NotStarted - w.peerLoad.NotStarted
		w.peerLoad = l.Load
	}
	d.workers.capacityChanged()
	d.releasePending(now)
}

// SetSubset sets the subset of the workers that this dispatcher prefers. Sharers is
// how many dispatchers have a worker in their subsets, this one included. An empty
// subset means no preference, as at the start. Workers that no list names yet do not
// count.
func (d *Dispatcher) SetSubset(now time.Duration, workers []string, sharers int) {
	subset := make(map[string]bool, len(workers))
	for _, name := range workers {
		subset[name] = true
	}
	d.workers.subsetSize, d.slowStart.sharers = 0, max(1, sharers)
	if len(workers) == 0 {
		d.slowStart.sharers = d.settings.Dispatchers
	}
	for _, w := range d.workers.all {
		if w == nil {
			continue
		}
		if w.inSubset != subset[w.Worker] {
			d.workers.adjustPoolSums(w, -1)
			w.inSubset = subset[w.Worker]
			d.workers.adjustPoolSums(w, 1)
			for _, p := range d.workers.pools {
				p.subsetStale = true
			}
		}
		d.workers.subsetSize += int(boolToFloat(w.inSubset))
	}
	d.workers.capacityChanged()
	d.releasePending(now)
}
