package jobs

import (
	"sort"
	"time"
)

const (
	minPreemptionWait  = 150 * time.Millisecond // a unit that waits for longer may take the room of less urgent work
	preemptionInterval = 100 * time.Millisecond // between two looks for work to preempt
	maxPreemptedShare  = 0.5                    // parts of workers that are freed at a time
)

// maxPreemptiblePercent is the progress, in percent, from which on a run is left to end by itself.
const maxPreemptiblePercent = 80

// preempt stops runs of less urgent queues where work of the first priority waits for room. Only tasks that save
// checkpoints are stopped, the ones that have run for the shortest time first, so that little is done twice.
func (s *Book) preempt(c *cycle) {
	if c.now < s.nextPreemption {
		return
	}
	wanted, labels := s.urgentDemand(c)
	if wanted == 0 {
		return
	}
	s.nextPreemption = c.now + preemptionInterval
	wanted = min(wanted, maxPreemptedShare) - s.sharesBeingFreed()
	for _, run := range s.victims(labels) {
		if wanted <= 0 {
			return
		}
		run.stopping = true
		run.lastSent = 0
		s.workers[run.worker].ordersDue = true
		wanted -= run.share
	}
}

// urgentDemand returns how much of workers the first priority waits for, in time and for some time already, and what
// labels the first of that asks for.
func (s *Book) urgentDemand(c *cycle) (wanted float64, labels Labels) {
	for _, q := range s.queueOrder {
		if q.Priority != 0 {
			break
		}
		q.pending.Ascend(func(group *taskGroup) bool {
			if !c.unschedulable[group] || c.now-group.queuedAt < minPreemptionWait || group.deadline < c.now || group.gang || !s.feasibleAnywhere(c, group) {
				return true
			}
			if wanted == 0 {
				labels = group.job.Spec.Stages[group.stage].Constraints
			}
			wanted += float64(len(group.tasks)) * s.taskShare(&group.job.Spec.Stages[group.stage])
			return wanted < maxPreemptedShare
		})
	}
	return wanted, labels
}

// sharesBeingFreed returns how much of workers is being freed already.
func (s *Book) sharesBeingFreed() float64 {
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

// victims returns the runs that may be preempted, the least urgent and then the youngest first.
func (s *Book) victims(labels Labels) []*Run {
	var found []*Run
	for _, w := range s.workers {
		if w.State != Ready || !w.hasLabels(labels) {
			continue
		}
		for _, run := range w.Runs {
			if s.mayPreempt(run) {
				found = append(found, run)
			}
		}
	}
	sort.Slice(found, func(i, j int) bool {
		if found[i].queue.Priority != found[j].queue.Priority {
			return found[i].queue.Priority > found[j].queue.Priority
		}
		return found[i].assignedAt > found[j].assignedAt
	})
	return found
}

// mayPreempt reports whether a run can be stopped without losing much of its work.
func (s *Book) mayPreempt(run *Run) bool {
	if run.stopping || !run.reported || run.job == nil || run.queue == nil || run.queue.Priority == 0 {
		return false
	}
	stage := &run.job.Spec.Stages[run.position.stage]
	return stage.Checkpoints && !stage.Gang && !run.job.isLongRunning(run.position.stage) && run.percent < maxPreemptiblePercent
}
