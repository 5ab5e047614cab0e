package jobs

import "time"

// taskGroup is what waits of one step in one time: its tasks are alike. A gang leaves as a whole.
type taskGroup struct {
	job        *Job
	occurrence *Occurrence
	stage      int
	queue      *Queue
	tasks      []int // indexes of waiting tasks
	deadline   time.Duration
	sequence   uint64 // between equal deadlines
	queuedAt   time.Duration
	gang       bool
	class      triageClass // as of the last round
}

func lessGroup(a, b *taskGroup) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.sequence < b.sequence
}

// enqueueStage queues the waiting tasks of a step whose turn has come.
func (s *Book) enqueueStage(now time.Duration, job *Job, occurrence *Occurrence, stageIndex int) {
	if !job.dependenciesCompleted(occurrence, stageIndex) {
		return
	}
	for index := range occurrence.Stages[stageIndex].Tasks {
		if occurrence.Stages[stageIndex].Tasks[index].State == TaskPending {
			s.enqueue(now, job, occurrence, stageIndex, index)
		}
	}
}

// requeueStage queues what waits of a step; a gang only once none of its members is assigned.
func (s *Book) requeueStage(now time.Duration, job *Job, occurrence *Occurrence, stageIndex int) {
	if job.Spec.Stages[stageIndex].Gang {
		for index := range occurrence.Stages[stageIndex].Tasks {
			if occurrence.Stages[stageIndex].Tasks[index].State == TaskAssigned {
				return
			}
		}
	}
	s.enqueueStage(now, job, occurrence, stageIndex)
}

// enqueue queues a task. A gang is queued once all its members wait.
func (s *Book) enqueue(now time.Duration, job *Job, occurrence *Occurrence, stageIndex, index int) {
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
		job: job, occurrence: occurrence, stage: stageIndex, queue: q, tasks: []int{index}, sequence: s.groupSequence, queuedAt: now, gang: stage.Gang,
		deadline: s.deadline(q, job, occurrence),
	}
	job.pending = append(job.pending, group)
	q.pending.ReplaceOrInsert(group)
	q.pendingDemand += s.taskShare(stage)
	s.needsCycle = true
}

// dequeue takes tasks out of a unit, and the unit out of its queue when it is empty.
func (s *Book) dequeue(group *taskGroup, count int) {
	group.tasks = group.tasks[count:]
	group.queue.pendingDemand = max(0, group.queue.pendingDemand-float64(count)*s.taskShare(&group.job.Spec.Stages[group.stage]))
	if len(group.tasks) > 0 {
		return
	}
	group.queue.pending.Delete(group)
	if group.queue.pending.Len() == 0 {
		group.queue.pendingDemand = 0
	}
	for i, other := range group.job.pending {
		if other == group {
			group.job.pending = append(group.job.pending[:i], group.job.pending[i+1:]...)
			break
		}
	}
}

// withdraw takes one task out of a unit.
func (s *Book) withdraw(group *taskGroup, index int) {
	for i, other := range group.tasks {
		if other == index {
			group.tasks[0], group.tasks[i] = group.tasks[i], group.tasks[0]
			s.dequeue(group, 1)
			return
		}
	}
}

// deadline returns when a job should be done: its longest chain of estimates, extended, and the queue's target.
func (s *Book) deadline(q *Queue, job *Job, occurrence *Occurrence) time.Duration {
	chain := make([]time.Duration, len(job.Spec.Stages))
	longest := time.Duration(0)
	for i := range job.Spec.Stages {
		before := time.Duration(0)
		for _, earlier := range job.Spec.Stages[i].DependsOn {
			before = max(before, chain[earlier])
		}
		chain[i] = before + q.expectedRunTime(&job.Spec.Stages[i])
		longest = max(longest, chain[i])
	}
	target := time.Duration(q.TargetLatencyMS * float64(time.Millisecond))
	return occurrence.dueAt + target + time.Duration(q.Extension*float64(longest))
}

// taskShare returns how much of a usual worker one task of a step takes.
func (s *Book) taskShare(stage *Stage) float64 {
	if s.meanCapacity.CPU == 0 {
		return 0
	}
	return min(1, s.meanCapacity.dominantShare(stage.demand()))
}

// recountPendingDemand counts anew what each queue waits for, in parts of a mean worker that has changed.
func (s *Book) recountPendingDemand() {
	for _, q := range s.queues {
		q.pendingDemand = 0
		q.pending.Ascend(func(group *taskGroup) bool {
			q.pendingDemand += float64(len(group.tasks)) * s.taskShare(&group.job.Spec.Stages[group.stage])
			return true
		})
	}
}

// updateMeanCapacity works out the mean worker, by which the size of tasks is told.
func (s *Book) updateMeanCapacity() {
	var sum Resources
	n := int64(0)
	for _, w := range s.workers {
		if w.State == Ready {
			sum = sum.plus(w.Capacity)
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

// scanFrom visits waiting units from a place on, as many as are left to look at, and reports whether it came to the
// end of the queue. The place is moved on.
func (q *Queue) scanFrom(place **taskGroup, left *int, visit func(*taskGroup)) (ended bool) {
	ended = true
	look := func(group *taskGroup) bool {
		if *left == 0 {
			*place, ended = group, false
			return false
		}
		*left--
		visit(group)
		return true
	}
	if from := *place; from != nil {
		q.pending.AscendGreaterOrEqual(from, look)
	} else {
		q.pending.Ascend(look)
	}
	if ended {
		*place = nil
	}
	return ended
}
