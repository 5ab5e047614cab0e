package jobs

import (
	"cmp"
	"slices"
	"time"
)

const (
	minReservationWait  = 300 * time.Millisecond // wait from which on a group reserves workers
	minReservationShare = 0.2                    // of a mean worker, from which on a task is large
)

// reservation reserves a worker for one task of a group that waits for capacity there, as in backfill scheduling: other
// groups may use what does not delay that task. It is valid for one cycle.
type reservation struct {
	group         *taskGroup
	worker        *Worker
	backfill      Resources // what others may take without delaying the holder
	backfillKnown bool      // spare is computed
}

// backfillCapacity returns what others may take of the worker without delaying the holder.
func (r *reservation) backfillCapacity() Resources {
	if !r.backfillKnown {
		r.backfillKnown = true
		r.backfill = r.worker.backfillCapacity(r.group.spec().demand())
	}
	return r.backfill
}

// takeBackfill subtracts what another group takes.
func (r *reservation) takeBackfill(demand Resources) {
	if r.backfillKnown {
		left := r.backfill.minus(demand)
		r.backfill = Resources{max(0, left.CPU), max(0, left.MemMB), max(0, left.GPU)}
	}
}

// reserve reserves workers for the members of a group of large tasks that has waited for some time: the least allocated ones
// that are feasible. At most half of the ready workers are reserved in all.
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

// leastAllocatedFirst returns the ready workers, sorted by what they had allocated at the first call since they were listed.
func (s *Scheduler) leastAllocatedFirst() []*Worker {
	if len(s.leastAllocated) != len(s.readyWorkers) {
		s.leastAllocated = slices.Clone(s.readyWorkers)
		slices.SortStableFunc(s.leastAllocated, func(a, b *Worker) int { return cmp.Compare(a.allocated, b.allocated) })
	}
	return s.leastAllocated
}

// backfillCapacity returns what a worker has left for others once a task with some demand runs there. Of the present runs the
// smallest stay, as far as they fit beside that task; the others have to end before it can start anyway.
func (w *Worker) backfillCapacity(demand Resources) Resources {
	left := w.Capacity.minus(demand)
	runs := make([]*Run, 0, len(w.Runs))
	for _, run := range w.Runs {
		if !run.stopping {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *Run) int { return cmp.Compare(a.share, b.share) })
	for _, run := range runs {
		if !left.Holds(run.demand) {
			break
		}
		left = left.minus(run.demand)
	}
	return left
}

// reservationAllows reports whether reservations let a group take so much of a worker.
func (c *cycle) reservationAllows(w *Worker, group *taskGroup, demand Resources) bool {
	reserved := c.reservations[w]
	return reserved == nil || reserved.group == group || c.ignoreReservations || reserved.backfillCapacity().Holds(demand)
}
