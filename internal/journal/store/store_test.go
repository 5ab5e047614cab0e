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

// steppedStore is a Store on a disk in memory that the test runs step by step.
type steppedStore struct {
	t    *testing.T
	disk *fake.Disk
	s    *store.Store
	now  time.Time
	log  bytes.Buffer
	opt  store.Options
}

func newSteppedStore(t *testing.T, capacity int64, change func(*store.Options)) *steppedStore {
	d := &steppedStore{t: t, disk: fake.NewDisk(1, capacity), now: time.UnixMicro(1e15)}
	d.opt = store.Options{FS: d.disk, Dir: "j", Secret: secret, Sync: true, Retention: time.Hour, ReservedBytes: 4 << 10, SegmentBytes: 4 << 10,
		Owner: store.Owner{PID: 1, Name: "a"}, Now: func() time.Time { return d.now }, Log: slog.New(slog.NewTextHandler(&d.log, nil))}
	if change != nil {
		change(&d.opt)
	}
	d.open()
	return d
}

func (d *steppedStore) open() {
	d.t.Helper()
	d.opt.FS = d.disk
	var err error
	if d.s, err = store.OpenStepped(d.opt); err != nil {
		d.t.Fatal(err)
	}
}

// step does what a Store does in one iteration of its loop.
func (d *steppedStore) step() {
	d.now = d.now.Add(50 * time.Millisecond)
	d.s.WriteBatch()
	d.s.Sync()
	d.s.Maintain()
}

func (d *steppedStore) steps(n int) {
	for range n {
		d.step()
	}
}

// begin puts a job with an intent and returns what the intent's callback was called with.
func (d *steppedStore) begin(id string) (serial uint64, got func() error) {
	serial = d.s.Serial()
	at := d.now.UnixMicro()
	out := errors.New("still waiting")
	d.s.Put(journal.Record{Kind: journal.Accepted, Serial: serial, At: at, JobID: id, Class: "once"}, nil)
	d.s.Put(journal.Record{Kind: journal.Intent, Serial: serial, At: at, JobID: id, Worker: "box"}, func(err error) { out = err })
	return serial, func() error { return out }
}

// end puts that a job ran and was answered.
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

// Guards the full disk: the journal reports that it is full, records that close open jobs are written from the reserve, and new
// ones are accepted again once there is space.
func TestFullDisk(t *testing.T) {
	d := newSteppedStore(t, 64<<10, nil)
	open, got := d.begin("open")
	d.step()
	d.step()
	if got() != nil || d.s.Full() {
		t.Fatalf("intent: %v, full %v", got(), d.s.Full())
	}
	d.disk.WriteFile("other", make([]byte, 1<<20)) // somebody else fills the disk
	d.step()
	if !d.s.Full() {
		t.Fatal("there is no space, and the journal is not full")
	}
	late, got := d.begin("late") // it had been accepted just before
	d.end(open)
	d.step()
	if err := got(); !errors.Is(err, store.ErrWriteFailed) {
		t.Errorf("an intent without space: %v", err)
	}
	d.s.Put(journal.Record{Kind: journal.Answered, Serial: late, At: 1, Code: uint8(journal.Rejected)}, nil)
	d.steps(5)
	if !d.s.Full() || d.s.Stats().Buffered == 0 {
		t.Errorf("full %v, buffered %d", d.s.Full(), d.s.Stats().Buffered)
	}
	d.disk.SetCapacity(4 << 20)
	d.steps(30)
	if d.s.Full() || d.s.Stats().Buffered != 0 {
		t.Errorf("with space again: full %v, buffered %d", d.s.Full(), d.s.Stats().Buffered)
	}
	if _, got := d.begin("next"); got() == nil {
		t.Error("done at once")
	} else if d.step(); got() != nil {
		t.Errorf("with space again: %v", got())
	}
	if a, b := d.verdict("open"), d.verdict("late"); a != "ran" || b != "did_not_run" {
		t.Errorf("the open job %s, the rejected one %s", a, b)
	}
	if n := strings.Count(d.log.String(), "is full"); n != 1 {
		t.Errorf("%d lines say that it is full", n)
	}
}

// Guards the reserve: once it is released, records that close jobs can be written to a disk that
// is full.
func TestReserve(t *testing.T) {
	d := newSteppedStore(t, 64<<10, nil)
	open, _ := d.begin("open")
	d.step()
	d.step() // the reserve is made
	free, _ := d.disk.Free("j")
	d.disk.WriteFile("other", make([]byte, free))
	d.end(open)
	d.s.WriteBatch()
	d.s.Sync()
	if got := d.verdict("open"); got != "ran" {
		t.Errorf("with the disk full the job's end is not on record: %s", got)
	}
}

