package jobs

import (
	"fmt"

	"sedgevale/internal/avrocodec"
)

// The kinds of keys of a shard.
const (
	specPrefix = "s/"
	jobPrefix  = "d/"
)

// specRecord is the durable form of what a client handed in.
type specRecord struct {
	Queue string
	Body  []byte
}

// jobRecord and the types below are the durable form of what changes of a job.
type jobRecord struct {
	State          string
	NextOccurrence int
	Occurrences    []occurrenceRecord
}

type occurrenceRecord struct {
	Number int
	Done   bool
	Stages []stageRecord
}

type stageRecord struct {
	Tasks []taskRecord
}

type taskRecord struct {
	State       int
	Attempt     int64
	Failures    int64
	LastFailure int64
	Worker      string
	Checkpoint  string
}

func (j *Job) encode() ([]byte, error) {
	record := jobRecord{State: string(j.State), NextOccurrence: j.NextOccurrence}
	for _, occurrence := range j.Occurrences {
		part := occurrenceRecord{Number: occurrence.Number, Done: occurrence.Done}
		if !occurrence.Done {
			part.Stages = encodeStages(occurrence.Stages)
		}
		record.Occurrences = append(record.Occurrences, part)
	}
	return avrocodec.Encode(&record)
}

func encodeStages(stages []StageProgress) []stageRecord {
	records := make([]stageRecord, len(stages))
	for i := range stages {
		records[i].Tasks = make([]taskRecord, len(stages[i].Tasks))
		for n, t := range stages[i].Tasks {
			records[i].Tasks[n] = taskRecord{
				State: int(t.State), Attempt: t.Attempt, Failures: t.Failures, LastFailure: t.LastFailure, Worker: t.Worker, Checkpoint: t.Checkpoint,
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
	j.NextOccurrence = record.NextOccurrence
	for _, part := range record.Occurrences {
		occurrence := &Occurrence{Number: part.Number, Done: part.Done}
		for i := range part.Stages {
			run := StageProgress{}
			for _, task := range part.Stages[i].Tasks {
				state := TaskState(task.State)
				if state == TaskCompleted {
					run.completed++
				}
				if state == TaskAssigned {
					j.assigned++
				}
				if task.Attempt > 0 {
					j.everAssigned = true
				}
				if state == TaskCompleted || task.Failures > 0 || task.Checkpoint != "" {
					j.everRan = true
				}
				run.Tasks = append(run.Tasks, Task{
					State: state, Attempt: task.Attempt, Failures: task.Failures, LastFailure: task.LastFailure,
					Worker: task.Worker, Checkpoint: task.Checkpoint,
				})
			}
			occurrence.Stages = append(occurrence.Stages, run)
		}
		if occurrence.Done {
			j.everAssigned = true
			j.everRan = true
		}
		j.Occurrences = append(j.Occurrences, occurrence)
	}
	return nil
}
