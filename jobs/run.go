package jobs

import "time"

// Run is one attempt at a task on a worker: from the decision until the worker's report of its end was applied.
type Run struct {
	Key          RunRef
	position     taskPosition
	job          *Job // nil where the job is not known (any more)
	demand       Resources
	share        float64       // dominant share of the worker; 0 while its capacity is not known
	queue        *Queue        // nil where job was not known from the start
	durable      bool          // the assignment is committed, so the start may be sent
	reported     bool          // the agent's last report names it
	stopping     bool          // a stop is ordered, or is about to be
	lastSent     time.Duration // when the start or the stop was sent last; 0 before
	runningSince time.Duration // when it was first reported as active; 0 before
	percent      int64         // progress, 0 to 100
	assignedAt   time.Duration
	worker       string // Ref
}

// newRun returns a run of a task's present attempt.
func newRun(now time.Duration, position taskPosition, job *Job, task *Task, queue *Queue) *Run {
	return &Run{
		Key:      RunRef{TaskName(position.id, position.number, position.stage, position.index), task.Attempt},
		position: position, job: job, demand: job.Spec.Stages[position.stage].demand(), queue: queue,
		assignedAt: now, worker: task.Worker,
	}
}

// spec returns the specification of the run's stage; the job must be known.
func (r *Run) spec() *Stage { return &r.job.Spec.Stages[r.position.stage] }

// stop has the agent be ordered to stop the run, at once.
func (r *Run) stop() {
	r.stopping = true
	r.lastSent = 0
}

// task returns the state of the run's task with its stage and occurrence, or nils where there is none any more: the job is
// unknown, or the occurrence done.
func (r *Run) task() (*Occurrence, *StageProgress, *Task) {
	if r.job == nil {
		return nil, nil, nil
	}
	occurrence := r.job.occurrence(r.position.number)
	if occurrence == nil || occurrence.Done || r.position.stage >= len(occurrence.Stages) {
		return nil, nil, nil
	}
	progress := &occurrence.Stages[r.position.stage]
	return occurrence, progress, &progress.Tasks[r.position.index]
}

// isWanted reports whether the run is the present attempt of an assigned task of a job that has not ended.
func (r *Run) isWanted() bool {
	if r.job == nil || r.job.hasEnded() {
		return false
	}
	_, _, task := r.task()
	return task != nil && task.State == TaskAssigned && task.Attempt == r.Key.Attempt
}

// saveCheckpoint keeps the newest checkpoint of the run's task; a gang shares the checkpoints of its members.
func (r *Run) saveCheckpoint(checkpoint string) {
	if checkpoint == "" {
		return
	}
	_, progress, task := r.task()
	if task == nil || task.Attempt != r.Key.Attempt {
		return
	}
	if !r.spec().Gang {
		task.Checkpoint = checkpoint
		return
	}
	for i := range progress.Tasks {
		progress.Tasks[i].Checkpoint = checkpoint
	}
}
