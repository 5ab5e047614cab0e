package dispatcher

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Ejected workers, which reject or fail requests, and unhealthy ones, which may have crashed.

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
func (w *worker) eject(now time.Duration, rng *rand.Rand) {
	if now >= w.ejectedUntil {
		w.ejectionBackoff = min(max(minEjectionBackoff, 2*w.ejectionBackoff), maxEjectionBackoff)
		w.ejectedUntil = now + w.ejectionBackoff/2 + time.Duration(rng.Int64N(int64(w.ejectionBackoff)))
	}
}

// markUnhealthy sends nothing to a worker for a while after an attempt that was lost
// there or found no connection: twice as long each time. Then it gets one trial
// request, and others once it is known to be alive. It guards against crashed workers that
// are still listed.
func (w *worker) markUnhealthy(now time.Duration, rng *rand.Rand) {
	if now < w.unhealthyUntil {
		return
	}
	w.unhealthyBackoff = min(max(minUnhealthyBackoff, 2*w.unhealthyBackoff), maxUnhealthyBackoff)
	w.unhealthyUntil = now + w.unhealthyBackoff/2 + time.Duration(rng.Int64N(int64(w.unhealthyBackoff)))
}

// mayBeAlive reports whether a worker may be alive though an attempt there got no
// answer: it has given a sign of life since, or, where the attempt's connection
// broke, others there go on or none broke just before. It guards against the
// exclusion of workers for faults of single connections.
func (w *worker) mayBeAlive(a *attempt, o Outcome) bool {
	switch {
	case o != TimedOut && w.connFailures == 1:
		return true
	case o == ConnectionLost:
		return slices.ContainsFunc(w.attempts, func(ref attemptRef) bool {
			return !ref.request.attempts[ref.number].writtenOff
		})
	}
	return w.lastSeen > a.sentAt
}
