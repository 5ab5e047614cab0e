package jobs

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/avrocodec"
)

// decodableBytes is the longest byte field that releases up to 6544134 can read.
const decodableBytes = 1 << 20

// partitionHarness is a scheduler with two workers, its stored records and the latest report number of each worker.
type partitionHarness struct {
	t         *testing.T
	scheduler *Scheduler
	records   recordStore
	now       time.Duration
	finished  map[string]int64 // number of the last finished run, keyed by instance
}

func newPartitionHarness(t *testing.T) *partitionHarness {
	return &partitionHarness{
		t: t, scheduler: newTestScheduler(time.Minute, rand.New(rand.NewPCG(1, 2)), testQueues),
		records: recordStore{records: map[string][]byte{}}, now: time.Second, finished: map[string]int64{},
	}
}

// submit submits a job and commits it.
func (h *partitionHarness) submit(id, body string) {
	h.t.Helper()
	if _, err := h.scheduler.Submit(h.now, 1000, &Submission{ID: id, Queue: testQueues[0].Name, Body: []byte(body)}); err != nil {
		h.t.Fatal(err)
	}
	h.commit()
}

// commit runs a scheduling cycle and commits the changes.
func (h *partitionHarness) commit() {
	h.t.Helper()
	h.scheduler.Schedule(h.now)
	h.records.flush(h.t, h.scheduler)
	for _, change := range h.records.pending {
		if len(change.Value) > decodableBytes {
			h.t.Fatalf("record %s has %d bytes; replicas read at most %d", change.Key, len(change.Value), decodableBytes)
		}
	}
	h.records.commit(h.scheduler)
	h.now += 50 * time.Millisecond
}

// report applies a report of a worker that has the given runs active, and the given one finished if outcome is not empty.
func (h *partitionHarness) report(instance string, active []ActiveRun, ref RunRef, outcome string) {
	report := &Report{
		AgentAddress: "10.0.2.1:7000" + instance, AgentIncarnation: "1", Service: "svc", Instance: instance, State: string(Ready),
		Capacity: Resources{CPU: 1_000_000, MemMB: 1 << 30}, Labels: []string{"k", "r1"}, Active: active,
	}
	if outcome != "" {
		h.finished[instance]++
		report.Finished = []FinishedRun{finished(h.finished[instance], ref, outcome)}
	}
	h.scheduler.HandleReport(h.now, report)
}

// describe returns the state of all jobs, each with the fields that are stored.
func describe(s *Scheduler, ids []string) string {
	var text strings.Builder
	for _, id := range ids {
		if job := s.jobs[id]; job != nil {
			text.WriteString(describeJob(job) + "\n")
		}
	}
	return text.String()
}

// checkRestored checks that a new owner restores the jobs as they are.
func (h *partitionHarness) checkRestored(ids ...string) *Scheduler {
	h.t.Helper()
	restored := newTestScheduler(time.Minute, rand.New(rand.NewPCG(1, 2)), testQueues)
	copied := recordStore{records: h.records.records}
	copied.restore(h.t, restored, h.now)
	got, want := describe(restored, ids), describe(h.scheduler, ids)
	if got != want {
		h.t.Fatalf("restored\n%.2000s\nwant\n%.2000s", got, want)
	}
	return restored
}

// TestLargeJobIsStoredInReadableRecords guards against the failure of review/2: a job with some 30,000 started tasks was written
// as one record that no replica could read, so that its whole shard lost its quorum.
func TestLargeJobIsStoredInReadableRecords(t *testing.T) {
	h := newPartitionHarness(t)
	h.submit("00000000abcdef05", `{"spec":"s","stages":[{"count":4900,"cpu":10},{"count":1,"cpu":10,"depends_on":[0]}],"repeat":8}`)
	for range 20 {
		h.report("a-worker-with-a-name-of-usual-length", nil, RunRef{}, "")
		h.report("b-worker-with-a-name-of-usual-length", nil, RunRef{}, "")
		h.scheduler.Tick(h.now, 1000)
		h.commit()
	}
	job := h.scheduler.jobs["00000000abcdef05"]
	if job.assigned != 8*4900 {
		t.Fatalf("%d tasks are assigned, want %d", job.assigned, 8*4900)
	}
	h.checkRestored(job.ID)
}

