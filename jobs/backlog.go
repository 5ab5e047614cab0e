package jobs

import "time"

// taskGroup holds the pending tasks of one stage in one occurrence of a job and is the element of a queue. Its tasks are
// identical. The tasks of a gang are placed together.
type taskGroup struct {
	job        *Job
	occurrence *Occurrence
	stage      int // index of the stage
	queue      *Queue
	tasks      []int // indexes of the pending tasks
	deadline   time.Duration
	sequence   uint64 // orders groups with equal deadlines
	queuedAt   time.Duration
	gang       bool
	class      triageClass // class assigned by the triage with the number in triage; see Queue.classOf
	triage     int         // number of the queue's triage that set class; 0 if none did
}

// spec returns the stage's specification.
func (g *taskGroup) spec() *Stage { return &g.job.Spec.Stages[g.stage] }

// isLongRunning reports whether the group's tasks run until their job is cancelled.
func (g *taskGroup) isLongRunning() bool { return g.job.isLongRunning(g.stage) }

// lessGroup orders groups by deadline, then by sequence.
func lessGroup(a, b *taskGroup) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.sequence < b.sequence
}

// enqueueStage enqueues the pending tasks of a stage if its dependencies have completed.
func (s *Scheduler) enqueueStage(now time.Duration, job *Job, occurrence *Occurrence, stageIndex int) {
	if !job.dependenciesCompleted(occurrence, stageIndex) {
		return
	}
	for index := range occurrence.Stages[stageIndex].Tasks {
		if occurrence.Stages[stageIndex].Tasks[index].State == TaskPending {
			s.enqueue(now, job, occurrence, stageIndex, index)
		}
	}
}

// requeueStage enqueues the pending tasks of a stage. A gang is enqueued only if none of its members is assigned.
func (s *Scheduler) requeueStage(now time.Duration, job *Job, occurrence *Occurrence, stageIndex int) {
	if job.Spec.Stages[stageIndex].Gang {
		for index := range occurrence.Stages[stageIndex].Tasks {
			if occurrence.Stages[stageIndex].Tasks[index].State == TaskAssigned {
				return
			}
		}
	}
	s.enqueueStage(now, job, occurrence, stageIndex)
}

// enqueue adds a task to the group of its stage and adds a new group to its queue.
func (s *Scheduler) enqueue(now time.Duration, job *Job, occurrence *Occurrence, stageIndex, index int) {
	stage := &job.Spec.Stages[stageIndex]
	for _, group := range job.pending {
		if group.occurrence == occurrence && group.stage == stageIndex {
			group.tasks = append(group.tasks, index)
			group.queue.pendingDemand += s.taskShare(stage)
			s.needsCycle = true
			return
		}
	}
	q := s.queue(job.Queue)
	s.groupSequence++
	group := &taskGroup{
		job: job, occurrence: occurrence, stage: stageIndex, queue: q, tasks: []int{index}, sequence: s.groupSequence,
		queuedAt: now, gang: stage.Gang, deadline: q.deadline(job, occurrence),
	}
	job.pending = append(job.pending, group)
	q.pending.ReplaceOrInsert(group)
	q.pendingDemand += s.taskShare(stage)
	s.needsCycle = true
}

// dequeue removes the first count tasks from a group, and removes an empty group from its queue and job.
func (s *Scheduler) dequeue(group *taskGroup, count int) {
	q := group.queue
	group.tasks = group.tasks[count:]
	q.pendingDemand = max(0, q.pendingDemand-float64(count)*s.taskShare(group.spec()))
	if len(group.tasks) > 0 {
		return
	}
	q.pending.Delete(group)
	if q.pending.Len() == 0 {
		q.pendingDemand = 0 // discards accumulated rounding errors
	}
	for i, other := range group.job.pending {
		if other == group {
			group.job.pending = append(group.job.pending[:i], group.job.pending[i+1:]...)
			break
		}
	}
}

// removeTask removes the task with the given index from a group.
func (s *Scheduler) removeTask(group *taskGroup, index int) {
	for i, other := range group.tasks {
		if other == index {
			group.tasks[0], group.tasks[i] = group.tasks[i], group.tasks[0]
			s.dequeue(group, 1)
			return
		}
	}
}

// deadline returns the time by which an occurrence should complete: the time at which it became due, plus the queue's target
// latency, plus the expected run time of the critical path multiplied by the queue's extension.
func (q *Queue) deadline(job *Job, occurrence *Occurrence) time.Duration {
	pathLengths := make([]time.Duration, len(job.Spec.Stages)) // expected time from the start of the job to the end of each stage
	criticalPath := time.Duration(0)
	for i := range job.Spec.Stages {
		start := time.Duration(0)
		for _, earlier := range job.Spec.Stages[i].DependsOn {
			start = max(start, pathLengths[earlier])
		}
		pathLengths[i] = start + q.expectedRunTime(&job.Spec.Stages[i])
		criticalPath = max(criticalPath, pathLengths[i])
	}
	target := time.Duration(q.TargetLatencyMS * float64(time.Millisecond))
	return occurrence.dueAt + target + time.Duration(q.Extension*float64(criticalPath))
}

// taskShare returns the dominant share of one task of the stage on a mean worker, capped at 1, or 0 while the mean is unknown.
func (s *Scheduler) taskShare(stage *Stage) float64 {
	if s.meanCapacity.CPU == 0 {
		return 0
	}
	return min(1, s.meanCapacity.dominantShare(stage.demand()))
}

// recountPendingDemand recomputes the pending demand of all queues after a change of the mean capacity.
func (s *Scheduler) recountPendingDemand() {
	for _, q := range s.queues {
		q.pendingDemand = 0
		q.pending.Ascend(func(group *taskGroup) bool {
			q.pendingDemand += float64(len(group.tasks)) * s.taskShare(group.spec())
			return true
		})
	}
}

// updateMeanCapacity recomputes the mean capacity of the ready workers, which is the unit of demand. The last value remains if
// no worker is ready.
func (s *Scheduler) updateMeanCapacity() {
	var sum Resources
	n := int64(0)
	for _, w := range s.workers {
		if w.State == Ready {
			sum = sum.Plus(w.Capacity)
			n++
		}
	}
	if n == 0 {
		return
	}
	mean := Resources{sum.CPU / n, sum.MemMB / n, sum.GPU / n}
	if mean != s.meanCapacity {
		s.meanCapacity = mean
		s.recountPendingDemand()
	}
}

// scanFrom visits pending groups in order of deadline, starting at the cursor (nil for the first group), until the budget is
// used up. It sets the cursor to the first group that was not visited, or to nil at the end of the queue, and reports whether
// it reached the end. The visit function may change the budget.
func (q *Queue) scanFrom(cursor **taskGroup, budget *int, visit func(*taskGroup)) (ended bool) {
	ended = true
	next := func(group *taskGroup) bool {
		if *budget == 0 {
			*cursor, ended = group, false
			return false
		}
		*budget--
		visit(group)
		return true
	}
	if from := *cursor; from != nil {
		q.pending.AscendGreaterOrEqual(from, next)
	} else {
		q.pending.Ascend(next)
	}
	if ended {
		*cursor = nil
	}
	return ended
}
