package sedgevale

// Ejected workers, which reject or fail requests, and unhealthy ones, which may have crashed.

import (
	"time"
)

const (
	errorRateGain       = 0.25 // EWMA weight of one answer in a worker's error rate
	maxErrorRate        = 0.4  // a worker with a higher error rate is ejected
	minEjectionBackoff  = 100 * time.Millisecond
	maxEjectionBackoff  = 2 * time.Second
	minUnhealthyBackoff = 500 * time.Millisecond
	maxUnhealthyBackoff = 8 * time.Second
)

// ejected reports whether nothing is sent to the worker because it rejected or failed requests.
// One with a high error rate gets one request at a time.
func (w *worker) ejected(now time.Duration) bool {
	return now < w.ejectedUntil || w.errorRate > maxErrorRate && w.inFlight > 0
}

// unhealthy reports whether nothing is sent to the worker because it may have crashed,
// or has had a trial request since.
func (w *worker) unhealthy(now time.Duration) bool {
	return w.unhealthyUntil > 0 && now < max(w.unhealthyUntil, w.lastTrial+w.unhealthyBackoff)
}

// eject sends nothing for a while to a worker that answers, but rejects or fails
// requests: twice as long each time until it serves one. It guards against workers
// that draw all requests because they hold none.
func (d *Dispatcher) eject(now time.Duration, w *worker) {
	if now >= w.ejectedUntil {
		w.ejectionBackoff = min(max(minEjectionBackoff, 2*w.ejectionBackoff), maxEjectionBackoff)
		w.ejectedUntil = now + w.ejectionBackoff/2 + time.Duration(d.rng.Int64N(int64(w.ejectionBackoff)))
	}
}

// markUnhealthy sends nothing to a worker for a while after an attempt that was lost
// there or found no connection: twice as long each time. Then it gets one trial
// request, and others once it is known to be alive. It guards against crashed workers that
// are still listed.
func (d *Dispatcher) markUnhealthy(now time.Duration, w *worker) {
	if now < w.unhealthyUntil {
		return
	}
	w.unhealthyBackoff = min(max(minUnhealthyBackoff, 2*w.unhealthyBackoff), maxUnhealthyBackoff)
	w.unhealthyUntil = now + w.unhealthyBackoff/2 + time.Duration(d.rng.Int64N(int64(w.unhealthyBackoff)))
}