// Guards against an intent that counts as durable after a failed sync, and against its
// loss once the disk works again.
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
		t.Fatalf("before the fault %v, in it %v", first(), second())
	}
	if !strings.Contains(d.log.String(), "cannot be written") {
		t.Error("no line says so")
	}
	d.disk.Fail(fake.OpSync, 0)
	d.step()
	if err := second(); err != nil {
		t.Errorf("after the fault: %v", err)
	}
	d.disk = d.disk.PowerFail()
	v := d.view()
	if len(v.Jobs) != 2 || v.Damaged() {
		t.Errorf("%d jobs after a power failure, problems %v", len(v.Jobs), v.Problems)
	}
}

// Guards retention: old jobs are dropped, open ones and those with an unknown verdict stay until they are
// settled, memory is bounded, and what retention has dropped is no damage.
func TestRetention(t *testing.T) {
	d := newSteppedStore(t, 8<<20, func(o *store.Options) { o.Retention, o.MaxBytes = time.Minute, 1<<20 })
	doubt, _ := d.begin("doubt")
	d.s.Put(journal.Record{Kind: journal.Ended, Serial: doubt, At: 1, Code: uint8(journal.OutcomeConnectionLost)}, nil)
	d.s.Put(journal.Record{Kind: journal.Answered, Serial: doubt, At: 1, Code: uint8(journal.Failed)}, nil)
	open, _ := d.begin("open")
	for i := range 2000 {
		serial, _ := d.begin(fmt.Sprint("many-", i))
		d.end(serial)
		d.step()
		if n := d.s.UnresolvedJobs(); n > 2 {
			t.Fatalf("%d jobs are in memory after %d", n, i)
		}
	}
	d.now = d.now.Add(2 * time.Minute)
	for range 200 {
		d.step()
	}
	v := d.view()
	if len(v.Jobs) > 60 || v.Damaged() {
		t.Errorf("%d jobs are left, problems %v", len(v.Jobs), v.Problems)
	}
	if a, b := d.verdict("doubt"), d.verdict("open"); a != "unknown" || b == "absent" {
		t.Errorf("a job with an unknown verdict is %s, an open one %s", a, b)
	}
	d.end(open)
	d.step()
	if got := d.verdict("open"); got != "ran" {
		t.Errorf("carried on and ended: %s", got)
	}
	d.s.ShutDown()
	n, err := store.DecideUnowned(d.opt, "doubt", journal.Ran, "ann", "seen on the box")
	if n != 1 || err != nil {
		t.Fatalf("settled %d, %v", n, err)
	}
	if got := d.verdict("doubt"); got != "ran" {
		t.Errorf("settled as ran: %s", got)
	}
	if _, err := store.DecideUnowned(d.opt, "doubt", journal.Ran, "ann", "again"); !errors.Is(err, store.ErrNothingToDecide) {
		t.Errorf("settled twice: %v", err)
	}
	d.open()
	if n := d.s.UnresolvedJobs(); n != 0 {
		t.Errorf("%d jobs wait after all were settled", n)
	}
}

// segmentFaults are ways to damage a journal, given its segment files.
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

