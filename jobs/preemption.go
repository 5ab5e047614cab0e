package jobs

import (
	"sort"
	"time"
)

const (
	minPreemptionWait     = 150 * time.Millisecond // wait from which on a group of the first priority preempts
	preemptionInterval    = 100 * time.Millisecond
	maxPreemptedShare     = 0.5 // sum of the shares that are being freed at a time, in workers
	maxPreemptiblePercent = 80  // progress from which on a run is left to end by itself
)

// preempt stops runs of lower priorities while the first priority waits for capacity. Victims are tasks that save
// checkpoints, the latest assigned first, so that little work is lost.
func (s *Scheduler) preempt(c *cycle) {
	if c.now < s.nextPreemption {
		return
	}
	demand, labels := s.preemptingDemand(c)
	if demand == 0 {
		return
	}
	s.nextPreemption = c.now + preemptionInterval
	missing := min(demand, maxPreemptedShare) - s.shareBeingFreed()
	for _, run := range s.preemptionVictims(labels) {
		if missing <= 0 {
			return
		}
		run.stop()
		s.workers[run.worker].ordersDue = true
		missing -= run.share
	}
}

// preemptingDemand returns the demand of the groups of the first priority that wait for capacity and can still meet their
// deadlines, up to maxPreemptedShare, and the constraints of the first of them.
func (s *Scheduler) preemptingDemand(c *cycle) (demand float64, labels Labels) {
	for _, q := range s.queueOrder {
		if q.Priority != 0 {
			break
		}
		q.pending.Ascend(func(group *taskGroup) bool {
			if !c.mayPreempt(group) {
				return true
			}
			if demand == 0 {
				labels = group.spec().Constraints
			}
			demand += float64(len(group.tasks)) * s.taskShare(group.spec())
			return demand < maxPreemptedShare
		})
	}
	return demand, labels
}

// mayPreempt reports whether a group of the first priority may have others preempted.
func (c *cycle) mayPreempt(group *taskGroup) bool {
	return c.unschedulable[group] && c.now-group.queuedAt >= minPreemptionWait && group.deadline >= c.now && !group.gang &&
		c.feasibleAnywhere(group)
}

// shareBeingFreed returns the sum of the shares of runs that are being stopped on ready workers.
func (s *Scheduler) shareBeingFreed() float64 {
	sum := 0.0
	for _, w := range s.workers {
		if w.State != Ready {
			continue
		}
		for _, run := range w.Runs {
			if run.stopping {
				sum += run.share
			}
		}
	}
	return sum
}

// preemptionVictims returns the runs that may be preempted on ready workers with some labels, those of the lowest priority
// first and of these the latest.
func (s *Scheduler) preemptionVictims(labels Labels) []*Run {
	var victims []*Run
	for _, w := range s.workers {
		if w.State != Ready || !w.hasLabels(labels) {
			continue
		}
		for _, run := range w.Runs {
			if run.isPreemptible() {
				victims = append(victims, run)
			}
		}
	}
	sort.Slice(victims, func(i, j int) bool {
		if victims[i].queue.Priority != victims[j].queue.Priority {
			return victims[i].queue.Priority > victims[j].queue.Priority
		}
		return victims[i].assignedAt > victims[j].assignedAt
	})
	return victims
}

// isPreemptible reports whether the run can be stopped with little loss for work of a higher priority.
func (r *Run) isPreemptible() bool {
	if r.stopping || !r.reported || r.job == nil || r.queue == nil || r.queue.Priority == 0 {
		return false
	}
	stage := r.spec()
	return stage.Checkpoints && !stage.Gang && !r.job.isLongRunning(r.position.stage) && r.percent < maxPreemptiblePercent
}
