package store_test

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
)

var updateStored = flag.Bool("update", false, "rewrite the stored journal")

const storedJournal = "testdata/journal"

// storedOptions returns the options with which the stored journal was written, with segments of minimal size.
func storedOptions(dir string, pid int, now func() time.Time) store.Options {
	return store.Options{
		Dir: dir, Secret: secret, Sync: true, Retention: time.Hour, SegmentBytes: 600, Now: now, Owner: store.Owner{PID: pid, Name: "n0", Ops: "127.0.0.1:9"},
	}
}

// recordWriter writes records of jobs to a store.
type recordWriter struct {
	t   *testing.T
	s   *store.Store
	now time.Time
}

func newRecordWriter(t *testing.T, dir string, pid int, now time.Time) *recordWriter {
	t.Helper()
	w := &recordWriter{t: t, now: now}
	var err error
	if w.s, err = store.OpenStepped(storedOptions(dir, pid, func() time.Time { return w.now })); err != nil {
		t.Fatal(err)
	}
	return w
}

// put puts records a millisecond apart and makes them durable.
func (w *recordWriter) put(records ...journal.Record) {
	for _, r := range records {
		w.now = w.now.Add(time.Millisecond)
		r.At = w.now.UnixMicro()
		w.s.Put(r, func(err error) {
			if err != nil {
				w.t.Errorf("record %+v: %v", r, err)
			}
		})
	}
	w.s.WriteBatch()
	w.s.Sync()
	w.s.Maintain()
}

// begin puts the acceptance and intent of a job.
func (w *recordWriter) begin(id string) uint64 {
	serial := w.s.Serial()
	digest := sha256.Sum256([]byte(id))
	w.put(
		journal.Record{Kind: journal.Accepted, Serial: serial, JobID: id, Class: "once", Tenant: "team", Target: "/once?a=1", Size: 77, Digest: digest[:16]},
		journal.Record{Kind: journal.Intent, Serial: serial, JobID: id, Worker: "box-1"},
	)
	return serial
}

// writeStored writes a journal of two processes: one that shut down gracefully after it dropped old segments, and one that died.
func writeStored(t *testing.T, dir string) {
	t.Helper()
	w := newRecordWriter(t, dir, 1, time.UnixMicro(1_700_000_000_000_000))
	finish := func(serial uint64) {
		w.put(
			journal.Record{Kind: journal.Sent, Serial: serial}, journal.Record{Kind: journal.Started, Serial: serial},
			journal.Record{Kind: journal.Ended, Serial: serial, Code: uint8(journal.OutcomeServed)},
			journal.Record{Kind: journal.Answered, Serial: serial, Code: uint8(journal.Served)},
		)
	}
	lost := w.begin("lost")
	w.put(
		journal.Record{Kind: journal.Sent, Serial: lost}, journal.Record{Kind: journal.Started, Serial: lost},
		journal.Record{Kind: journal.Ended, Serial: lost, Code: uint8(journal.OutcomeConnectionLost)},
		journal.Record{Kind: journal.Answered, Serial: lost, Code: uint8(journal.Failed), Text: "the connection broke"},
	)
	for i := range 4 {
		finish(w.begin(fmt.Sprint("old-", i)))
	}
	w.now = w.now.Add(2 * time.Hour)
	finish(w.begin("finished"))
	decided := w.begin("settled")
	w.put(
		journal.Record{Kind: journal.Ended, Serial: decided, Code: uint8(journal.OutcomeTimedOut)},
		journal.Record{Kind: journal.ClientGone, Serial: decided},
	)
	w.put(journal.Record{Kind: journal.Decided, Serial: decided, JobID: "settled", Code: uint8(journal.Ran), Text: "seen in the box's log", Operator: "ann"})
	retried := w.begin("retried")
	w.put(
		journal.Record{Kind: journal.Ended, Serial: retried, Code: uint8(journal.OutcomeRejected), NeverRan: true},
		journal.Record{Kind: journal.Intent, Serial: retried, Attempt: 1, JobID: "retried", Worker: "box-2"},
		journal.Record{Kind: journal.Sent, Serial: retried, Attempt: 1}, journal.Record{Kind: journal.Started, Serial: retried, Attempt: 1},
		journal.Record{Kind: journal.Ended, Serial: retried, Attempt: 1, Code: uint8(journal.OutcomeServed)},
		journal.Record{Kind: journal.Answered, Serial: retried, Code: uint8(journal.Served)},
	)
	w.s.Maintain()
	w.s.ShutDown()

	w = newRecordWriter(t, dir, 2, w.now.Add(time.Second))
	finish(w.begin("finished-2"))
	w.begin("open-intent")
	started := w.begin("open-started")
	w.put(journal.Record{Kind: journal.Sent, Serial: started}, journal.Record{Kind: journal.Started, Serial: started})
	notStarted := w.begin("open-refused")
	w.put(journal.Record{Kind: journal.Ended, Serial: notStarted, Code: uint8(journal.OutcomeConnectFailed), NeverRan: true})
	w.s.Unlock()
}

