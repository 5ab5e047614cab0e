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

// descriptors returns how many descriptors of this process are files below a directory, or the one at the path.
func descriptors(t *testing.T, below ...string) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join("/proc/self/fd", entry.Name()))
		if err != nil {
			continue // closed meanwhile
		}
		for _, path := range below {
			if target == path || filepath.Dir(target) == path {
				n++
			}
		}
	}
	return n
}

// Close waits until what is queued is durable, and leaves no file open. A closed log takes no appends.
func TestCloseWaitsForTheWriter(t *testing.T) {
	dir := t.TempDir()
	m := &memory{}
	l := m.open(t, dir)
	var tickets []*Ticket
	for i := range 200 {
		entry := fmt.Sprint("entry", i)
		m.entries = append(m.entries, entry)
		tickets = append(tickets, l.Append([]byte(entry)))
	}
	if err := l.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	for i, ticket := range tickets {
		select {
		case <-ticket.Done():
		default:
			t.Fatalf("entry %d is not done", i)
		}
		if ticket.Err() != nil {
			t.Errorf("entry %d: %v", i, ticket.Err())
		}
	}
	if n := descriptors(t, dir); n != 0 {
		t.Errorf("%d files are open", n)
	}
	if late := l.Append([]byte("late")); !errors.Is(late.Err(), os.ErrClosed) {
		t.Errorf("a closed log: %v", late.Err())
	}
	if err := l.Close(t.Context()); err != nil {
		t.Errorf("closed twice: %v", err)
	}
}

// Close waits for a disk that does not answer until its context ends; the writer ends when the disk answers.
func TestCloseGivesUpOnASlowDisk(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		answers := make(chan struct{})
		starting := true
		l, err := Open(dir, func([]byte) error { return nil }, func(func([]byte) error) error {
			if !starting {
				<-answers
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		starting = false
		l.writtenBytes = maxLogBytes + 1 // the next append begins a new generation
		ticket := l.Append([]byte("a"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if err := l.Close(ctx); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		close(answers)
		if err := l.Close(t.Context()); err != nil || ticket.Err() != nil {
			t.Errorf("once the disk answers: %v, %v", err, ticket.Err())
		}
	})
}

// A rotation whose sync fails leaves no descriptor behind, however often it is retried. /dev/full can be opened and not synced.
func TestFailedRotationLeavesNoDescriptor(t *testing.T) {
	dir := t.TempDir()
	m := &memory{}
	l := m.open(t, dir)
	const retries = 5
	for i := range int64(retries) {
		if err := os.Symlink("/dev/full", filepath.Join(dir, fileName(logPrefix, l.generation+1+i))); err != nil {
			t.Fatal(err)
		}
	}
	before := descriptors(t, dir, "/dev/full")
	for range retries {
		if err := l.rotate(); err == nil {
			t.Fatal("a log that cannot be synced was begun")
		}
	}
	if after := descriptors(t, dir, "/dev/full"); after != before {
		t.Errorf("%d descriptors, %d before", after, before)
	}
	for i := range int64(retries) {
		if err := os.Remove(filepath.Join(dir, fileName(logPrefix, l.generation+1+i))); err != nil {
			t.Fatal(err)
		}
	}
	m.append(t, l, "a")
	if err := l.Close(t.Context()); err != nil {
		t.Error(err)
	}
}
