package jobs

import "time"

// State is how a job is shown to clients.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// TaskState is where a task stands.
type TaskState int

// The states of a task.
const (
	TaskPending   TaskState = iota // may be started once its step's turn has come
	TaskAssigned                   // a start was, or is about to be, sent to a worker
	TaskCompleted                  // has ended done; it never starts again
)

// Task is one task of one time. Attempt numbers its starts from 1.
type Task struct {
	State       TaskState
	Attempt     int64
	Failures    int64
	LastFailure int64  // the attempt that was counted in Fails last
	Worker      string // the worker that has or had the last start
	Checkpoint  string // the newest checkpoint
}

// StageProgress is a step in one time.
type StageProgress struct {
	Tasks     []Task
	completed int
}

// Occurrence is one run of all steps of a job; a job without repeats has just number 0.
type Occurrence struct {
	Number int
	Done   bool
	Stages []StageProgress
	dueAt  time.Duration // when it became due, on the steady clock
}

// allStagesCompleted reports whether all steps of a time are done.
func (occurrence *Occurrence) allStagesCompleted() bool {
	for i := range occurrence.Stages {
		if occurrence.Stages[i].completed < len(occurrence.Stages[i].Tasks) {
			return false
		}
	}
	return true
}

// Job is a job and how far it is.
type Job struct {
	ID             string
	Queue          string
	Spec           *Spec
	State          State // Queued stands for all that has not ended
	Occurrences    []*Occurrence
	NextOccurrence int // the number of the next time to become due
	everAssigned   bool
	everRan        bool // a worker has begun one of its tasks, as far as this owner knows
	assigned       int  // tasks with a start that has not ended

	pending      []*taskGroup // what waits of it
	durableState State        // what clients may be told: it is durable
	durable      bool         // its record is durable
	acceptedAt   time.Duration
	endedAt      time.Duration
	dirty        bool
}

// addOccurrence begins one run of all steps.
func (j *Job) addOccurrence(number int, now time.Duration) *Occurrence {
	occurrence := &Occurrence{Number: number, dueAt: now}
	for i := range j.Spec.Stages {
		occurrence.Stages = append(occurrence.Stages, StageProgress{Tasks: make([]Task, j.Spec.Stages[i].Count)})
	}
	j.Occurrences = append(j.Occurrences, occurrence)
	return occurrence
}

func (j *Job) occurrence(number int) *Occurrence {
	for _, occurrence := range j.Occurrences {
		if occurrence.Number == number {
			return occurrence
		}
	}
	return nil
}

// occurrenceCount returns how many times the steps run.
func (j *Job) occurrenceCount() int { return max(1, j.Spec.Repeat) }

// setTaskState changes the state of a task and keeps count of those at work.
func (j *Job) setTaskState(task *Task, state TaskState) {
	if task.State == TaskAssigned {
		j.assigned--
	}
	if state == TaskAssigned {
		j.assigned++
	}
	task.State = state
}

func (j *Job) hasEnded() bool { return j.State != Queued }

// isLongRunning reports whether the tasks of a step run until the job is cancelled.
func (j *Job) isLongRunning(stageIndex int) bool {
	return j.Spec.LongRunning || j.Spec.Stages[stageIndex].LongRunning
}

// dependenciesCompleted reports whether all steps that a step depends on are done.
func (j *Job) dependenciesCompleted(occurrence *Occurrence, stageIndex int) bool {
	for _, earlier := range j.Spec.Stages[stageIndex].DependsOn {
		if occurrence.Stages[earlier].completed < len(occurrence.Stages[earlier].Tasks) {
			return false
		}
	}
	return true
}

func dependsOn(job *Job, stageIndex, earlier int) bool {
	for _, one := range job.Spec.Stages[stageIndex].DependsOn {
		if one == earlier {
			return true
		}
	}
	return false
}

// visibleState returns the state that clients may be told.
func (j *Job) visibleState() State {
	if j.durableState == Queued && j.everAssigned {
		return Running
	}
	return j.durableState
}
