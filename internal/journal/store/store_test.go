package store_test

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sedgevale/internal/fake"
	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
	"sedgevale/internal/testkit"
)

// steppedStore is a Store on an in-memory disk whose steps the test runs.
type steppedStore struct {
	t       *testing.T
	disk    *fake.Disk
	s       *store.Store
	now     time.Time
	log     bytes.Buffer
	options store.Options
}

func newSteppedStore(t *testing.T, capacity int64, change func(*store.Options)) *steppedStore {
	d := &steppedStore{t: t, disk: fake.NewDisk(1, capacity), now: time.UnixMicro(1e15)}
	d.options = store.Options{FS: d.disk, Dir: "j", Secret: secret, Sync: true, Retention: time.Hour, ReservedBytes: 4 << 10, SegmentBytes: 4 << 10,
		Owner: store.Owner{PID: 1, Name: "a"}, Now: func() time.Time { return d.now }, Log: slog.New(slog.NewTextHandler(&d.log, nil))}
	if change != nil {
		change(&d.options)
	}
	d.open()
	return d
}

func (d *steppedStore) open() {
	d.t.Helper()
	d.options.FS = d.disk
	var err error
	if d.s, err = store.OpenStepped(d.options); err != nil {
		d.t.Fatal(err)
	}
}

// step runs one iteration of the Store's loop.
func (d *steppedStore) step() {
	d.now = d.now.Add(50 * time.Millisecond)
	d.s.WriteBatch()
	d.s.Sync()
	d.s.Maintain()
}

func (d *steppedStore) runSteps(n int) {
	for range n {
		d.step()
	}
}

// begin puts the acceptance and intent of a job. got returns the result of the intent's callback.
func (d *steppedStore) begin(id string) (serial uint64, got func() error) {
	serial = d.s.Serial()
	at := d.now.UnixMicro()
	out := errors.New("callback not called")
	d.s.Put(journal.Record{Kind: journal.Accepted, Serial: serial, At: at, JobID: id, Class: "once"}, nil)
	d.s.Put(journal.Record{Kind: journal.Intent, Serial: serial, At: at, JobID: id, Worker: "box"}, func(err error) { out = err })
	return serial, func() error { return out }
}

// end puts the records of a served and answered job.
func (d *steppedStore) end(serial uint64) {
	at := d.now.UnixMicro()
	d.s.Put(journal.Record{Kind: journal.Ended, Serial: serial, At: at, Code: uint8(journal.OutcomeServed)}, nil)
	d.s.Put(journal.Record{Kind: journal.Answered, Serial: serial, At: at, Code: uint8(journal.Served)}, nil)
}

func (d *steppedStore) view() *store.View {
	d.t.Helper()
	v, err := store.Read(d.disk.Kill(), "j", secret, "")
	if err != nil {
		d.t.Fatal(err)
	}
	return v
}

func (d *steppedStore) verdict(id string) string {
	d.t.Helper()
	for _, j := range d.view().Jobs {
		if j.ID == id {
			v, _, _ := j.Verdict()
			return v.String()
		}
	}
	return "absent"
}

