package jobs

import (
	"time"

	"sedgevale/admission"
)

// pickWorker returns a worker for one task of a unit, or nil: a random one of those with room that hold less
// than a threshold. Where tasks take whole accelerators, they are packed instead, so that workers stay
// whole for gangs.
func (s *Book) pickWorker(c *cycle, group *taskGroup, plan *gangPlan) *Worker {
	stage := &group.job.Spec.Stages[group.stage]
	fits := s.findFitting(c, group, plan)
	fits = prefer(fits, func(w *Worker) bool { return w.failureRate < maxFailureRate })
	fits = prefer(fits, func(w *Worker) bool { return w.slowdown < maxSlowdown })
	if stage.AffinityTo != "" {
		near := prefer(fits, func(w *Worker) bool { return w.hasLabels(Labels{stage.AffinityTo}) })
		if len(near) > 0 && !near[0].hasLabels(Labels{stage.AffinityTo}) && s.shouldWaitForRack(c, group) {
			return nil
		}
		fits = near
	}
	if len(fits) == 0 {
		return nil
	}
	if stage.GPU > 0 {
		return s.pickPacked(fits, plan)
	}
	candidates := make([]admission.Candidate, len(fits))
	for i, w := range fits {
		candidates[i] = admission.Candidate{Held: w.allocated}
	}
	return fits[admission.PickBelow(candidates, c.meanAllocated+pickMargin, s.random.IntN)]
}

// shouldWaitForRack reports whether a unit should rather wait for room in the rack of its data, or of its gang, than run
// far away: as long as the wait has not cost a part of what running far away would cost, and the rack has a worker at all.
func (s *Book) shouldWaitForRack(c *cycle, group *taskGroup) bool {
	stage := &group.job.Spec.Stages[group.stage]
	far := time.Duration((s.options.FarX - 1) * rackWaitFraction * float64(group.queue.expectedRunTime(stage)))
	if c.now-group.queuedAt >= min(far, maxRackWait) {
		return false
	}
	if stage.AffinityTo == "" {
		return true
	}
	for _, w := range c.readyInRack(stage.AffinityTo) {
		if w.Capacity.Holds(stage.demand()) && w.hasLabels(stage.Constraints) {
			return true
		}
	}
	return false
}

// pickPacked returns the worker with the fewest free accelerators, a random one among equals.
func (s *Book) pickPacked(fits []*Worker, plan *gangPlan) *Worker {
	var best *Worker
	least, equal := int64(0), 0
	for _, w := range fits {
		free := w.freeCapacity().GPU
		if plan != nil {
			free -= plan.demand[w].GPU
		}
		switch {
		case best == nil || free < least:
			best, least, equal = w, free, 1
		case free == least:
			equal++
			if s.random.IntN(equal) == 0 {
				best = w
			}
		}
	}
	return best
}
