package sedgevale

// Workers that are left alone for a while: those that reject or fail jobs, and those that may have crashed.

import (
	"time"
)

const (
	errorRateGain       = 0.25 // EWMA weight of one answer in a worker's share of errors
	maxErrorRate        = 0.4  // a worker with a larger share of errors is left alone
	minEjectionBackoff  = 100 * time.Millisecond
	maxEjectionBackoff  = 2 * time.Second
	minUnhealthyBackoff = 500 * time.Millisecond // a worker that failed is left alone at first for so long
	maxUnhealthyBackoff = 8 * time.Second
)

// eject leaves a worker alone for a while that answers, but turns jobs away or fails them, twice as long
// each time until it serves one. It guards against workers that draw all jobs because they keep none.
func (d *Dispatcher) eject(now time.Duration, w *worker) {
	if now >= w.ejectedUntil {
		w.ejectionBackoff = min(max(minEjectionBackoff, 2*w.ejectionBackoff), maxEjectionBackoff)
		w.ejectedUntil = now + w.ejectionBackoff/2 + time.Duration(d.rng.Int64N(int64(w.ejectionBackoff)))
	}
}

// markUnhealthy leaves a worker alone for a while after an attempt that was lost there
// or found no connection, twice as long each time. Then it gets one job, and
// others once that has brought a sign. It guards against crashed workers still listed.
func (d *Dispatcher) markUnhealthy(now time.Duration, w *worker) {
	if now < w.unhealthyUntil {
		return
	}
	w.unhealthyBackoff = min(max(minUnhealthyBackoff, 2*w.unhealthyBackoff), maxUnhealthyBackoff)
	w.unhealthyUntil = now + w.unhealthyBackoff/2 + time.Duration(d.rng.Int64N(int64(w.unhealthyBackoff)))
}
