package dispatcher

import "time"

// The budget of attempts beyond each request's first.

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

// retryBudget counts what the settings' budget is about.
type retryBudget struct {
	settings RetryBudget
	retries  slidingCounter // attempts beyond each request's first
	requests slidingCounter
}

// configure takes over the settings. Another window is counted anew.
func (b *retryBudget) configure(set RetryBudget) {
	if length := max(1, set.Window/counterBuckets); set.Window != b.settings.Window || b.retries.bucketLength == 0 {
		b.retries, b.requests = slidingCounter{bucketLength: length}, slidingCounter{bucketLength: length}
	}
	b.settings = set
}

// admits reports whether an attempt beyond a request's first keeps the
// budget. Attempts count for a 64th of the window longer, and requests for as much
// less, than they must, so that the budget holds in every window.
func (b *retryBudget) admits(now time.Duration) bool {
	if b.settings.Window == 0 {
		return true
	}
	retries, _ := b.retries.counts(now)
	_, requests := b.requests.counts(now)
	return float64(retries+1) <= float64(b.settings.FreeRetries)+b.settings.RetryRatio*float64(requests)
}
