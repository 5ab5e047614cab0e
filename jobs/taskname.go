package jobs

import (
	"strconv"
	"strings"
)

// TaskName returns the name by which workers know a task: the job's ID, the occurrence, the stage and the task's index.
func TaskName(id string, number, stageIndex, index int) string {
	return id + "." + strconv.Itoa(number) + "." + strconv.Itoa(stageIndex) + "." + strconv.Itoa(index)
}

// taskPosition identifies a task; its name is the text form.
type taskPosition struct {
	id     string // of the job
	number int    // of the occurrence
	stage  int
	index  int // within the stage
}

// parseTaskName reverses TaskName. It reports false for a name of another form.
func parseTaskName(name string) (taskPosition, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskPosition{}, false
	}
	number, err1 := strconv.Atoi(parts[1])
	stageIndex, err2 := strconv.Atoi(parts[2])
	index, err3 := strconv.Atoi(parts[3])
	ok := err1 == nil && err2 == nil && err3 == nil && number >= 0 && stageIndex >= 0 && index >= 0
	return taskPosition{parts[0], number, stageIndex, index}, ok
}
