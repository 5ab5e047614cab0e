package jobs

import (
	"errors"
	"strings"
	"testing"
)

// TestBodyLimit checks bodies just below, at and just above MaxBodyBytes. A rejected job is not known afterwards.
func TestBodyLimit(t *testing.T) {
	for _, excess := range []int{-1, 0, 1} {
		h := newPartitionHarness(t)
		body := `{"spec":"s","stages":[{"count":1}]}`
		body += strings.Repeat(" ", MaxBodyBytes+excess-len(body))
		_, err := h.scheduler.Submit(h.now, 1000, &Submission{ID: "j", Queue: testQueues[0].Name, Body: []byte(body)})
		var invalid *InvalidJobError
		if accepted := err == nil; accepted != (excess <= 0) || !accepted && !errors.As(err, &invalid) {
			t.Errorf("%d bytes beyond the limit: error %v", excess, err)
		}
		h.commit()
		if _, known := h.scheduler.Status(JobRef{ID: "j"}); known != (excess <= 0) {
			t.Errorf("%d bytes beyond the limit: the job is known: %t", excess, known)
		}
		h.checkRestored("j")
	}
}

// TestCheckpointLimit checks checkpoints just below, at and just above maxCheckpointBytes. The previous one of a task remains if
// the next is too long.
func TestCheckpointLimit(t *testing.T) {
	for _, excess := range []int{-1, 0, 1} {
		h := newPartitionHarness(t)
		h.report("a", nil, RunRef{}, "")
		h.submit("j", `{"spec":"s","stages":[{"count":1,"cpu":10,"checkpoints":true}]}`)
		long := strings.Repeat("c", maxCheckpointBytes+excess)
		for _, checkpoint := range []string{"previous", long} {
			h.report("a", []ActiveRun{{Task: "j.0.0.0", Attempt: 1, Checkpoint: checkpoint}}, RunRef{}, "")
		}
		want := "previous"
		if excess <= 0 {
			want = long
		}
		if rejected := h.scheduler.RejectedCheckpoints(); (rejected > 0) != (excess > 0) {
			t.Errorf("%d bytes beyond the limit: %d checkpoints count as rejected", excess, rejected)
		}
		if got := h.scheduler.jobs["j"].Occurrences[0].Stages[0].Tasks[0].Checkpoint; got != want {
			t.Errorf("%d bytes beyond the limit: the task keeps a checkpoint of %d bytes, want %d", excess, len(got), len(want))
		}
	}
}

// TestJobCheckpointLimit checks that the checkpoints of a job are kept up to maxJobCheckpointBytes in all, that a shorter one is
// kept even at the limit, and that the checkpoints of completed occurrences do not count.
func TestJobCheckpointLimit(t *testing.T) {
	h := newPartitionHarness(t)
	h.report("a", nil, RunRef{}, "")
	h.submit("j", `{"spec":"s","stages":[{"count":513,"cpu":10,"checkpoints":true}],"repeat":2}`)
	for range 10 {
		h.commit()
	}
	full := strings.Repeat("c", maxCheckpointBytes)
	for index := range 513 {
		h.report("a", []ActiveRun{{Task: TaskName("j", 0, 0, index), Attempt: 1, Checkpoint: full}}, RunRef{}, "")
	}
	job := h.scheduler.jobs["j"]
	tasks := job.Occurrences[0].tasks()
	if tasks[511].Checkpoint != full || tasks[512].Checkpoint != "" || job.checkpointBytes != maxJobCheckpointBytes {
		t.Errorf("lengths %d and %d of the last two checkpoints, %d in all; want %d, 0 and %d", len(tasks[511].Checkpoint),
			len(tasks[512].Checkpoint), job.checkpointBytes, maxCheckpointBytes, maxJobCheckpointBytes)
	}
	h.report("a", []ActiveRun{{Task: "j.0.0.0", Attempt: 1, Checkpoint: "short"}}, RunRef{}, "")
	h.report("a", []ActiveRun{{Task: "j.0.0.512", Attempt: 1, Checkpoint: "fits"}}, RunRef{}, "")
	if tasks[0].Checkpoint != "short" || tasks[512].Checkpoint != "fits" {
		t.Errorf("checkpoints %.9q and %.9q after one became shorter", tasks[0].Checkpoint, tasks[512].Checkpoint)
	}
	h.scheduler.markDirty(job)
	h.commit()
	if restored := h.checkRestored("j").jobs["j"]; restored.checkpointBytes != job.checkpointBytes {
		t.Errorf("a new owner counts %d bytes of checkpoints, want %d", restored.checkpointBytes, job.checkpointBytes)
	}
	for index := range 513 {
		h.report("a", nil, RunRef{TaskName("j", 0, 0, index), 1}, outcomeSucceeded)
	}
	if !job.Occurrences[0].Done || job.checkpointBytes != 0 {
		t.Errorf("occurrence done: %t, %d bytes of checkpoints after it", job.Occurrences[0].Done, job.checkpointBytes)
	}
}

// TestOccurrenceWaitsAboveUnfinishedTaskLimit checks that a job has at most maxUnfinishedTasks tasks in unfinished occurrences, and
// that an occurrence that waits for that becomes due once an earlier one is done, also under a new owner.
func TestOccurrenceWaitsAboveUnfinishedTaskLimit(t *testing.T) {
	for tasks, want := range map[string]int{"4999": 10, "5000": 10, "4545": 11, "4546": 10} {
		h := newPartitionHarness(t)
		h.submit("j", `{"spec":"s","stages":[{"count":`+tasks+`,"cpu":10}],"repeat":12}`)
		job := h.scheduler.jobs["j"]
		if len(job.Occurrences) != want || job.unfinishedTasks() > maxUnfinishedTasks {
			t.Errorf("%s tasks: %d occurrences with %d tasks are due, want %d with at most %d", tasks, len(job.Occurrences),
				job.unfinishedTasks(), want, maxUnfinishedTasks)
		}
		restored := h.checkRestored("j")
		restored.jobs["j"].finishOccurrence(restored.jobs["j"].Occurrences[0])
		restored.Tick(h.now, 1000)
		if got := len(restored.jobs["j"].Occurrences); got != want+1 {
			t.Errorf("%s tasks: %d occurrences are due after the end of one, want %d", tasks, got, want+1)
		}
	}
}