// Guards the behavior on a full disk: the journal reports that it is full, records that close open jobs are written to the reserved
// space, and new jobs are recorded again once space is free.
func TestFullDisk(t *testing.T) {
	d := newSteppedStore(t, 64<<10, nil)
	open, got := d.begin("open")
	d.step()
	d.step()
	if got() != nil || d.s.Full() {
		t.Fatalf("intent: error %v, full %v", got(), d.s.Full())
	}
	d.disk.WriteFile("other", make([]byte, 1<<20)) // another user of the disk fills it
	d.step()
	if !d.s.Full() {
		t.Fatal("the disk is full but the journal does not report it")
	}
	late, got := d.begin("late") // a job that was accepted just before the journal reported that it is full
	d.end(open)
	d.step()
	if err := got(); !errors.Is(err, store.ErrWriteFailed) {
		t.Errorf("intent on a full disk: error %v, want ErrWriteFailed", err)
	}
	d.s.Put(journal.Record{Kind: journal.Answered, Serial: late, At: 1, Code: uint8(journal.Rejected)}, nil)
	d.runSteps(5)
	if !d.s.Full() || d.s.Stats().Buffered == 0 {
		t.Errorf("full %v, buffered %d", d.s.Full(), d.s.Stats().Buffered)
	}
	d.disk.SetCapacity(4 << 20)
	d.runSteps(30)
	if d.s.Full() || d.s.Stats().Buffered != 0 {
		t.Errorf("after space was freed: full %v, buffered %d", d.s.Full(), d.s.Stats().Buffered)
	}
	if _, got := d.begin("next"); got() == nil {
		t.Error("the intent's callback succeeded before the write")
	} else if d.step(); got() != nil {
		t.Errorf("intent after space was freed: error %v", got())
	}
	if a, b := d.verdict("open"), d.verdict("late"); a != "ran" || b != "did_not_run" {
		t.Errorf("verdict of the open job %s, of the rejected job %s; want ran, did_not_run", a, b)
	}
	if n := strings.Count(d.log.String(), "is full"); n != 1 {
		t.Errorf("%d log lines report the full journal, want 1", n)
	}
}

// Guards the reserve file: after its removal, records that close jobs can be written to a full disk.
func TestReserve(t *testing.T) {
	d := newSteppedStore(t, 64<<10, nil)
	open, _ := d.begin("open")
	d.step()
	d.step() // creates the reserve file
	free, _ := d.disk.Free("j")
	d.disk.WriteFile("other", make([]byte, free))
	d.end(open)
	d.s.WriteBatch()
	d.s.Sync()
	if got := d.verdict("open"); got != "ran" {
		t.Errorf("verdict on the full disk: %s, want ran", got)
	}
}

// Guards against an intent that counts as durable after a failed sync, and against its loss after the disk has recovered.
func TestFailedSync(t *testing.T) {
	d := newSteppedStore(t, 1<<20, nil)
	_, first := d.begin("first")
	d.step()
	d.disk.Fail(fake.OpSync, 1)
	_, second := d.begin("second")
	for range 3 {
		d.step()
	}
	if first() != nil || second() == nil {
		t.Fatalf("intent before the fault: error %v, during it: error %v", first(), second())
	}
	if !strings.Contains(d.log.String(), "cannot be written") {
		t.Error("the failed sync was not logged")
	}
	d.disk.Fail(fake.OpSync, 0)
	d.step()
	if err := second(); err != nil {
		t.Errorf("intent after the fault: error %v", err)
	}
	d.disk = d.disk.PowerFail()
	v := d.view()
	if len(v.Jobs) != 2 || v.Damaged() {
		t.Errorf("%d jobs after a power failure, problems %v", len(v.Jobs), v.Problems)
	}
}

