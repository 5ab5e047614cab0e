package statefile

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	maxLogBytes    = 6 << 20  // from which on the next commit begins a new generation
	maxQueuedBytes = 48 << 20 // of entries that wait for the disk
)

// ErrQueueFull says that more than 48 MB of entries wait for the disk.
var ErrQueueFull = errors.New("statefile: append queue is full")

// ErrLayout says that a directory was written by another release.
var ErrLayout = errors.New("statefile: written by another release")

// Log appends entries to the newest generation. Its methods may be called concurrently.
type Log struct {
	dir      string
	snapshot func(emit func([]byte) error) error

	// mu guards the fields below. It is held for no write to the disk and over no call of snapshot.
	mu          sync.Mutex
	queue       []*Ticket // not yet taken by the writer, in the order of Append
	queuedBytes int       // of their payloads
	closed      bool
	wake        chan struct{} // holds a signal while the queue is not empty; closed by Close

	ended    chan struct{} // closed when the writer has ended
	closeErr error         // of file; written before ended is closed

	// Only Open, and then the writer, uses the fields below.
	generation   int64
	file         *os.File // the log of the generation; nil after a write to it has failed
	writtenBytes int64    // to file
}

// Ticket is an append in flight.
type Ticket struct {
	payload []byte
	done    chan struct{}
	err     error // written before done is closed
}

// Done is closed when the entry is durable or has failed.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// Err returns how the append ended, once Done is closed.
func (t *Ticket) Err() error { return t.err }

// Open replays the newest complete generation in dir, entry by entry, and begins a new one. The state that snapshot emits
// must hold every entry that was appended so far; it is called by Open first and then from the writer's goroutine.
func Open(dir string, replay func([]byte) error, snapshot func(emit func([]byte) error) error) (*Log, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("statefile: %w", err)
	}
	newest, err := Replay(dir, replay)
	if err != nil {
		return nil, err
	}
	l := &Log{dir: dir, snapshot: snapshot, wake: make(chan struct{}, 1), ended: make(chan struct{}), generation: newest}
	if err := l.rotate(); err != nil {
		return nil, err
	}
	go l.write()
	return l, nil
}

// Append queues an entry, which is durable or has failed when the ticket is done. The state that snapshots are made of must
// hold it already, so the caller's order of changes and appends must be one. Tickets fail with ErrQueueFull, os.ErrClosed or
// the error of the write; after a failed write the next commit begins a new generation.
func (l *Log) Append(payload []byte) *Ticket {
	t := &Ticket{payload: payload, done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		t.err = os.ErrClosed
		close(t.done)
		return t
	}
	if l.queuedBytes > maxQueuedBytes {
		t.err = ErrQueueFull
		close(t.done)
		return t
	}
	l.queue = append(l.queue, t)
	l.queuedBytes += len(payload)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return t
}

// Close ends the writer once what is queued is written, waits for it, and closes the file. Later appends fail with
// os.ErrClosed. If the context ends first, its error is returned, and the writer ends when the disk answers.
func (l *Log) Close(ctx context.Context) error {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.wake)
	}
	l.mu.Unlock()
	select {
	case <-l.ended:
		return l.closeErr
	case <-ctx.Done():
		return fmt.Errorf("statefile: the disk has not written what is queued: %w", ctx.Err())
	}
}

// write commits what is queued, in groups, until the log is closed.
func (l *Log) write() {
	defer close(l.ended)
	for range l.wake {
		l.mu.Lock()
		batch := l.queue
		l.queue = nil
		l.queuedBytes = 0
		l.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		err := l.commit(batch)
		for _, t := range batch {
			t.err = err
			close(t.done)
		}
	}
	if l.file != nil {
		l.closeErr = l.file.Close()
	}
}

// commit makes a batch durable: by one write and one sync of the log, or by a new generation, whose snapshot holds the
// batch, where the log is long or a write to it has failed.
func (l *Log) commit(batch []*Ticket) error {
	if l.file == nil || l.writtenBytes > maxLogBytes {
		return l.rotate()
	}
	var buffer []byte
	for _, t := range batch {
		buffer = appendFrame(buffer, t.payload)
	}
	_, err := l.file.Write(buffer)
	if err == nil {
		err = unix.Fdatasync(int(l.file.Fd()))
	}
	if err != nil {
		_ = l.file.Close() // the write's error counts
		l.file = nil
		return fmt.Errorf("statefile: %w", err)
	}
	l.writtenBytes += int64(len(buffer))
	return nil
}

// rotate writes a snapshot of the complete state and begins an empty log after it.
func (l *Log) rotate() error {
	next := l.generation + 1
	if err := l.writeSnapshot(next); err != nil {
		return fmt.Errorf("statefile: snapshot %d: %w", next, err)
	}
	file, err := l.createLog(next)
	if err != nil {
		return fmt.Errorf("statefile: log %d: %w", next, err)
	}
	if l.file != nil {
		_ = l.file.Close() // superseded by the snapshot
	}
	l.file = file
	l.generation = next
	l.writtenBytes = 0
	l.removeBelow(next)
	return nil
}

// createLog creates the empty log of a generation and makes its name durable.
func (l *Log) createLog(generation int64) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(l.dir, fileName(logPrefix, generation)), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	err = file.Sync()
	if err == nil {
		err = syncDir(l.dir)
	}
	if err != nil {
		_ = file.Close() // nothing was written to it
		return nil, err
	}
	return file, nil
}
