package jobs

import "time"

// Limits, the room kept for the first priority, and reservations decide who goes first. Work that has waited for long, with
// nothing of its job at work, is no longer held back by the first two; by reservations it is, for as long as there is load,
// unless it lasts.
const (
	minOverdueWait          = 1500 * time.Millisecond // a unit that waits for longer is not held back by its queue's limit or credit,
	minOverdueWaitUnderLoad = 6 * time.Second         // nor one that waits for longer under load, when limits keep room for the urgent
	maxOverdueScan          = 1024                    // waiting units that are looked at in one round
	maxOverdueGroups        = 64                      // of these, units that are tried
	maxIdleUtilization      = 0.6                     // part of the cores in use up to which there is no load
)

// placeOverdueGroups places what has waited for too long, one task of each job, in room that all queues within their limits
// have left in this pass. Reservations hold it back only under load, when they decide who waits, and never tasks that
// last, since each of these is wanted at work all the time.
func (s *Book) placeOverdueGroups(c *cycle) {
	idle := s.coreUtilization(c) < maxIdleUtilization
	for _, group := range s.overdueGroups(c, idle) {
		c.ignoreReservations = idle || group.job.isLongRunning(group.stage)
		s.placeOverdueGroup(c, group)
	}
}

// coreUtilization returns the part of all cores of ready workers that runs take.
func (s *Book) coreUtilization(c *cycle) float64 {
	used, all := int64(0), int64(0)
	for _, w := range c.ready {
		used += w.used.CPU
		all += w.Capacity.CPU
	}
	return ratio(used, all)
}

// overdueGroups returns units that are overdue, of as many waiting ones as one round looks at; the next round goes on behind
// them. What was found to fit nowhere in this pass is left out, unless reservations were all that kept it out.
func (s *Book) overdueGroups(c *cycle, idle bool) []*taskGroup {
	var found []*taskGroup
	look := maxOverdueScan
	for range s.queueOrder {
		q := s.queueOrder[s.overdueQueue%len(s.queueOrder)]
		ended := q.scanFrom(&q.overdueResumeAt, &look, func(group *taskGroup) {
			if c.isOverdue(group, idle) && (idle || group.job.isLongRunning(group.stage) || !c.unschedulable[group]) {
				found = append(found, group)
			}
			if len(found) == maxOverdueGroups {
				look = 0
			}
		})
		if !ended {
			return found
		}
		s.overdueQueue++
	}
	return found
}

// isOverdue reports whether a unit has waited for too long: a task that lasts, or one of a job with nothing at work.
func (c *cycle) isOverdue(group *taskGroup, idle bool) bool {
	waited := c.now - group.queuedAt
	if group.job.isLongRunning(group.stage) {
		return waited >= minOverdueWait
	}
	return group.job.assigned == 0 && (waited >= minOverdueWaitUnderLoad || idle && waited >= minOverdueWait)
}

// placeOverdueGroup places the first task of a unit, all tasks of one that lasts, or a gang as a whole.
func (s *Book) placeOverdueGroup(c *cycle, group *taskGroup) {
	if group.gang {
		s.placeGang(c, group)
		return
	}
	count := 1
	if group.job.isLongRunning(group.stage) {
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
