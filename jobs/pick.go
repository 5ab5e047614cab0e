package jobs

import (
	"time"

	"sedgevale/admission"
)

const (
	pickMargin       = 0.1                     // allocation above the mean, in workers, up to which a worker is a candidate
	maxFailureRate   = 0.35                    // failure rate above which a worker is avoided if others fit
	maxSlowdown      = 2.2                     // slowdown above which a worker is avoided if others fit
	rackWaitFraction = 0.5                     // maximum wait as a fraction of the extra run time in another rack
	maxRackWait      = 1500 * time.Millisecond // maximum wait while workers in other racks are idle
)

// pickWorker returns a worker for one task of a group, or nil if none fits or the task should wait for a rack. It picks a
// random one of the fitting workers that are allocated less than pickMargin above the mean, or else the least allocated one.
// Tasks with accelerators are packed instead, so that some workers remain idle for gangs.
func (s *Scheduler) pickWorker(c *cycle, group *taskGroup, plan *gangPlan) *Worker {
	stage := group.spec()
	fitting := s.findFitting(c, group, plan)
	fitting = prefer(fitting, func(w *Worker) bool { return w.failureRate < maxFailureRate })
	fitting = prefer(fitting, func(w *Worker) bool { return w.slowdown < maxSlowdown })
	if stage.AffinityTo != "" {
		inRack := func(w *Worker) bool { return w.hasLabels(Labels{stage.AffinityTo}) }
		fitting = prefer(fitting, inRack)
		if len(fitting) > 0 && !inRack(fitting[0]) && s.shouldWaitForRack(c, group) {
			return nil
		}
	}
	if len(fitting) == 0 {
		return nil
	}
	if stage.GPU > 0 {
		return s.pickPacked(fitting, plan)
	}
	candidates := make([]admission.Candidate, len(fitting))
	for i, w := range fitting {
		candidates[i] = admission.Candidate{InFlight: w.allocated}
	}
	return fitting[admission.PickBelowThreshold(candidates, c.meanAllocated+pickMargin, s.random.IntN)]
}

// pickPacked returns the worker with the fewest free accelerators and breaks ties at random.
func (s *Scheduler) pickPacked(fitting []*Worker, plan *gangPlan) *Worker {
	var best *Worker
	least, equal := int64(0), 0
	for _, w := range fitting {
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

// shouldWaitForRack reports whether a group should wait for free capacity in the rack of its input data, or in one rack for a
// gang, rather than run elsewhere. The wait is bounded by a fraction of the extra run time in another rack and by maxRackWait.
// A group does not wait for a rack without a feasible worker.
func (s *Scheduler) shouldWaitForRack(c *cycle, group *taskGroup) bool {
	stage := group.spec()
	maxWait := time.Duration((s.options.RemoteSlowdown - 1) * rackWaitFraction * float64(group.queue.expectedRunTime(stage)))
	if c.now-group.queuedAt >= min(maxWait, maxRackWait) {
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
