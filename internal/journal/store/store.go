// Package store keeps a journal of one-shot jobs on a disk: in append-only segments
// whose records are chained by a keyed hash, written by one goroutine that commits in
// groups. Nobody who hands a record in ever waits for the disk.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"sedgevale/internal/journal"
	"sedgevale/internal/unbounded"
)

// Options set a Store up.
type Options struct {
	FS       FS // nil: the operating system's
	Dir      string
	Secret   []byte        // of the key
	Owner    Owner         // who writes
	Sync     bool          // false: what was written counts as durable, though the machine's end can take it
	Keep     time.Duration // jobs that are over are dropped after so long
	MaxBytes int64         // of the journal; 0: no bound
	Reserve  int64         // bytes kept for records that close open jobs
	Log      *slog.Logger
	Segment  int64 // bytes; 0: a sixteenth of MaxBytes, 1 to 16 MiB
	Now      func() time.Time
}

// Owner is the process that writes a lane, as others find it in the lock.
type Owner struct {
	PID  int    `json:"pid"`
	Name string `json:"name"`          // of the scheduler: the two processes of an upgrade share it
	Ops  string `json:"ops,omitempty"` // where it takes operators' calls
}

func (o Owner) String() string { return fmt.Sprintf("scheduler %q (process %d)", o.Name, o.PID) }

const (
	maxLanes   = 8
	tickEvery  = 100 * time.Millisecond
	lazySync   = 20 * time.Millisecond // records that nobody waits for are durable after so long
	tendLate   = 3 * tickEvery         // from then on looking after the room goes before a sync
	sweepEvery = time.Minute
	pruneMost  = 16      // segments dropped at a time
	heldMost   = 1 << 16 // records kept in memory while the disk takes none
	ledgerMin  = 1 << 20
	ledgerMax  = 16 << 20
)

// ErrNoRoom is told to who waits for a record that cannot be written.
var ErrNoRoom = errors.New("the journal has no room")

// ErrEnded is told to who waits when the Store closes.
var ErrEnded = errors.New("the journal is closed")

type entry struct {
	rec  journal.Record
	done func(error) // once the record is durable, or cannot be; may be nil
	call func()      // in place of a record
}

// Store is a journal that is written. Its methods do not wait for the disk unless they
// say so.
type Store struct {
	opt   Options
	lock  io.Closer
	box   *unbounded.Box[entry]
	wake  chan struct{}
	ended chan struct{}
	lane  *lane

	mu      sync.Mutex
	serial  uint64
	full    bool
	stats   Stats
	closing bool

	// For the loop alone.
	space   journal.DiskSpace
	held    []journal.Record
	dropped uint64
	waiting []func(error)
	swept   time.Time
	dirty   time.Time // since when something is written and not durable
	reserve bool      // the reserved file is there
	failing bool      // the last write or sync failed
	under   *diskCall // the call of the disk that is under way, if one is
	spawn   func(func())
}

// Stats are counts since the start.
type Stats struct {
	Records, Syncs, Failures, Dropped uint64
	Bytes                             int64 // on the disk
	Kept                              int   // jobs open or waiting for an operator
	Held                              int   // records that could not be written yet
}

// Open opens a journal and takes a lane of it. Two processes of the same scheduler have
// a lane each; a directory that another scheduler uses is an error.
func Open(o Options) (*Store, error) {
	s, err := open(o)
	if err == nil {
		go s.run()
	}
	return s, err
}

