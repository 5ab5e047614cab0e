package dispatch

import (
	"sync"

	"sedgevale/dispatcher"
)

// peerSignals is what a Planner exchanges with other schedulers of the site.
type peerSignals struct {
	onLoadChange  func([]dispatcher.WorkerLoad) // nil: load changes are not tracked
	loadChanges   []dispatcher.WorkerLoad
	subset        []string
	subsetSharers int

	peerLoadMu   sync.Mutex              // guards peerLoad
	peerLoad     []dispatcher.WorkerLoad // of other schedulers, not read by Run yet
	peerLoadRead []dispatcher.WorkerLoad // swapped with peerLoad by Run
}

// OnLoadChange has f called with the planner's load at each worker where that has changed.
// The calls come from Run; f must not block, nor keep the slice. OnLoadChange must be
// called before Run.
func (p *Planner) OnLoadChange(f func([]dispatcher.WorkerLoad)) {
	p.onLoadChange = f
	p.dispatcher.TrackLoadChanges()
}

// UpdatePeerLoad brings the load of other schedulers at some workers. The slice is not kept.
func (p *Planner) UpdatePeerLoad(loads []dispatcher.WorkerLoad) {
	p.peerLoadMu.Lock()
	p.peerLoad = append(p.peerLoad, loads...)
	p.peerLoadMu.Unlock()
	p.wakeUp()
}

// SetSubset sets the planner's subset of the workers; see
// [dispatcher.Dispatcher.SetSubset].
func (p *Planner) SetSubset(workers []string, sharers int) {
	p.enqueueCall(func() {
		p.subset, p.subsetSharers = workers, sharers
		p.dispatcher.SetSubset(p.now, workers, sharers)
	})
}

// readPeerLoad gives the Dispatcher the load of other schedulers that has come.
func (p *Planner) readPeerLoad() {
	p.peerLoadMu.Lock()
	p.peerLoadRead, p.peerLoad = p.peerLoad, p.peerLoadRead[:0]
	p.peerLoadMu.Unlock()
	if len(p.peerLoadRead) > 0 {
		p.now = p.clock.Now()
		p.recoverPanics(func() { p.dispatcher.UpdatePeerLoad(p.now, p.peerLoadRead) })
	}
}

// publishLoadChanges publishes the load that has changed here.
func (p *Planner) publishLoadChanges() {
	if p.onLoadChange == nil {
		return
	}
	if p.loadChanges = p.dispatcher.AppendLoadChanges(p.loadChanges[:0]); len(p.loadChanges) > 0 {
		p.onLoadChange(p.loadChanges)
	}
}

// republishLoad publishes the load of a fresh Dispatcher, which is none at all workers.
// The load of others comes to it as that changes.
func (p *Planner) republishLoad() {
	if p.onLoadChange == nil {
		return
	}
	p.dispatcher.TrackLoadChanges()
	p.dispatcher.SetSubset(p.now, p.subset, p.subsetSharers)
	p.loadChanges = p.loadChanges[:0]
	for worker := range p.workers {
		p.loadChanges = append(p.loadChanges, dispatcher.WorkerLoad{Worker: worker})
	}
	p.onLoadChange(p.loadChanges)
}
