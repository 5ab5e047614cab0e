package dispatcher

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The watch on the list of workers, and connections of workers that drain.

const (
	minWatchBackoff = 200 * time.Millisecond
	maxWatchBackoff = time.Second // with jitter and a failed call: retried within 6 s of discovery's return
)

// listWatch paces the retries of the watch on the list.
type listWatch struct{ backoff time.Duration }

// retryDelay returns when to retry after a failure: twice as late each time.
func (w *listWatch) retryDelay(rng *rand.Rand) time.Duration {
	delay := w.backoff/2 + time.Duration(rng.Int64N(int64(w.backoff)))
	w.backoff = min(2*w.backoff, maxWatchBackoff)
	return delay
}

// drainingConnections are the workers whose idle connections are closed once more.
type drainingConnections struct{ workers []*worker }

// closed notes that the idle connections to a worker were closed.
func (c *drainingConnections) closed(now time.Duration, w *worker) {
	if w.idleClosedAt == 0 {
		c.workers = append(c.workers, w)
	}
	w.idleClosedAt = now
}

// due removes and returns the workers for which the given time has passed since.
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
