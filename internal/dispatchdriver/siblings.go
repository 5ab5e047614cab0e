package dispatchdriver

import (
	"time"

	"sedgevale/dispatcher"
)

// siblingUpdateInterval is the minimum time between two messages to a sibling.
const siblingUpdateInterval = 10 * time.Millisecond

// SiblingState is the message that a planner sends to the planners of a sibling, which is the
// other process of the same scheduler during an upgrade. It is immutable once sent.
type SiblingState struct {
	Loads  map[string]dispatcher.Load `json:"out"`              // current load by worker
	Opened []string                   `json:"opened,omitempty"` // IDs of the jobs opened since the last message
	Ended  []string                   `json:"ended,omitempty"`  // IDs of the jobs ended since the last message
}

// HandoverState is the state that a planner hands over to the new process of an upgrade.
type HandoverState struct {
	Shared  SiblingState            `json:"shared"`
	Learned dispatcher.LearnedState `json:"learned"`
}

// sibling is a planner's record of the other process of the same scheduler during an
// upgrade.
type sibling struct {
	send  func(SiblingState)
	open  map[string]struct{}                // IDs of the jobs open in the other process
	loads map[int]map[string]dispatcher.Load // by planner of the other process, then by worker
}

func newSibling(send func(SiblingState)) *sibling {
	return &sibling{send, map[string]struct{}{}, map[int]map[string]dispatcher.Load{}}
}

// siblingTracker is the part of a Planner that keeps track of its siblings. Without siblings
// it adds no cost to the handling of events.
type siblingTracker struct {
	siblings            map[int]*sibling // by number
	nextSiblingUpdate   SiblingState     // jobs opened and ended since the last message
	siblingUpdateDue    bool             // true if anything has changed since the last message
	siblingUpdateSentAt time.Duration    // time on the Clock of the last message
}

// AddSibling adds a sibling with a number that identifies it. It calls handOver from Run with
// the current state, and send from Run with each later change.
func (p *Planner) AddSibling(number int, send func(SiblingState), handOver func(HandoverState)) {
	p.enqueueCall(func() {
		state := HandoverState{SiblingState{Loads: p.dispatcher.LoadByWorker()}, p.dispatcher.LearnedState(p.now)}
		for id := range p.exchanges {
			state.Shared.Opened = append(state.Shared.Opened, id)
		}
		p.siblings[number] = newSibling(send)
		handOver(state)
	})
}

// TakeOver restores the learned state of a sibling and adds the sibling.
func (p *Planner) TakeOver(number int, send func(SiblingState), learned dispatcher.LearnedState) {
	p.enqueueCall(func() {
		p.dispatcher.RestoreLearnedState(p.now, learned)
		p.siblings[number] = newSibling(send)
	})
}

// UpdateSibling handles a message from one of a sibling's planners. It ignores messages of
// siblings that have not been added or have been removed.
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

// enqueueCall makes Run call f after it has handled all events that are already queued.
func (p *Planner) enqueueCall(f func()) { p.queue.Put(event{kind: eventCall, call: f}) }

// updateSiblingLoad passes the total load of all siblings to the Dispatcher.
func (p *Planner) updateSiblingLoad() {
	sum := map[string]dispatcher.Load{}
	for _, other := range p.siblings {
		for _, loads := range other.loads {
			for worker, l := range loads {
				sum[worker] = sum[worker].Add(l)
			}
		}
	}
	p.dispatcher.SetSiblingLoad(p.now, sum)
}

// openAtSibling reports whether a sibling has an open job with that ID.
func (p *Planner) openAtSibling(id string) bool {
	for _, other := range p.siblings {
		if _, open := other.open[id]; open {
			return true
		}
	}
	return false
}

// announceOpened adds a job that was opened to the next message to the siblings.
func (p *Planner) announceOpened(id string) {
	if len(p.siblings) > 0 {
		p.nextSiblingUpdate.Opened = append(p.nextSiblingUpdate.Opened, id)
		p.siblingUpdateDue = true
	}
}

// announceEnded adds a job that has ended to the next message to the siblings.
func (p *Planner) announceEnded(id string) {
	if len(p.siblings) > 0 {
		p.nextSiblingUpdate.Ended = append(p.nextSiblingUpdate.Ended, id)
		p.siblingUpdateDue = true
	}
}

// sendSiblingUpdates sends pending changes to the siblings, at most once per
// siblingUpdateInterval, and returns the time after which it must be called again.
func (p *Planner) sendSiblingUpdates() time.Duration {
	if len(p.siblings) == 0 || !p.siblingUpdateDue {
		return time.Hour
	}
	if since := p.clock.Now() - p.siblingUpdateSentAt; since < siblingUpdateInterval {
		return siblingUpdateInterval - since
	}
	p.siblingUpdateSentAt = p.clock.Now()
	p.nextSiblingUpdate.Loads = p.dispatcher.LoadByWorker()
	for _, other := range p.siblings {
		other.send(p.nextSiblingUpdate)
	}
	p.nextSiblingUpdate, p.siblingUpdateDue = SiblingState{}, false
	return time.Hour
}
