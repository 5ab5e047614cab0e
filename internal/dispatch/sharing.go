package dispatch

import (
	"time"

	"sedgevale"
)

// shareInterval is the least time between two tellings of a partner.
const shareInterval = 10 * time.Millisecond

// Shared is what a planner tells its counterpart in the other process of an
// upgrade: the two are one scheduler. It is not changed any more.
type Shared struct {
	Out    map[string]sedgevale.Load `json:"out"`              // at each worker, now
	Opened []string                  `json:"opened,omitempty"` // ids of jobs
	Ended  []string                  `json:"ended,omitempty"`
}

// Estate is what a planner hands over to a new process.
type Estate struct {
	Shared  Shared                 `json:"shared"`
	Learned sedgevale.LearnedState `json:"learned"`
}

// partner is the planners of another process.
type partner struct {
	send  func(Shared)
	open  map[string]struct{}
	loads map[int]map[string]sedgevale.Load // by planner
}

func newPartner(tell func(Shared)) *partner {
	return &partner{tell, map[string]struct{}{}, map[int]map[string]sedgevale.Load{}}
}

// sharing is what a Planner keeps of its partners. Without any it costs nothing.
type sharing struct {
	partners    map[int]*partner
	next        Shared
	loadChanged bool
	sentAt      time.Duration
}

// Share begins to tell a partner, known by a number, what is done here. Got is
// given all there is up to now.
func (p *Planner) Share(number int, tell func(Shared), got func(Estate)) {
	p.enqueueCall(func() {
		e := Estate{Shared{Out: p.dispatcher.LoadByWorker()}, p.dispatcher.LearnedState(p.now)}
		for id := range p.exchanges {
			e.Shared.Opened = append(e.Shared.Opened, id)
		}
		p.partners[number] = newPartner(tell)
		got(e)
	})
}

// Adopt takes over what a partner has learned, and begins to tell it.
func (p *Planner) Adopt(number int, tell func(Shared), learned sedgevale.LearnedState) {
	p.enqueueCall(func() {
		p.dispatcher.RestoreLearnedState(p.now, learned)
		p.partners[number] = newPartner(tell)
	})
}

// Beside brings what one of a partner's planners does.
func (p *Planner) Beside(number, planner int, s Shared) {
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
		other.loads[planner] = s.Out
		p.updateSiblingLoad()
	})
}

// Part ends the sharing with a partner that is gone.
func (p *Planner) Part(number int) {
	p.enqueueCall(func() {
		delete(p.partners, number)
		p.updateSiblingLoad()
	})
}

// enqueueCall has f called among the events: what came before, as a list of workers, counts.
func (p *Planner) enqueueCall(f func()) { p.queue.Put(event{kind: eventCall, call: f}) }

// updateSiblingLoad tells the module what all partners have out.
func (p *Planner) updateSiblingLoad() {
	sum := map[string]sedgevale.Load{}
	for _, other := range p.partners {
		for _, out := range other.loads {
			for worker, l := range out {
				sum[worker] = sum[worker].Plus(l)
			}
		}
	}
	p.dispatcher.SetSiblingLoad(p.now, sum)
}

// openAtPartner reports whether a partner has an open job of that id.
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

// notifyPartners tells the partners what has changed, and returns when it wants to again.
func (p *Planner) notifyPartners() time.Duration {
	if len(p.partners) == 0 || !p.loadChanged {
		return time.Hour
	}
	if since := p.clock.Now() - p.sentAt; since < shareInterval {
		return shareInterval - since
	}
	p.sentAt = p.clock.Now()
	p.next.Out = p.dispatcher.LoadByWorker()
	for _, other := range p.partners {
		other.send(p.next)
	}
	p.next, p.loadChanged = Shared{}, false
	return time.Hour
}
