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
	maxLogBytes    = 6 << 20  // log size above which the next commit begins a new generation
	maxQueuedBytes = 48 << 20 // size of queued entries above which appends are rejected
)

// ErrQueueFull is returned while more than 48 MiB of entries are queued for writing.
var ErrQueueFull = errors.New("statefile: append queue is full")

// ErrLayout is returned for a directory that was written by a release with another file layout.
var ErrLayout = errors.New("statefile: written by another release")

// Log appends entries to the newest generation. Its methods are safe for concurrent use.
type Log struct {
	dir      string
	snapshot func(emit func([]byte) error) error

	// mu guards the fields below. It is never held during disk I/O or a call of snapshot.
	mu          sync.Mutex
	queue       []*AppendFuture // appends that the writer has not yet taken, in order
	queuedBytes int             // total size of the payloads in queue
	closed      bool
	wake        chan struct{} // signalled while queue is not empty; closed by Close

	writerDone chan struct{} // closed when the writer goroutine has ended
	closeErr   error         // from closing file; set before writerDone is closed

	// The fields below are used only by Open and then by the writer goroutine.
	generation   int64
	file         *os.File // the log of generation; nil after a failed write
	writtenBytes int64    // size of file
}

// AppendFuture is the pending result of an append.
type AppendFuture struct {
	payload []byte
	done    chan struct{}
	err     error // set before done is closed
}

// Done returns a channel that is closed once the entry is durable or the append has failed.
func (t *AppendFuture) Done() <-chan struct{} { return t.done }

// Err returns the error of the append, or nil if the entry is durable. It is valid once Done is closed.
func (t *AppendFuture) Err() error { return t.err }

// Open replays the newest complete generation in dir, entry by entry, and begins a new one. Snapshot must emit a state that
// includes every entry appended so far. It is called once by Open and later on the writer goroutine.
func Open(dir string, replay func([]byte) error, snapshot func(emit func([]byte) error) error) (*Log, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("statefile: %w", err)
	}
	newest, err := Replay(dir, replay)
	if err != nil {
		return nil, err
	}
	l := &Log{dir: dir, snapshot: snapshot, wake: make(chan struct{}, 1), writerDone: make(chan struct{}), generation: newest}
	if err := l.rotate(); err != nil {
		return nil, err
	}
	go l.runWriter()
	return l, nil
}

// Append queues an entry and returns a ticket that is done once the entry is durable or has failed. The caller must have
// applied the entry to the state that snapshot emits, and must append entries in the order in which it applied them. Tickets
// fail with ErrQueueFull, os.ErrClosed or the write error; after a failed write the next commit begins a new generation.
func (l *Log) Append(payload []byte) *AppendFuture {
	t := &AppendFuture{payload: payload, done: make(chan struct{})}
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

// Close waits until the writer goroutine has written all queued entries and closed the file. Later appends fail with
// os.ErrClosed. If the context ends first, Close returns its error, and the writer ends once the pending disk I/O completes.
func (l *Log) Close(ctx context.Context) error {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.wake)
	}
	l.mu.Unlock()
	select {
	case <-l.writerDone:
		return l.closeErr
	case <-ctx.Done():
		return fmt.Errorf("statefile: close: queued entries are not yet written: %w", ctx.Err())
	}
}

// runWriter commits the queued entries in batches until the log is closed.
func (l *Log) runWriter() {
	defer close(l.writerDone)
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

// commit makes a batch durable with one write and one sync of the log. If the log exceeds maxLogBytes or a write to it has
// failed, commit begins a new generation instead, whose snapshot includes the batch.
func (l *Log) commit(batch []*AppendFuture) error {
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
		_ = l.file.Close() // the write error is returned
		l.file = nil
		return fmt.Errorf("statefile: %w", err)
	}
	l.writtenBytes += int64(len(buffer))
	return nil
}

// rotate begins a new generation: a snapshot of the complete state and an empty log.
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

// createLog creates the empty log of a generation and makes its directory entry durable.
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
		_ = file.Close() // the file is empty
		return nil, err
	}
	return file, nil
}
