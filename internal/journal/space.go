package journal

import "time"

// Space decides from what is free and used whether new jobs may be recorded. It has
// some slack between full and roomy, so that it does not flap.
type Space struct {
	Reserve int64 // bytes kept for records that close open jobs
	Most    int64 // bytes the journal may have; 0: no bound
	full    bool
	since   time.Time
}

// rest is how long a full disk stays full after a write failed for want of space: what
// is free is told late, and by blocks.
const rest = time.Second

// Observe takes in how many bytes are free on the disk (less than 0: not known), how
// many the journal has, and how many of those cannot be dropped by age or size. It
// reports whether the state has changed.
func (s *Space) Observe(now time.Time, free, used, stuck int64) (changed bool) {
	was := s.full
	switch {
	case free >= 0 && free < s.Reserve, s.Most > 0 && stuck > s.Most/2:
		s.full, s.since = true, now
	case s.full && now.Sub(s.since) >= rest && (free < 0 || free >= 2*s.Reserve) &&
		(s.Most <= 0 || used < s.Most && stuck < s.Most/2-s.Most/8):
		s.full = false
	}
	return s.full != was
}

// Failed notes that a write found no space. It reports whether the state has changed.
func (s *Space) Failed(now time.Time) (changed bool) {
	changed = !s.full
	s.full, s.since = true, now
	return changed
}

// Full reports whether only records that close open jobs should be written.
func (s *Space) Full() bool { return s.full }
