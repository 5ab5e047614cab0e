package store

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// maintain measures the disk space, creates the reserve file if it is missing, and drops old segments.
func (s *Store) maintain(now time.Time) {
	s.measureSpace()
	if s.space.Full() || s.reserveExists || s.options.ReservedBytes <= 0 {
		s.prune(now)
		return
	}
	s.startDiskCall(s.writeReserve, func(err error) {
		if err != nil {
			s.recordFailure(fmt.Errorf("cannot write the reserve file: %w", err))
			return
		}
		s.reserveExists = true
		s.prune(now)
	})
}

// prune drops the oldest segments while they are older than the retention or the log exceeds seven eighths of the maximum size. It
// also removes obsolete files and, once per sweepInterval, sweeps unowned logs.
func (s *Store) prune(now time.Time) {
	if now.Sub(s.sweptAt) >= sweepInterval || now.Before(s.sweptAt) {
		s.sweptAt = now
		s.sweepUnownedLogs(now)
	}
	l := s.log
	l.removeObsoleteFiles()
	if len(l.segments) == 0 || s.failing {
		return
	}
	n, bytes := 0, l.totalBytes()
	for n < len(l.segments) && n < maxPrunedSegments {
		oldest := l.segments[n]
		expired := s.options.Retention > 0 && now.UnixMicro()-oldest.lastRecordAt > s.options.Retention.Microseconds()
		if !expired && (s.options.MaxBytes <= 0 || bytes < s.options.MaxBytes-s.options.MaxBytes/8) {
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
		// If this sync fails, a power failure may restore the removed files; readers ignore them.
		s.startDiskCall(func() error { return l.fs.SyncDir(l.dir) }, func(error) {})
	})
}

// sweepUnownedLogs removes the segments of logs that no process holds, such as the log of the previous process after an upgrade,
// once all their records are older than the retention and no job waits for an operator's verdict.
func (s *Store) sweepUnownedLogs(now time.Time) {
	if s.options.Retention <= 0 {
		return
	}
	dirs, err := logDirs(s.options.FS, s.options.Dir)
	if err != nil {
		return
	}
	for _, dir := range dirs {
		if dir == s.log.dir {
			continue
		}
		lock, _, err := s.options.FS.Lock(join(dir, lockName), `{"name":"retention"}`)
		if err != nil {
			continue
		}
		s.sweepUnownedLog(now, dir)
		_ = lock.Close() // the lock file's contents need not be durable
	}
}

// sweepUnownedLog removes the segments of a locked log if all its records are older than the retention.
func (s *Store) sweepUnownedLog(now time.Time, dir string) {
	l, _, err := openSegmentLog(s.options.FS, dir, s.log.key, s.options.SegmentBytes, s.logProblem)
	if err != nil || len(l.table.Jobs) > 0 || slices.ContainsFunc(l.segments, func(seg segment) bool {
		return now.UnixMicro()-seg.lastRecordAt <= s.options.Retention.Microseconds()
	}) {
		return
	}
	for _, seg := range l.segments { // oldest first, so that the remaining segments still form a chain
		if err := s.options.FS.Remove(seg.path); err != nil {
			s.options.Log.Warn("cannot remove a segment of an unowned log; retrying at the next sweep", "file", seg.path, "err", err)
			return
		}
	}
}

// measureSpace updates the disk space state and the statistics.
func (s *Store) measureSpace() {
	free, err := s.options.FS.Free(s.options.Dir)
	if err != nil {
		free = -1
	}
	l := s.log
	unprunableBytes := int64(len(l.table.Jobs)) * unresolvedJobBytes
	s.space.Update(s.options.Now(), free, l.totalBytes(), unprunableBytes)
	s.mu.Lock()
	s.stats.Bytes, s.stats.Unresolved, s.stats.Buffered = l.totalBytes(), len(l.table.Jobs), len(s.buffered)
	s.mu.Unlock()
	s.updateFull()
}

// unresolvedJobBytes is the approximate disk space of a job that is open or waits for an operator's verdict.
const unresolvedJobBytes = 512

// updateFull publishes whether the journal is full, and logs each change.
func (s *Store) updateFull() {
	full := s.space.Full()
	s.mu.Lock()
	changed := s.full != full
	s.full = full
	s.mu.Unlock()
	switch {
	case changed && full:
		s.options.Log.Warn("the journal is full; not recording new jobs until space is free", "dir", s.log.dir, "bytes", s.log.totalBytes())
	case changed:
		s.options.Log.Info("the journal has space again; recording new jobs", "dir", s.log.dir, "bytes", s.log.totalBytes())
	}
}

// writeReserve writes the reserve file, which is removed to free space for records that close open jobs. It is filled with
// bytes, since a sparse file would occupy no space. It runs concurrently with the Store's goroutine.
func (s *Store) writeReserve() error {
	path := join(s.log.dir, reserveName)
	if err := s.options.FS.Remove(path); err != nil && !isNotExist(err) {
		return err
	}
	f, err := s.options.FS.Create(path)
	if err != nil {
		return err
	}
	chunk := make([]byte, 256<<10)
	for remaining := s.options.ReservedBytes; remaining > 0 && err == nil; remaining -= int64(len(chunk)) {
		var n int
		if n, err = f.Write(chunk[:min(remaining, int64(len(chunk)))]); err == nil && int64(n) < min(remaining, int64(len(chunk))) {
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

// releaseReserve removes the reserve file to free its space.
func (s *Store) releaseReserve() {
	s.reserveExists = false
	if err := s.options.FS.Remove(join(s.log.dir, reserveName)); err != nil {
		s.options.Log.Error("cannot remove the journal's reserve file; its space remains in use", "err", err)
	}
}
