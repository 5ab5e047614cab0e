package dispatch

import (
	"time"

	"sedgevale"
)

// shareEvery is the least time between two tellings of a partner.
const shareEvery = 10 * time.Millisecond

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
	tell func(Shared)
	open map[string]struct{}
	out  map[int]map[string]sedgevale.Load // by planner
}

func newPartner(tell func(Shared)) *partner {
	return &partner{tell, map[string]struct{}{}, map[int]map[string]sedgevale.Load{}}
}

// sharing is what a Planner keeps of its partners. Without any it costs nothing.
type sharing struct {
	partners map[int]*partner
	next     Shared
	changed  bool
	toldAt   time.Duration
}

// Share begins to tell a partner, known by a number, what is done here. Got is
// given all there is up to now.
func (p *Planner) Share(number int, tell func(Shared), got func(Estate)) {
	p.call(func() {
		e := Estate{Shared{Out: p.d.LoadByWorker()}, p.d.LearnedState(p.now)}
		for id := range p.open {
			e.Shared.Opened = append(e.Shared.Opened, id)
		}
		p.partners[number] = newPartner(tell)
		got(e)
	})
}

// Adopt takes over what a partner has learned, and begins to tell it.
func (p *Planner) Adopt(number int, tell func(Shared), learned sedgevale.LearnedState) {
	p.call(func() {
		p.d.RestoreLearnedState(p.now, learned)
		p.partners[number] = newPartner(tell)
	})
}

// Beside brings what one of a partner's planners does.
func (p *Planner) Beside(number, planner int, s Shared) {
	p.call(func() {
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
		other.out[planner] = s.Out
		p.reckon()
	})
}

// Part ends the sharing with a partner that is gone.
func (p *Planner) Part(number int) {
	p.call(func() {
		delete(p.partners, number)
		p.reckon()
	})
}

// call has f called among the events: what came before, as a list of workers, counts.
func (p *Planner) call(f func()) { p.box.Put(event{kind: evCall, call: f}) }

// reckon tells the module what all partners have out.
func (p *Planner) reckon() {
	sum := map[string]sedgevale.Load{}
	for _, other := range p.partners {
		for _, out := range other.out {
			for worker, l := range out {
				sum[worker] = sum[worker].Plus(l)
			}
		}
	}
	p.d.SetSiblingLoad(p.now, sum)
}

// elsewhere reports whether a partner has an open job of that id.
func (p *Planner) elsewhere(id string) bool {
	for _, other := range p.partners {
		if _, open := other.open[id]; open {
			return true
		}
	}
	return false
}

func (p *Planner) opened(id string) {
	if len(p.partners) > 0 {
		p.next.Opened = append(p.next.Opened, id)
		p.changed = true
	}
}

func (p *Planner) over(id string) {
	if len(p.partners) > 0 {
		p.next.Ended = append(p.next.Ended, id)
		p.changed = true
	}
}

// share tells the partners what has changed, and returns when it wants to again.
func (p *Planner) share() time.Duration {
	if len(p.partners) == 0 || !p.changed {
		return time.Hour
	}
	if since := p.clock.Now() - p.toldAt; since < shareEvery {
		return shareEvery - since
	}
	p.toldAt = p.clock.Now()
	p.next.Out = p.d.LoadByWorker()
	for _, other := range p.partners {
		other.tell(p.next)
	}
	p.next, p.changed = Shared{}, false
	return time.Hour
}
