package dispatchdriver

import (
	"context"
	"hash/maphash"
	"sync"

	"sedgevale/dispatcher"
)

// Set is the set of planners of a process. Each request is assigned to one planner by a hash
// of its ID; updates of workers, settings and siblings go to all planners. The methods may be
// called from any goroutine.
type Set struct {
	planners []*Planner
	seed     maphash.Seed
}

// NewSet returns a Set of planners.
func NewSet(planners ...*Planner) *Set { return &Set{planners, maphash.MakeSeed()} }

// Run runs all planners and returns once they have stopped, after the context is done.
func (s *Set) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range s.planners {
		wg.Go(func() { p.Run(ctx) })
	}
	wg.Wait()
}

// plannerFor returns the planner to which requests with that ID are assigned.
func (s *Set) plannerFor(id string) *Planner {
	if len(s.planners) == 1 {
		return s.planners[0]
	}
	return s.planners[maphash.String(s.seed, id)%uint64(len(s.planners))]
}

// SubmitRequest submits an Exchange to the planner that its ID is assigned to.
func (s *Set) SubmitRequest(x *Exchange) { s.plannerFor(x.ID).SubmitRequest(x) }

// ClientDisconnected reports that an Exchange's client has disconnected.
func (s *Set) ClientDisconnected(x *Exchange) { s.plannerFor(x.ID).ClientDisconnected(x) }

// WorkersUpdated passes an update of the list of workers to all planners. Each planner gets
// its own copy of the entries, since it retains them.
func (s *Set) WorkersUpdated(kind dispatcher.UpdateKind, entries []dispatcher.WorkerInfo) {
	for _, p := range s.planners {
		p.WorkersUpdated(kind, append([]dispatcher.WorkerInfo(nil), entries...))
	}
}

// Cordon cordons a worker at all planners, or uncordons it if cordon is false, and reports
// whether any planner knows the worker. The only error is that of the context.
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

// RestoreCordon restores a cordon of an earlier run of the process at all planners.
func (s *Set) RestoreCordon(worker string) {
	for _, p := range s.planners {
		p.RestoreCordon(worker)
	}
}

// Ping returns once the event loop of each planner has run a command, or the context's error.
func (s *Set) Ping(ctx context.Context) error {
	_, err := s.sumOverPlanners(ctx, func(p *Planner, reply func(int)) { p.Ping(func() { reply(0) }) })
	return err
}

// AddSibling adds a sibling, which is the other process of the same scheduler during an
// upgrade, at all planners. It returns the state that each planner hands over.
func (s *Set) AddSibling(ctx context.Context, number int, send func(planner int, s SiblingState)) ([]HandoverState, error) {
	states := make([]HandoverState, len(s.planners))
	next := 0
	_, err := s.sumOverPlanners(ctx, func(p *Planner, done func(int)) {
		i := next
		next++
		p.AddSibling(number, func(s SiblingState) { send(i, s) }, func(state HandoverState) {
			states[i] = state
			done(0)
		})
	})
	return states, err
}

// TakeOver restores the state that a sibling's planners have handed over, and adds the
// sibling. If the sibling has another number of planners, each planner here restores the
// learned state of one of them.
func (s *Set) TakeOver(number int, send func(planner int, s SiblingState), states []HandoverState) {
	for i, p := range s.planners {
		var learned dispatcher.LearnedState
		if len(states) > 0 {
			learned = states[i%len(states)].Learned
		}
		p.TakeOver(number, func(s SiblingState) { send(i, s) }, learned)
	}
	for i, state := range states {
		s.UpdateSibling(number, i, state.Shared)
	}
}

// UpdateSibling passes a message from one of a sibling's planners to all planners.
func (s *Set) UpdateSibling(number, planner int, shared SiblingState) {
	for _, p := range s.planners {
		p.UpdateSibling(number, planner, shared)
	}
}

// RemoveSibling removes a sibling whose process has ended from all planners.
func (s *Set) RemoveSibling(number int) {
	for _, p := range s.planners {
		p.RemoveSibling(number)
	}
}

// UpdateSettings replaces the settings of all planners; see [Planner.UpdateSettings].
func (s *Set) UpdateSettings(settings dispatcher.Settings) {
	for _, p := range s.planners {
		p.UpdateSettings(settings)
	}
}

// CountOpen returns the number of open exchanges, or the context's error.
func (s *Set) CountOpen(ctx context.Context) (int, error) {
	return s.sumOverPlanners(ctx, (*Planner).CountOpen)
}

// FailOpen answers all unanswered exchanges as failed and returns their number, or the
// context's error.
func (s *Set) FailOpen(ctx context.Context) (int, error) {
	return s.sumOverPlanners(ctx, (*Planner).FailOpen)
}

// sumOverPlanners calls request for each planner, with a callback for the planner's number,
// and returns the sum of the numbers, or the context's error.
func (s *Set) sumOverPlanners(ctx context.Context, request func(p *Planner, reply func(int))) (sum int, err error) {
	counts := make(chan int, len(s.planners))
	for _, p := range s.planners {
		request(p, func(n int) { counts <- n })
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