// Retention drops old resolved jobs but keeps open ones and those with an unknown verdict until an operator decides. Memory use
// stays bounded, and dropped records are not reported as damage.
func TestRetention(t *testing.T) {
	d := newSteppedStore(t, 8<<20, func(o *store.Options) { o.Retention, o.MaxBytes = time.Minute, 1<<20 })
	unresolved, _ := d.begin("unresolved")
	d.s.Put(journal.Record{Kind: journal.Ended, Serial: unresolved, At: 1, Code: uint8(journal.OutcomeConnectionLost)}, nil)
	d.s.Put(journal.Record{Kind: journal.Answered, Serial: unresolved, At: 1, Code: uint8(journal.Failed)}, nil)
	open, _ := d.begin("open")
	for i := range 2000 {
		serial, _ := d.begin(fmt.Sprint("many-", i))
		d.end(serial)
		d.step()
		if n := d.s.UnresolvedJobs(); n > 2 {
			t.Fatalf("%d unresolved jobs in memory after job %d", n, i)
		}
	}
	d.now = d.now.Add(2 * time.Minute)
	for range 200 {
		d.step()
	}
	v := d.view()
	if len(v.Jobs) > 60 || v.Damaged() {
		t.Errorf("%d jobs remain, problems %v", len(v.Jobs), v.Problems)
	}
	if a, b := d.verdict("unresolved"), d.verdict("open"); a != "unknown" || b == "absent" {
		t.Errorf("verdict of the unresolved job %s, want unknown; of the open job %s, want it present", a, b)
	}
	d.end(open)
	d.step()
	if got := d.verdict("open"); got != "ran" {
		t.Errorf("verdict of the carried-over job after its end: %s, want ran", got)
	}
	d.s.ShutDown()
	n, err := store.DecideUnowned(d.options, "unresolved", journal.Ran, "ann", "seen on the box")
	if n != 1 || err != nil {
		t.Fatalf("decided %d jobs, error %v", n, err)
	}
	if got := d.verdict("unresolved"); got != "ran" {
		t.Errorf("verdict after the operator's decision: %s, want ran", got)
	}
	if _, err := store.DecideUnowned(d.options, "unresolved", journal.Ran, "ann", "again"); !errors.Is(err, store.ErrNothingToDecide) {
		t.Errorf("second decision: error %v, want ErrNothingToDecide", err)
	}
	d.open()
	if n := d.s.UnresolvedJobs(); n != 0 {
		t.Errorf("%d unresolved jobs after all were decided", n)
	}
}

// segmentFaults contains ways to damage a journal, given its segment files.
var segmentFaults = map[string]func(d *steppedStore, files []string){
	"first removed":  func(d *steppedStore, f []string) { _ = d.disk.Remove(f[0]) },
	"middle removed": func(d *steppedStore, f []string) { _ = d.disk.Remove(f[len(f)/2]) },
	"byte changed": func(d *steppedStore, f []string) {
		b, _ := d.disk.ReadFile(f[1])
		b[len(b)/2] ^= 4
		d.disk.WriteFile(f[1], b)
	},
	"truncated": func(d *steppedStore, f []string) {
		b, _ := d.disk.ReadFile(f[1])
		d.disk.WriteFile(f[1], b[:len(b)-200])
	},
	"swapped": func(d *steppedStore, f []string) {
		a, _ := d.disk.ReadFile(f[1])
		b, _ := d.disk.ReadFile(f[2])
		d.disk.WriteFile(f[1], b)
		d.disk.WriteFile(f[2], a)
	},
}

// Guards against segment files that are removed, swapped or altered without being detected. The remaining records are still read.
func TestReadReportsDamage(t *testing.T) {
	filledStore := func() *steppedStore {
		d := newSteppedStore(t, 8<<20, nil)
		for i := range 200 {
			serial, _ := d.begin(fmt.Sprint("job-", i))
			d.end(serial)
			d.step()
		}
		d.s.ShutDown()
		return d
	}
	names := func(d *steppedStore) (out []string) {
		all, _ := d.disk.ReadDir("j/lane-0")
		for _, n := range all {
			if strings.HasSuffix(n, ".seg") {
				out = append(out, "j/lane-0/"+n)
			}
		}
		return out
	}
	d := filledStore()
	if v := d.view(); v.Damaged() || len(v.Problems) > 0 || !v.Logs[0].Closed || len(v.Jobs) != 200 {
		t.Fatalf("unaltered journal: logs %+v, problems %v", v.Logs, v.Problems)
	}
	for fault, damage := range segmentFaults {
		d := filledStore()
		damage(d, names(d))
		if v := d.view(); !v.Damaged() || len(v.Jobs) < 100 {
			t.Errorf("%s: problems %v, %d jobs", fault, v.Problems, len(v.Jobs))
		}
		d.open() // the log can be continued and the damage is logged
		if !strings.Contains(d.log.String(), "damaged") {
			t.Errorf("%s: the damage was not logged", fault)
		}
	}
	d = filledStore()
	files := names(d)
	last, _ := d.disk.ReadFile(files[len(files)-1])
	d.disk.WriteFile(files[len(files)-1], last[:len(last)-5])
	if v := d.view(); v.Damaged() || v.Logs[0].Closed || len(v.Problems) != 1 {
		t.Errorf("torn tail: logs %+v, problems %v", v.Logs, v.Problems)
	}
}