// describeJob formats all fields of a job.
func describeJob(j store.Found) string {
	var text strings.Builder
	verdict, reason, workers := j.Verdict()
	fmt.Fprintf(&text, "%s serial %d class %s tenant %s target %s size %d digest %x taken %d: open %t, done %t, verdict %s (%s; %s)\n",
		j.ID, j.Serial, j.Class, j.Tenant, j.Target, j.Size, j.Digest, j.AcceptedAt, j.Open(), j.Resolved(), verdict, reason, strings.Join(workers, ", "))
	for _, a := range j.Attempts {
		fmt.Fprintf(&text, " attempt %d at %s: intent %d, sent %d, started %d, ended %d %s, unseen %t\n", a.Number, a.Worker, a.IntentAt, a.SentAt,
			a.StartedAt, a.EndedAt, a.Outcome, a.NeverRan)
	}
	fmt.Fprintf(&text, " answer %s at %d %q, client gone %d, broken %t, gap %t, settled %s at %d by %q: %q\n", j.Answer, j.AnswerAt, j.Reason, j.ClientDisconnectedAt,
		j.Orphaned, j.RecordsMissing, j.DecidedAs, j.DecidedAt, j.DecidedBy, j.DecisionReason)
	return text.String()
}

func describeView(v *store.View) string {
	var text strings.Builder
	for _, j := range v.Jobs {
		text.WriteString(describeJob(j))
	}
	for _, p := range v.Problems {
		fmt.Fprintf(&text, "problem %s\n", p)
	}
	for _, l := range v.Logs {
		fmt.Fprintf(&text, "%s live %t, closed %t, %d segments, pruned to %d, %d records\n", filepath.Base(l.Dir), l.Live, l.Closed, l.Segments, l.PrunedThrough, l.Records)
	}
	return text.String()
}

// checkText compares a text with a file in testdata, which -update rewrites.
func checkText(t *testing.T, got, path string) {
	t.Helper()
	if *updateStored {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || got != string(want) {
		t.Errorf("error %v; the journal contains\n%s\nwant\n%s", err, got, want)
	}
}

// A journal written by an earlier release is read completely: its finished, open, unknown and settled jobs with their times.
func TestStoredJournalIsRead(t *testing.T) {
	if *updateStored {
		if err := os.RemoveAll(storedJournal); err != nil {
			t.Fatal(err)
		}
		writeStored(t, storedJournal)
	}
	view, err := store.Read(store.OS{}, storedJournal, secret, "")
	if err != nil {
		t.Fatal(err)
	}
	if view.Damaged() {
		t.Errorf("the stored journal is reported as damaged: %v", view.Problems)
	}
	checkText(t, describeView(view), "testdata/dead.txt")
	one, err := store.Read(store.OS{}, storedJournal, secret, "lost")
	if err != nil || len(one.Jobs) != 1 || one.Jobs[0].Reason != "the connection broke" {
		t.Errorf("read of one job: %+v, error %v", one, err)
	}
}

func copyStored(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "j")
	if err := os.CopyFS(dir, os.DirFS(storedJournal)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// The jobs of a log are open while its process runs.
func TestStoredJournalOfRunningProcess(t *testing.T) {
	dir := copyStored(t)
	lock, _, err := store.OS{}.Lock(filepath.Join(dir, "lane-0", "lock"), `{"pid":2,"name":"n0","ops":"127.0.0.1:9"}`)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := lock.Close(); err != nil {
			t.Error(err)
		}
	})
	view, err := store.Read(store.OS{}, dir, secret, "")
	if err != nil {
		t.Fatal(err)
	}
	if want := (store.Owner{PID: 2, Name: "n0", Ops: "127.0.0.1:9"}); view.Logs[0].Owner != want {
		t.Errorf("owner of the log %+v, want %+v", view.Logs[0].Owner, want)
	}
	checkText(t, describeView(view), "testdata/live.txt")
}

// The next process continues the stored journal: serials continue, unresolved jobs wait for a verdict, and an operator's verdict
// is recorded.
func TestStoredJournalContinued(t *testing.T) {
	dir := copyStored(t)
	w := newRecordWriter(t, dir, 3, time.UnixMicro(1_700_007_300_000_000))
	if got := w.s.UnresolvedJobs(); got != 3 {
		t.Errorf("%d unresolved jobs, want 3", got)
	}
	if got := w.s.Serial(); got != 13 {
		t.Errorf("the next serial is %d, want 13", got)
	}
	w.s.ShutDown()
	if n, err := store.DecideUnowned(storedOptions(dir, 4, time.Now), "lost", journal.DidNotRun, "bob", "asked"); n != 1 || err != nil {
		t.Errorf("decided %d jobs, error %v", n, err)
	}
	view, err := store.Read(store.OS{}, dir, secret, "")
	if err != nil || view.Damaged() {
		t.Fatalf("view %v, error %v; want no damage", view, err)
	}
	i := slices.IndexFunc(view.Jobs, func(j store.Found) bool { return j.ID == "lost" })
	if i < 0 || view.Jobs[i].DecidedAs != journal.DidNotRun || view.Jobs[i].DecidedBy != "bob" {
		t.Errorf("the operator's verdict is missing: %s", describeView(view))
	}
}
