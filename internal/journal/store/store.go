// Package store stores the journal of one-shot jobs on disk, in append-only segments whose records are chained by a keyed hash.
// One goroutine writes the records with group commit, so Put never waits for the disk.
//
// The directory of a journal contains a log directory for each process that writes it (lane-0, lane-1, ...), such as the two
// processes of an upgrade. A log directory contains a sequence of segment files and a lock file that names its owner.
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
	FS            FS // nil: OS
	Dir           string
	Secret        []byte        // secret of the key, at least journal.MinKeySize bytes
	Owner         Owner         // the process that writes the journal
	Sync          bool          // false: written records count as durable, though a power failure can lose them
	Retention     time.Duration // age at which resolved jobs are dropped; 0: no limit
	MaxBytes      int64         // limit of the journal's size; 0: unlimited
	ReservedBytes int64         // disk space reserved for records that close open jobs
	Log           *slog.Logger  // nil: no logging
	SegmentBytes  int64         // segment size; 0: a sixteenth of MaxBytes, 1 to 16 MiB
	Now           func() time.Time
}

// Owner identifies the process that writes a log. It is stored in the lock file for other processes.
type Owner struct {
	PID  int    `json:"pid"`
	Name string `json:"name"`          // name of the scheduler, shared by the two processes of an upgrade
	Ops  string `json:"ops,omitempty"` // address of its operators' API; empty: none
}

func (o Owner) String() string { return fmt.Sprintf("scheduler %q (process %d)", o.Name, o.PID) }

const (
	maxLogs             = 8 // logs per journal
	maintenanceInterval = 100 * time.Millisecond
	lazySyncInterval    = 20 * time.Millisecond   // delay until records without a waiter are synced
	maxMaintenanceDelay = 3 * maintenanceInterval // delay after which overdue maintenance precedes a sync
	sweepInterval       = time.Minute             // interval between sweeps of unowned logs
	maxPrunedSegments   = 16                      // segments dropped per maintenance
	maxBufferedRecords  = 1 << 16                 // records kept in memory while writes fail
	minSegmentBytes     = 1 << 20                 // lower limit of the default segment size
	maxSegmentBytes     = 16 << 20                // upper limit of the default segment size
)

// ErrWriteFailed is passed to the callback of a record that could not be written.
var ErrWriteFailed = errors.New("journal write failed")

// ErrClosed is passed to callbacks that are still pending when the Store closes.
var ErrClosed = errors.New("the journal is closed")

// request is a message to the Store's goroutine: a record to write, a function to call, or, with neither, a shutdown request.
type request struct {
	record journal.Record
	done   func(error) // called once the record is durable or has failed; may be nil
	call   func()
}

// Store writes one log of a journal. Its methods are safe for concurrent use and do not block on disk I/O unless documented
// otherwise.
type Store struct {
	options Options
	lock    io.Closer // lock of the log
	queue   *unbounded.Queue[request]
	wake    chan struct{} // contains an element if the queue may be non-empty
	stopped chan struct{} // closed when run returns

	mu         sync.Mutex // guards the fields up to the next blank line
	lastSerial uint64
	full       bool
	stats      Stats
	closing    bool

	// The fields below are used only by run's goroutine.
	log           *segmentLog
	space         journal.DiskSpace
	buffered      []journal.Record // records that could not be written yet
	dropped       uint64           // number of records lost since the last successful write
	waiters       []func(error)    // callbacks of records that are written but not durable
	sweptAt       time.Time
	unsyncedSince time.Time    // time since which a written record is not durable; zero: all are durable
	reserveExists bool         // the reserve file exists
	failing       bool         // the last write or sync failed
	callInFlight  *diskCall    // nil: no call in flight
	startCall     func(func()) // runs a disk call concurrently; replaced in tests
}

// Stats contains counters since the start and current sizes.
type Stats struct {
	Records, Syncs, Failures, Dropped uint64
	Bytes                             int64 // size on disk
	Unresolved                        int   // jobs that are open or wait for an operator's verdict
	Buffered                          int   // records that could not be written yet
}

// Open opens a journal, acquires one of its logs and replays that log. It returns ErrLocked if another scheduler uses the
// directory, and journal.ErrKey or journal.ErrVersion if the log cannot be read with the secret or by this version. The caller
// must call Close.
func Open(o Options) (*Store, error) {
	s, err := open(o)
	if err == nil {
		go s.run()
	}
	return s, err
}

// withDefaults replaces zero values by their defaults.
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
		o.SegmentBytes = min(max(o.MaxBytes/16, minSegmentBytes), maxSegmentBytes)
	}
	return o
}

// open implements Open without starting the goroutine.
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
	s := &Store{options: o, lock: lock, wake: make(chan struct{}, 1), stopped: make(chan struct{}),
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
			o.Log.Error("the journal is damaged; recording continues", "at", p.String())
		}
	}
	o.Log.Info("journal opened", "dir", dir, "after_crash", !rec.cleanShutdown, "open_ran", rec.interruptedJobs[journal.Ran],
		"open_did_not_run", rec.interruptedJobs[journal.DidNotRun], "open_unknown", rec.interruptedJobs[journal.Unknown], "to_settle", rec.unresolvedJobs)
	s.measureSpace()
	return s, nil
}

func (s *Store) logProblem(p Problem) {
	s.options.Log.Error("the journal is damaged; recording continues", "at", p.String())
}

// Serial returns a number for a job that is unique in this log.
func (s *Store) Serial() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSerial++
	return s.lastSerial
}

// Full reports whether new jobs should not be recorded because of lack of space.
func (s *Store) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full
}

// Put queues a record and truncates its texts to their limits. done, which may be nil, is called from the Store's goroutine:
// with nil once the record is durable, or with an error that wraps ErrWriteFailed or is ErrClosed.
func (s *Store) Put(r journal.Record, done func(error)) {
	r.Truncate()
	s.queue.Put(request{record: r, done: done})
}

// Stats returns a snapshot of the statistics.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close writes the queued records, closes the log and releases its lock. It blocks on disk I/O.
func (s *Store) Close() {
	s.mu.Lock()
	first := !s.closing
	s.closing = true
	s.mu.Unlock()
	if first {
		s.queue.Put(request{})
	}
	<-s.stopped
}