// Guards against two schedulers in one directory. The two processes of an upgrade have a log each, and a reader finds the jobs of
// both.
func TestLogPerProcess(t *testing.T) {
	d := newSteppedStore(t, 8<<20, nil)
	other := d.options
	other.Owner = store.Owner{PID: 2, Name: "b"}
	if _, err := store.OpenStepped(other); !errors.Is(err, store.ErrLocked) || !strings.Contains(err.Error(), `"a"`) {
		t.Errorf("second scheduler: error %v, want ErrLocked with the owner's name", err)
	}
	other.Owner = store.Owner{PID: 2, Name: "a"}
	second, err := store.OpenStepped(other)
	if err != nil {
		t.Fatal(err)
	}
	first, _ := d.begin("same") // the same ID in both logs
	d.end(first)
	d.step()
	s := d.s
	d.s = second
	d.begin("same")
	d.step()
	v := d.view()
	if len(v.Jobs) != 2 || len(v.Logs) != 2 || v.Logs[0].Dir == v.Logs[1].Dir {
		t.Errorf("%d jobs, logs %+v", len(v.Jobs), v.Logs)
	}
	s.ShutDown()
	d.s.ShutDown()
	d.options.Owner = store.Owner{PID: 3, Name: "b"}
	d.open() // the lock was released
}

// Guards against unreadable records: a missing key file of a journal with records is not replaced, and a key file that is accessible
// to others is rejected.
func TestKeyFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	if _, err := store.LoadOrCreateKey(path, true); !errors.Is(err, os.ErrNotExist) || !strings.Contains(err.Error(), "put it back") {
		t.Errorf("missing key of a journal with records: error %v", err)
	}
	made, err := store.LoadOrCreateKey(path, false)
	if err != nil || len(made) < journal.MinKeySize {
		t.Fatalf("created a key of %d bytes, error %v", len(made), err)
	}
	if reread, err := store.LoadOrCreateKey(path, true); err != nil || !bytes.Equal(made, reread) {
		t.Errorf("reading the created key: error %v", err)
	}
	if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v", info.Mode())
	}
	if err := os.Chmod(path, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := store.ReadKey(path); err == nil || !strings.Contains(err.Error(), "chmod 600") {
		t.Errorf("key file readable by others: error %v", err)
	}
}

