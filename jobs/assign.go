package jobs

// placeTasks places the tasks of a group one at a time. It reports whether the queue still has credit.
func (s *Scheduler) placeTasks(c *cycle, group *taskGroup) bool {
	for len(group.tasks) > 0 {
		if group.queue.isAtLimit(group) {
			return true
		}
		w := s.pickWorker(c, group, nil)
		if w == nil {
			s.markUnschedulable(c, group, 1)
			return true
		}
		if !s.assignNext(c, group, w) {
			return false
		}
	}
	return true
}

// assignNext assigns the next task of a group to a worker. It reports whether the queue still has credit.
func (s *Scheduler) assignNext(c *cycle, group *taskGroup, w *Worker) bool {
	work := group.estimatedWork()
	index := group.tasks[0]
	s.dequeue(group, 1)
	s.assign(c, group, w, index)
	return group.queue.deficit.Charge(work)
}

// assign assigns a task to a worker. The start is sent only after the assignment is committed.
func (s *Scheduler) assign(c *cycle, group *taskGroup, w *Worker, index int) {
	task := &group.occurrence.Stages[group.stage].Tasks[index]
	group.job.setTaskState(task, TaskAssigned)
	task.Attempt++
	task.Worker = w.Ref
	group.job.everAssigned = true
	position := taskPosition{group.job.ID, group.occurrence.Number, group.stage, index}
	run := newRun(c.now, position, group.job, task, group.queue)
	run.share = w.shareOf(run.demand)
	w.add(run)
	c.assigned++
	if reserved := c.reservations[w]; reserved != nil && reserved.group != group {
		reserved.takeBackfill(run.demand)
	}
	group.queue.countStart(w)
	s.markDirty(group.job)
	s.onDurable(func() {
		run.durable = true
		w.ordersDue = true
	})
}

// markUnschedulable excludes a group from the rest of the cycle. If no worker is feasible for the group, its demand does not
// count towards its queue's claim on the capacity. Otherwise the group may reserve workers for its members.
func (s *Scheduler) markUnschedulable(c *cycle, group *taskGroup, members int) {
	c.unschedulable[group] = true
	if !c.feasibleAnywhere(group) {
		group.queue.unschedulableDemand += float64(len(group.tasks)) * s.taskShare(group.spec())
		return
	}
	s.reserve(c, group, members)
}
