package dispatcher

import "time"

// This file limits the load on workers that warm up, including those presumed restarted before the worker list shows it.

const (
	presumedRestartTTL        = 5 * time.Second // time within which the worker list shows a restart
	minConnFailuresForRestart = 3               // consecutive connection failures after which a restart is presumed
)

// connFailure is a connection to a worker that broke or was refused.
type connFailure struct {
	worker *worker
	at     time.Duration
}

// slowStart computes the credit of workers that warm up, and tracks the workers that are
// presumed restarted.
type slowStart struct {
	settings             *Settings
	dispatchersPerWorker int                 // number of dispatchers that send to a worker
	lastFailureByCell    map[int]connFailure // last connection failure in each cell
	presumedRestarts     int                 // number of workers presumed restarted
}

// beginIfRecent begins the slow start of a worker that started recently. The worker earns
// credit at a fraction of the rate at which warm workers serve this dispatcher, and the
// fraction grows as the worker warms up. Every dispatcher does the same, so the sum stays
// below the capacity of the worker.
func (s *slowStart) beginIfRecent(now time.Duration, w *worker, credit func() float64) {
	s.clearPresumed(w)
	w.warmAt = 0
	if s.settings.SlowStartDuration > 0 && w.StartedAt > 0 && now < w.StartedAt+s.settings.SlowStartDuration {
		s.begin(now, w, w.StartedAt, credit)
	}
}

// begin begins the slow start of a worker as of the time at which it started.
func (s *slowStart) begin(now time.Duration, w *worker, started time.Duration, credit func() float64) {
	w.warmAt = started + s.settings.SlowStartDuration
	w.slowStartCreditAt = now
	w.slowStartCredit = credit()
}

// admits reports whether the request may go to a worker that warms up, after adding the
// credit earned since the last call.
func (s *slowStart) admits(now time.Duration, w *worker, r *request, estimates *workEstimates) bool {
	warm := 1 - (w.warmAt-now).Seconds()/s.settings.SlowStartDuration.Seconds()
	fraction := s.settings.SlowStartCapacity + (1-s.settings.SlowStartCapacity)*max(0, warm)
	mean := estimates.expected()
	minRate := mean / s.settings.OverloadWindow.Seconds() / float64(s.dispatchersPerWorker)
	rate := fraction * max(minRate, estimates.workRate*w.size)
	// A request with more work than the mean must leave capacity for other requests, even if this
	// dispatcher's part of the load is twice the mean.
	maxWork := s.settings.OverloadMultiple / 4 * rate * float64(s.dispatchersPerWorker) * s.settings.OverloadWindow.Seconds()
	rate *= min(1.5, s.settings.OverloadMultiple/2) // at most half of the multiple, which leaves room for bursts
	if estimates.knownRequests == 0 {               // no running time is known yet: all dispatchers together send two requests per window
		rate = 2 * minRate
	}
	w.slowStartCredit = min(w.slowStartCredit+rate*(now-w.slowStartCreditAt).Seconds(), rate*s.settings.OverloadWindow.Seconds()/4)
	w.slowStartCreditAt = now
	return w.slowStartCredit > 0 && estimates.expectedOf(r) <= max(mean, maxWork)
}

// beginPresumed begins the slow start of a worker that is presumed restarted, unless the
// worker is in slow start because of the worker list.
func (s *slowStart) beginPresumed(now time.Duration, w *worker, credit func() float64) {
	if s.settings.SlowStartDuration > 0 && (w.presumedRestartAt > 0 || w.warmAt <= now) {
		s.clearPresumed(w)
		s.presumedRestarts++
		w.presumedRestartAt = now
		s.begin(now, w, now, credit)
	}
}

// clearPresumed ends the slow start of those workers that are presumed restarted.
func (s *slowStart) clearPresumed(workers ...*worker) {
	for _, w := range workers {
		if w != nil && w.presumedRestartAt > 0 {
			w.presumedRestartAt, w.warmAt = 0, 0
			s.presumedRestarts--
		}
	}
}
