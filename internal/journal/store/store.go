// Package store keeps the journal of one-shot jobs on a disk: append-only segments whose records are chained by a keyed hash,
// written by one goroutine that commits in groups. Put never waits for the disk.
//
// The directory of a journal has a log for each process that writes it (lane-0, lane-1, ...): the two processes of an upgrade
// have one each. A log is a sequence of segment files, and a lock that names its owner.
package store

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"sedgevale/internal/journal"
	"sedgevale/internal/unbounded"
)

// Options configure a Store.
type Options struct {
	FS            FS // nil: the operating system's
	Dir           string
	Secret        []byte        // of the key, journal.MinKeySize bytes at least
	Owner         Owner         // the process that writes
	Sync          bool          // false: what was written counts as durable, though a power failure can lose it
	Retention     time.Duration // resolved jobs are dropped after so long; 0: never by age
	MaxBytes      int64         // of the journal; 0: unlimited
	ReservedBytes int64         // reserved on the disk for records that close open jobs
	Log           *slog.Logger  // nil: none
	SegmentBytes  int64         // of a segment; 0: a sixteenth of MaxBytes, 1 to 16 MiB
	Now           func() time.Time
}

// Owner is the process that writes a log, as the lock names it for others.
type Owner struct {
	PID  int    `json:"pid"`
	Name string `json:"name"`          // of the scheduler: the two processes of an upgrade share it
	Ops  string `json:"ops,omitempty"` // the address of its operators' calls; empty: none
}

func (o Owner) String() string { return fmt.Sprintf("scheduler %q (process %d)", o.Name, o.PID) }

const (
	maxLogs             = 8 // of one journal
	maintenanceInterval = 100 * time.Millisecond
	lazySyncInterval    = 20 * time.Millisecond   // records that nobody waits for are durable after so long
	maxMaintenanceDelay = 3 * maintenanceInterval // from then on maintenance goes before a sync
	sweepInterval       = time.Minute             // between two looks at logs without an owner
	maxPrunedSegments   = 16                      // dropped at a time
	maxBufferedRecords  = 1 << 16                 // kept in memory while the disk takes none
	minSegmentSize      = 1 << 20                 // bytes
	maxSegmentSize      = 16 << 20                // bytes
)

// ErrWriteFailed is passed to the callback of a record that could not be written.
var ErrWriteFailed = errors.New("the journal cannot be written")

// ErrClosed is passed to callbacks that still wait when the Store closes.
var ErrClosed = errors.New("the journal is closed")

// request is a request to the Store's goroutine: a record to write, a call to make or, with neither, to shut down.
type request struct {
	record journal.Record
	done   func(error) // called once the record is durable, or cannot be; may be nil
	call   func()
}

// Store writes one log of a journal. Its methods are safe for concurrent use and do not wait for the disk unless they say so.
type Store struct {
	options Options
	lock    io.Closer // of the log
	queue   *unbounded.Queue[request]
	wake    chan struct{} // has an element where queue may have some
	ended   chan struct{} // closed when run has returned

	mu         sync.Mutex // guards the fields up to the next empty line
	lastSerial uint64
	full       bool
	stats      Stats
	closing    bool

	// For run's goroutine alone.
	log           *segmentLog
	space         journal.DiskSpace
	buffered      []journal.Record // could not be written yet
	dropped       uint64           // records that were lost since the last successful write
	waiters       []func(error)    // of records that are written and not durable yet
	sweptAt       time.Time
	unsyncedSince time.Time    // since when some record is written and not durable; zero: none is
	reserved      bool         // the reserve file is there
	failing       bool         // the last write or sync failed
	inFlight      *diskCall    // nil: none
	startCall     func(func()) // runs a disk call concurrently; tests put another one in its place
}

// Stats are counts since the start.
type Stats struct {
	Records, Syncs, Failures, Dropped uint64
	Bytes                             int64 // on the disk
	Unresolved                        int   // jobs that are open or wait for an operator's verdict
	Buffered                          int   // records that could not be written yet
}

// Open opens a journal, acquires a log of it and replays that. The error is ErrLocked where another scheduler uses the
// directory, and journal.ErrKey or journal.ErrVersion where the log cannot be read with the secret or by this version. The
// caller has to call Close.
func Open(o Options) (*Store, error) {
	s, err := open(o)
	if err == nil {
		go s.run()
	}
	return s, err
}

// withDefaults fills in what was left out.
func (o Options) withDefaults() Options {
	if o.FS == nil {
		o.FS = OS{}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = min(max(o.MaxBytes/16, minSegmentSize), maxSegmentSize)
	}
	return o
}

// open is Open without the goroutine.
func open(o Options) (*Store, error) {
	o = o.withDefaults()
	key, err := journal.NewKey(o.Secret)
	if err != nil {
		return nil, fmt.Errorf("journal %s: %w", o.Dir, err)
	}
	dir, lock, err := acquireLog(o)
	if err != nil {
		return nil, fmt.Errorf("journal %s: %w", o.Dir, err)
	}
	s := &Store{options: o, lock: lock, wake: make(chan struct{}, 1), ended: make(chan struct{}),
		space: journal.DiskSpace{ReservedBytes: o.ReservedBytes, MaxBytes: o.MaxBytes}, startCall: func(do func()) { go do() }}
	var rec recovery
	if s.log, rec, err = openSegmentLog(o.FS, dir, key, o.SegmentBytes, s.logProblem); err != nil {
		return nil, fmt.Errorf("journal %s: %w", o.Dir, errors.Join(err, lock.Close()))
	}
	s.lastSerial = s.log.table.HighestSerial
	s.queue = unbounded.New[request](func() {
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
		"open_did_not_run", rec.open[journal.DidNotRun], "open_unknown", rec.open[journal.Unknown], "to_settle", rec.unresolved)
	s.measureSpace()
	return s, nil
}

func (s *Store) logProblem(p Problem) {
	s.options.Log.Error("the journal is damaged", "at", p.String())
}

// Serial returns a number for a job that no other job of this log has or had.
func (s *Store) Serial() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSerial++
	return s.lastSerial
}

// Full reports whether no new job should be recorded, for lack of space.
func (s *Store) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full
}

// Put queues a record, whose texts are truncated to their bounds. Done, which may be nil, is called from the Store's goroutine:
// with nil once the record is durable, with ErrNoRoom or ErrClosed once it cannot be.
func (s *Store) Put(r journal.Record, done func(error)) {
	r.Truncate()
	s.queue.Put(request{record: r, done: done})
}

// Stats returns the counts up to now.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close writes what is queued, ends the log and releases it. It waits for the disk.
func (s *Store) Close() {
	s.mu.Lock()
	first := !s.closing
	s.closing = true
	s.mu.Unlock()
	if first {
		s.queue.Put(request{})
	}
	<-s.ended
}
