package dispatchdriver

import (
	"sync"

	"sedgevale/dispatcher"
)

// peerState is a Planner's state for the exchange of load with other schedulers of the site.
type peerState struct {
	onLoadChange         func([]dispatcher.WorkerLoad) // nil if load changes are not tracked
	loadChanges          []dispatcher.WorkerLoad       // reused between calls of onLoadChange
	subset               []string                      // last subset of SetSubset, for a new Dispatcher
	dispatchersPerWorker int                           // last argument dispatchersPerWorker of SetSubset

	peerLoadMu      sync.Mutex              // guards pendingPeerLoad
	pendingPeerLoad []dispatcher.WorkerLoad // load of other schedulers that Run has yet to apply
	peerLoadBatch   []dispatcher.WorkerLoad // buffer that Run swaps with pendingPeerLoad
}

// OnLoadChange registers f to be called with the planner's load at each worker where the
// load has changed. f is called from Run; it must neither block nor retain the slice.
// OnLoadChange must be called before Run.
func (p *Planner) OnLoadChange(f func([]dispatcher.WorkerLoad)) {
	p.onLoadChange = f
	p.dispatcher.TrackLoadChanges()
}

// UpdatePeerLoad updates the load of other schedulers at the given workers. The slice is not
// retained.
func (p *Planner) UpdatePeerLoad(loads []dispatcher.WorkerLoad) {
	p.peerLoadMu.Lock()
	p.pendingPeerLoad = append(p.pendingPeerLoad, loads...)
	p.peerLoadMu.Unlock()
	p.wakeUp()
}

// SetSubset sets the subset of workers that the planner uses; see
// [dispatcher.Dispatcher.SetSubset].
func (p *Planner) SetSubset(workers []string, dispatchersPerWorker int) {
	p.enqueueCall(func() {
		p.subset, p.dispatchersPerWorker = workers, dispatchersPerWorker
		p.dispatcher.SetSubset(p.now, workers, dispatchersPerWorker)
	})
}

// applyPeerLoad passes the pending load of other schedulers to the Dispatcher.
func (p *Planner) applyPeerLoad() {
	p.peerLoadMu.Lock()
	p.peerLoadBatch, p.pendingPeerLoad = p.pendingPeerLoad, p.peerLoadBatch[:0]
	p.peerLoadMu.Unlock()
	if len(p.peerLoadBatch) > 0 {
		p.now = p.clock.Now()
		p.recoverPanics(func() { p.dispatcher.UpdatePeerLoad(p.now, p.peerLoadBatch) })
	}
}

// publishLoadChanges calls onLoadChange with the load at each worker where the load has
// changed since the last call.
func (p *Planner) publishLoadChanges() {
	if p.onLoadChange == nil {
		return
	}
	if p.loadChanges = p.dispatcher.AppendLoadChanges(p.loadChanges[:0]); len(p.loadChanges) > 0 {
		p.onLoadChange(p.loadChanges)
	}
}

// republishLoad restores the subset and the tracking of load changes in a new Dispatcher, and
// publishes its load, which is zero at all workers. The new Dispatcher learns the load of
// other schedulers only as they report changes.
func (p *Planner) republishLoad() {
	if p.onLoadChange == nil {
		return
	}
	p.dispatcher.TrackLoadChanges()
	p.dispatcher.SetSubset(p.now, p.subset, p.dispatchersPerWorker)
	p.loadChanges = p.loadChanges[:0]
	for worker := range p.workers {
		p.loadChanges = append(p.loadChanges, dispatcher.WorkerLoad{Worker: worker})
	}
	p.onLoadChange(p.loadChanges)
}
