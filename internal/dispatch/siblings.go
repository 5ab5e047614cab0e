package dispatch

import (
	"time"

	"sedgevale/dispatcher"
)

// siblingUpdateInterval is the least time between two messages to a sibling.
const siblingUpdateInterval = 10 * time.Millisecond

// SiblingState is what a planner sends to its sibling in the other process of an upgrade:
// the two are one scheduler. It is immutable once it has been sent.
type SiblingState struct {
	Loads  map[string]dispatcher.Load `json:"out"`              // load by worker, now
	Opened []string                   `json:"opened,omitempty"` // IDs of jobs, since the last message
	Ended  []string                   `json:"ended,omitempty"`  // the same
}

// HandoverState is the state that a planner hands over to a new process.
type HandoverState struct {
	Shared  SiblingState            `json:"shared"`
	Learned dispatcher.LearnedState `json:"learned"`
}

// sibling is the other process of the same scheduler during an upgrade, as a planner
// knows it.
type sibling struct {
	send  func(SiblingState)
	open  map[string]struct{}                // IDs of jobs
	loads map[int]map[string]dispatcher.Load // by planner and worker
}

func newSibling(send func(SiblingState)) *sibling {
	return &sibling{send, map[string]struct{}{}, map[int]map[string]dispatcher.Load{}}
}

// sharing is what a Planner keeps of its siblings. Without any it costs nothing.
type sharing struct {
	siblings    map[int]*sibling // by number
	next        SiblingState     // opened and ended since the last message
	loadChanged bool             // since the last message
	sentAt      time.Duration    // of the last message
}

// AddSibling adds a sibling, known by a number: from here on send is called with what
// changes, from Run. HandOver is called with all state up to now.
func (p *Planner) AddSibling(number int, send func(SiblingState), handOver func(HandoverState)) {
	p.enqueueCall(func() {
		e := HandoverState{SiblingState{Loads: p.dispatcher.LoadByWorker()}, p.dispatcher.LearnedState(p.now)}
		for id := range p.exchanges {
			e.Shared.Opened = append(e.Shared.Opened, id)
		}
		p.siblings[number] = newSibling(send)
		handOver(e)
	})
}

// TakeOver takes over what a sibling has learned, and adds the sibling.
func (p *Planner) TakeOver(number int, send func(SiblingState), learned dispatcher.LearnedState) {
	p.enqueueCall(func() {
		p.dispatcher.RestoreLearnedState(p.now, learned)
		p.siblings[number] = newSibling(send)
	})
}

// UpdateSibling brings a message from one of a sibling's planners.
func (p *Planner) UpdateSibling(number, planner int, s SiblingState) {
	p.enqueueCall(func() {
		other := p.siblings[number]
		if other == nil {
			return
		}
		for _, id := range s.Opened {
			other.open[id] = struct{}{}
		}
		for _, id := range s.Ended {
			delete(other.open, id)
		}
		other.loads[planner] = s.Loads
		p.updateSiblingLoad()
	})
}

// RemoveSibling removes a sibling whose process has ended.
func (p *Planner) RemoveSibling(number int) {
	p.enqueueCall(func() {
		delete(p.siblings, number)
		p.updateSiblingLoad()
	})
}

// enqueueCall has Run call f in the order of events: what came before, like a list of
// workers, has been handled by then.
func (p *Planner) enqueueCall(f func()) { p.queue.Put(event{kind: eventCall, call: f}) }

// updateSiblingLoad gives the Dispatcher the load of all siblings.
func (p *Planner) updateSiblingLoad() {
	sum := map[string]dispatcher.Load{}
	for _, other := range p.siblings {
		for _, loads := range other.loads {
			for worker, l := range loads {
				sum[worker] = sum[worker].Plus(l)
			}
		}
	}
	p.dispatcher.SetSiblingLoad(p.now, sum)
}

// openAtSibling reports whether a sibling has an open job of that ID.
func (p *Planner) openAtSibling(id string) bool {
	for _, other := range p.siblings {
		if _, open := other.open[id]; open {
			return true
		}
	}
	return false
}

// announceOpened has the next message to the siblings name a job that was opened.
func (p *Planner) announceOpened(id string) {
	if len(p.siblings) > 0 {
		p.next.Opened = append(p.next.Opened, id)
		p.loadChanged = true
	}
}

// announceEnded has the next message to the siblings name a job that has ended.
func (p *Planner) announceEnded(id string) {
	if len(p.siblings) > 0 {
		p.next.Ended = append(p.next.Ended, id)
		p.loadChanged = true
	}
}

// notifySiblings sends what has changed to the siblings, and returns after which time
// it must be called again.
func (p *Planner) notifySiblings() time.Duration {
	if len(p.siblings) == 0 || !p.loadChanged {
		return time.Hour
	}
	if since := p.clock.Now() - p.sentAt; since < siblingUpdateInterval {
		return siblingUpdateInterval - since
	}
	p.sentAt = p.clock.Now()
	p.next.Loads = p.dispatcher.LoadByWorker()
	for _, other := range p.siblings {
		other.send(p.next)
	}
	p.next, p.loadChanged = SiblingState{}, false
	return time.Hour
}
