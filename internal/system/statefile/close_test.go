package statefile

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

// openDescriptors returns the number of open file descriptors of this process that refer to one of the paths or to a file
// directly inside one of them.
func openDescriptors(t *testing.T, paths ...string) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join("/proc/self/fd", entry.Name()))
		if err != nil {
			continue // closed after ReadDir
		}
		for _, path := range paths {
			if target == path || filepath.Dir(target) == path {
				n++
			}
		}
	}
	return n
}

// Close waits until all queued entries are durable and leaves no file open. A closed log rejects appends.
func TestCloseWaitsForWriter(t *testing.T) {
	dir := t.TempDir()
	s := &testState{}
	l := s.open(t, dir)
	var tickets []*AppendFuture
	for i := range 200 {
		entry := fmt.Sprint("entry", i)
		s.entries = append(s.entries, entry)
		tickets = append(tickets, l.Append([]byte(entry)))
	}
	if err := l.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	for i, ticket := range tickets {
		select {
		case <-ticket.Done():
		default:
			t.Fatalf("entry %d is not done after Close", i)
		}
		if ticket.Err() != nil {
			t.Errorf("entry %d: %v", i, ticket.Err())
		}
	}
	if n := openDescriptors(t, dir); n != 0 {
		t.Errorf("%d files are open after Close", n)
	}
	if late := l.Append([]byte("late")); !errors.Is(late.Err(), os.ErrClosed) {
		t.Errorf("append to a closed log: error %v, want os.ErrClosed", late.Err())
	}
	if err := l.Close(t.Context()); err != nil {
		t.Errorf("second Close: %v", err)
	}
}

// If disk I/O blocks, Close returns when its context ends, and the writer ends once the I/O completes.
func TestCloseReturnsWhenContextEnds(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		unblock := make(chan struct{})
		opening := true
		l, err := Open(dir, func([]byte) error { return nil }, func(func([]byte) error) error {
			if !opening {
				<-unblock
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		opening = false
		l.writtenBytes = maxLogBytes + 1 // the next append begins a new generation
		ticket := l.Append([]byte("a"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		if err := l.Close(ctx); !errors.Is(err, context.DeadlineExceeded) || time.Since(start) != time.Second {
			t.Errorf("Close returned %v after %v, want context.DeadlineExceeded after 1s", err, time.Since(start))
		}
		close(unblock)
		if err := l.Close(t.Context()); err != nil || ticket.Err() != nil {
			t.Errorf("after the I/O has completed: Close %v, append %v", err, ticket.Err())
		}
	})
}

// A rotation whose sync fails leaks no file descriptor, however often it is retried. The test links the next logs to /dev/full,
// which can be opened but not synced.
func TestFailedRotationLeaksNoDescriptor(t *testing.T) {
	dir := t.TempDir()
	s := &testState{}
	l := s.open(t, dir)
	const retries = 5
	for i := range int64(retries) {
		if err := os.Symlink("/dev/full", filepath.Join(dir, fileName(logPrefix, l.generation+1+i))); err != nil {
			t.Fatal(err)
		}
	}
	before := openDescriptors(t, dir, "/dev/full")
	for range retries {
		if err := l.rotate(); err == nil {
			t.Fatal("rotate succeeded with a log that cannot be synced")
		}
	}
	if after := openDescriptors(t, dir, "/dev/full"); after != before {
		t.Errorf("%d descriptors are open, %d before the rotations", after, before)
	}
	for i := range int64(retries) {
		if err := os.Remove(filepath.Join(dir, fileName(logPrefix, l.generation+1+i))); err != nil {
			t.Fatal(err)
		}
	}
	s.append(t, l, "a")
	if err := l.Close(t.Context()); err != nil {
		t.Error(err)
	}
}