// TestPartitionedJobIsRestoredAsItIs checks that the records of partitioned jobs follow all changes of their tasks: starts, ends,
// failures, checkpoints, gangs, completed occurrences, cancellations and the deletion of the job. Of an unchanged part nothing is
// written.
func TestPartitionedJobIsRestoredAsItIs(t *testing.T) {
	bodies := map[string]string{
		"wide":   `{"spec":"s","stages":[{"count":150,"cpu":10,"checkpoints":true},{"count":70,"cpu":10,"depends_on":[0]}]}`,
		"gang":   `{"spec":"s","stages":[{"count":3,"cpu":10,"gang":true,"checkpoints":true},{"count":130,"cpu":10}]}`,
		"repeat": `{"spec":"s","stages":[{"count":65,"cpu":10}],"repeat":3}`,
	}
	for seed := range uint64(10) {
		h := newPartitionHarness(t)
		random := rand.New(rand.NewPCG(seed, 3))
		ids := []string{"wide", "gang", "repeat"}
		for _, id := range ids {
			h.submit(id, bodies[id])
			h.scheduler.jobs[id].parts = &partition{stored: map[partNumber]bool{}}
			h.scheduler.markDirty(h.scheduler.jobs[id])
		}
		for step := range 400 {
			h.randomStep(random)
			for _, id := range ids {
				if job := h.scheduler.jobs[id]; job != nil {
					h.scheduler.markDirty(job) // a checkpoint alone is written with the next other change of its job
				}
			}
			h.commit()
			if step%20 == 0 {
				h.checkRestored(ids...)
			}
		}
		h.checkRestored(ids...)
		for _, id := range ids {
			h.scheduler.Cancel(h.now, JobRef{ID: id})
		}
		h.commit()
		h.checkRestored(ids...)
		h.now += 2 * time.Minute
		h.scheduler.Tick(h.now, 1000)
		h.commit()
		if len(h.records.records) != 0 {
			t.Errorf("seed %d: %d records remain after the deletion of all jobs", seed, len(h.records.records))
		}
	}
}

// randomStep reports one worker, with its runs active with or without a checkpoint, and one of them finished.
func (h *partitionHarness) randomStep(random *rand.Rand) {
	instance := []string{"a", "b"}[random.IntN(2)]
	var active []ActiveRun
	var ended RunRef
	for _, w := range h.scheduler.workers {
		for ref := range w.Runs {
			if w.Instance != instance {
				continue
			}
			run := ActiveRun{Task: ref.Task, Attempt: ref.Attempt}
			if random.IntN(4) == 0 {
				run.Checkpoint = fmt.Sprint("saved-", random.IntN(1000))
			}
			active = append(active, run)
			ended = ref
		}
	}
	outcome := ""
	if ended.Task != "" {
		outcome = []string{outcomeSucceeded, outcomeSucceeded, outcomeSucceeded, outcomeFailed, outcomeStopped, outcomeDropped}[random.IntN(6)]
	}
	h.report(instance, active, ended, outcome)
}

// TestUnchangedPartsAreNotWritten checks that the end of one task of a partitioned job writes only the part of that task.
func TestUnchangedPartsAreNotWritten(t *testing.T) {
	h := newPartitionHarness(t)
	h.report("a", nil, RunRef{}, "")
	h.submit("wide", `{"spec":"s","stages":[{"count":640,"cpu":10}]}`)
	job := h.scheduler.jobs["wide"]
	job.parts = &partition{stored: map[partNumber]bool{}}
	h.scheduler.markDirty(job)
	for range 5 {
		h.commit()
	}
	h.report("a", nil, RunRef{TaskName("wide", 0, 0, 300), 1}, outcomeSucceeded)
	h.records.flush(t, h.scheduler)
	if len(h.records.pending) != 1 || h.records.pending[0].Key != (partNumber{0, 300 / tasksPerPart}).recordKey("wide") {
		t.Errorf("the end of one task wrote %d records, want that of its part: %+v", len(h.records.pending), h.records.pending)
	}
}

