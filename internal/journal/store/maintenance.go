package store

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// maintain measures the space, makes the reserve file where it is missing, and drops what is old.
func (s *Store) maintain(now time.Time) {
	s.measureSpace()
	if s.space.Full() || s.reserved || s.options.ReservedBytes <= 0 {
		s.prune(now)
		return
	}
	s.startDiskCall(s.writeReserve, func(err error) {
		if err != nil {
			s.recordFailure(fmt.Errorf("reserve file: %w", err))
			return
		}
		s.reserved = true
		s.prune(now)
	})
}

// prune drops segments that are older than the retention or exceed the journal's size, and removes stale files.
func (s *Store) prune(now time.Time) {
	if now.Sub(s.sweptAt) >= sweepInterval || now.Before(s.sweptAt) {
		s.sweptAt = now
		s.sweepUnownedLogs(now)
	}
	l := s.log
	l.removeStale()
	if len(l.segments) == 0 || s.failing {
		return
	}
	n, bytes := 0, l.bytes()
	for n < len(l.segments) && n < maxPrunedSegments {
		oldest := l.segments[n]
		old := s.options.Retention > 0 && now.UnixMicro()-oldest.lastRecordAt > s.options.Retention.Microseconds()
		if !old && (s.options.MaxBytes <= 0 || bytes < s.options.MaxBytes-s.options.MaxBytes/8) {
			break
		}
		bytes -= oldest.bytes
		n++
	}
	if n == 0 {
		return
	}
	if s.unsyncedSince.IsZero() {
		s.unsyncedSince = now
	}
	if err := l.beginPrune(now, n); err != nil {
		s.recordFailure(err)
		return
	}
	s.syncInBackground(func() {
		l.endPrune(n)
		// If that fails, a power failure may bring files back; readers leave them out.
		s.startDiskCall(func() error { return l.fs.SyncDir(l.dir) }, func(error) {})
	})
}

// sweepUnownedLogs removes the segments of logs that no process has, such as the process before an upgrade leaves, once all
// their records are older than the retention and no job waits for an operator.
func (s *Store) sweepUnownedLogs(now time.Time) {
	if s.options.Retention <= 0 {
		return
	}
	all, err := logDirs(s.options.FS, s.options.Dir)
	if err != nil {
		return
	}
	for _, dir := range all {
		if dir == s.log.dir {
			continue
		}
		lock, _, err := s.options.FS.Lock(join(dir, lockName), `{"name":"retention"}`)
		if err != nil {
			continue
		}
		s.sweepLog(now, dir)
		_ = lock.Close() // nothing that counts was written to it
	}
}

// sweepLog removes the segments of a log that is locked, if retention covers all of it.
func (s *Store) sweepLog(now time.Time, dir string) {
	l, _, err := openSegmentLog(s.options.FS, dir, s.log.key, s.options.SegmentBytes, s.logProblem)
	if err != nil || len(l.table.Jobs) > 0 || slices.ContainsFunc(l.segments, func(one segment) bool {
		return now.UnixMicro()-one.lastRecordAt <= s.options.Retention.Microseconds()
	}) {
		return
	}
	for _, one := range l.segments { // the oldest first: what is left is still one chain
		if err := s.options.FS.Remove(one.path); err != nil {
			s.options.Log.Warn("cannot remove a segment of the journal", "file", one.path, "err", err)
			return
		}
	}
}

// measureSpace updates the state of the disk's space and the counts.
func (s *Store) measureSpace() {
	free, err := s.options.FS.Free(s.options.Dir)
	if err != nil {
		free = -1
	}
	l := s.log
	undroppable := int64(len(l.table.Jobs)) * unresolvedJobSize
	s.space.Observe(s.options.Now(), free, l.bytes(), undroppable)
	s.mu.Lock()
	s.stats.Bytes, s.stats.Unresolved, s.stats.Buffered = l.bytes(), len(l.table.Jobs), len(s.buffered)
	s.mu.Unlock()
	s.updateFull()
}

// unresolvedJobSize is roughly how many bytes on the disk a job takes that waits for an operator.
const unresolvedJobSize = 512

// updateFull publishes whether the journal is full, and logs a change.
func (s *Store) updateFull() {
	full := s.space.Full()
	s.mu.Lock()
	changed := s.full != full
	s.full = full
	s.mu.Unlock()
	switch {
	case changed && full:
		s.options.Log.Warn("the journal is full: new jobs are not recorded", "dir", s.log.dir, "bytes", s.log.bytes())
	case changed:
		s.options.Log.Info("the journal has space again", "dir", s.log.dir, "bytes", s.log.bytes())
	}
}

// writeReserve writes the reserve file, which is removed when space is needed. Its bytes are written, since a sparse file
// would take no space. It runs concurrently to the Store's goroutine.
func (s *Store) writeReserve() error {
	path := join(s.log.dir, reserveName)
	if err := s.options.FS.Remove(path); err != nil && !notExist(err) {
		return err
	}
	f, err := s.options.FS.Create(path)
	if err != nil {
		return err
	}
	chunk := make([]byte, 256<<10)
	for left := s.options.ReservedBytes; left > 0 && err == nil; left -= int64(len(chunk)) {
		var n int
		if n, err = f.Write(chunk[:min(left, int64(len(chunk)))]); err == nil && int64(n) < min(left, int64(len(chunk))) {
			err = io.ErrShortWrite
		}
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		_ = s.options.FS.Remove(path)
		return err
	}
	return nil
}

// releaseReserve removes the reserve file.
func (s *Store) releaseReserve() {
	s.reserved = false
	if err := s.options.FS.Remove(join(s.log.dir, reserveName)); err != nil {
		s.options.Log.Error("cannot remove the journal's reserve file", "err", err)
	}
}
