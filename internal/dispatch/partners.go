package dispatch

import (
	"time"

	"sedgevale"
)

// shareInterval is the least time between two messages to a partner.
const shareInterval = 10 * time.Millisecond

// PartnerState is what a planner sends to its partner in the other process of an upgrade:
// the two are one scheduler. It is immutable once it has been sent.
type PartnerState struct {
	Loads  map[string]sedgevale.Load `json:"out"`              // load by worker, now
	Opened []string                  `json:"opened,omitempty"` // IDs of jobs, since the last message
	Ended  []string                  `json:"ended,omitempty"`  // the same
}

// HandoverState is the state that a planner hands over to a new process.
type HandoverState struct {
	Shared  PartnerState           `json:"shared"`
	Learned sedgevale.LearnedState `json:"learned"`
}

// partner is another process of the same scheduler, as a planner knows it.
type partner struct {
	send  func(PartnerState)
	open  map[string]struct{}               // IDs of jobs
	loads map[int]map[string]sedgevale.Load // by planner and worker
}

func newPartner(send func(PartnerState)) *partner {
	return &partner{send, map[string]struct{}{}, map[int]map[string]sedgevale.Load{}}
}

// sharing is what a Planner keeps of its partners. Without any it costs nothing.
type sharing struct {
	partners    map[int]*partner // by number
	next        PartnerState     // opened and ended since the last message
	loadChanged bool             // since the last message
	sentAt      time.Duration    // of the last message
}

// AddPartner adds a partner, known by a number: from here on send is called with what
// changes, from Run. Got is called with all state up to now.
func (p *Planner) AddPartner(number int, send func(PartnerState), got func(HandoverState)) {
	p.enqueueCall(func() {
		e := HandoverState{PartnerState{Loads: p.dispatcher.LoadByWorker()}, p.dispatcher.LearnedState(p.now)}
		for id := range p.exchanges {
			e.Shared.Opened = append(e.Shared.Opened, id)
		}
		p.partners[number] = newPartner(send)
		got(e)
	})
}

// TakeOver takes over what a partner has learned, and adds the partner.
func (p *Planner) TakeOver(number int, send func(PartnerState), learned sedgevale.LearnedState) {
	p.enqueueCall(func() {
		p.dispatcher.RestoreLearnedState(p.now, learned)
		p.partners[number] = newPartner(send)
	})
}

// UpdatePartner brings a message from one of a partner's planners.
func (p *Planner) UpdatePartner(number, planner int, s PartnerState) {
	p.enqueueCall(func() {
		other := p.partners[number]
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

// RemovePartner removes a partner whose process has ended.
func (p *Planner) RemovePartner(number int) {
	p.enqueueCall(func() {
		delete(p.partners, number)
		p.updateSiblingLoad()
	})
}

// enqueueCall has Run call f in the order of events: what came before, like a list of
// workers, has been handled by then.
func (p *Planner) enqueueCall(f func()) { p.queue.Put(event{kind: eventCall, call: f}) }

// updateSiblingLoad gives the Dispatcher the load of all partners.
func (p *Planner) updateSiblingLoad() {
	sum := map[string]sedgevale.Load{}
	for _, other := range p.partners {
		for _, loads := range other.loads {
			for worker, l := range loads {
				sum[worker] = sum[worker].Plus(l)
			}
		}
	}
	p.dispatcher.SetSiblingLoad(p.now, sum)
}

// openAtPartner reports whether a partner has an open job of that ID.
func (p *Planner) openAtPartner(id string) bool {
	for _, other := range p.partners {
		if _, open := other.open[id]; open {
			return true
		}
	}
	return false
}

func (p *Planner) noteOpened(id string) {
	if len(p.partners) > 0 {
		p.next.Opened = append(p.next.Opened, id)
		p.loadChanged = true
	}
}

func (p *Planner) noteEnded(id string) {
	if len(p.partners) > 0 {
		p.next.Ended = append(p.next.Ended, id)
		p.loadChanged = true
	}
}

// notifyPartners sends what has changed to the partners, and returns after which time
// it must be called again.
func (p *Planner) notifyPartners() time.Duration {
	if len(p.partners) == 0 || !p.loadChanged {
		return time.Hour
	}
	if since := p.clock.Now() - p.sentAt; since < shareInterval {
		return shareInterval - since
	}
	p.sentAt = p.clock.Now()
	p.next.Loads = p.dispatcher.LoadByWorker()
	for _, other := range p.partners {
		other.send(p.next)
	}
	p.next, p.loadChanged = PartnerState{}, false
	return time.Hour
}
