package jobs

import (
	"fmt"

	"sedgevale/internal/avrocodec"
)

// The key prefixes of the records of a job. The job ID follows the prefix.
const (
	specPrefix = "s/" // key prefix of a specRecord, which is written once
	jobPrefix  = "d/" // key prefix of a jobRecord or a manifest, which is written on every change
	partPrefix = "p/" // key prefix of a partRecord; see partition
)

// maxRecordBytes is the maximum length of a record's value. Earlier releases cannot read a longer one.
const maxRecordBytes = 1 << 20

// specRecord is the stored form of a submitted job. Like all records it is encoded as Avro and read by field order: no field
// may be moved, removed or given another type, and fields are added as package avrocodec says.
type specRecord struct {
	Queue    string
	Body     []byte
	Endpoint string `avrocodec:"added"`
}

// jobRecord is the stored form of a job's state.
type jobRecord struct {
	State          string
	NextOccurrence int
	Occurrences    []occurrenceRecord
}

// occurrenceRecord is the stored form of an Occurrence.
type occurrenceRecord struct {
	Number int
	Done   bool
	Stages []stageRecord // empty once Done
}

// stageRecord is the stored form of a StageProgress.
type stageRecord struct {
	Tasks []taskRecord
}

// taskRecord is the stored form of a Task.
type taskRecord struct {
	State       int
	Attempt     int64
	Failures    int64
	LastFailure int64
	Worker      string
	Checkpoint  string
}

// encode returns the encoded jobRecord of the job.
func (j *Job) encode() ([]byte, error) { return j.encodeRecord(encodeStages) }

// encodeRecord returns the encoded jobRecord of the job with the given form of the stages of its unfinished occurrences.
func (j *Job) encodeRecord(encodeStages func([]StageProgress) []stageRecord) ([]byte, error) {
	record := jobRecord{State: string(j.State), NextOccurrence: j.NextOccurrence}
	for _, occurrence := range j.Occurrences {
		stored := occurrenceRecord{Number: occurrence.Number, Done: occurrence.Done}
		if !occurrence.Done {
			stored.Stages = encodeStages(occurrence.Stages)
		}
		record.Occurrences = append(record.Occurrences, stored)
	}
	value, err := avrocodec.Encode(&record)
	if err != nil {
		return nil, fmt.Errorf("cannot encode the record of job %s: %w", j.ID, err)
	}
	return value, nil
}

func encodeStages(stages []StageProgress) []stageRecord {
	records := make([]stageRecord, len(stages))
	for i := range stages {
		records[i].Tasks = encodeTasks(stages[i].members())
	}
	return records
}

func encodeTasks(tasks []*Task) []taskRecord {
	records := make([]taskRecord, len(tasks))
	for i, task := range tasks {
		records[i] = taskRecord{
			State: int(task.State), Attempt: task.Attempt, Failures: task.Failures, LastFailure: task.LastFailure,
			Worker: task.Worker, Checkpoint: task.Checkpoint,
		}
	}
	return records
}

// decode restores the job's state from its jobRecord, or from its manifest and its parts. It derives the fields that are not
// stored: whether a task of the job was ever assigned or has run, and the numbers of assigned and completed tasks.
func (j *Job) decode(value []byte, parts map[partNumber][]byte) error {
	partitioned := isManifest(value)
	if partitioned {
		value = value[1:]
	}
	var record jobRecord
	if err := avrocodec.Decode(value, &record); err != nil {
		return fmt.Errorf("cannot decode the record of job %s: %w", j.ID, err)
	}
	if partitioned {
		if err := j.readParts(&record, parts); err != nil {
			return fmt.Errorf("cannot decode the parts of job %s: %w", j.ID, err)
		}
	}
	j.State = State(record.State)
	j.NextOccurrence = record.NextOccurrence
	for _, stored := range record.Occurrences {
		occurrence := &Occurrence{Number: stored.Number, Done: stored.Done}
		for i := range stored.Stages {
			occurrence.Stages = append(occurrence.Stages, j.decodeStage(&stored.Stages[i]))
		}
		if occurrence.Done {
			j.everAssigned = true
			j.everRan = true
		}
		j.Occurrences = append(j.Occurrences, occurrence)
	}
	return nil
}

func (j *Job) decodeStage(stored *stageRecord) StageProgress {
	progress := StageProgress{}
	for _, task := range stored.Tasks {
		state := TaskState(task.State)
		switch state {
		case TaskCompleted:
			progress.completed++
		case TaskAssigned:
			j.assigned++
		}
		j.checkpointBytes += len(task.Checkpoint)
		j.everAssigned = j.everAssigned || task.Attempt > 0
		j.everRan = j.everRan || state == TaskCompleted || task.Failures > 0 || task.Checkpoint != ""
		progress.Tasks = append(progress.Tasks, Task{
			State: state, Attempt: task.Attempt, Failures: task.Failures, LastFailure: task.LastFailure,
			Worker: task.Worker, Checkpoint: task.Checkpoint,
		})
	}
	return progress
}
