package dispatcher

import "time"

// Slow start: workers that warm up, and workers presumed restarted before the list says so.

const (
	presumedRestartTTL        = 5 * time.Second // within it the list shows a restart
	minConnFailuresForRestart = 3               // connections in a row that break or fail
)

// brokenConnection is a connection that broke or was refused.
type brokenConnection struct {
	worker *worker
	at     time.Duration
}

// slowStart is which workers warm up though the list does not say so, and what may be
// sent to one that warms up.
type slowStart struct {
	settings     *Settings
	sharers      int                      // dispatchers that send to a worker
	brokenByCell map[int]brokenConnection // the last one of each cell
	presumed     int                      // workers presumed restarted
}

// beginIfRecent begins the slow start of a worker that has just started. It earns
// credit for a fraction of the work that warm workers do for this dispatcher, which
// grows as it warms up. Every dispatcher does the same, hence the sum stays below what
// it can do.
func (s *slowStart) beginIfRecent(now time.Duration, w *worker, credit func() float64) {
	s.clearPresumed(w)
	w.warmAt = 0
	if s.settings.SlowStartDuration > 0 && w.StartedAt > 0 && now < w.StartedAt+s.settings.SlowStartDuration {
		s.begin(now, w, w.StartedAt, credit)
	}
}

// begin begins the slow start of a worker that started at the given time.
func (s *slowStart) begin(now time.Duration, w *worker, started time.Duration, credit func() float64) {
	w.warmAt = started + s.settings.SlowStartDuration
	w.slowStartCreditAt = now
	w.slowStartCredit = credit()
}

// admits reports whether the request may go to a worker that warms up, and
// brings its credit up to date.
func (s *slowStart) admits(now time.Duration, w *worker, r *request, estimates *workEstimates) bool {
	warm := 1 - (w.warmAt-now).Seconds()/s.settings.SlowStartDuration.Seconds()
	fraction := s.settings.SlowStartCapacity + (1-s.settings.SlowStartCapacity)*max(0, warm)
	mean := estimates.expected()
	minRate := mean / s.settings.OverloadWindow.Seconds() / float64(s.sharers)
	rate := fraction * max(minRate, estimates.workRate*w.size)
	// A heavier request than usual must leave capacity for others, also where this
	// dispatcher's part is twice the mean.
	maxWork := s.settings.OverloadMultiple / 4 * rate * float64(s.sharers) * s.settings.OverloadWindow.Seconds()
	rate *= min(1.5, s.settings.OverloadMultiple/2) // half of the multiple at most, for chance and bursts
	if estimates.knownRequests == 0 {               // no running time is known yet: begin with two from all together
		rate = 2 * minRate
	}
	w.slowStartCredit = min(w.slowStartCredit+rate*(now-w.slowStartCreditAt).Seconds(), rate*s.settings.OverloadWindow.Seconds()/4)
	w.slowStartCreditAt = now
	return w.slowStartCredit > 0 && estimates.expectedOf(r) <= max(mean, maxWork)
}

// presumeRestarted begins the worker's slow start, unless it is known to warm up.
func (s *slowStart) presumeRestarted(now time.Duration, w *worker, credit func() float64) {
	if s.settings.SlowStartDuration > 0 && (w.presumedRestartAt > 0 || w.warmAt <= now) {
		s.clearPresumed(w)
		s.presumed++
		w.presumedRestartAt = now
		s.begin(now, w, now, credit)
	}
}

// clearPresumed takes back that workers are presumed restarted.
func (s *slowStart) clearPresumed(workers ...*worker) {
	for _, w := range workers {
		if w != nil && w.presumedRestartAt > 0 {
			w.presumedRestartAt, w.warmAt = 0, 0
			s.presumed--
		}
	}
}
