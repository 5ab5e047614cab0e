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

// Found is a job in a View.
type Found struct {
	*journal.Job
	LogDir string
	Live   bool // a process holds the log's lock
}

// View contains the jobs, problems and logs of a journal.
type View struct {
	Jobs     []Found // sorted by time of acceptance
	Problems []Problem
	Logs     []LogView
}

// LogView describes a log without its jobs.
type LogView struct {
	Dir           string
	Owner         Owner // empty unless Live
	Live          bool
	Closed        bool // its last process shut down gracefully
	Segments      int
	PrunedThrough uint64 // last sequence number dropped by retention
	Records       uint64
}

// Damaged reports whether there is a problem that neither a crash nor a power failure can cause.
func (v *View) Damaged() bool {
	return slices.ContainsFunc(v.Problems, func(p Problem) bool { return !p.Torn })
}

// maxReadAttempts limits how often a log is read again because its files changed meanwhile.
const maxReadAttempts = 5

// Read reads all logs of a journal without changing them, whether or not a scheduler is writing them. With a non-empty id, the
// View contains only the jobs with that ID. Read blocks on disk I/O. It returns journal.ErrKey or journal.ErrVersion if a log
// cannot be read with the secret or by this version; damage is reported in View.Problems.
func Read(fsys FS, dir string, secret []byte, id string) (*View, error) {
	dirs, err := logDirs(fsys, dir)
	if err != nil {
		return nil, fmt.Errorf("journal %s: %w", dir, err)
	}
	out := &View{}
	for _, logDir := range dirs {
		var logContent *View
		for range maxReadAttempts {
			logContent = &View{}
			// Retention may remove a file after it was listed and before it is read.
			if err = logContent.read(fsys, logDir, secret, id); !isNotExist(err) {
				break
			}
		}
		if err != nil {
			return nil, fmt.Errorf("journal %s: %w", dir, err)
		}
		out.Jobs = append(out.Jobs, logContent.Jobs...)
		out.Problems = append(out.Problems, logContent.Problems...)
		out.Logs = append(out.Logs, logContent.Logs...)
	}
	slices.SortStableFunc(out.Jobs, func(a, b Found) int { return cmp.Compare(a.AcceptedAt, b.AcceptedAt) })
	return out, nil
}

// read reads one log into the View.
func (v *View) read(fsys FS, logDir string, secret []byte, id string) error {
	key, err := journal.NewKey(secret)
	if err != nil {
		return err
	}
	owner, live := fsys.Locked(join(logDir, lockName)) // before the segments: a process that ends during the read counts as live
	table := journal.NewJobTable()
	inconsistency := Problem{File: logDir}
	replayed, err := readSegments(fsys, logDir, key, visitor{
		processEnd: func() { table.EndProcess() },
		record: func(r *journal.Record, number uint64) {
			if id != "" && !matchesID(r, id, table) {
				return
			}
			if _, err := table.Apply(r); err != nil && !errors.Is(err, journal.ErrUnknownJob) {
				inconsistency.Description = fmt.Sprintf("segment %d: %v", number, err)
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
	v.Problems = replayed.problems
	if inconsistency.Description != "" {
		v.Problems = append(v.Problems, inconsistency)
	}
	v.Logs = []LogView{{logDir, decodeOwner(owner), live, replayed.closed, len(replayed.segments), replayed.prunedThrough, replayed.records}}
	for _, j := range table.Jobs {
		v.Jobs = append(v.Jobs, Found{j, logDir, live})
	}
	return nil
}

// matchesID reports whether a record belongs to a job with that ID, or to no job.
func matchesID(r *journal.Record, id string, table *journal.JobTable) bool {
	switch r.Kind {
	case journal.Accepted:
		return r.JobID == id
	case journal.Intent:
		return r.JobID == id || table.Jobs[r.Serial] != nil
	case journal.CarriedOver:
		return r.CarriedJob.ID == id
	}
	return true // the table ignores records of jobs that it does not contain
}

// skipOtherJobs returns a visitor's skip function that avoids decoding the acceptances, intents and copies of other jobs, which
// make up most of a journal.
func skipOtherJobs(id string) func([]byte) bool {
	if id == "" {
		return nil
	}
	wanted := []byte(id)
	return func(b []byte) bool {
		// The header of a MessagePack array with a 16-bit length (up to 65,535 elements), followed by the kind as a fixint.
		if len(b) > 4 && b[0] == 0xdc && (b[3] == byte(journal.Accepted) || b[3] == byte(journal.Intent) || b[3] == byte(journal.CarriedOver)) {
			return !bytes.Contains(b, wanted)
		}
		return false
	}
}

var (
	// ErrNotFound is returned if no job in the journal has the ID.
	ErrNotFound = errors.New("no such job in the journal")
	// ErrNothingToDecide is returned if each job with the ID is open or resolved.
	ErrNothingToDecide = errors.New("no job of that id waits for a verdict")
)

// Decide records an operator's verdict on each unresolved job with the ID, in this log and in unowned logs, and returns the
// number of those jobs. It returns ErrNothingToDecide if there are none, and ErrClosed after Close. It blocks on disk I/O.
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
	case <-s.stopped:
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

// decide records a verdict on each unresolved job with the ID.
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

// DecideUnowned records an operator's verdict on each unresolved job with the ID in the logs that no process holds. If it finds
// none there but another process holds a log, the error is a *BusyError.
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
		decided, err := decideInLog(o, dir, key, id, v, by, why)
		if n += decided; err != nil && !errors.As(err, &busy) {
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
	l, _, err := openSegmentLog(o.FS, dir, key, maxSegmentBytes, func(Problem) {})
	if err != nil {
		return 0, err
	}
	n, err = l.decide(time.Now(), id, v, by, why)
	if n == 0 || err != nil {
		return n, err
	}
	return n, l.close(time.Now())
}

// BusyError is returned if another process holds a log, so that only that process can record verdicts in it.
type BusyError struct{ Owner Owner }

func (e *BusyError) Error() string { return ErrLocked.Error() + ", " + e.Owner.String() }

// Unwrap returns ErrLocked.
func (e *BusyError) Unwrap() error { return ErrLocked }
