package jobs

import "time"

// outcomeGain is the EWMA weight of one run in a worker's failure rate and slowdown.
const outcomeGain = 0.2

// maxSlowdownSample is the maximum slowdown of one run that enters a worker's EWMA.
const maxSlowdownSample = 10

// applyFinished applies the finished runs of a report that were not applied before. They are acknowledged to the agent after
// the resulting changes are committed.
func (s *Scheduler) applyFinished(now time.Duration, w *Worker, r *Report) {
	last := w.appliedCompletions
	for _, end := range r.Finished {
		if end.Number <= w.appliedCompletions {
			continue
		}
		last = max(last, end.Number)
		s.finishRun(now, w, end.Ref(), end.Outcome, end.Checkpoint)
	}
	if last == w.appliedCompletions {
		return
	}
	w.appliedCompletions = last
	s.onDurable(func() {
		w.durableCompletions = max(w.durableCompletions, last)
		w.ordersDue = true
	})
}

// finishRun applies the outcome and the final checkpoint of a run.
func (s *Scheduler) finishRun(now time.Duration, w *Worker, key RunRef, outcome, checkpoint string) {
	s.needsCycle = true
	run := w.Runs[key]
	if run == nil {
		s.applyLateSuccess(now, w, key, outcome)
		return
	}
	s.saveCheckpoint(run, checkpoint)
	if hasRun(outcome) {
		s.markRan(run.job)
	}
	w.remove(run)
	observeOutcome(now, w, run, outcome)
	occurrence, _, task := run.task()
	if task == nil || task.State != TaskAssigned || task.Attempt != key.Attempt || task.Worker != w.Ref {
		return
	}
	s.advanceTask(now, run.job, occurrence, run.position, outcome)
}

// saveCheckpoint stores the latest checkpoint of a run, or counts it as rejected if it exceeds a limit.
func (s *Scheduler) saveCheckpoint(run *Run, checkpoint string) {
	if !run.saveCheckpoint(checkpoint) {
		s.rejectedCheckpoints++
	}
}

// RejectedCheckpoints returns the number of reported checkpoints so far that were not stored because of their length. The same
// checkpoint counts in each report.
func (s *Scheduler) RejectedCheckpoints() int { return s.rejectedCheckpoints }

// applyLateSuccess applies the success of a run that the scheduler had already ended, for example because its lease expired,
// unless its task has been assigned again. It ignores members of gangs and long-running tasks.
func (s *Scheduler) applyLateSuccess(now time.Duration, w *Worker, key RunRef, outcome string) {
	position, ok := parseTaskName(key.Task)
	if outcome != outcomeSucceeded || !ok {
		return
	}
	job, occurrence := s.pendingTask(position, key.Attempt, w.Ref)
	if job == nil || job.isLongRunning(position.stage) || job.Spec.Stages[position.stage].Gang {
		return
	}
	for _, group := range job.pending {
		if group.occurrence == occurrence && group.stage == position.stage {
			s.removeTask(group, position.index)
			break
		}
	}
	job.setTaskState(&occurrence.Stages[position.stage].Tasks[position.index], TaskAssigned)
	s.advanceTask(now, job, occurrence, position, outcome)
}

// pendingTask returns the job and occurrence of a task if the task is pending and its latest attempt was the given one on the
// given worker, or nil values otherwise.
func (s *Scheduler) pendingTask(position taskPosition, attempt int64, worker string) (*Job, *Occurrence) {
	job := s.jobs[position.jobID]
	if job == nil || job.hasEnded() {
		return nil, nil
	}
	occurrence := job.occurrence(position.occurrence)
	if occurrence == nil || occurrence.Done || position.stage >= len(occurrence.Stages) {
		return nil, nil
	}
	tasks := occurrence.Stages[position.stage].Tasks
	if position.index >= len(tasks) {
		return nil, nil
	}
	task := &tasks[position.index]
	if task.State != TaskPending || task.Attempt != attempt || task.Worker != worker {
		return nil, nil
	}
	return job, occurrence
}

