package dispatch

import (
	"sync"

	"sedgevale"
)

// signals is what joins a Planner with other schedulers. Without it nothing is kept or told.
type signals struct {
	tell    func([]sedgevale.Told) // nil: nobody wants to know
	told    []sedgevale.Told
	part    []string
	sharers int

	othersMu sync.Mutex
	others   []sedgevale.Told // of other schedulers, not read yet
	reading  []sedgevale.Told
}

// Signal has tell called with what the planner has out at each worker where that has changed: from the
// planner's goroutine, so it must not block, nor keep the slice. It must be called before Run.
func (p *Planner) Signal(tell func([]sedgevale.Told)) {
	p.tell = tell
	p.d.TrackLoadChanges()
}

// Others brings what other schedulers have out at some workers. The slice is not kept.
func (p *Planner) Others(told []sedgevale.Told) {
	p.othersMu.Lock()
	p.others = append(p.others, told...)
	p.othersMu.Unlock()
	p.poke()
}

// Near makes some workers the planner's part of the fleet; see sedgevale.Dispatcher.Part.
func (p *Planner) Near(workers []string, sharers int) {
	p.call(func() {
		p.part, p.sharers = workers, sharers
		p.d.SetSubset(p.now, workers, sharers)
	})
}

// hear gives the module what has come of others.
func (p *Planner) hear() {
	p.othersMu.Lock()
	p.reading, p.others = p.others, p.reading[:0]
	p.othersMu.Unlock()
	if len(p.reading) > 0 {
		p.now = p.clock.Now()
		p.guard(func() { p.d.UpdatePeerLoad(p.now, p.reading) })
	}
}

// signal tells others what has changed here.
func (p *Planner) signal() {
	if p.tell == nil {
		return
	}
	if p.told = p.d.AppendLoadChanges(p.told[:0]); len(p.told) > 0 {
		p.tell(p.told)
	}
}

// anew goes on with a fresh Dispatcher, which has nothing out anywhere. What others have out it hears as
// that changes.
func (p *Planner) anew() {
	if p.tell == nil {
		return
	}
	p.d.TrackLoadChanges()
	p.d.SetSubset(p.now, p.part, p.sharers)
	p.told = p.told[:0]
	for worker := range p.list {
		p.told = append(p.told, sedgevale.Told{Worker: worker})
	}
	p.tell(p.told)
}
