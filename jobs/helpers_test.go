package jobs

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"
)

// newTestScheduler returns a scheduler with the given lease timeout and queues.
func newTestScheduler(lease time.Duration, random *rand.Rand, queues []QueueConfig) *Scheduler {
	s := New(Options{LeaseTimeout: lease, EndedJobTTL: time.Minute, RemoteSlowdown: 1.5}, random)
	s.Configure(queues)
	return s
}

// recordStore holds the records of a shard and the changes that are not yet committed.
type recordStore struct {
	records map[string][]byte // committed records
	pending []Change          // changes that are not yet committed
	last    int64             // sequence number of the last change
}

// flush flushes the scheduler's changes to the pending ones.
func (r *recordStore) flush(t *testing.T, s *Scheduler) {
	t.Helper()
	last, err := s.Flush(func(c Change) int64 {
		r.pending = append(r.pending, c)
		r.last++
		return r.last
	}, r.last)
	if err != nil {
		t.Fatal(err)
	}
	if last != r.last {
		t.Fatalf("Flush returned sequence number %d, want %d of the last change", last, r.last)
	}
}

// commit commits all pending changes.
func (r *recordStore) commit(s *Scheduler) {
	for _, c := range r.pending {
		if c.Value == nil {
			delete(r.records, c.Key)
		} else {
			r.records[c.Key] = c.Value
		}
	}
	r.pending = nil
	s.OnCommitted(r.last)
}

// restore discards the pending changes and restores a new owner's scheduler from the committed records.
func (r *recordStore) restore(t *testing.T, s *Scheduler, now time.Duration) {
	t.Helper()
	r.pending = nil
	var records []Change
	for key, value := range r.records {
		records = append(records, Change{key, value})
	}
	if err := s.Restore(now, records); err != nil {
		t.Fatal(err)
	}
}

// finished returns a finished run as an agent reports it.
func finished(number int64, ref RunRef, outcome string) FinishedRun {
	return FinishedRun{Number: number, Task: ref.Task, Attempt: ref.Attempt, Outcome: outcome}
}

// runsByJob counts the runs of all workers by the key that the function returns for a job ID and a worker.
func runsByJob(s *Scheduler, key func(id string, w *Worker) string) map[string]int {
	counts := map[string]int{}
	for _, w := range s.workers {
		for ref := range w.Runs {
			id, _, _ := strings.Cut(ref.Task, ".")
			counts[key(id, w)]++
		}
	}
	return counts
}

// number parses a number of a scenario.
func number(t *testing.T, text string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatalf("%q is not a number", text)
	}
	return n
}

// The JSON keys of the words in jobBody that are not JSON keys themselves, by the type of the value: boolean words without a
// value, numbers and strings of a stage, and numbers of a job.
var (
	stageFlags = map[string]string{"gang": "gang", "racklocal": "rack_local", "checkpoints": "checkpoints", "longrunning": "long_running"}
	stageKeys  = map[string]string{"mem": "mem_mb", "antiaffinity": "anti_affinity", "est": "estimate_ms"}
	stageTexts = map[string]string{"affinity": "affinity_to", "label": "constraints"}
	jobKeys    = map[string]string{"repeat": "repeat", "start": "start_at_ms", "interval": "interval_ms"}
)

// jobBody returns the JSON body of a job from the words of a scenario; see scenario for the syntax.
func jobBody(words []string) []byte {
	var stages []string
	stage := map[string]string{}
	job := ""
	flush := func() {
		var parts []string
		for name, value := range stage {
			parts = append(parts, strconv.Quote(name)+":"+value)
		}
		stages = append(stages, "{"+strings.Join(parts, ",")+"}")
		stage = map[string]string{}
	}
	for _, word := range words {
		if word == "|" {
			flush()
			continue
		}
		if count, ok := strings.CutSuffix(word, "x"); ok {
			stage["count"] = count
			continue
		}
		name, value, _ := strings.Cut(word, "=")
		if key, ok := jobKeys[name]; ok {
			job += "," + strconv.Quote(key) + ":" + value
			continue
		}
		key, value := stageEntry(name, value)
		stage[key] = value
	}
	flush()
	return []byte(`{"spec":"text","stages":[` + strings.Join(stages, ",") + `]` + job + `}`)
}

// stageEntry returns the JSON key and value for a word of a stage.
func stageEntry(name, value string) (key, text string) {
	if key, ok := stageFlags[name]; ok {
		return key, "true"
	}
	if key, ok := stageTexts[name]; ok {
		return key, strconv.Quote(value)
	}
	if key, ok := stageKeys[name]; ok {
		return key, value
	}
	if name == "after" {
		return "depends_on", "[" + value + "]"
	}
	return name, value
}
