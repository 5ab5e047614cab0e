package dispatcher

import (
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds the health of workers: a worker that rejects or fails requests is ejected, and one that may
// have crashed is unhealthy.

const (
	errorRateGain       = 0.25 // EWMA weight of one response in a worker's error rate
	maxErrorRate        = 0.4  // error rate above which a worker is ejected
	minEjectionBackoff  = 100 * time.Millisecond
	maxEjectionBackoff  = 2 * time.Second
	minUnhealthyBackoff = 500 * time.Millisecond
	maxUnhealthyBackoff = 8 * time.Second
)

// ejected reports whether the worker is excluded because it rejected or failed requests.
// A worker with a high error rate gets one request at a time.
func (w *worker) ejected(now time.Duration) bool {
	return now < w.ejectedUntil || w.errorRate > maxErrorRate && w.inFlight > 0
}

// unhealthy reports whether the worker is excluded because it may have crashed, or
// because a trial request was sent to it within the backoff.
func (w *worker) unhealthy(now time.Duration) bool {
	return w.unhealthyUntil > 0 && now < max(w.unhealthyUntil, w.lastTrial+w.unhealthyBackoff)
}

// eject excludes a worker that rejects or fails requests, for a jittered backoff that
// doubles each time until the worker serves a request. It guards against a worker that
// fails fast: it always has the fewest slots in flight and would attract all requests.
func (w *worker) eject(now time.Duration, rng *rand.Rand) {
	if now >= w.ejectedUntil {
		w.ejectionBackoff = min(max(minEjectionBackoff, 2*w.ejectionBackoff), maxEjectionBackoff)
		w.ejectedUntil = now + w.ejectionBackoff/2 + time.Duration(rng.Int64N(int64(w.ejectionBackoff)))
	}
}

// markUnhealthy excludes a worker after an attempt there got no response or no timely
// start notice, for a jittered backoff that doubles each time. After the backoff the
// worker gets one trial request, and more once it is known to be alive. This guards
// against crashed workers that are still in the worker list.
func (w *worker) markUnhealthy(now time.Duration, rng *rand.Rand) {
	if now < w.unhealthyUntil {
		return
	}
	w.unhealthyBackoff = min(max(minUnhealthyBackoff, 2*w.unhealthyBackoff), maxUnhealthyBackoff)
	w.unhealthyUntil = now + w.unhealthyBackoff/2 + time.Duration(rng.Int64N(int64(w.unhealthyBackoff)))
}

// mayBeAlive reports whether a worker may be alive although an attempt there got no
// response. It may if the attempt's connection failed and no other one has since the
// worker was last heard from, if the connection broke while other attempts there hold
// slots, or, for a failed connect or a timeout, if the worker was heard from after the
// send. This guards against excluding workers for failures of single connections.
func (w *worker) mayBeAlive(a *attempt, o Outcome) bool {
	switch {
	case o != TimedOut && w.connFailures == 1:
		return true
	case o == ConnectionLost:
		return slices.ContainsFunc(w.attempts, func(ref attemptRef) bool {
			return !ref.request.attempts[ref.number].slotsReleased
		})
	}
	return w.lastSeen > a.sentAt
}
