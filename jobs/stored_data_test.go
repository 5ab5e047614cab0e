package jobs

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/coord/register"
	"sedgevale/coord/shard"
	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/statefile"
)

// storedEntry is an entry of a core machine's data directory. The order of the fields is that of the stored bytes.
type storedEntry struct {
	Kind       int
	Name       string
	Identity   storedIdentity
	Membership membership.Membership
	Ballot     register.Ballot
	Promised   register.Ballot
	Value      []byte
	Token      int64
	Number     int64
	InSync     int64
	Flag       bool
	Records    []shard.Record
	Ranges     []shard.BucketContent
}

type storedIdentity struct {
	ID          string
	Address     string
	Incarnation int64
	Joined      int64
	Restored    bool
}

// storedRecords returns the records of the single shard in a stored data directory.
func storedRecords(t *testing.T, name string) []Change {
	t.Helper()
	set := shard.NewRecordSet()
	_, err := statefile.Replay("../internal/system/statefile/testdata/"+name, func(payload []byte) error {
		var entry storedEntry
		if err := avrocodec.Decode(payload, &entry); err != nil {
			return err
		}
		for _, record := range entry.Records {
			set.Apply(record)
		}
		for _, recordRange := range entry.Ranges {
			for _, record := range recordRange.Records {
				set.Apply(record)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	var records []Change
	for _, record := range set.All() {
		records = append(records, Change{Key: record.Key, Value: record.Value})
	}
	return records
}

// describeJob returns a description of all stored fields of a job.
func describeJob(job *Job) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s in %s is %s, next %d, spec %q", job.ID, job.Queue, job.State, job.NextOccurrence, job.Spec.Text)
	for _, occurrence := range job.Occurrences {
		fmt.Fprintf(&text, "\n time %d, done %t", occurrence.Number, occurrence.Done)
		for stage := range occurrence.Stages {
			for i, task := range occurrence.Stages[stage].Tasks {
				fmt.Fprintf(&text, "\n  task %d.%d: state %d, attempt %d, fails %d, failed %d, worker %q, saved %q", stage, i,
					task.State, task.Attempt, task.Failures, task.LastFailure, task.Worker, task.Checkpoint)
			}
		}
	}
	return text.String()
}

// The jobs of stored shards are restored with their states, attempts, failures, workers and checkpoints, and are encoded again
// to the same bytes.
func TestStoredJobsAreRestored(t *testing.T) {
	for name, want := range storedJobs {
		t.Run(name, func(t *testing.T) {
			restored := New(Options{LeaseTimeout: time.Second, EndedJobTTL: time.Minute, RemoteSlowdown: 1.5}, rand.New(rand.NewPCG(1, 2)))
			if err := restored.Restore(0, storedRecords(t, name)); err != nil {
				t.Fatal(err)
			}
			if len(restored.jobs) != len(want) {
				t.Errorf("restored %d jobs, want %d", len(restored.jobs), len(want))
			}
			for id, stored := range want {
				job := restored.jobs[id]
				if job == nil {
					t.Errorf("job %s is missing", id)
					continue
				}
				if got := describeJob(job); got != stored.text {
					t.Errorf("job %s:\n%s\nwant\n%s", id, got, stored.text)
				}
				if state, known := restored.Status(JobRef{ID: id}); !known || string(state) != stored.visibleState {
					t.Errorf("visible state of job %s is %q, want %q", id, state, stored.visibleState)
				}
				encoded, err := job.encode()
				if err != nil || string(encoded) != valueOf(storedRecords(t, name), "d/"+id) {
					t.Errorf("job %s is encoded as %x, error %v, which differs from the stored record", id, encoded, err)
				}
			}
		})
	}
}

func valueOf(records []Change, key string) string {
	for _, record := range records {
		if record.Key == key {
			return string(record.Value)
		}
	}
	return ""
}

// storedJob is the expected state of a restored job: the state that clients see and the text of describeJob.
type storedJob struct{ visibleState, text string }

var storedJobs = map[string]map[string]storedJob{
	"takeover": {
		"00000000000000a1": {"running", `00000000000000a1 in q is queued, next 1, spec "save"
 time 0, done false
  task 0.0: state 1, attempt 1, fails 0, failed 0, worker "stored-1@10.0.2.1:7000", saved "saved/00000000000000a1.0.0.0/1"
  task 0.1: state 1, attempt 2, fails 1, failed 1, worker "stored-1@10.0.2.1:7000", saved "saved/00000000000000a1.0.0.1/1"`},
		"00000000000000b1": {"queued", `00000000000000b1 in r is queued, next 1, spec "hold"
 time 0, done false
  task 0.0: state 0, attempt 0, fails 0, failed 0, worker "", saved ""`},
		"00000000000000c1": {"cancelled", `00000000000000c1 in r is cancelled, next 1, spec "hold"
 time 0, done false
  task 0.0: state 0, attempt 2, fails 0, failed 0, worker "stored-1@10.0.2.1:7000", saved ""`},
		"00000000000000d1": {"completed", `00000000000000d1 in q is completed, next 1, spec "short"
 time 0, done true`},
		"00000000000000e1": {"running", `00000000000000e1 in q is queued, next 3, spec "short"
 time 0, done true
 time 1, done true
 time 2, done true`},
		"00000000000000f1": {"failed", `00000000000000f1 in q is failed, next 1, spec "fail"
 time 0, done false
  task 0.0: state 0, attempt 3, fails 2, failed 3, worker "stored-1@10.0.2.1:7000", saved ""`},
	},
	"generation": {
		"00000000000000a1": {"running", `00000000000000a1 in q is queued, next 1, spec "save"
 time 0, done false
  task 0.0: state 1, attempt 1, fails 0, failed 0, worker "stored-1@10.0.2.1:7000", saved "saved/00000000000000a1.0.0.0/1"
  task 0.1: state 1, attempt 2, fails 1, failed 1, worker "stored-1@10.0.2.1:7000", saved "saved/00000000000000a1.0.0.1/1"`},
		"00000000000000b1": {"queued", `00000000000000b1 in r is queued, next 1, spec "hold"
 time 0, done false
  task 0.0: state 0, attempt 0, fails 0, failed 0, worker "", saved ""`},
		"00000000000000b2": {"queued", `00000000000000b2 in r is queued, next 1, spec "hold"
 time 0, done false
  task 0.0: state 0, attempt 0, fails 0, failed 0, worker "", saved ""`},
		"00000000000000b3": {"queued", `00000000000000b3 in q is queued, next 1, spec "hold"
 time 0, done false
  task 0.0: state 0, attempt 0, fails 0, failed 0, worker "", saved ""`},
		"00000000000000c1": {"cancelled", `00000000000000c1 in r is cancelled, next 1, spec "hold"
 time 0, done false
  task 0.0: state 0, attempt 2, fails 0, failed 0, worker "stored-1@10.0.2.1:7000", saved ""`},
		"00000000000000d1": {"completed", `00000000000000d1 in q is completed, next 1, spec "short"
 time 0, done true`},
		"00000000000000e1": {"running", `00000000000000e1 in q is queued, next 6, spec "short"
 time 0, done true
 time 1, done true
 time 2, done true
 time 3, done true
 time 4, done true
 time 5, done true`},
		"00000000000000f1": {"failed", `00000000000000f1 in q is failed, next 1, spec "fail"
 time 0, done false
  task 0.0: state 0, attempt 3, fails 2, failed 3, worker "stored-1@10.0.2.1:7000", saved ""`},
	},
	"rejoined": {
		"00000000000000a1": {"running", `00000000000000a1 in q is queued, next 1, spec "save"
 time 0, done false
  task 0.0: state 1, attempt 1, fails 0, failed 0, worker "stored-1@10.0.2.1:7000", saved "saved/00000000000000a1.0.0.0/1"
  task 0.1: state 1, attempt 2, fails 1, failed 1, worker "stored-1@10.0.2.1:7000", saved "saved/00000000000000a1.0.0.1/1"`},
		"00000000000000b1": {"queued", `00000000000000b1 in r is queued, next 1, spec "hold"
 time 0, done false
  task 0.0: state 0, attempt 0, fails 0, failed 0, worker "", saved ""`},
		"00000000000000b2": {"queued", `00000000000000b2 in r is queued, next 1, spec "hold"
 time 0, done false
  task 0.0: state 0, attempt 0, fails 0, failed 0, worker "", saved ""`},
		"00000000000000b3": {"queued", `00000000000000b3 in q is queued, next 1, spec "hold"
 time 0, done false
  task 0.0: state 0, attempt 0, fails 0, failed 0, worker "", saved ""`},
		"00000000000000c1": {"cancelled", `00000000000000c1 in r is cancelled, next 1, spec "hold"
 time 0, done false
  task 0.0: state 0, attempt 2, fails 0, failed 0, worker "stored-1@10.0.2.1:7000", saved ""`},
		"00000000000000d1": {"completed", `00000000000000d1 in q is completed, next 1, spec "short"
 time 0, done true`},
		"00000000000000e1": {"running", `00000000000000e1 in q is queued, next 6, spec "short"
 time 0, done true
 time 1, done true
 time 2, done true
 time 3, done true
 time 4, done true
 time 5, done true`},
		"00000000000000f1": {"failed", `00000000000000f1 in q is failed, next 1, spec "fail"
 time 0, done false
  task 0.0: state 0, attempt 3, fails 2, failed 3, worker "stored-1@10.0.2.1:7000", saved ""`},
	},
}
