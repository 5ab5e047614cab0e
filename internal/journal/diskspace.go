package journal

import "time"

// DiskSpace decides from the free and the used disk space whether new jobs may be recorded. The thresholds for entering and
// leaving the full state differ, which prevents flapping. It is not safe for concurrent use.
type DiskSpace struct {
	ReservedBytes int64 // space kept free for records that close open jobs
	MaxBytes      int64 // limit of the journal's size; 0: unlimited
	full          bool
	fullSince     time.Time
}

// minFullDuration is the minimum time in the full state: file systems report freed space late and in whole blocks.
const minFullDuration = time.Second

// Update updates the state. Negative freeBytes mean that the free space is unknown; unprunableBytes is the part of usedBytes
// that retention cannot remove. It reports whether the state has changed.
func (s *DiskSpace) Update(now time.Time, freeBytes, usedBytes, unprunableBytes int64) (changed bool) {
	wasFull := s.full
	switch {
	case freeBytes >= 0 && freeBytes < s.ReservedBytes, s.MaxBytes > 0 && unprunableBytes > s.MaxBytes/2:
		s.full, s.fullSince = true, now
	case s.full && now.Sub(s.fullSince) >= minFullDuration && (freeBytes < 0 || freeBytes >= 2*s.ReservedBytes) &&
		(s.MaxBytes <= 0 || usedBytes < s.MaxBytes && unprunableBytes < s.MaxBytes/2-s.MaxBytes/8):
		s.full = false
	}
	return s.full != wasFull
}

// WriteFailed enters the full state after a failed write. It reports whether the state has changed.
func (s *DiskSpace) WriteFailed(now time.Time) (changed bool) {
	changed = !s.full
	s.full, s.fullSince = true, now
	return changed
}

// Full reports whether only records that close open jobs should be written, and no new jobs.
func (s *DiskSpace) Full() bool { return s.full }
