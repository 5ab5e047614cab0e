package dispatch

import (
	"sync"

	"sedgevale"
)

// peerSignals is what joins a Planner with other schedulers. Without it nothing is kept or told.
type peerSignals struct {
	onLoadChange  func([]sedgevale.Told) // nil: nobody wants to know
	loadChanges   []sedgevale.Told
	subset        []string
	subsetSharers int

	peerLoadMu   sync.Mutex
	peerLoad     []sedgevale.Told // of other schedulers, not read yet
	peerLoadRead []sedgevale.Told
}

// Signal has tell called with what the planner has out at each worker where that has changed: from the
// planner's goroutine, so it must not block, nor keep the slice. It must be called before Run.
func (p *Planner) Signal(tell func([]sedgevale.Told)) {
	p.onLoadChange = tell
	p.dispatcher.TrackLoadChanges()
}

// Others brings what other schedulers have out at some workers. The slice is not kept.
func (p *Planner) Others(told []sedgevale.Told) {
	p.peerLoadMu.Lock()
	p.peerLoad = append(p.peerLoad, told...)
	p.peerLoadMu.Unlock()
	p.wakeUp()
}

// Near makes some workers the planner's part of the fleet; see sedgevale.Dispatcher.Part.
func (p *Planner) Near(workers []string, sharers int) {
	p.enqueueCall(func() {
		p.subset, p.subsetSharers = workers, sharers
		p.dispatcher.SetSubset(p.now, workers, sharers)
	})
}

// readPeerLoad gives the module what has come of others.
func (p *Planner) readPeerLoad() {
	p.peerLoadMu.Lock()
	p.peerLoadRead, p.peerLoad = p.peerLoad, p.peerLoadRead[:0]
	p.peerLoadMu.Unlock()
	if len(p.peerLoadRead) > 0 {
		p.now = p.clock.Now()
		p.recoverPanics(func() { p.dispatcher.UpdatePeerLoad(p.now, p.peerLoadRead) })
	}
}

// publishLoadChanges tells others what has changed here.
func (p *Planner) publishLoadChanges() {
	if p.onLoadChange == nil {
		return
	}
	if p.loadChanges = p.dispatcher.AppendLoadChanges(p.loadChanges[:0]); len(p.loadChanges) > 0 {
		p.onLoadChange(p.loadChanges)
	}
}

// republishLoad goes on with a fresh Dispatcher, which has nothing out anywhere. What others have out it hears as
// that changes.
func (p *Planner) republishLoad() {
	if p.onLoadChange == nil {
		return
	}
	p.dispatcher.TrackLoadChanges()
	p.dispatcher.SetSubset(p.now, p.subset, p.subsetSharers)
	p.loadChanges = p.loadChanges[:0]
	for worker := range p.workers {
		p.loadChanges = append(p.loadChanges, sedgevale.Told{Worker: worker})
	}
	p.onLoadChange(p.loadChanges)
}
