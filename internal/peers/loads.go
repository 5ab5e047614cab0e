package peers

import (
	"slices"
	"time"
)

// SetWorkers sets the complete list of workers. Workers that are no longer listed are kept until all loads on them are zero or have
// expired.
func (n *Node) SetWorkers(ids []string) {
	for _, w := range n.orderedWorkers {
		w.listed = false
	}
	hashes := make([]uint64, len(ids))
	for i, id := range ids {
		w := n.ensureWorker(id)
		w.listed = true
		hashes[i] = w.hash
	}
	n.orderedWorkers = slices.DeleteFunc(n.orderedWorkers, func(w *workerState) bool {
		unused := !w.listed && w.load == (Load{}) && w.advertised == (Load{}) && len(w.reports) == 0 && !w.unsent && !w.changed
		if unused {
			delete(n.workers, w.id)
			if n.workersByKey[w.key] == w {
				delete(n.workersByKey, w.key)
			}
		}
		return unused
	})
	n.subset, n.maxSharers = n.subset[:0], 0
	for i, a := range assignSubscribers(n.options.Members, hashes, n.options.MinSubscribers, n.options.MinSubset) {
		w := n.workers[ids[i]]
		w.subscribers = a
		if slices.Contains(a, uint16(n.options.Self)) {
			n.subset = append(n.subset, w.id)
			n.maxSharers = max(n.maxSharers, len(a))
		}
	}
	n.Counts.Workers, n.Counts.Subset, n.Counts.MaxSharers = len(ids), len(n.subset), n.maxSharers
	n.subsetChanged = n.subsetChanged || n.anyActive
}

// TakeSubsetChange calls f with the subset if it may have changed since the last call. While no other member is active, f gets no
// subset and all workers rank equally, as for a single scheduler. The slice is valid until the next SetWorkers.
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

// Subset returns the workers of this scheduler's subset and the maximum number of schedulers that share one of them. The slice is nil
// if the subset is the complete list; it is valid until the next SetWorkers.
func (n *Node) Subset() (workers []string, sharers int) {
	if len(n.subset) == n.Counts.Workers {
		return nil, n.options.Members
	}
	return n.subset, n.maxSharers
}

// ensureWorker returns the state of a worker and creates it if the worker is new.
func (n *Node) ensureWorker(id string) *workerState {
	if w := n.workers[id]; w != nil {
		return w
	}
	h := hashWorkerID(id)
	w := &workerState{id: id, hash: h, key: uint32(h) & 0xffffff}
	n.workers[id], n.orderedWorkers = w, append(n.orderedWorkers, w)
	if n.workersByKey[w.key] == nil { // if two workers have the same key, only the first is advertised
		n.workersByKey[w.key] = w
	}
	return w
}

// SetLoad sets this scheduler's load on a worker, which the next Flush sends. Most attempts at a worker that is not full start
// immediately, so they are reported as waiting only after waitingGracePeriod.
func (n *Node) SetLoad(now time.Duration, id string, load Load, full bool) {
	w := n.workers[id]
	if w == nil || n.workersByKey[w.key] != w {
		return
	}
	load = load.clamped()
	switch {
	case full:
		w.waitingSince = now - waitingGracePeriod
	case load.Waiting > w.load.Waiting:
		w.waitingSince = now
	}
	if w.load = load; load.Slots != w.advertised.Slots || load.Waiting < w.advertised.Waiting || full && load != w.advertised {
		n.markUnsent(w)
	}
}

// markUnsent queues a worker, whose load the next Flush then sends.
func (n *Node) markUnsent(w *workerState) {
	if !w.unsent {
		w.unsent = true
		n.unsent = append(n.unsent, w)
	}
}

// markChanged queues a worker, for which the next TakeLoadChanges then returns the load of other schedulers.
func (n *Node) markChanged(w *workerState) {
	if !w.changed {
		w.changed = true
		n.changed = append(n.changed, w)
	}
}

// TakeLoadChanges calls f for each worker on which the load of other schedulers has changed since the last call, with the sum of
// their loads.
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