// Truncated and malformed keys are rejected, by an error that does not reveal the file's contents.
func TestBadKeyFiles(t *testing.T) {
	for _, bad := range []string{"", "zz", "00ff", strings.Repeat("0", 63)} {
		p := filepath.Join(t.TempDir(), "key")
		if err := os.WriteFile(p, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := store.ReadKey(p); err == nil || bad != "" && strings.Contains(err.Error(), bad) {
			t.Errorf("key file %q: error %v", bad, err)
		}
	}
}

// Guards against reading or writing a journal with a wrong key, and against a key in the log output.
func TestWrongKey(t *testing.T) {
	d := newSteppedStore(t, 1<<20, nil)
	d.begin("j")
	d.step()
	wrong := bytes.Repeat([]byte{1}, 32)
	if _, err := store.Read(d.disk, "j", wrong, ""); !errors.Is(err, journal.ErrKey) {
		t.Errorf("read with a wrong key: error %v, want ErrKey", err)
	}
	d.disk = d.disk.Kill()
	d.options.FS, d.options.Secret = d.disk, wrong
	if _, err := store.OpenStepped(d.options); !errors.Is(err, journal.ErrKey) {
		t.Errorf("opened with a wrong key: error %v, want ErrKey", err)
	}
	if strings.Contains(d.log.String(), hex.EncodeToString(secret)) {
		t.Error("the log output contains the key")
	}
}

// putIntents puts n jobs with an intent each, and waits until the intents are durable.
func putIntents(t *testing.T, s *store.Store, n int) {
	t.Helper()
	done := make(chan error, n)
	for i := range n {
		serial := s.Serial()
		s.Put(journal.Record{Kind: journal.Accepted, Serial: serial, At: int64(i + 1), JobID: fmt.Sprint("job-", i), Class: "once"}, nil)
		s.Put(journal.Record{Kind: journal.Intent, Serial: serial, At: int64(i + 1), JobID: fmt.Sprint("job-", i), Worker: "box"},
			func(err error) { done <- err })
	}
	for range n {
		if err := testkit.Await(t, "an intent", done); err != nil {
			t.Fatal(err)
		}
	}
}

// Read with an ID finds the same job as a complete read, also while a real disk is being written, and a graceful shutdown is
// recorded.
func TestReadOnDisk(t *testing.T) {
	dir := t.TempDir()
	s, err := store.Open(store.Options{Dir: dir, Secret: secret, Sync: true, MaxBytes: 64 << 20, ReservedBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	putIntents(t, s, 300)
	v, err := store.Read(store.OS{}, dir, secret, "job-77")
	if err != nil || len(v.Jobs) != 1 || v.Jobs[0].ID != "job-77" || !v.Jobs[0].Live || len(v.Jobs[0].Attempts) != 1 {
		t.Fatalf("%+v, %v", v, err)
	}
	if n, err := s.Decide("job-77", journal.Ran, "ann", "why"); n != 0 || !errors.Is(err, store.ErrNothingToDecide) {
		t.Errorf("decided %d open jobs, error %v; want ErrNothingToDecide", n, err)
	}
	s.Close()
	if v, err = store.Read(store.OS{}, dir, secret, ""); err != nil || len(v.Jobs) != 300 || !v.Logs[0].Closed || v.Logs[0].Live {
		t.Fatalf("%d jobs, %+v, %v", len(v.Jobs), v.Logs, err)
	}
	if !slices.IsSortedFunc(v.Jobs, func(a, b store.Found) int { return int(a.AcceptedAt - b.AcceptedAt) }) {
		t.Error("the jobs are not sorted by time of acceptance")
	}
}

// A sync that is in flight when a failed write abandons its file does not count as another failure.
func TestSyncOfAbandonedFileIsNotCounted(t *testing.T) {
	d := newSteppedStore(t, 1<<20, func(o *store.Options) { o.ReservedBytes = 0 })
	_, first := d.begin("first")
	d.step()
	var call func()
	d.s.StartCallsWith(func(do func()) { call = do })
	_, second := d.begin("second")
	d.s.WriteBatch()
	d.s.BeginSync()
	d.disk.Fail(fake.OpWrite, 1)
	d.begin("third")
	d.s.WriteBatch()
	d.disk.Fail(fake.OpWrite, 0)
	_, fourth := d.begin("fourth")
	d.s.WriteBatch()
	failures := d.s.Stats().Failures
	call()
	d.s.FinishCall()
	d.s.BeginSync()
	call()
	d.s.FinishCall()
	if got := d.s.Stats().Failures; got != failures {
		t.Errorf("%d failures, want %d as before the sync of the abandoned file ended", got, failures)
	}
	if first() != nil || second() != nil || fourth() != nil {
		t.Errorf("errors of the intents: %v, %v, %v", first(), second(), fourth())
	}
	if n := strings.Count(d.log.String(), "the journal cannot be written"); n != 1 {
		t.Errorf("%d failures were logged, want 1:\n%s", n, d.log.String())
	}
}

// A key file that cannot be read is reported as such, and not as a key that is too short.
func TestUnreadableKey(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "key")
	if err := os.Mkdir(dir, 0o700); err != nil { // a directory can be opened but not read
		t.Fatal(err)
	}
	if _, err := store.ReadKey(dir); !errors.Is(err, syscall.EISDIR) || strings.Contains(err.Error(), "digits") {
		t.Errorf("error %v", err)
	}
}
