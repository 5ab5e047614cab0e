package sedgevale

// The budget of attempts beyond each request's first.

import (
	"time"
)

// slidingCounter counts the events of a sliding window, by buckets, in constant
// memory.
type slidingCounter struct {
	bucketLength time.Duration // the time that one bucket counts
	newest       int64         // the number of the newest bucket
	buckets      [counterBuckets + 1]int
}

// counterBuckets is how many buckets a window has.
const counterBuckets = 64

// advance forgets what is older than the window.
func (c *slidingCounter) advance(now time.Duration) {
	at := int64(now / c.bucketLength)
	for range min(at-c.newest, counterBuckets+1) {
		c.newest++
		c.buckets[c.newest%(counterBuckets+1)] = 0
	}
	c.newest = at
}

// add counts an event.
func (c *slidingCounter) add(now time.Duration) {
	c.advance(now)
	c.buckets[c.newest%(counterBuckets+1)]++
}

// counts returns how many events the last window has had at most, and how many at
// least: with and without the bucket in which it begins.
func (c *slidingCounter) counts(now time.Duration) (most, least int) {
	c.advance(now)
	for _, n := range c.buckets {
		most += n
	}
	return most, most - c.buckets[(c.newest+1)%(counterBuckets+1)]
}

// resetCounters begins to count attempts and requests in the budget's window.
func (d *Dispatcher) resetCounters() {
	length := max(1, d.settings.RetryBudget.Window/counterBuckets)
	d.retryCounter, d.requestCounter = slidingCounter{bucketLength: length}, slidingCounter{bucketLength: length}
}

// withinRetryBudget reports whether an attempt beyond a request's first keeps the
// budget. Attempts count for a 64th of the window longer, and requests for as much
// less, than they must, so that the budget holds in every window.
func (d *Dispatcher) withinRetryBudget(now time.Duration) bool {
	b := &d.settings.RetryBudget
	if b.Window == 0 {
		return true
	}
	retries, _ := d.retryCounter.counts(now)
	_, requests := d.requestCounter.counts(now)
	return float64(retries+1) <= float64(b.FreeRetries)+b.RetryRatio*float64(requests)
}
