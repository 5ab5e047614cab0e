package jobs

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"sedgevale/internal/avrocodec"
)

const (
	// tasksPerPart is the number of tasks in a partRecord. With checkpoints of maxCheckpointBytes a part stays below
	// maxRecordBytes.
	tasksPerPart = 64
	// manifestMarker is the first byte of a manifest. It is Avro's encoding of -1, which no jobRecord begins with, so that
	// earlier releases refuse to take over a shard with a job that they cannot read.
	manifestMarker = 0x01
)

// partition is the stored form of a job whose jobRecord would exceed maxRecordBytes. The tasks of its unfinished occurrences
// are stored in records of tasksPerPart tasks each, of which only the changed ones are written. The manifest, in place of the
// jobRecord, is the marker followed by a jobRecord without stages. A job that is partitioned once remains so.
type partition struct {
	manifest []byte              // last written manifest; nil before the first
	stored   map[partNumber]bool // parts that have a record
}

// partNumber identifies a part of a job.
type partNumber struct {
	occurrence int // number of the occurrence
	index      int // position among the parts of the occurrence, counted from 0
}

// partRecord is the stored form of consecutive tasks of an occurrence, in the order of Occurrence.tasks.
type partRecord struct {
	Tasks []taskRecord
}

// recordKey returns the key of a part's record: the prefix, the job ID, the occurrence and the index, separated by slashes.
func (p partNumber) recordKey(id string) string {
	return partPrefix + id + "/" + strconv.Itoa(p.occurrence) + "/" + strconv.Itoa(p.index)
}

// parsePartKey parses a key that recordKey returned. It reports false for any other key.
func parsePartKey(key string) (id string, number partNumber, ok bool) {
	rest, ok := strings.CutPrefix(key, partPrefix)
	fields := strings.Split(rest, "/")
	if !ok || len(fields) != 3 {
		return "", number, false
	}
	occurrence, err1 := strconv.Atoi(fields[1])
	index, err2 := strconv.Atoi(fields[2])
	return fields[0], partNumber{occurrence, index}, err1 == nil && err2 == nil
}

// recordKeys returns the keys of all stored parts. p may be nil.
func (p *partition) recordKeys(id string) []string {
	if p == nil {
		return nil
	}
	var keys []string
	for number := range p.stored {
		keys = append(keys, number.recordKey(id))
	}
	return keys
}

// isManifest reports whether the record under a job's key is a manifest.
func isManifest(value []byte) bool { return len(value) > 0 && value[0] == manifestMarker }

// changedRecords returns the changes that bring the stored records of the job up to date. It partitions a job that has become
// too long for one record.
func (j *Job) changedRecords() ([]Change, error) {
	if j.parts == nil {
		value, err := j.encode()
		if err != nil {
			return nil, err
		}
		if len(value) <= maxRecordBytes {
			return []Change{{Key: jobPrefix + j.ID, Value: value}}, nil
		}
		j.parts = &partition{stored: map[partNumber]bool{}}
	}
	changes, err := j.changedParts()
	if err != nil {
		return nil, err
	}
	manifest, err := j.encodeManifest()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(manifest, j.parts.manifest) {
		j.parts.manifest = manifest
		changes = append(changes, Change{Key: jobPrefix + j.ID, Value: manifest})
	}
	return append(changes, j.obsoleteParts()...), nil
}

// encodeManifest returns the manifest of the job.
func (j *Job) encodeManifest() ([]byte, error) {
	record, err := j.encodeRecord(func([]StageProgress) []stageRecord { return nil })
	return append([]byte{manifestMarker}, record...), err
}

// changedParts returns the writes of the parts that are new or contain a changed task.
func (j *Job) changedParts() ([]Change, error) {
	var changes []Change
	for _, occurrence := range j.Occurrences {
		written := j.parts.stored[partNumber{occurrence.Number, 0}] // all parts are written together at first
		if occurrence.Done || written && !occurrence.hasChangedTask() {
			continue
		}
		tasks := occurrence.tasks()
		for index := range partCount(len(tasks)) {
			number := partNumber{occurrence.Number, index}
			part := tasks[index*tasksPerPart : min((index+1)*tasksPerPart, len(tasks))]
			if changed := clearChanged(part); !changed && written {
				continue
			}
			value, err := avrocodec.Encode(&partRecord{encodeTasks(part)})
			if err != nil {
				return nil, fmt.Errorf("cannot encode a part of job %s: %w", j.ID, err)
			}
			j.parts.stored[number] = true
			changes = append(changes, Change{Key: number.recordKey(j.ID), Value: value})
		}
	}
	return changes, nil
}

// partCount returns the number of parts of an occurrence with the given number of tasks.
func partCount(tasks int) int { return (tasks + tasksPerPart - 1) / tasksPerPart }

// clearChanged resets the changed flags of tasks and reports whether any was set.
func clearChanged(tasks []*Task) bool {
	changed := false
	for _, task := range tasks {
		changed = changed || task.changed
		task.changed = false
	}
	return changed
}

// hasChangedTask reports whether the changed flag of a task is set.
func (o *Occurrence) hasChangedTask() bool {
	for i := range o.Stages {
		for n := range o.Stages[i].Tasks {
			if o.Stages[i].Tasks[n].changed {
				return true
			}
		}
	}
	return false
}

// obsoleteParts returns the deletions of the parts of occurrences that are done.
func (j *Job) obsoleteParts() []Change {
	unfinished := map[int]bool{}
	for _, occurrence := range j.Occurrences {
		if !occurrence.Done {
			unfinished[occurrence.Number] = true
		}
	}
	var changes []Change
	for number := range j.parts.stored {
		if !unfinished[number.occurrence] {
			delete(j.parts.stored, number)
			changes = append(changes, Change{Key: number.recordKey(j.ID)})
		}
	}
	return changes
}

// readParts adds the stages of the unfinished occurrences, which it reads from the parts, to the record of a manifest. A
// missing part is an error: its tasks may have been completed and must not run again.
func (j *Job) readParts(record *jobRecord, parts map[partNumber][]byte) error {
	j.parts = &partition{stored: map[partNumber]bool{}}
	for i := range record.Occurrences {
		stored := &record.Occurrences[i]
		if stored.Done {
			continue
		}
		var tasks []taskRecord
		for index := range partCount(j.Spec.taskCount()) {
			number := partNumber{stored.Number, index}
			var part partRecord
			if err := avrocodec.Decode(parts[number], &part); err != nil {
				return fmt.Errorf("record %s: %w", number.recordKey(j.ID), err)
			}
			j.parts.stored[number] = true
			tasks = append(tasks, part.Tasks...)
		}
		if len(tasks) != j.Spec.taskCount() {
			return fmt.Errorf("occurrence %d has %d tasks, want %d", stored.Number, len(tasks), j.Spec.taskCount())
		}
		for stage := range j.Spec.Stages {
			count := j.Spec.Stages[stage].Count
			stored.Stages = append(stored.Stages, stageRecord{tasks[:count]})
			tasks = tasks[count:]
		}
	}
	return nil
}
