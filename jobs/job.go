package jobs

import (
	"slices"
	"time"
)

// State is the state of a job as clients see it.
type State string

// The states of a job. Queued and Running are one stored state, Queued: a job is shown as running once a task was assigned.
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
	TaskPending   TaskState = iota // is or will be enqueued
	TaskAssigned                   // has a run at a worker
	TaskCompleted                  // has succeeded; it is never assigned again
)

// Task is the state of one task in one occurrence.
type Task struct {
	State       TaskState
	Attempt     int64  // the number of its last run, counted from 1; 0 before the first
	Failures    int64  // runs that failed; a gang counts them at its first task
	LastFailure int64  // the last attempt that is counted in Failures
	Worker      string // Ref of the worker of the last run
	Checkpoint  string // the newest checkpoint
}

// StageProgress is the state of one stage in one occurrence.
type StageProgress struct {
	Tasks     []Task
	completed int // tasks in TaskCompleted
}

// isCompleted reports whether all tasks of the stage have succeeded.
func (p *StageProgress) isCompleted() bool { return p.completed >= len(p.Tasks) }

// Occurrence is one run through all stages of a job. A job that does not repeat has number 0 alone.
type Occurrence struct {
	Number int
	Done   bool            // all stages are completed
	Stages []StageProgress // nil once Done
	dueAt  time.Duration   // when it became due; after a recovery, when the job was restored
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

// Job is a job and its progress.
type Job struct {
	ID             string
	Queue          string // name
	Spec           *Spec
	State          State // Queued until the job ends, never Running
	Occurrences    []*Occurrence
	NextOccurrence int  // the number of the next occurrence to become due
	everAssigned   bool // a task was assigned to a worker once
	everRan        bool // a worker has run one of its tasks, as far as this owner knows
	assigned       int  // tasks in TaskAssigned

	pending      []*taskGroup
	durableState State // State as committed
	durable      bool  // its record is committed
	endedAt      time.Duration
	dirty        bool // State or progress changed since the last Flush
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

// occurrence returns the occurrence with a number, or nil.
func (j *Job) occurrence(number int) *Occurrence {
	for _, occurrence := range j.Occurrences {
		if occurrence.Number == number {
			return occurrence
		}
	}
	return nil
}

// occurrenceCount returns the number of occurrences, past and future.
func (j *Job) occurrenceCount() int { return max(1, j.Spec.Repeat) }

// setTaskState changes the state of a task and the count of assigned ones.
func (j *Job) setTaskState(task *Task, state TaskState) {
	if task.State == TaskAssigned {
		j.assigned--
	}
	if state == TaskAssigned {
		j.assigned++
	}
	task.State = state
}

// hasEnded reports whether the job is completed, failed or cancelled.
func (j *Job) hasEnded() bool { return j.State != Queued }

// isLongRunning reports whether the tasks of a stage run until the job is cancelled.
func (j *Job) isLongRunning(stageIndex int) bool {
	return j.Spec.LongRunning || j.Spec.Stages[stageIndex].LongRunning
}

// dependenciesCompleted reports whether all stages that a stage depends on are completed.
func (j *Job) dependenciesCompleted(occurrence *Occurrence, stageIndex int) bool {
	for _, earlier := range j.Spec.Stages[stageIndex].DependsOn {
		if !occurrence.Stages[earlier].isCompleted() {
			return false
		}
	}
	return true
}

// dependsOn reports whether a stage depends directly on an earlier one.
func (j *Job) dependsOn(stageIndex, earlier int) bool {
	return slices.Contains(j.Spec.Stages[stageIndex].DependsOn, earlier)
}

// visibleState returns the state that clients see: the committed one.
func (j *Job) visibleState() State {
	if j.durableState == Queued && j.everAssigned {
		return Running
	}
	return j.durableState
}
