package jobs

import (
	"strconv"
	"strings"
)

// TaskName returns the name of a task in messages to workers: the job ID, the occurrence number, the stage index and the task
// index, separated by dots.
func TaskName(jobID string, occurrence, stageIndex, index int) string {
	return jobID + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(stageIndex) + "." + strconv.Itoa(index)
}

// taskPosition identifies a task within a shard. Its text form is the task name.
type taskPosition struct {
	jobID      string
	occurrence int // number of the occurrence
	stage      int // index of the stage
	index      int // index of the task within the stage
}

// parseTaskName parses a name that TaskName returned. It reports false if the name is malformed.
func parseTaskName(name string) (taskPosition, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskPosition{}, false
	}
	occurrence, err1 := strconv.Atoi(parts[1])
	stageIndex, err2 := strconv.Atoi(parts[2])
	index, err3 := strconv.Atoi(parts[3])
	ok := err1 == nil && err2 == nil && err3 == nil && occurrence >= 0 && stageIndex >= 0 && index >= 0
	return taskPosition{parts[0], occurrence, stageIndex, index}, ok
}
