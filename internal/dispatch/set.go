package dispatch

import (
	"context"
	"hash/maphash"
	"sync"

	"sedgevale/dispatcher"
)

// Set is the planners of one program. A request belongs to one of them by its ID; the
// list of workers goes to all. Its methods may be called from any goroutine.
type Set struct {
	planners []*Planner
	seed     maphash.Seed
}

// NewSet returns a Set of planners.
func NewSet(planners ...*Planner) *Set { return &Set{planners, maphash.MakeSeed()} }

// Run runs all planners and returns once they have stopped, after the context ended.
func (s *Set) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range s.planners {
		wg.Go(func() { p.Run(ctx) })
	}
	wg.Wait()
}

func (s *Set) plannerOf(id string) *Planner {
	if len(s.planners) == 1 {
		return s.planners[0]
	}
	return s.planners[maphash.String(s.seed, id)%uint64(len(s.planners))]
}

// SubmitRequest submits an Exchange.
func (s *Set) SubmitRequest(x *Exchange) { s.plannerOf(x.ID).SubmitRequest(x) }

// ClientDisconnected reports that an Exchange's client has disconnected.
func (s *Set) ClientDisconnected(x *Exchange) { s.plannerOf(x.ID).ClientDisconnected(x) }

// WorkersUpdated brings an update of the list of workers to all planners, each with a copy of
// its own.
func (s *Set) WorkersUpdated(list dispatcher.UpdateKind, entries []dispatcher.WorkerInfo) {
	for _, p := range s.planners {
		p.WorkersUpdated(list, append([]dispatcher.WorkerInfo(nil), entries...))
	}
}

// Cordon cordons a worker at all planners, or uncordons it if cordon is false, and reports
// whether it is known. The error is that of the context.
func (s *Set) Cordon(ctx context.Context, worker string, cordon bool) (bool, error) {
	n, err := s.sumOverPlanners(ctx, func(p *Planner, reply func(int)) {
		p.Cordon(worker, cordon, func(known bool) {
			if known {
				reply(1)
			} else {
				reply(0)
			}
		})
	})
	return n > 0, err
}

// RestoreCordon cordons a worker at all planners as it was in an earlier run.
func (s *Set) RestoreCordon(worker string) {
	for _, p := range s.planners {
		p.RestoreCordon(worker)
	}
}

// Ping returns once each planner has run a call, or with the context's error.
func (s *Set) Ping(ctx context.Context) error {
	_, err := s.sumOverPlanners(ctx, func(p *Planner, reply func(int)) { p.Ping(func() { reply(0) }) })
	return err
}

// AddSibling adds a sibling in another process at all planners, and returns the state that
// they hand over, by planner.
func (s *Set) AddSibling(ctx context.Context, number int, send func(planner int, s SiblingState)) ([]HandoverState, error) {
	states := make([]HandoverState, len(s.planners))
	at := 0
	_, err := s.sumOverPlanners(ctx, func(p *Planner, done func(int)) {
		i := at
		at++
		p.AddSibling(number, func(s SiblingState) { send(i, s) }, func(e HandoverState) {
			states[i] = e
			done(0)
		})
	})
	return states, err
}

// TakeOver takes over what a sibling's planners have handed over, and adds the sibling.
// Where it has fewer or more planners, each here goes on from one there.
func (s *Set) TakeOver(number int, send func(planner int, s SiblingState), states []HandoverState) {
	for i, p := range s.planners {
		var learned dispatcher.LearnedState
		if len(states) > 0 {
			learned = states[i%len(states)].Learned
		}
		p.TakeOver(number, func(s SiblingState) { send(i, s) }, learned)
	}
	for i, e := range states {
		s.UpdateSibling(number, i, e.Shared)
	}
}

// UpdateSibling brings a message from one of a sibling's planners.
func (s *Set) UpdateSibling(number, planner int, shared SiblingState) {
	for _, p := range s.planners {
		p.UpdateSibling(number, planner, shared)
	}
}

// RemoveSibling removes a sibling whose process has ended.
func (s *Set) RemoveSibling(number int) {
	for _, p := range s.planners {
		p.RemoveSibling(number)
	}
}

// UpdateSettings has all planners take over new settings.
func (s *Set) UpdateSettings(set dispatcher.Settings) {
	for _, p := range s.planners {
		p.UpdateSettings(set)
	}
}

// CountOpen returns how many exchanges are not over, or the context's error.
func (s *Set) CountOpen(ctx context.Context) (int, error) {
	return s.sumOverPlanners(ctx, (*Planner).CountOpen)
}

// FailOpen answers all open exchanges as failed, and returns how many those were.
func (s *Set) FailOpen(ctx context.Context) (int, error) {
	return s.sumOverPlanners(ctx, (*Planner).FailOpen)
}

// sumOverPlanners asks each planner for a number and returns the sum.
func (s *Set) sumOverPlanners(ctx context.Context, ask func(*Planner, func(int))) (sum int, err error) {
	counts := make(chan int, len(s.planners))
	for _, p := range s.planners {
		ask(p, func(n int) { counts <- n })
	}
	for range s.planners {
		select {
		case n := <-counts:
			sum += n
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return sum, nil
}