// Guards against a journal whose files are removed, swapped or altered undetected; the rest is still
// read.
func TestVerifyFindsWhatIsMissing(t *testing.T) {
	fresh := func() *steppedStore {
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
	d := fresh()
	if v := d.view(); v.Damaged() || len(v.Problems) > 0 || !v.Logs[0].Closed || len(v.Jobs) != 200 {
		t.Fatalf("untouched: %+v, %v", v.Logs, v.Problems)
	}
	for what, damage := range segmentFaults {
		d := fresh()
		damage(d, names(d))
		if v := d.view(); !v.Damaged() || len(v.Jobs) < 100 {
			t.Errorf("%s: problems %v, %d jobs", what, v.Problems, len(v.Jobs))
		}
		d.open() // it continues all the same, and logs it
		if !strings.Contains(d.log.String(), "damaged") {
			t.Errorf("%s: no line says so", what)
		}
	}
	d = fresh()
	files := names(d)
	last, _ := d.disk.ReadFile(files[len(files)-1])
	d.disk.WriteFile(files[len(files)-1], last[:len(last)-5])
	if v := d.view(); v.Damaged() || v.Logs[0].Closed || len(v.Problems) != 1 {
		t.Errorf("a torn tail: %+v, %v", v.Logs, v.Problems)
	}
}

// Guards against two schedulers in one directory; the two processes of an upgrade have a
// log each, and a reader finds the jobs of both.
func TestLogs(t *testing.T) {
	d := newSteppedStore(t, 8<<20, nil)
	other := d.opt
	other.Owner = store.Owner{PID: 2, Name: "b"}
	if _, err := store.OpenStepped(other); !errors.Is(err, store.ErrLocked) || !strings.Contains(err.Error(), `"a"`) {
		t.Errorf("another scheduler: %v", err)
	}
	other.Owner = store.Owner{PID: 2, Name: "a"}
	second, err := store.OpenStepped(other)
	if err != nil {
		t.Fatal(err)
	}
	first, _ := d.begin("same") // one id at both, within moments
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
	d.opt.Owner = store.Owner{PID: 3, Name: "b"}
	d.open() // free again
}

// Guards against records that cannot be read any more: a missing key is not replaced by a new one, and
// one that others may read is rejected.
func TestKeyFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	if _, err := store.MakeKey(path, true); !errors.Is(err, os.ErrNotExist) || !strings.Contains(err.Error(), "put it back") {
		t.Errorf("missing for a journal with records: %v", err)
	}
	made, err := store.MakeKey(path, false)
	if err != nil || len(made) < journal.MinKeySize {
		t.Fatalf("%d bytes, %v", len(made), err)
	}
	if again, err := store.MakeKey(path, true); err != nil || !bytes.Equal(made, again) {
		t.Errorf("read again: %v", err)
	}
	if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v", info.Mode())
	}
	if err := os.Chmod(path, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := store.ReadKey(path); err == nil || !strings.Contains(err.Error(), "chmod 600") {
		t.Errorf("readable by all: %v", err)
	}
}

// Guards against a key that is truncated or malformed, and against one that an error shows.
func TestBadKeyFiles(t *testing.T) {
	for _, bad := range []string{"", "zz", "00ff", strings.Repeat("0", 63)} {
		p := filepath.Join(t.TempDir(), "key")
		if err := os.WriteFile(p, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := store.ReadKey(p); err == nil || bad != "" && strings.Contains(err.Error(), bad) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// Guards against a journal that is read or written with another key than its own, and against a key in the log.
func TestAnotherKey(t *testing.T) {
	d := newSteppedStore(t, 1<<20, nil)
	d.begin("j")
	d.step()
	wrong := bytes.Repeat([]byte{1}, 32)
	if _, err := store.Read(d.disk, "j", wrong, ""); !errors.Is(err, journal.ErrKey) {
		t.Errorf("another key: %v", err)
	}
	d.disk = d.disk.Kill()
	d.opt.FS, d.opt.Secret = d.disk, wrong
	if _, err := store.OpenStepped(d.opt); !errors.Is(err, journal.ErrKey) {
		t.Errorf("opened with another key: %v", err)
	}
	if strings.Contains(d.log.String(), hex.EncodeToString(secret)) {
		t.Error("the key is in the log")
	}
}

// putIntents puts so many jobs with an intent each, and waits until those are durable.
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

// Guards Read of one id, which finds it as a reading of all does, also on a real disk that is
// written meanwhile, and the record of a graceful end.
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
		t.Errorf("an open job was settled: %d, %v", n, err)
	}
	s.Close()
	if v, err = store.Read(store.OS{}, dir, secret, ""); err != nil || len(v.Jobs) != 300 || !v.Logs[0].Closed || v.Logs[0].Live {
		t.Fatalf("%d jobs, %+v, %v", len(v.Jobs), v.Logs, err)
	}
	if !slices.IsSortedFunc(v.Jobs, func(a, b store.Found) int { return int(a.AcceptedAt - b.AcceptedAt) }) {
		t.Error("not by their time")
	}
}

// A file that a failed write ends while a sync of it is in flight is one failure, and none after the next file has been written.
func TestSyncOfAnAbandonedFileIsNoFailure(t *testing.T) {
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
		t.Errorf("%d failures, %d before the sync of the abandoned file ended", got, failures)
	}
	if first() != nil || second() != nil || fourth() != nil {
		t.Errorf("intents: %v, %v, %v", first(), second(), fourth())
	}
	if n := strings.Count(d.log.String(), "the journal cannot be written"); n != 1 {
		t.Errorf("%d failures are logged:\n%s", n, d.log.String())
	}
}

// A key's file that cannot be read is told as that, and not as a key that is too short.
func TestUnreadableKey(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "key")
	if err := os.Mkdir(dir, 0o700); err != nil { // it can be opened, and not read
		t.Fatal(err)
	}
	if _, err := store.ReadKey(dir); !errors.Is(err, syscall.EISDIR) || strings.Contains(err.Error(), "digits") {
		t.Errorf("error %v", err)
	}
}
