package jobs

import (
	"cmp"
	"slices"
	"time"
)

const (
	minReservationWait  = 300 * time.Millisecond // wait after which a group reserves workers
	minReservationShare = 0.2                    // share of a mean worker from which a task reserves workers
)

// reservation reserves a worker for one task of a group that waits for capacity, as in backfill scheduling: other groups may
// use only capacity whose use does not delay that task. A reservation is valid for one cycle.
type reservation struct {
	group         *taskGroup
	worker        *Worker
	backfill      Resources // capacity that other groups may use
	backfillKnown bool      // backfill has been computed
}

// backfillCapacity returns the capacity of the worker that other groups may use without delaying the reserving group.
func (r *reservation) backfillCapacity() Resources {
	if !r.backfillKnown {
		r.backfillKnown = true
		r.backfill = r.worker.backfillCapacity(r.group.spec().demand())
	}
	return r.backfill
}

// takeBackfill subtracts the demand of a task of another group from the backfill capacity.
func (r *reservation) takeBackfill(demand Resources) {
	if r.backfillKnown {
		remaining := r.backfill.Minus(demand)
		r.backfill = Resources{max(0, remaining.CPU), max(0, remaining.MemMB), max(0, remaining.GPU)}
	}
}

// reserve reserves a worker for each member of a group of large tasks that has waited long enough. It chooses the least
// allocated feasible workers and reserves at most half of all ready workers.
func (s *Scheduler) reserve(c *cycle, group *taskGroup, members int) {
	if c.now-group.queuedAt < minReservationWait || s.taskShare(group.spec()) < minReservationShare {
		return
	}
	for _, w := range s.leastAllocatedFirst() {
		if members == 0 || len(c.reservations)*2 >= len(c.ready) {
			return
		}
		if c.reservations[w] != nil || !w.isFeasible(group, 0) {
			continue
		}
		c.reservations[w] = &reservation{group: group, worker: w}
		members--
	}
}

// leastAllocatedFirst returns the ready workers in ascending order of their allocation at the first call after a refresh.
func (s *Scheduler) leastAllocatedFirst() []*Worker {
	if len(s.leastAllocated) != len(s.readyWorkers) {
		s.leastAllocated = slices.Clone(s.readyWorkers)
		slices.SortStableFunc(s.leastAllocated, func(a, b *Worker) int { return cmp.Compare(a.allocated, b.allocated) })
	}
	return s.leastAllocated
}

// backfillCapacity returns the capacity that remains on the worker for other tasks once a task with the given demand runs
// there. It assumes that the smallest current runs stay as long as they fit next to that task. The other runs must end before
// the task can start in any case.
func (w *Worker) backfillCapacity(demand Resources) Resources {
	remaining := w.Capacity.Minus(demand)
	runs := make([]*Run, 0, len(w.Runs))
	for _, run := range w.Runs {
		if !run.stopping {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *Run) int { return cmp.Compare(a.share, b.share) })
	for _, run := range runs {
		if !remaining.Holds(run.demand) {
			break
		}
		remaining = remaining.Minus(run.demand)
	}
	return remaining
}

// reservationAllows reports whether the reservations permit a group to use the given demand on a worker.
func (c *cycle) reservationAllows(w *Worker, group *taskGroup, demand Resources) bool {
	reserved := c.reservations[w]
	return reserved == nil || reserved.group == group || c.ignoreReservations || reserved.backfillCapacity().Holds(demand)
}