// open does all of that but run.
func open(o Options) (*Store, error) {
	if o.FS == nil {
		o.FS = OS{}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Segment <= 0 {
		o.Segment = min(max(o.MaxBytes/16, ledgerMin), ledgerMax)
	}
	key, err := journal.NewKey(o.Secret)
	if err != nil {
		return nil, fmt.Errorf("journal %s: %w", o.Dir, err)
	}
	dir, lock, err := takeLane(o)
	if err != nil {
		return nil, fmt.Errorf("journal %s: %w", o.Dir, err)
	}
	s := &Store{opt: o, lock: lock, wake: make(chan struct{}, 1), ended: make(chan struct{}),
		space: journal.DiskSpace{ReservedBytes: o.Reserve, MaxBytes: o.MaxBytes}, spawn: func(do func()) { go do() }}
	var rec recovery
	if s.lane, rec, err = openLane(o.FS, dir, key, o.Segment, s.doubt); err != nil {
		lock.Close()
		return nil, fmt.Errorf("journal %s: %w", o.Dir, err)
	}
	s.serial = s.lane.book.HighestSerial
	s.box = unbounded.New[entry](func() {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	})
	for _, p := range rec.problems {
		if !p.Torn {
			o.Log.Error("the journal is damaged", "at", p.String())
		}
	}
	o.Log.Info("journal open", "dir", dir, "after_crash", !rec.clean, "open_ran", rec.open[journal.Ran],
		"open_did_not_run", rec.open[journal.DidNotRun], "open_unknown", rec.open[journal.Unknown], "to_settle", rec.kept)
	s.measure()
	return s, nil
}

// takeLane takes the first lane that no process has.
func takeLane(o Options) (dir string, lock io.Closer, err error) {
	me, err := json.Marshal(o.Owner)
	if err != nil {
		return "", nil, err
	}
	for i := range maxLanes {
		dir = join(o.Dir, laneName(i))
		if err := o.FS.MkdirAll(dir); err != nil {
			return "", nil, err
		}
		lock, text, err := o.FS.Lock(join(dir, lockName), string(me))
		if err == nil {
			return dir, lock, nil
		}
		if !errors.Is(err, ErrLocked) {
			return "", nil, err
		}
		owner := parseOwner(text)
		if owner.Name != o.Owner.Name || owner.PID == o.Owner.PID {
			return "", nil, fmt.Errorf("%w, %s: give each scheduler a directory of its own", ErrLocked, owner)
		}
	}
	return "", nil, fmt.Errorf("%w: all %d lanes are taken", ErrLocked, maxLanes)
}

func parseOwner(text string) (o Owner) {
	_ = json.Unmarshal([]byte(text), &o) // who wrote it may not have finished: then nobody is named
	return o
}

func laneName(i int) string { return fmt.Sprintf("lane-%d", i) }

// lanes returns the lanes that are there, in order.
func lanes(fsys FS, dir string) (out []string, err error) {
	names, err := fsys.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, n := range names {
		if strings.HasPrefix(n, "lane-") {
			out = append(out, join(dir, n))
		}
	}
	slices.Sort(out)
	return out, nil
}

// Used reports whether a directory has a journal's records.
func Used(fsys FS, dir string) bool {
	all, err := lanes(fsys, dir)
	if err != nil {
		return false
	}
	for _, lane := range all {
		names, _ := fsys.ReadDir(lane)
		if slices.ContainsFunc(names, func(n string) bool { _, ok := segmentNumber(n); return ok }) {
			return true
		}
	}
	return false
}

func (s *Store) doubt(p Problem) { s.opt.Log.Error("the journal is damaged", "at", p.String()) }

// Serial returns a number for a job, which no other job of this lane has or had.
func (s *Store) Serial() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	return s.serial
}

// Full reports whether no new job should be taken.
func (s *Store) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full
}

// Put hands a record in. Done, which may be nil, is called from the Store's goroutine
// once the record is durable, or with an error once it cannot be.
func (s *Store) Put(r journal.Record, done func(error)) {
	r.Truncate()
	s.box.Put(entry{rec: r, done: done})
}

// Stats returns the counts.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close writes what there is and ends the lane. It waits for the disk.
func (s *Store) Close() {
	s.mu.Lock()
	was := s.closing
	s.closing = true
	s.mu.Unlock()
	if !was {
		s.box.Put(entry{})
	}
	<-s.ended
}

func (s *Store) run() {
	defer close(s.ended)
	tick := time.NewTimer(tickEvery)
	defer tick.Stop()
	checked := time.Time{}
	for {
		tick.Reset(s.pause())
		failed := false
		select {
		case <-s.wake:
		case <-tick.C:
		case err := <-s.returned():
			s.endCall(err)
			failed = err != nil
		}
		end := s.batch(s.box.Take())
		now := s.opt.Now()
		since := now.Sub(checked)
		due := since >= tickEvery || since < 0
		if !failed && s.wantsSync(now) && (!due || since < tendLate) {
			s.sync()
		}
		if due && s.under == nil {
			checked = now
			s.tend(now)
		}
		if end {
			s.await()
			s.finish()
			return
		}
	}
}