// observeOutcome updates the statistics of the worker and of the run's queue with the outcome of a run.
func observeOutcome(now time.Duration, w *Worker, run *Run, outcome string) {
	failed := 0.0
	switch outcome {
	case outcomeRejected, outcomeLeaseExpired:
		w.decreaseLimit()
		return
	case outcomeFailed:
		failed = 1
	case outcomeSucceeded:
	default:
		return
	}
	w.failureRate += outcomeGain * (failed - w.failureRate)
	if run.job == nil || outcome != outcomeSucceeded {
		return
	}
	estimate := run.spec().EstimateMS
	if estimate <= 0 || run.queue == nil {
		return
	}
	expected := run.queue.expectedRunTime(run.spec())
	runTime := now - run.assignedAt
	run.queue.observeRunTime(runTime, time.Duration(estimate)*time.Millisecond)
	slowdown := min(runTime.Seconds()/max(expected.Seconds(), minRunSeconds), maxSlowdownSample)
	w.slowdown += outcomeGain * (slowdown - w.slowdown)
}

// advanceTask updates an assigned task after its run has ended: the task completes, is enqueued again, or fails its job.
func (s *Scheduler) advanceTask(now time.Duration, job *Job, occurrence *Occurrence, position taskPosition, outcome string) {
	progress := &occurrence.Stages[position.stage]
	s.markDirty(job)
	longRunning := job.isLongRunning(position.stage)
	if outcome == outcomeSucceeded && !longRunning {
		s.completeTask(now, job, occurrence, position)
		return
	}
	job.setTaskState(&progress.Tasks[position.index], TaskPending)
	if job.hasEnded() {
		return
	}
	if outcome == outcomeFailed && !longRunning && s.countFailure(job, progress, position) {
		s.endJob(now, job, Failed)
		return
	}
	if !job.Spec.Stages[position.stage].Gang {
		s.enqueue(now, job, occurrence, position.stage, position.index)
		return
	}
	for index := range progress.Tasks {
		s.stopTask(job, occurrence, position.stage, index)
	}
	s.requeueStage(now, job, occurrence, position.stage)
}

// countFailure counts a failed run, once per attempt of a gang, and reports whether the queue's retries are exhausted.
func (s *Scheduler) countFailure(job *Job, progress *StageProgress, position taskPosition) bool {
	attempt := progress.Tasks[position.index].Attempt
	counter := &progress.Tasks[position.index]
	if job.Spec.Stages[position.stage].Gang {
		counter = &progress.Tasks[0]
	}
	if counter.LastFailure != attempt {
		counter.LastFailure = attempt
		counter.Failures++
		counter.changed = true
	}
	return counter.Failures >= max(1, s.queue(job.Queue).Retries)
}

// completeTask marks a task as completed, or all members of a gang after the success of one member. If that completes the
// stage, it enqueues the dependent stages or completes the occurrence and the job.
func (s *Scheduler) completeTask(now time.Duration, job *Job, occurrence *Occurrence, position taskPosition) {
	progress := &occurrence.Stages[position.stage]
	if job.Spec.Stages[position.stage].Gang {
		for index := range progress.Tasks {
			job.setTaskState(&progress.Tasks[index], TaskCompleted)
		}
		progress.completed = len(progress.Tasks)
	} else {
		job.setTaskState(&progress.Tasks[position.index], TaskCompleted)
		progress.completed++
	}
	if !progress.isCompleted() || job.hasEnded() {
		return
	}
	if occurrence.allStagesCompleted() {
		job.finishOccurrence(occurrence)
		s.completeJobIfDone(now, job)
		return
	}
	for later := range occurrence.Stages {
		if job.dependsOn(later, position.stage) {
			s.enqueueStage(now, job, occurrence, later)
		}
	}
}
