package jobs

import (
	"cmp"
	"slices"
	"time"
)

const (
	minReservationWait  = 300 * time.Millisecond // a large unit that waits for longer keeps workers for itself
	minReservationShare = 0.2                    // of a usual worker, from which on a task is large
)

// reservation keeps a worker for one task of a unit that waits for room there. It holds for one pass.
type reservation struct {
	holder     *taskGroup
	worker     *Worker
	spare      Resources // what others may take without keeping the holder from its room
	spareKnown bool      // beside was worked out
}

// spareCapacity returns what others may take of the worker without keeping the holder from its room.
func (r *reservation) spareCapacity() Resources {
	if !r.spareKnown {
		r.spareKnown = true
		r.spare = r.worker.spareBeside(r.holder.job.Spec.Stages[r.holder.stage].demand())
	}
	return r.spare
}

// takeSpare counts what another unit takes of the room beside the holder.
func (r *reservation) takeSpare(demand Resources) {
	if r.spareKnown {
		left := r.spare.minus(demand)
		r.spare = Resources{max(0, left.CPU), max(0, left.MemMB), max(0, left.GPU)}
	}
}

// reserve keeps workers for a large unit that has waited for some time: those that could hold it and have the most
// room already, at most half of all.
func (s *Book) reserve(c *cycle, group *taskGroup, members int) {
	stage := &group.job.Spec.Stages[group.stage]
	if c.now-group.queuedAt < minReservationWait || s.taskShare(stage) < minReservationShare {
		return
	}
	for _, w := range s.leastAllocatedFirst() {
		if members == 0 || len(c.reservations)*2 >= len(c.ready) {
			return
		}
		if c.reservations[w] != nil || !s.feasible(w, group, 0) {
			continue
		}
		c.reservations[w] = &reservation{holder: group, worker: w}
		members--
	}
}

// leastAllocatedFirst returns the ready workers, those that held least first when it was asked for the first time since they were
// listed.
func (s *Book) leastAllocatedFirst() []*Worker {
	if len(s.leastAllocated) != len(s.readyWorkers) {
		s.leastAllocated = slices.Clone(s.readyWorkers)
		slices.SortStableFunc(s.leastAllocated, func(a, b *Worker) int { return cmp.Compare(a.allocated, b.allocated) })
	}
	return s.leastAllocated
}

// spareBeside returns what a worker has left for others once a task with some demand runs there. Of what runs now the
// smallest stays, as much as fits beside that task: the rest has to end before the task can start anyway.
func (w *Worker) spareBeside(demand Resources) Resources {
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

// reservationAllows reports whether a unit may take so much of a worker as far as reservations go.
func (c *cycle) reservationAllows(w *Worker, group *taskGroup, wanted Resources) bool {
	kept := c.reservations[w]
	return kept == nil || kept.holder == group || c.ignoreReservations || kept.spareCapacity().Holds(wanted)
}
