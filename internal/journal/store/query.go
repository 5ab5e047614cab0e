package store

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"sedgevale/internal/journal"
)

// Found is a job of a View.
type Found struct {
	*journal.Job
	LogDir string
	Live   bool // a process has the log
}

// View is the content of a journal.
type View struct {
	Jobs     []Found // by the time of their acceptance
	Problems []Problem
	Logs     []LogView
}

// LogView is the content of a log, but for its jobs.
type LogView struct {
	Dir           string
	Owner         Owner // where it is live
	Live          bool
	Closed        bool // it ended gracefully
	Segments      int
	PrunedThrough uint64 // records dropped by retention
	Records       uint64
}

// Damaged reports whether there is a problem that neither a crash nor a power failure can leave.
func (v *View) Damaged() bool {
	return slices.ContainsFunc(v.Problems, func(p Problem) bool { return !p.Torn })
}

// maxReadAttempts is how often a log is read at most while its files change.
const maxReadAttempts = 5

// Read reads a complete journal, whether a scheduler writes it or not, and changes nothing. With an id, only the jobs of that id
// are in the View. It waits for the disk. The error is journal.ErrKey or journal.ErrVersion where a log cannot be read with the
// secret or by this version; what is damaged is in View.Problems.
func Read(fsys FS, dir string, secret []byte, id string) (*View, error) {
	all, err := logDirs(fsys, dir)
	if err != nil {
		return nil, fmt.Errorf("journal %s: %w", dir, err)
	}
	out := &View{}
	for _, logDir := range all {
		var one *View
		for range maxReadAttempts {
			one = &View{}
			// Retention may remove a file between the listing and the reading.
			if err = one.read(fsys, logDir, secret, id); !notExist(err) {
				break
			}
		}
		if err != nil {
			return nil, fmt.Errorf("journal %s: %w", dir, err)
		}
		out.Jobs = append(out.Jobs, one.Jobs...)
		out.Problems = append(out.Problems, one.Problems...)
		out.Logs = append(out.Logs, one.Logs...)
	}
	slices.SortStableFunc(out.Jobs, func(a, b Found) int { return cmp.Compare(a.AcceptedAt, b.AcceptedAt) })
	return out, nil
}

// read reads one log.
func (v *View) read(fsys FS, logDir string, secret []byte, id string) error {
	key, err := journal.NewKey(secret)
	if err != nil {
		return err
	}
	owner, live := fsys.Locked(join(logDir, lockName)) // first: a process that ends meanwhile counts as live
	table := journal.NewJobTable()
	inconsistency := Problem{File: logDir}
	got, err := readSegments(fsys, logDir, key, visitor{
		run: func() { table.EndProcess() },
		record: func(r *journal.Record, number uint64) {
			if id != "" && !concerns(r, id, table) {
				return
			}
			if _, err := table.Apply(r); err != nil && !errors.Is(err, journal.ErrUnknownJob) {
				inconsistency.What = fmt.Sprintf("segment %d: %v", number, err)
			}
		},
		gap:  table.MarkMissingRecords,
		skip: skipOtherJobs(id),
	})
	if err != nil {
		return err
	}
	if !live {
		table.EndProcess()
	}
	v.Problems = got.problems
	if inconsistency.What != "" {
		v.Problems = append(v.Problems, inconsistency)
	}
	v.Logs = []LogView{{logDir, decodeOwner(owner), live, got.closed, len(got.segments), got.prunedThrough, got.records}}
	for _, j := range table.Jobs {
		v.Jobs = append(v.Jobs, Found{j, logDir, live})
	}
	return nil
}

// concerns reports whether a record is about a job of that id, or about none.
func concerns(r *journal.Record, id string, table *journal.JobTable) bool {
	switch r.Kind {
	case journal.Accepted:
		return r.JobID == id
	case journal.Intent:
		return r.JobID == id || table.Jobs[r.Serial] != nil
	case journal.CarriedOver:
		return r.CarriedJob.ID == id
	}
	return true // the table ignores one of a job that it does not know
}

// skipOtherJobs returns a visitor's skip function that avoids decoding acceptances, intents and copies of other jobs, which are most of a
// journal's bytes.
func skipOtherJobs(id string) func([]byte) bool {
	if id == "" {
		return nil
	}
	wanted := []byte(id)
	return func(b []byte) bool {
		// The head of a MessagePack array of up to 65,535 elements, and the kind as a small number.
		if len(b) > 4 && b[0] == 0xdc && (b[3] == byte(journal.Accepted) || b[3] == byte(journal.Intent) || b[3] == byte(journal.CarriedOver)) {
			return !bytes.Contains(b, wanted)
		}
		return false
	}
}

