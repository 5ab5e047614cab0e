package dispatcher

import "time"

// This file accounts for the load of other dispatchers. Siblings are the dispatchers in the other process of the same
// scheduler while one process takes over from the other. Peers are other schedulers of the same site.

// LoadByWorker returns this dispatcher's own load at each worker, without the load of its
// siblings.
func (d *Dispatcher) LoadByWorker() map[string]Load {
	loads := map[string]Load{}
	for _, w := range d.workers.all {
		if w == nil {
			continue
		}
		if l := (Load{w.inFlight - w.siblingLoad.InFlight, w.notStarted - w.siblingLoad.NotStarted, w.workSent}); l != (Load{}) {
			loads[w.Name] = l
		}
	}
	return loads
}

// SetSiblingLoad sets the total load of this dispatcher's siblings, by worker. It counts
// as this dispatcher's own load against limits and slow start credit.
func (d *Dispatcher) SetSiblingLoad(now time.Duration, loads map[string]Load) {
	d.startRounds(now)
	for _, w := range d.workers.all {
		if w == nil {
			continue
		}
		l := loads[w.Name]
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

// TrackLoadChanges starts to record load changes for [Dispatcher.AppendLoadChanges].
func (d *Dispatcher) TrackLoadChanges() { d.loadChanges.tracked = true }

// AppendLoadChanges appends to buf the load at each worker where it has changed since the
// last call. The load includes that of siblings, which belong to the same scheduler.
func (d *Dispatcher) AppendLoadChanges(buf []WorkerLoad) []WorkerLoad {
	for i, w := range d.loadChanges.workers {
		w.loadChanged, d.loadChanges.workers[i] = false, nil
		buf = append(buf, WorkerLoad{w.Name, Load{w.inFlight - w.peerLoad.InFlight, w.notStarted - w.peerLoad.NotStarted, w.workSent},
			w.inFlight > d.workers.maxFreeByKind[w.Kind]})
	}
	d.loadChanges.workers = d.loadChanges.workers[:0]
	return buf
}

// UpdatePeerLoad sets the load of other schedulers of the site at some workers. Each load
// is the sum over all peers and replaces the previous one. It counts against the worker's
// capacity, but not as this dispatcher's load. Unknown workers are ignored.
func (d *Dispatcher) UpdatePeerLoad(now time.Duration, loads []WorkerLoad) {
	d.startRounds(now)
	for i := range loads {
		l := &loads[i]
		w := d.workers.byName[l.Worker]
		if w == nil {
			continue
		}
		d.workers.addInFlight(w, l.InFlight-w.peerLoad.InFlight)
		w.notStarted += l.NotStarted - w.peerLoad.NotStarted
		w.peerLoad = l.Load
	}
	d.workers.capacityChanged()
	d.releasePending(now)
}

// SetSubset sets the subset of the workers that this dispatcher prefers. The argument
// dispatchersPerWorker is the number of dispatchers that have a worker in their subsets,
// including this one. An empty subset, which is the default, means no preference. Workers
// that are not in the worker list yet are ignored.
func (d *Dispatcher) SetSubset(now time.Duration, workers []string, dispatchersPerWorker int) {
	subset := make(map[string]bool, len(workers))
	for _, name := range workers {
		subset[name] = true
	}
	d.workers.subsetSize, d.slowStart.dispatchersPerWorker = 0, max(1, dispatchersPerWorker)
	if len(workers) == 0 {
		d.slowStart.dispatchersPerWorker = d.settings.Dispatchers
	}
	for _, w := range d.workers.all {
		if w == nil {
			continue
		}
		if w.inSubset != subset[w.Name] {
			d.workers.adjustPoolSums(w, -1)
			w.inSubset = subset[w.Name]
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
