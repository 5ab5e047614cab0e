package peers

import (
	"slices"
	"time"
)

// SetWorkers sets the complete list of workers. Workers that it lacks are kept until their loads are withdrawn or expired.
func (n *Node) SetWorkers(ids []string) {
	for _, w := range n.order {
		w.listed = false
	}
	hashes := make([]uint64, len(ids))
	for i, id := range ids {
		w := n.worker(id)
		w.listed = true
		hashes[i] = w.hash
	}
	n.order = slices.DeleteFunc(n.order, func(w *workerState) bool {
		old := !w.listed && w.load == (Load{}) && w.advertised == (Load{}) && len(w.reports) == 0 && !w.unsent && !w.changed
		if old {
			delete(n.workers, w.id)
			if n.workersByKey[w.key] == w {
				delete(n.workersByKey, w.key)
			}
		}
		return old
	})
	n.subset, n.sharers = n.subset[:0], 0
	for i, a := range assignSubscribers(n.options.Members, hashes, n.options.MinSubscribers, n.options.MinSubset) {
		w := n.workers[ids[i]]
		w.subscribers = a
		if slices.Contains(a, uint16(n.options.Self)) {
			n.subset = append(n.subset, w.id)
			n.sharers = max(n.sharers, len(a))
		}
	}
	n.Counts.Workers, n.Counts.Subset, n.Counts.Shares = len(ids), len(n.subset), n.sharers
	n.subsetChanged = n.subsetChanged || n.anyActive
}

// TakeSubsetChange calls f with the subset if that may have changed since the last call. While no other member is active there is no subset:
// all workers are equal, as without other schedulers. The slice is valid until the list of workers is set again.
func (n *Node) TakeSubsetChange(f func(workers []string, sharers int)) {
	if !n.subsetChanged {
		return
	}
	n.subsetChanged = false
	if n.anyActive {
		f(n.Subset())
	} else {
		f(nil, 0)
	}
}

// Subset returns this scheduler's subset of the workers and the maximum number of schedulers that share one of them. It is nil
// where the subset is the complete list. The slice is valid until the list of workers is set again.
func (n *Node) Subset() (workers []string, sharers int) {
	if len(n.subset) == n.Counts.Workers {
		return nil, n.options.Members
	}
	return n.subset, n.sharers
}

// worker returns the state of a worker, made where it is new.
func (n *Node) worker(id string) *workerState {
	if w := n.workers[id]; w != nil {
		return w
	}
	h := hashOf(id)
	w := &workerState{id: id, hash: h, key: uint32(h) & 0xffffff}
	n.workers[id], n.order = w, append(n.order, w)
	if n.workersByKey[w.key] == nil { // of two workers with one key only the first is advertised
		n.workersByKey[w.key] = w
	}
	return w
}

// SetLoad sets this scheduler's load on a worker, to be sent by the next Flush. Most attempts at a worker that is not full start at
// once, so that they count as waiting only after waitingGracePeriod.
func (n *Node) SetLoad(now time.Duration, id string, o Load, full bool) {
	w := n.workers[id]
	if w == nil || n.workersByKey[w.key] != w {
		return
	}
	o = o.clamped()
	switch {
	case full:
		w.waitingSince = now - waitingGracePeriod
	case o.Waiting > w.load.Waiting:
		w.waitingSince = now
	}
	if w.load = o; o.Slots != w.advertised.Slots || o.Waiting < w.advertised.Waiting || full && o != w.advertised {
		n.markUnsent(w)
	}
}

// markUnsent has the next Flush send the load of a worker.
func (n *Node) markUnsent(w *workerState) {
	if !w.unsent {
		w.unsent = true
		n.unsent = append(n.unsent, w)
	}
}

// markChanged has the next call for changed loads return the load that others put on a worker.
func (n *Node) markChanged(w *workerState) {
	if !w.changed {
		w.changed = true
		n.changed = append(n.changed, w)
	}
}

// TakeLoadChanges calls f with the sum of what all others have on each worker where that has changed since the last call.
func (n *Node) TakeLoadChanges(f func(id string, slots, waiting int)) {
	for i, w := range n.changed {
		n.changed[i], w.changed = nil, false
		slots, waiting := 0, 0
		for _, r := range w.reports {
			slots += r.load.Slots
			waiting += r.load.Waiting
		}
		f(w.id, slots, waiting)
	}
	n.changed = n.changed[:0]
}
