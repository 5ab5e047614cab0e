package jobs

import "time"

// A group becomes overdue when it has waited too long while its job has no assigned tasks; a long-running group becomes overdue
// regardless of assigned tasks. Limits and headroom do not apply to overdue groups. Reservations still apply under load, except
// to long-running groups.
const (
	minOverdueWait          = 1500 * time.Millisecond // wait of a long-running group, or of any group below maxIdleUtilization
	minOverdueWaitUnderLoad = 6 * time.Second         // wait of other groups
	maxOverdueScan          = 1024                    // maximum pending groups that are visited per tick
	maxOverdueGroups        = 64                      // maximum overdue groups that are placed per tick
	maxIdleUtilization      = 0.6                     // core utilization below which the workers count as mostly idle
)

// placeOverdueGroups places overdue groups in the capacity that remains after the queues were served within their limits: one
// task per group, or all tasks of a long-running group, because each of them must run all the time.
func (s *Scheduler) placeOverdueGroups(c *cycle) {
	idle := c.coreUtilization() < maxIdleUtilization
	for _, group := range s.overdueGroups(c, idle) {
		c.ignoreReservations = idle || group.isLongRunning()
		s.placeOverdueGroup(c, group)
	}
}

// coreUtilization returns the fraction of the ready workers' cores that is used by runs.
func (c *cycle) coreUtilization() float64 {
	used, all := int64(0), int64(0)
	for _, w := range c.ready {
		used += w.used.CPU
		all += w.Capacity.CPU
	}
	return ratio(used, all)
}

// overdueGroups scans a bounded number of pending groups and returns the overdue ones. The next scan resumes where this one
// ended. A group that was unschedulable in this cycle is returned only if it may now ignore reservations.
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

// isOverdue reports whether a group is overdue. The argument idle says whether the workers are mostly idle.
func (c *cycle) isOverdue(group *taskGroup, idle bool) bool {
	waited := c.now - group.queuedAt
	if group.isLongRunning() {
		return waited >= minOverdueWait
	}
	return group.job.assigned == 0 && (waited >= minOverdueWaitUnderLoad || idle && waited >= minOverdueWait)
}

// placeOverdueGroup places all members of a gang, all tasks of a long-running group, or one task of any other group.
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
