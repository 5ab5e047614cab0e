package dispatcher

import (
	"math/rand/v2"
	"slices"
	"time"
)

// This file paces the retries of the watch on the worker list and the closing of connections to draining workers.

const (
	minWatchBackoff = 200 * time.Millisecond
	maxWatchBackoff = time.Second // with jitter and a failed call, the list is current within 6 s of discovery's recovery
)

// listWatch holds the backoff of the watch on the worker list.
type listWatch struct{ backoff time.Duration }

// retryDelay returns the jittered delay before the next retry and doubles the backoff.
func (w *listWatch) retryDelay(rng *rand.Rand) time.Duration {
	delay := w.backoff/2 + time.Duration(rng.Int64N(int64(w.backoff)))
	w.backoff = min(2*w.backoff, maxWatchBackoff)
	return delay
}

// drainingConnections holds the workers whose idle connections are to be closed once more.
type drainingConnections struct{ workers []*worker }

// closed records that the idle connections to a worker were closed.
func (c *drainingConnections) closed(now time.Duration, w *worker) {
	if w.idleClosedAt == 0 {
		c.workers = append(c.workers, w)
	}
	w.idleClosedAt = now
}

// due removes and returns the workers whose idle connections were closed at least the
// given time ago.
func (c *drainingConnections) due(now, after time.Duration) (due []*worker) {
	c.workers = slices.DeleteFunc(c.workers, func(w *worker) bool {
		if now < w.idleClosedAt+after {
			return false
		}
		w.idleClosedAt = 0
		due = append(due, w)
		return true
	})
	return due
}
