package jobs

import "time"

// Limits, headroom and reservations decide what is placed first. A group that has waited for long, and whose job has nothing
// assigned, is no longer held back by limits and headroom. Reservations hold it back as long as there is load, unless its
// tasks are long-running.
const (
	minOverdueWait          = 1500 * time.Millisecond // of a long-running task, or of any while the workers are mostly idle
	minOverdueWaitUnderLoad = 6 * time.Second         // of others
	maxOverdueScan          = 1024                    // pending groups that are visited in a tick
	maxOverdueGroups        = 64                      // of these, groups that are tried
	maxIdleUtilization      = 0.6                     // utilization of cores up to which workers are mostly idle
)

// placeOverdueGroups places overdue groups in the capacity that the queues within their limits have left in this cycle: one
// task of each job, or all long-running ones, each of which has to run all the time.
func (s *Scheduler) placeOverdueGroups(c *cycle) {
	idle := c.coreUtilization() < maxIdleUtilization
	for _, group := range s.overdueGroups(c, idle) {
		c.ignoreReservations = idle || group.isLongRunning()
		s.placeOverdueGroup(c, group)
	}
}

// coreUtilization returns the fraction of the cores of ready workers that runs take.
func (c *cycle) coreUtilization() float64 {
	used, all := int64(0), int64(0)
	for _, w := range c.ready {
		used += w.used.CPU
		all += w.Capacity.CPU
	}
	return ratio(used, all)
}

// overdueGroups returns overdue groups among those that one tick scans; the next scan resumes behind them. A group that was
// found unschedulable in this cycle is tried again only if it may now ignore reservations.
func (s *Scheduler) overdueGroups(c *cycle, idle bool) []*taskGroup {
	var found []*taskGroup
	budget := maxOverdueScan
	for range s.queueOrder {
		q := s.queueOrder[s.overdueQueue%len(s.queueOrder)]
		ended := q.scanFrom(&q.overdueResumeAt, &budget, func(group *taskGroup) {
			if c.isOverdue(group, idle) && (idle || group.isLongRunning() || !c.unschedulable[group]) {
				found = append(found, group)
			}
			if len(found) == maxOverdueGroups {
				budget = 0
			}
		})
		if !ended {
			return found
		}
		s.overdueQueue++
	}
	return found
}

// isOverdue reports whether a group has waited for too long.
func (c *cycle) isOverdue(group *taskGroup, idle bool) bool {
	waited := c.now - group.queuedAt
	if group.isLongRunning() {
		return waited >= minOverdueWait
	}
	return group.job.assigned == 0 && (waited >= minOverdueWaitUnderLoad || idle && waited >= minOverdueWait)
}

// placeOverdueGroup places all members of a gang, all tasks of a long-running stage, or one task of another.
func (s *Scheduler) placeOverdueGroup(c *cycle, group *taskGroup) {
	if group.gang {
		s.placeGang(c, group)
		return
	}
	count := 1
	if group.isLongRunning() {
		count = len(group.tasks)
	}
	for range count {
		w := s.pickWorker(c, group, nil)
		if w == nil {
			return
		}
		s.assignNext(c, group, w)
	}
}
