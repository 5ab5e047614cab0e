package jobs

import (
	"time"

	"sedgevale/admission"
)

const (
	pickMargin       = 0.1                     // share above the mean up to which a worker may be picked at random
	maxFailureRate   = 0.35                    // workers above it are avoided while others fit
	maxSlowdown      = 2.2                     // workers above it are avoided while others fit
	rackWaitFraction = 0.5                     // of the expected loss by a run in another rack, that a group waits at most
	maxRackWait      = 1500 * time.Millisecond // and never longer, while workers elsewhere are idle
)

// pickWorker returns a worker for one task of a group, or nil: a random one of those that fit and are not above the mean by
// more than a margin. Tasks with accelerators are packed instead, so that some workers remain idle for gangs.
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

// pickPacked returns the worker with the fewest free accelerators, a random one among equals.
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

// shouldWaitForRack reports whether a group should wait for free capacity in the rack of its data, or in one rack for a gang,
// rather than run elsewhere: until the wait costs a fraction of what a run elsewhere would, and only if the rack has a worker
// that could run it.
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
