package store

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// tend looks after the room, and drops what is old.
func (s *Store) tend(now time.Time) {
	s.measure()
	if s.space.Full() || s.reserve || s.opt.Reserve <= 0 {
		s.dropOld(now)
		return
	}
	s.call(s.makeReserve, func(err error) {
		if err != nil {
			s.failed(fmt.Errorf("the reserve: %w", err))
			return
		}
		s.reserve = true
		s.dropOld(now)
	})
}

// dropOld drops segments that are old, or over the bound of the journal.
func (s *Store) dropOld(now time.Time) {
	if now.Sub(s.swept) >= sweepEvery || now.Before(s.swept) {
		s.swept = now
		s.sweep(now)
	}
	l := s.lane
	l.clean()
	if len(l.segments) == 0 || s.failing {
		return
	}
	n, bytes := 0, l.bytes()
	for n < len(l.segments) && n < pruneMost {
		g := l.segments[n]
		old := s.opt.Keep > 0 && now.UnixMicro()-g.last > s.opt.Keep.Microseconds()
		if !old && (s.opt.MaxBytes <= 0 || bytes < s.opt.MaxBytes-s.opt.MaxBytes/8) {
			break
		}
		bytes -= g.bytes
		n++
	}
	if n == 0 {
		return
	}
	if s.dirty.IsZero() {
		s.dirty = now
	}
	if err := l.beginPrune(now, n); err != nil {
		s.failed(err)
		return
	}
	s.makeDurable(func() {
		l.endPrune(n)
		// Where it fails, files may come back.
		s.call(func() error { return l.fs.SyncDir(l.dir) }, func(error) {})
	})
}

// sweep drops lanes that no process has, once all in them is old and nothing waits for
// an operator. The process before an upgrade leaves one.
func (s *Store) sweep(now time.Time) {
	if s.opt.Keep <= 0 {
		return
	}
	all, err := lanes(s.opt.FS, s.opt.Dir)
	if err != nil {
		return
	}
	for _, dir := range all {
		if dir == s.lane.dir {
			continue
		}
		lock, _, err := s.opt.FS.Lock(join(dir, lockName), `{"name":"retention"}`)
		if err != nil {
			continue
		}
		l, _, err := openLane(s.opt.FS, dir, s.lane.key, s.opt.Segment, s.doubt)
		if err == nil && len(l.book.Jobs) == 0 && !slices.ContainsFunc(l.segments, func(g segment) bool {
			return now.UnixMicro()-g.last <= s.opt.Keep.Microseconds()
		}) {
			for _, g := range l.segments { // the oldest first: what is left is still one chain
				if err := s.opt.FS.Remove(g.path); err != nil {
					s.opt.Log.Warn("a segment of the journal is not dropped", "file", g.path, "err", err)
					break
				}
			}
		}
		lock.Close()
	}
}

// measure takes in how much room there is.
func (s *Store) measure() {
	free, err := s.opt.FS.Free(s.opt.Dir)
	if err != nil {
		free = -1
	}
	l := s.lane
	stuck := int64(len(l.book.Jobs)) * keptSize
	s.space.Observe(s.opt.Now(), free, l.bytes(), stuck)
	s.mu.Lock()
	s.stats.Bytes, s.stats.Kept, s.stats.Held = l.bytes(), len(l.book.Jobs), len(s.held)
	s.mu.Unlock()
	s.tellFull()
}

// keptSize is about what a job takes that waits for an operator, on the disk.
const keptSize = 512

func (s *Store) tellFull() {
	full := s.space.Full()
	s.mu.Lock()
	changed := s.full != full
	s.full = full
	s.mu.Unlock()
	switch {
	case changed && full:
		s.opt.Log.Warn("the journal is full: new jobs are not recorded", "dir", s.lane.dir, "bytes", s.lane.bytes())
	case changed:
		s.opt.Log.Info("the journal has room again", "dir", s.lane.dir, "bytes", s.lane.bytes())
	}
}

// makeReserve, which runs beside the loop, writes a file that is removed when room is needed. Its bytes are written,
// not only counted: a hole takes no room.
func (s *Store) makeReserve() error {
	path := join(s.lane.dir, reserveName)
	if err := s.opt.FS.Remove(path); err != nil && !missing(err) {
		return err
	}
	f, err := s.opt.FS.Create(path)
	if err != nil {
		return err
	}
	chunk := make([]byte, 256<<10)
	for left := s.opt.Reserve; left > 0 && err == nil; left -= int64(len(chunk)) {
		var n int
		if n, err = f.Write(chunk[:min(left, int64(len(chunk)))]); err == nil && int64(n) < min(left, int64(len(chunk))) {
			err = io.ErrShortWrite
		}
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		_ = s.opt.FS.Remove(path)
		return err
	}
	return nil
}

func (s *Store) release() {
	s.reserve = false
	if err := s.opt.FS.Remove(join(s.lane.dir, reserveName)); err != nil {
		s.opt.Log.Error("the journal's reserve cannot be given back", "err", err)
	}
}
