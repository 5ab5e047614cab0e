package jobs

import (
	"sort"
	"time"
)

const (
	minPreemptionWait     = 150 * time.Millisecond // wait after which a group of the highest priority preempts runs
	preemptionInterval    = 100 * time.Millisecond // minimum interval between preemptions
	maxPreemptedShare     = 0.5                    // maximum share, in workers, that is being freed at a time
	maxPreemptiblePercent = 80                     // progress at and above which a run is not preempted
)

// preempt stops runs of lower priorities while groups of the highest priority wait for capacity. It stops only runs that save
// checkpoints, the most recently assigned first within a priority, so that little work is lost.
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

// preemptingDemand returns the demand of the groups that may preempt, counted until it reaches maxPreemptedShare, and the
// constraints of the first of these groups.
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

// mayPreempt reports whether a group of the highest priority may preempt runs: it was unschedulable for long enough although a
// worker is feasible, its deadline has not passed, and it is not a gang.
func (c *cycle) mayPreempt(group *taskGroup) bool {
	return c.unschedulable[group] && c.now-group.queuedAt >= minPreemptionWait && group.deadline >= c.now && !group.gang &&
		c.feasibleAnywhere(group)
}

// shareBeingFreed returns the sum of the shares of the runs that are stopping on ready workers.
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

// preemptionVictims returns the preemptible runs on ready workers with the given labels, the lowest priority first and,
// within a priority, the most recently assigned first.
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

// isPreemptible reports whether the run may be stopped in favor of the highest priority with little loss of work.
func (r *Run) isPreemptible() bool {
	if r.stopping || !r.reported || r.job == nil || r.queue == nil || r.queue.Priority == 0 {
		return false
	}
	stage := r.spec()
	return stage.Checkpoints && !stage.Gang && !r.job.isLongRunning(r.position.stage) && r.percent < maxPreemptiblePercent
}