// TestFailureOfGangMemberIsStored checks that the failures of a gang, which its first task counts, are stored although that task
// is in another part than the failed member: a new owner must not grant more retries.
func TestFailureOfGangMemberIsStored(t *testing.T) {
	h := newPartitionHarness(t)
	h.report("a", nil, RunRef{}, "")
	h.submit("gang", `{"spec":"s","stages":[{"count":70,"cpu":10,"gang":true}]}`)
	job := h.scheduler.jobs["gang"]
	job.parts = &partition{stored: map[partNumber]bool{}}
	h.scheduler.markDirty(job)
	h.commit()
	h.report("a", nil, RunRef{TaskName("gang", 0, 0, 69), 1}, outcomeFailed)
	h.commit()
	if restored := h.checkRestored("gang").jobs["gang"]; restored.Occurrences[0].Stages[0].Tasks[0].Failures != 1 {
		t.Error("a new owner does not count the failed run of a gang's member")
	}
}

// TestJobIsPartitionedAboveRecordLimit checks a jobRecord just below, at and just above maxRecordBytes.
func TestJobIsPartitionedAboveRecordLimit(t *testing.T) {
	for _, excess := range []int{-1, 0, 1} {
		job, err := parseJob(&Submission{ID: "j", Queue: "q", Body: []byte(`{"spec":"s","stages":[{"count":200}]}`)})
		if err != nil {
			t.Fatal(err)
		}
		occurrence := job.addOccurrence(0, 0)
		for _, task := range occurrence.tasks()[1:] {
			job.setCheckpoint(task, strings.Repeat("c", 5200))
		}
		value, err := job.encode()
		if err != nil {
			t.Fatal(err)
		}
		filler := maxRecordBytes + excess - len(value) - 2 // the length of the text takes two bytes more than that of the empty one
		job.setCheckpoint(occurrence.tasks()[0], strings.Repeat("c", filler))
		if value, err = job.encode(); err != nil || len(value) != maxRecordBytes+excess {
			t.Fatalf("the record has %d bytes, error %v, want %d", len(value), err, maxRecordBytes+excess)
		}
		changes, err := job.changedRecords()
		if err != nil {
			t.Fatal(err)
		}
		if partitioned := job.parts != nil; partitioned != (excess > 0) {
			t.Errorf("%d bytes beyond the limit: partitioned %t", excess, partitioned)
		}
		parts := map[partNumber][]byte{}
		for _, change := range changes {
			if len(change.Value) > maxRecordBytes {
				t.Errorf("record %s has %d bytes", change.Key, len(change.Value))
			}
			if _, number, ok := parsePartKey(change.Key); ok {
				parts[number] = change.Value
			}
		}
		restored := &Job{ID: job.ID, Queue: job.Queue, Spec: job.Spec}
		if err := restored.decode(changes[len(changes)-1].Value, parts); err != nil || describeJob(restored) != describeJob(job) {
			t.Errorf("%d bytes beyond the limit: the restored job differs, error %v", excess, err)
		}
	}
}

// TestLongestPartIsReadable checks that a part in which each task has the longest checkpoint is below maxRecordBytes.
func TestLongestPartIsReadable(t *testing.T) {
	tasks := make([]*Task, tasksPerPart)
	for i := range tasks {
		tasks[i] = &Task{State: TaskAssigned, Attempt: 1 << 40, Failures: 1 << 40, LastFailure: 1 << 40, Worker: strings.Repeat("w", 512),
			Checkpoint: strings.Repeat("c", maxCheckpointBytes)}
	}
	value, err := avrocodec.Encode(&partRecord{encodeTasks(tasks)})
	if err != nil || len(value) > maxRecordBytes {
		t.Errorf("the longest part has %d bytes, error %v, want at most %d", len(value), err, maxRecordBytes)
	}
}

// TestLongestManifestIsReadable checks that the manifest of a job with the most occurrences is below maxRecordBytes.
func TestLongestManifestIsReadable(t *testing.T) {
	job := &Job{ID: "j", Spec: &Spec{}, State: Cancelled, NextOccurrence: maxRepeats}
	for number := range maxRepeats {
		job.Occurrences = append(job.Occurrences, &Occurrence{Number: number, Done: number%2 == 0})
	}
	manifest, err := job.encodeManifest()
	if err != nil || len(manifest) > maxRecordBytes {
		t.Errorf("the longest manifest has %d bytes, error %v, want at most %d", len(manifest), err, maxRecordBytes)
	}
	t.Logf("%d bytes", len(manifest))
}