var (
	// ErrNotFound is returned for an id that no job in the journal has.
	ErrNotFound = errors.New("no such job in the journal")
	// ErrNothingToDecide is returned where each job of an id is open or resolved.
	ErrNothingToDecide = errors.New("no job of that id waits for a verdict")
)

// Decide records an operator's verdict on each unresolved job of an id, in this log and in those without an owner, and returns
// the number of those jobs. The error is ErrNothingToDecide where there are none, and ErrClosed after Close. It waits for the
// disk.
func (s *Store) Decide(id string, v journal.Verdict, by, why string) (int, error) {
	type result struct {
		decided int
		err     error
	}
	results := make(chan result, 1)
	s.queue.Put(request{call: func() {
		n, err := s.log.decide(s.options.Now(), id, v, by, why)
		results <- result{n, err}
	}})
	var r result
	select {
	case r = <-results:
	case <-s.ended:
		return 0, ErrClosed
	}
	if r.err != nil {
		return r.decided, r.err
	}
	n, err := DecideUnowned(s.options, id, v, by, why)
	if errors.Is(err, ErrNothingToDecide) && r.decided > 0 {
		err = nil
	}
	return r.decided + n, err
}

// decide records a verdict on each unresolved job of an id.
func (l *segmentLog) decide(now time.Time, id string, v journal.Verdict, by, why string) (int, error) {
	var records []journal.Record
	for serial, j := range l.table.Jobs {
		if j.ID == id && !j.Open() {
			r := journal.Record{Kind: journal.Decided, Serial: serial, At: now.UnixMicro(), JobID: id, Code: uint8(v), Text: why, Operator: by}
			r.Truncate()
			records = append(records, r)
		}
	}
	if len(records) == 0 {
		return 0, nil
	}
	if err := l.write(records); err != nil {
		return 0, err
	}
	return len(records), l.sync()
}

// DecideUnowned records an operator's verdict on each unresolved job of an id in the logs without an owner. Where there are none in
// those, but a scheduler has another log, the error is a *BusyError.
func DecideUnowned(o Options, id string, v journal.Verdict, by, why string) (n int, err error) {
	if o.FS == nil {
		o.FS = OS{}
	}
	all, err := logDirs(o.FS, o.Dir)
	if err != nil {
		return 0, fmt.Errorf("journal %s: %w", o.Dir, err)
	}
	key, err := journal.NewKey(o.Secret)
	if err != nil {
		return 0, err
	}
	var busy *BusyError
	for _, dir := range all {
		k, err := decideInLog(o, dir, key, id, v, by, why)
		if n += k; err != nil && !errors.As(err, &busy) {
			return n, fmt.Errorf("journal %s: %w", dir, err)
		}
	}
	switch {
	case n > 0:
		return n, nil
	case busy != nil && busy.Owner.PID != o.Owner.PID:
		return 0, busy
	}
	return 0, ErrNothingToDecide
}

func decideInLog(o Options, dir string, key *journal.Key, id string, v journal.Verdict, by, why string) (n int, err error) {
	lock, text, err := o.FS.Lock(join(dir, lockName), fmt.Sprintf(`{"pid":%d,"name":"journal settle"}`, o.Owner.PID))
	if err != nil {
		if errors.Is(err, ErrLocked) {
			return 0, &BusyError{decodeOwner(text)}
		}
		return 0, err
	}
	defer func() { _ = lock.Close() }()
	l, _, err := openSegmentLog(o.FS, dir, key, maxSegmentSize, func(Problem) {})
	if err != nil {
		return 0, err
	}
	n, err = l.decide(time.Now(), id, v, by, why)
	if n == 0 || err != nil {
		return n, err
	}
	return n, l.close(time.Now())
}

// BusyError is returned where a scheduler writes the journal, so that only that scheduler can settle jobs.
type BusyError struct{ Owner Owner }

func (e *BusyError) Error() string { return ErrLocked.Error() + ", " + e.Owner.String() }

// Unwrap returns ErrLocked.
func (e *BusyError) Unwrap() error { return ErrLocked }
