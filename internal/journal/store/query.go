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

// Found is a job that a question has found.
type Found struct {
	*journal.Job
	Lane string
	Live bool // the process that has the lane lives
}

// View is a journal as it was read.
type View struct {
	Jobs     []Found // by the time of their taking
	Problems []Problem
	Lanes    []LaneView
}

// LaneView is a lane as it was read.
type LaneView struct {
	Dir      string
	Owner    Owner // if it is live
	Live     bool
	Closed   bool // it ended in order
	Segments int
	Pruned   uint64 // records dropped by retention
	Records  uint64
}

// Damaged reports whether anything is not as it was written.
func (v *View) Damaged() bool {
	return slices.ContainsFunc(v.Problems, func(p Problem) bool { return !p.Torn })
}

// readTries is how often a lane is read that changes under the reader.
const readTries = 5

// Read reads a journal whole, whether a scheduler writes it or not. It changes nothing.
// With id only jobs of that id are kept. It waits for the disk.
func Read(fsys FS, dir string, secret []byte, id string) (*View, error) {
	all, err := lanes(fsys, dir)
	if err != nil {
		return nil, fmt.Errorf("journal %s: %w", dir, err)
	}
	out := &View{}
	for _, lane := range all {
		var one *View
		for range readTries {
			one = &View{}
			// Retention may drop a file between the listing and the reading.
			if err = one.read(fsys, lane, secret, id); !missing(err) {
				break
			}
		}
		if err != nil {
			return nil, fmt.Errorf("journal %s: %w", dir, err)
		}
		out.Jobs = append(out.Jobs, one.Jobs...)
		out.Problems = append(out.Problems, one.Problems...)
		out.Lanes = append(out.Lanes, one.Lanes...)
	}
	slices.SortStableFunc(out.Jobs, func(a, b Found) int { return cmp.Compare(a.TakenAt, b.TakenAt) })
	return out, nil
}

func (v *View) read(fsys FS, lane string, secret []byte, id string) error {
	key, err := journal.NewKey(secret)
	if err != nil {
		return err
	}
	owner, live := fsys.Locked(join(lane, lockName)) // before: what it ends while we read has ended
	book := journal.NewJobTable()
	odd := Problem{File: lane}
	got, err := readLane(fsys, lane, key, visitor{
		run: func() { book.EndProcess() },
		record: func(r *journal.Record, number uint64) {
			if id != "" && !concerns(r, id, book) {
				return
			}
			if _, err := book.Apply(r); err != nil && !errors.Is(err, journal.ErrUnknownJob) {
				odd.What = fmt.Sprintf("segment %d: %v", number, err)
			}
		},
		gap:  book.MarkMissingRecords,
		skip: skipOthers(id),
	})
	if err != nil {
		return err
	}
	if !live {
		book.EndProcess()
	}
	v.Problems = got.problems
	if odd.What != "" {
		v.Problems = append(v.Problems, odd)
	}
	v.Lanes = []LaneView{{lane, parseOwner(owner), live, got.closed, len(got.segments), got.pruned, got.records}}
	for _, j := range book.Jobs {
		v.Jobs = append(v.Jobs, Found{j, lane, live})
	}
	return nil
}

// concerns reports whether a record is of a job of that id, or of none.
func concerns(r *journal.Record, id string, book *journal.JobTable) bool {
	switch r.Kind {
	case journal.Accepted:
		return r.JobID == id
	case journal.Intent:
		return r.JobID == id || book.Jobs[r.Serial] != nil
	case journal.CarriedOver:
		return r.CarriedJob.ID == id
	}
	return true // of an unknown job it is ignored
}

