package jobs

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"sedgevale/internal/avrocodec"
)

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
	Waiting  TaskState = iota // may be started once its step's turn has come
	Assigned                  // a start was, or is about to be, sent to a worker
	Done                      // has ended done; it never starts again
)

// Task is one task of one time. Attempt numbers its starts from 1.
type Task struct {
	State   TaskState
	Attempt int64
	Fails   int64
	Failed  int64  // the attempt that was counted in Fails last
	Worker  string // the worker that has or had the last start
	Saved   string // the newest checkpoint
}

// StageRun is a step in one time.
type StageRun struct {
	Tasks []Task
	done  int
}

// Time is one run of all steps of a job; a job without repeats has just number 0.
type Time struct {
	Number int
	Done   bool
	Stages []StageRun
	due    time.Duration // when it became due, on the steady clock
}

// Job is a job and how far it is.
type Job struct {
	ID       string
	Queue    string
	Spec     *Spec
	State    State // Queued stands for all that has not ended
	Times    []*Time
	Next     int // the number of the next time to become due
	started  bool
	begun    bool // a worker has begun one of its tasks, as far as this owner knows
	assigned int  // tasks with a start that has not ended

	units    []*unit // what waits of it
	shown    State   // what clients may be told: it is durable
	exists   bool    // its record is durable
	accepted time.Duration
	ended    time.Duration
	dirty    bool
}

// jobRecord and the types below are the durable form of what changes of a job.
type jobRecord struct {
	State string
	Next  int
	Times []timeRecord
}

type timeRecord struct {
	Number int
	Done   bool
	Stages []stageRecord
}

type stageRecord struct {
	Tasks []taskRecord
}

type taskRecord struct {
	State   int
	Attempt int64
	Fails   int64
	Failed  int64
	Worker  string
	Saved   string
}

// specRecord is the durable form of what a client handed in.
type specRecord struct {
	Queue string
	Body  []byte
}

// The kinds of keys of a shard.
const (
	specPrefix = "s/"
	jobPrefix  = "d/"
)

func (j *Job) encode() ([]byte, error) {
	record := jobRecord{State: string(j.State), Next: j.Next}
	for _, t := range j.Times {
		part := timeRecord{Number: t.Number, Done: t.Done}
		if !t.Done {
			part.Stages = encodeStages(t.Stages)
		}
		record.Times = append(record.Times, part)
	}
	return avrocodec.Encode(&record)
}

func encodeStages(stages []StageRun) []stageRecord {
	records := make([]stageRecord, len(stages))
	for i := range stages {
		records[i].Tasks = make([]taskRecord, len(stages[i].Tasks))
		for n, t := range stages[i].Tasks {
			records[i].Tasks[n] = taskRecord{
				State: int(t.State), Attempt: t.Attempt, Fails: t.Fails, Failed: t.Failed, Worker: t.Worker, Saved: t.Saved,
			}
		}
	}
	return records
}

func (j *Job) decode(value []byte) error {
	var record jobRecord
	if err := avrocodec.Decode(value, &record); err != nil {
		return fmt.Errorf("job %s: %w", j.ID, err)
	}
	j.State = State(record.State)
	j.Next = record.Next
	for _, part := range record.Times {
		t := &Time{Number: part.Number, Done: part.Done}
		for i := range part.Stages {
			run := StageRun{}
			for _, task := range part.Stages[i].Tasks {
				state := TaskState(task.State)
				if state == Done {
					run.done++
				}
				if state == Assigned {
					j.assigned++
				}
				if task.Attempt > 0 {
					j.started = true
				}
				if state == Done || task.Fails > 0 || task.Saved != "" {
					j.begun = true
				}
				run.Tasks = append(run.Tasks, Task{
					State: state, Attempt: task.Attempt, Fails: task.Fails, Failed: task.Failed,
					Worker: task.Worker, Saved: task.Saved,
				})
			}
			t.Stages = append(t.Stages, run)
		}
		if t.Done {
			j.started = true
			j.begun = true
		}
		j.Times = append(j.Times, t)
	}
	return nil
}

// newTime begins one run of all steps.
func (j *Job) newTime(number int, now time.Duration) *Time {
	t := &Time{Number: number, due: now}
	for i := range j.Spec.Stages {
		t.Stages = append(t.Stages, StageRun{Tasks: make([]Task, j.Spec.Stages[i].Count)})
	}
	j.Times = append(j.Times, t)
	return t
}

func (j *Job) time(number int) *Time {
	for _, t := range j.Times {
		if t.Number == number {
			return t
		}
	}
	return nil
}

// repeats returns how many times the steps run.
func (j *Job) repeats() int { return max(1, j.Spec.Repeat) }

// move changes the state of a task and keeps count of those at work.
func (j *Job) move(task *Task, state TaskState) {
	if task.State == Assigned {
		j.assigned--
	}
	if state == Assigned {
		j.assigned++
	}
	task.State = state
}

func (j *Job) over() bool { return j.State != Queued }

// lasts reports whether the tasks of a step run until the job is cancelled.
func (j *Job) lasts(stage int) bool { return j.Spec.LongRunning || j.Spec.Stages[stage].LongRunning }

// ready reports whether all steps that a step depends on are done.
func (j *Job) ready(t *Time, stage int) bool {
	for _, earlier := range j.Spec.Stages[stage].DependsOn {
		if t.Stages[earlier].done < len(t.Stages[earlier].Tasks) {
			return false
		}
	}
	return true
}

// finished reports whether all steps of a time are done.
func (t *Time) finished() bool {
	for i := range t.Stages {
		if t.Stages[i].done < len(t.Stages[i].Tasks) {
			return false
		}
	}
	return true
}

// visible returns the state that clients may be told.
func (j *Job) visible() State {
	if j.shown == Queued && j.started {
		return Running
	}
	return j.shown
}

// TaskName returns how workers know a task.
func TaskName(id string, number, stage, index int) string {
	return id + "." + strconv.Itoa(number) + "." + strconv.Itoa(stage) + "." + strconv.Itoa(index)
}

// place is a task's position in its job.
type place struct {
	id                   string
	number, stage, index int
}

func parseTask(name string) (place, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return place{}, false
	}
	number, err1 := strconv.Atoi(parts[1])
	stage, err2 := strconv.Atoi(parts[2])
	index, err3 := strconv.Atoi(parts[3])
	ok := err1 == nil && err2 == nil && err3 == nil && number >= 0 && stage >= 0 && index >= 0
	return place{parts[0], number, stage, index}, ok
}
