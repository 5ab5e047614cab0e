package journal

import "time"

// DiskSpace decides from the free and the used space whether new jobs may be recorded. The two thresholds lie apart, so that
// it does not flap. It is not safe for concurrent use.
type DiskSpace struct {
	ReservedBytes int64 // reserved for records that close open jobs
	MaxBytes      int64 // of the journal; 0: unlimited
	full          bool
	fullSince     time.Time
}

// minFullDuration is how long a disk counts as full at least: file systems report free space late and in whole blocks.
const minFullDuration = time.Second

// Observe updates the state by how many bytes are free on the disk (below 0: not known), how many the journal uses, and how
// many of those retention cannot drop. It reports whether the state has changed.
func (s *DiskSpace) Observe(now time.Time, free, used, undroppable int64) (changed bool) {
	wasFull := s.full
	switch {
	case free >= 0 && free < s.ReservedBytes, s.MaxBytes > 0 && undroppable > s.MaxBytes/2:
		s.full, s.fullSince = true, now
	case s.full && now.Sub(s.fullSince) >= minFullDuration && (free < 0 || free >= 2*s.ReservedBytes) &&
		(s.MaxBytes <= 0 || used < s.MaxBytes && undroppable < s.MaxBytes/2-s.MaxBytes/8):
		s.full = false
	}
	return s.full != wasFull
}

// WriteFailed notes that a write failed: the disk counts as full. It reports whether the state has changed.
func (s *DiskSpace) WriteFailed(now time.Time) (changed bool) {
	changed = !s.full
	s.full, s.fullSince = true, now
	return changed
}

// Full reports whether new jobs should not be recorded: only records that close open jobs should be written.
func (s *DiskSpace) Full() bool { return s.full }
