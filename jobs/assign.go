package jobs

// placeTasks places tasks of a unit one by one. It reports whether the queue still has credit.
func (s *Book) placeTasks(c *cycle, group *taskGroup) bool {
	for len(group.tasks) > 0 {
		if group.queue.allocated >= group.queue.limitFor(group) && group.queue.allocated > 0 {
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

// assignNext starts the next task of a unit. It reports whether the queue still has credit.
func (s *Book) assignNext(c *cycle, group *taskGroup, w *Worker) bool {
	work := s.estimatedWork(group)
	index := group.tasks[0]
	s.dequeue(group, 1)
	s.assign(c, group, w, index)
	return group.queue.deficit.Pay(work)
}

// assign assigns a task to a worker. The order may be sent once the change is durable.
func (s *Book) assign(c *cycle, group *taskGroup, w *Worker, index int) {
	task := &group.occurrence.Stages[group.stage].Tasks[index]
	group.job.setTaskState(task, TaskAssigned)
	task.Attempt++
	task.Worker = w.Ref
	group.job.everAssigned = true
	demand := group.job.Spec.Stages[group.stage].demand()
	run := &Run{
		Key: RunRef{TaskName(group.job.ID, group.occurrence.Number, group.stage, index), task.Attempt}, job: group.job,
		position: taskPosition{group.job.ID, group.occurrence.Number, group.stage, index}, demand: demand, queue: group.queue,
		share: min(1, w.Capacity.dominantShare(demand)), assignedAt: c.now, worker: w.Ref,
	}
	w.add(run)
	c.started++
	if kept := c.reservations[w]; kept != nil && kept.holder != group {
		kept.takeSpare(demand)
	}
	group.queue.countStart(w)
	s.markDirty(group.job)
	s.onDurable(func() {
		run.durable = true
		w.ordersDue = true
	})
}

// markUnschedulable notes that a unit cannot be placed in this pass. Where no worker could take it even if that were empty, it
// claims no share of the room; else a large one keeps workers for itself.
func (s *Book) markUnschedulable(c *cycle, group *taskGroup, members int) {
	c.unschedulable[group] = true
	if !s.feasibleAnywhere(c, group) {
		group.queue.unschedulableDemand += float64(len(group.tasks)) * s.taskShare(&group.job.Spec.Stages[group.stage])
		return
	}
	s.reserve(c, group, members)
}