// pause is how long the loop waits at most.
func (s *Store) pause() time.Duration {
	if s.dirty.IsZero() {
		return tickEvery
	}
	return min(tickEvery, lazySync)
}

// wantsSync reports whether what was written should be made durable now.
func (s *Store) wantsSync(now time.Time) bool {
	if s.under != nil {
		return false
	}
	return len(s.waiting) > 0 || !s.dirty.IsZero() && (now.Sub(s.dirty) >= lazySync || now.Before(s.dirty))
}

// batch writes what has come in, and reports whether the end was asked for.
func (s *Store) batch(items []entry) (end bool) {
	if len(items) == 0 && len(s.held) == 0 {
		return false
	}
	recs := s.held
	s.held = nil
	var done []func(error)
	for i := range items {
		e := &items[i]
		switch {
		case e.call != nil:
			defer func() {
				s.await()
				e.call()
			}()
		case e.rec.Kind == 0:
			end = true
		default:
			recs = append(recs, e.rec)
			if e.done != nil {
				done = append(done, e.done)
			}
		}
	}
	if len(recs) == 0 {
		return end
	}
	if s.dropped > 0 {
		recs = append([]journal.Record{{Kind: journal.RecordsLost, At: s.opt.Now().UnixMicro(), Count: s.dropped}}, recs...)
	}
	err := s.lane.write(recs)
	if err != nil && s.reserve { // what closes open jobs may use what was reserved for it
		s.release()
		err = s.lane.write(recs)
	}
	if err != nil {
		s.failed(err)
		s.hold(recs)
		for _, f := range done {
			f(fmt.Errorf("%w: %w", ErrNoRoom, err))
		}
		return end
	}
	s.works()
	s.dropped = 0
	s.waiting = append(s.waiting, done...)
	if s.dirty.IsZero() {
		s.dirty = s.opt.Now()
	}
	s.mu.Lock()
	s.stats.Records += uint64(len(recs))
	s.mu.Unlock()
	return end
}

// hold keeps what could not be written, but for intents, whose attempts are not made,
// and beyond the bound.
func (s *Store) hold(recs []journal.Record) {
	for _, r := range recs {
		switch {
		case r.Kind == journal.Intent, r.Kind == journal.RecordsLost:
		case len(s.held) >= heldMost:
			s.dropped++
		default:
			s.held = append(s.held, r)
		}
	}
}

// failed notes that a write or sync failed.
func (s *Store) failed(err error) {
	s.mu.Lock()
	s.stats.Failures++
	s.mu.Unlock()
	if !s.failing {
		s.failing = true
		s.opt.Log.Error("the journal cannot be written", "dir", s.lane.dir, "err", err)
	}
	s.space.WriteFailed(s.opt.Now())
	s.tellFull()
}

// works notes that the disk takes what is written.
func (s *Store) works() {
	if s.failing {
		s.failing = false
		s.opt.Log.Info("the journal is written again", "dir", s.lane.dir, "missing", s.dropped)
	}
}

// sync has what was written made durable, and tells those who wait for that. With a disk it goes on beside the loop.
func (s *Store) sync() {
	if s.opt.Sync {
		s.makeDurable(nil)
		return
	}
	s.lane.synced()
	s.dirty = time.Time{}
	s.tellDurable(s.waiting)
	s.waiting = s.waiting[:0]
}

func (s *Store) tellDurable(waiting []func(error)) {
	for i, done := range waiting {
		done(nil)
		waiting[i] = nil
	}
}

// finish ends the lane.
func (s *Store) finish() {
	s.batch(s.box.Take())
	if len(s.held) == 0 && s.dropped == 0 {
		if err := s.lane.close(s.opt.Now()); err != nil {
			s.failed(err)
		} else {
			for _, f := range s.waiting {
				f(nil)
			}
			s.waiting = nil
		}
	} else {
		s.opt.Log.Error("the journal ends with records unwritten", "records", uint64(len(s.held))+s.dropped)
	}
	for _, f := range s.waiting {
		f(ErrEnded)
	}
	if s.reserve {
		s.release()
	}
	if err := s.lock.Close(); err != nil {
		s.opt.Log.Error("the journal's lock", "err", err)
	}
}