// TestManifestIsNoJobRecord checks that a release without partitions, which decodes each record of a job as a jobRecord, gets an
// error: it must not take over a shard without the tasks of a partitioned job.
func TestManifestIsNoJobRecord(t *testing.T) {
	job, err := parseJob(&Submission{ID: "j", Queue: "q", Body: []byte(`{"spec":"s","stages":[{"count":2}],"repeat":5}`)})
	if err != nil {
		t.Fatal(err)
	}
	job.addOccurrence(0, 0)
	manifest, err := job.encodeManifest()
	if err != nil {
		t.Fatal(err)
	}
	if err := avrocodec.Decode(manifest, &jobRecord{}); err == nil {
		t.Error("a manifest was decoded as the record of a job")
	}
	whole, err := job.encode()
	if err != nil || isManifest(whole) {
		t.Errorf("the record of a job counts as a manifest, error %v", err)
	}
}

// TestMissingPartIsAnError checks that a job is not restored without one of its parts.
func TestMissingPartIsAnError(t *testing.T) {
	h := newPartitionHarness(t)
	h.submit("wide", `{"spec":"s","stages":[{"count":130,"cpu":10}]}`)
	h.scheduler.jobs["wide"].parts = &partition{stored: map[partNumber]bool{}}
	h.scheduler.markDirty(h.scheduler.jobs["wide"])
	h.commit()
	var records []Change
	for key, value := range h.records.records {
		if key != (partNumber{0, 1}).recordKey("wide") {
			records = append(records, Change{key, value})
		}
	}
	restored := newTestScheduler(time.Minute, rand.New(rand.NewPCG(1, 2)), testQueues)
	if err := restored.Restore(0, records); err == nil || !strings.Contains(err.Error(), "p/wide/0/1") {
		t.Errorf("Restore without a part returned error %v, want one that names the part", err)
	}
}

// TestPartWithoutManifestIsDeleted checks that a new owner deletes parts whose manifest was never committed.
func TestPartWithoutManifestIsDeleted(t *testing.T) {
	h := newPartitionHarness(t)
	h.submit("whole", `{"spec":"s","stages":[{"count":3,"cpu":10}]}`)
	h.records.records["p/whole/0/0"] = []byte{0}
	restored := newTestScheduler(time.Minute, rand.New(rand.NewPCG(1, 2)), testQueues)
	h.records.restore(t, restored, h.now)
	h.records.flush(t, restored)
	if len(h.records.pending) != 1 || h.records.pending[0].Key != "p/whole/0/0" || h.records.pending[0].Value != nil {
		t.Errorf("changes of the new owner: %+v, want the deletion of the part", h.records.pending)
	}
}

// TestPartitionedFormIsPinned pins the stored bytes of a manifest and a part, which later releases must read.
func TestPartitionedFormIsPinned(t *testing.T) {
	job, err := parseJob(&Submission{ID: "j", Queue: "q", Body: []byte(`{"spec":"s","stages":[{"count":1},{"count":1}],"repeat":2}`)})
	if err != nil {
		t.Fatal(err)
	}
	job.addOccurrence(0, 0)
	occurrence := job.addOccurrence(1, 0)
	job.NextOccurrence = 2
	job.finishOccurrence(job.Occurrences[0])
	occurrence.Stages[0].Tasks[0] = Task{State: TaskCompleted, Attempt: 3, Failures: 2, LastFailure: 2, Worker: "w@a", Checkpoint: "c"}
	job.parts = &partition{stored: map[partNumber]bool{}}
	changes, err := job.changedRecords()
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{
		"p/j/1/0": "03200406040406774061026300000000000000",
		"d/j":     "010c71756575656404030c00010002000000",
	}
	for _, change := range changes {
		if got := fmt.Sprintf("%x", change.Value); got != want[change.Key] {
			t.Errorf("record %s is stored as %s, want %s", change.Key, got, want[change.Key])
		}
	}
	if len(changes) != len(want) {
		t.Errorf("%d records, want %d", len(changes), len(want))
	}
}
