package jobs

import "time"

// Run is one attempt of a task on a worker. It exists from the assignment until the reported end of the run has been applied.
type Run struct {
	Key          RunRef
	position     taskPosition
	job          *Job // nil if the job is unknown or deleted
	demand       Resources
	share        float64       // dominant share of the worker; 0 until the capacity of the worker is known
	queue        *Queue        // nil if the job was unknown when the run was added
	durable      bool          // the assignment is committed, so the start may be sent
	reported     bool          // the agent's latest report lists the run
	stopping     bool          // a stop has been or will be ordered
	lastSent     time.Duration // time at which the start or stop was last sent; 0 before the first send
	runningSince time.Duration // time at which the run was first reported as active; 0 before
	percent      int64         // progress from 0 to 100
	assignedAt   time.Duration
	worker       string // Ref of the worker
}

// newRun returns a run for the current attempt of a task.
func newRun(now time.Duration, position taskPosition, job *Job, task *Task, queue *Queue) *Run {
	return &Run{
		Key:      RunRef{TaskName(position.jobID, position.occurrence, position.stage, position.index), task.Attempt},
		position: position, job: job, demand: job.Spec.Stages[position.stage].demand(), queue: queue,
		assignedAt: now, worker: task.Worker,
	}
}

// spec returns the specification of the run's stage. The job must not be nil.
func (r *Run) spec() *Stage { return &r.job.Spec.Stages[r.position.stage] }

// stop marks the run as stopping and makes its stop order due immediately.
func (r *Run) stop() {
	r.stopping = true
	r.lastSent = 0
}

// task returns the run's occurrence, stage progress and task, or nil values if the job is unknown or the occurrence is done.
func (r *Run) task() (*Occurrence, *StageProgress, *Task) {
	if r.job == nil {
		return nil, nil, nil
	}
	occurrence := r.job.occurrence(r.position.occurrence)
	if occurrence == nil || occurrence.Done || r.position.stage >= len(occurrence.Stages) {
		return nil, nil, nil
	}
	progress := &occurrence.Stages[r.position.stage]
	return occurrence, progress, &progress.Tasks[r.position.index]
}

// isCurrent reports whether the run is the current attempt of an assigned task and its job has not ended.
func (r *Run) isCurrent() bool {
	if r.job == nil || r.job.hasEnded() {
		return false
	}
	_, _, task := r.task()
	return task != nil && task.State == TaskAssigned && task.Attempt == r.Key.Attempt
}

// saveCheckpoint stores the latest checkpoint of the run's task. All members of a gang share one checkpoint. A checkpoint that
// exceeds a limit is ignored, so that the task resumes from the previous one, and saveCheckpoint reports false.
func (r *Run) saveCheckpoint(checkpoint string) (withinLimits bool) {
	if checkpoint == "" {
		return true
	}
	if len(checkpoint) > maxCheckpointBytes {
		return false
	}
	_, progress, task := r.task()
	if task == nil || task.Attempt != r.Key.Attempt {
		return true
	}
	members := []*Task{task}
	if r.spec().Gang {
		members = progress.members()
	}
	added := 0
	for _, member := range members {
		added += len(checkpoint) - len(member.Checkpoint)
	}
	if added > 0 && r.job.checkpointBytes+added > maxJobCheckpointBytes {
		return false
	}
	for _, member := range members {
		r.job.setCheckpoint(member, checkpoint)
	}
	return true
}
