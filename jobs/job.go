package jobs

import (
	"slices"
	"time"
)

// State is the state of a job as clients see it. The values are stored and sent to clients.
type State string

// The states of a job. Running is never stored: a job that is stored as queued is reported as running once one of its tasks has
// been assigned.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// TaskState is the state of a task. The values are stored.
type TaskState int

// The states of a task.
const (
	TaskPending   TaskState = iota // waits for its dependencies or for placement
	TaskAssigned                   // has a run on a worker
	TaskCompleted                  // succeeded and is never assigned again
)

// Task is the state of one task in one occurrence of a job.
type Task struct {
	State       TaskState
	Attempt     int64  // number of the latest run, counted from 1; 0 before the first run
	Failures    int64  // number of failed runs; a gang counts them in its first task
	LastFailure int64  // latest attempt that is counted in Failures
	Worker      string // Ref of the worker of the latest run
	Checkpoint  string // latest checkpoint
	changed     bool   // differs from its stored partRecord; meaningless while the job is stored whole
}

// StageProgress is the state of one stage in one occurrence of a job.
type StageProgress struct {
	Tasks     []Task
	completed int // number of tasks in TaskCompleted
}

// isCompleted reports whether all tasks of the stage have succeeded.
func (p *StageProgress) isCompleted() bool { return p.completed >= len(p.Tasks) }

// members returns the tasks of the stage.
func (p *StageProgress) members() []*Task {
	tasks := make([]*Task, len(p.Tasks))
	for i := range p.Tasks {
		tasks[i] = &p.Tasks[i]
	}
	return tasks
}

// Occurrence is one execution of all stages of a job. A job that does not repeat has only occurrence 0.
type Occurrence struct {
	Number int
	Done   bool            // all stages have completed
	Stages []StageProgress // nil once Done
	dueAt  time.Duration   // time at which it became due or, after a failover, at which the job was restored
}

// allStagesCompleted reports whether all tasks of the occurrence have succeeded.
func (o *Occurrence) allStagesCompleted() bool {
	for i := range o.Stages {
		if !o.Stages[i].isCompleted() {
			return false
		}
	}
	return true
}

// taskCount returns the number of tasks of all stages; 0 once Done.
func (o *Occurrence) taskCount() int {
	count := 0
	for i := range o.Stages {
		count += len(o.Stages[i].Tasks)
	}
	return count
}

// tasks returns the tasks of all stages in order; none once Done.
func (o *Occurrence) tasks() []*Task {
	tasks := make([]*Task, 0, o.taskCount())
	for i := range o.Stages {
		for n := range o.Stages[i].Tasks {
			tasks = append(tasks, &o.Stages[i].Tasks[n])
		}
	}
	return tasks
}

// Job is a submitted job with its progress.
type Job struct {
	ID             string
	Queue          string // name of the queue
	Endpoint       string // endpoint that it was submitted under; empty if an earlier release accepted it
	Spec           *Spec
	State          State // Queued until the job ends; never Running
	Occurrences    []*Occurrence
	NextOccurrence int  // number of the next occurrence to become due
	everAssigned   bool // a task has been assigned to a worker
	everRan        bool // a worker is known to have run one of its tasks
	assigned       int  // number of tasks in TaskAssigned

	pending      []*taskGroup
	durableState State // committed value of State
	durable      bool  // the job record is committed
	endedAt      time.Duration
	dirty        bool       // the records of the job must be written by the next Flush
	parts        *partition // nil while the job is stored whole

	checkpointBytes int // total length of the checkpoints in unfinished occurrences
}

// addOccurrence adds an occurrence with all tasks pending.
func (j *Job) addOccurrence(number int, now time.Duration) *Occurrence {
	occurrence := &Occurrence{Number: number, dueAt: now}
	for i := range j.Spec.Stages {
		occurrence.Stages = append(occurrence.Stages, StageProgress{Tasks: make([]Task, j.Spec.Stages[i].Count)})
	}
	j.Occurrences = append(j.Occurrences, occurrence)
	return occurrence
}

// occurrence returns the occurrence with the given number, or nil.
func (j *Job) occurrence(number int) *Occurrence {
	for _, occurrence := range j.Occurrences {
		if occurrence.Number == number {
			return occurrence
		}
	}
	return nil
}

// unfinishedTasks returns the number of tasks in occurrences that are not done.
func (j *Job) unfinishedTasks() int {
	total := 0
	for _, occurrence := range j.Occurrences {
		if !occurrence.Done {
			total += occurrence.taskCount()
		}
	}
	return total
}

// hasRoomForOccurrence reports whether another occurrence may become due under maxUnfinishedTasks. The first one always may.
func (j *Job) hasRoomForOccurrence() bool {
	unfinished := j.unfinishedTasks()
	return unfinished == 0 || unfinished+j.Spec.taskCount() <= maxUnfinishedTasks
}

// finishOccurrence marks an occurrence as done and discards the state of its tasks.
func (j *Job) finishOccurrence(occurrence *Occurrence) {
	for _, task := range occurrence.tasks() {
		j.checkpointBytes -= len(task.Checkpoint)
	}
	occurrence.Done = true
	occurrence.Stages = nil
}

// setCheckpoint replaces the checkpoint of a task, which must be that of an unfinished occurrence.
func (j *Job) setCheckpoint(task *Task, checkpoint string) {
	j.checkpointBytes += len(checkpoint) - len(task.Checkpoint)
	task.Checkpoint = checkpoint
	task.changed = true
}

// occurrenceCount returns the total number of occurrences, past and future.
func (j *Job) occurrenceCount() int { return max(1, j.Spec.Repeat) }

// setTaskState changes the state of a task and updates the number of assigned tasks.
func (j *Job) setTaskState(task *Task, state TaskState) {
	if task.State == TaskAssigned {
		j.assigned--
	}
	if state == TaskAssigned {
		j.assigned++
	}
	task.State = state
	task.changed = true
}

// hasEnded reports whether the job is completed, failed or cancelled.
func (j *Job) hasEnded() bool { return j.State != Queued }

// isLongRunning reports whether the tasks of the stage run until the job is cancelled.
func (j *Job) isLongRunning(stageIndex int) bool {
	return j.Spec.LongRunning || j.Spec.Stages[stageIndex].LongRunning
}

// dependenciesCompleted reports whether all stages that the stage depends on have completed.
func (j *Job) dependenciesCompleted(occurrence *Occurrence, stageIndex int) bool {
	for _, earlier := range j.Spec.Stages[stageIndex].DependsOn {
		if !occurrence.Stages[earlier].isCompleted() {
			return false
		}
	}
	return true
}

// dependsOn reports whether the stage depends directly on the earlier stage.
func (j *Job) dependsOn(stageIndex, earlier int) bool {
	return slices.Contains(j.Spec.Stages[stageIndex].DependsOn, earlier)
}

// visibleState returns the state that clients see, which is derived from the committed state.
func (j *Job) visibleState() State {
	if j.durableState == Queued && j.everAssigned {
		return Running
	}
	return j.durableState
}