// skipOthers spares decoding the takings and intents of other jobs, which are most of
// a journal's bytes.
func skipOthers(id string) func([]byte) bool {
	if id == "" {
		return nil
	}
	want := []byte(id)
	return func(b []byte) bool {
		// A MessagePack array of up to 65,535, then the kind as a small number.
		if len(b) > 4 && b[0] == 0xdc && (b[3] == byte(journal.Accepted) || b[3] == byte(journal.Intent) || b[3] == byte(journal.CarriedOver)) {
			return !bytes.Contains(b, want)
		}
		return false
	}
}

var (
	// ErrNotFound is returned for an id that the journal does not have.
	ErrNotFound = errors.New("no such job in the journal")
	// ErrNothingToSettle is returned where every job of an id is known or under way.
	ErrNothingToSettle = errors.New("no job of that id waits for a verdict")
)

// Settle writes an operator's verdict on each job of an id that waits for one, in this
// lane and in those that no process has, and returns how many those were. It waits for
// the disk.
func (s *Store) Settle(id string, v journal.Verdict, by, why string) (int, error) {
	type result struct {
		n   int
		err error
	}
	got := make(chan result, 1)
	s.box.Put(entry{call: func() {
		n, err := s.lane.settle(s.opt.Now(), id, v, by, why)
		got <- result{n, err}
	}})
	var r result
	select {
	case r = <-got:
	case <-s.ended:
		return 0, ErrEnded
	}
	if r.err != nil {
		return r.n, r.err
	}
	n, err := SettleIn(s.opt, id, v, by, why)
	if errors.Is(err, ErrNothingToSettle) && r.n > 0 {
		err = nil
	}
	return r.n + n, err
}

// settle writes a verdict on each job of an id that waits for one.
func (l *lane) settle(now time.Time, id string, v journal.Verdict, by, why string) (int, error) {
	var recs []journal.Record
	for serial, j := range l.book.Jobs {
		if j.ID == id && !j.Open() {
			r := journal.Record{Kind: journal.Settled, Serial: serial, At: now.UnixMicro(), JobID: id, Code: uint8(v), Text: why, Operator: by}
			r.Truncate()
			recs = append(recs, r)
		}
	}
	if len(recs) == 0 {
		return 0, nil
	}
	if err := l.write(recs); err != nil {
		return 0, err
	}
	return len(recs), l.sync()
}

// SettleIn does the same in the lanes that no process writes. Where there is none to
// settle in those, but a scheduler has another, the error is a *BusyError.
func SettleIn(o Options, id string, v journal.Verdict, by, why string) (n int, err error) {
	if o.FS == nil {
		o.FS = OS{}
	}
	all, err := lanes(o.FS, o.Dir)
	if err != nil {
		return 0, fmt.Errorf("journal %s: %w", o.Dir, err)
	}
	key, err := journal.NewKey(o.Secret)
	if err != nil {
		return 0, err
	}
	var busy *BusyError
	for _, dir := range all {
		k, err := settleLane(o, dir, key, id, v, by, why)
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
	return 0, ErrNothingToSettle
}

func settleLane(o Options, dir string, key *journal.Key, id string, v journal.Verdict, by, why string) (n int, err error) {
	lock, text, err := o.FS.Lock(join(dir, lockName), fmt.Sprintf(`{"pid":%d,"name":"journal settle"}`, o.Owner.PID))
	if err != nil {
		if errors.Is(err, ErrLocked) {
			return 0, &BusyError{parseOwner(text)}
		}
		return 0, err
	}
	defer lock.Close()
	l, _, err := openLane(o.FS, dir, key, ledgerMax, func(Problem) {})
	if err != nil {
		return 0, err
	}
	n, err = l.settle(time.Now(), id, v, by, why)
	if n == 0 || err != nil {
		return n, err
	}
	return n, l.close(time.Now())
}

// BusyError says that a scheduler writes the journal, which must be asked itself.
type BusyError struct{ Owner Owner }

func (e *BusyError) Error() string { return ErrLocked.Error() + ", " + e.Owner.String() }

// Unwrap makes it ErrLocked.
func (e *BusyError) Unwrap() error { return ErrLocked }
