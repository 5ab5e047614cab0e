package dispatcher

import "time"

// This file enforces the retry budget.

// slidingCounter counts events within a sliding window in a fixed number of buckets.
type slidingCounter struct {
	bucketLength time.Duration
	newest       int64 // number of the newest bucket
	buckets      [counterBuckets + 1]int
}

// counterBuckets is the number of buckets in a window.
const counterBuckets = 64

// advance clears the buckets that are older than the window.
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

// counts returns bounds on the number of events in the window that ends now: with and
// without the bucket in which the window begins.
func (c *slidingCounter) counts(now time.Duration) (most, least int) {
	c.advance(now)
	for _, n := range c.buckets {
		most += n
	}
	return most, most - c.buckets[(c.newest+1)%(counterBuckets+1)]
}

// retryBudget enforces the RetryBudget of the settings.
type retryBudget struct {
	settings RetryBudget
	retries  slidingCounter // attempts after each request's first
	requests slidingCounter
}

// configure applies the settings. A change of the window resets the counters.
func (b *retryBudget) configure(set RetryBudget) {
	if length := max(1, set.Window/counterBuckets); set.Window != b.settings.Window || b.retries.bucketLength == 0 {
		b.retries, b.requests = slidingCounter{bucketLength: length}, slidingCounter{bucketLength: length}
	}
	b.settings = set
}

// admits reports whether another attempt after a request's first stays within the budget.
// Attempts count for a 64th of the window longer than necessary and requests for a 64th
// less, so that the budget holds in every window.
func (b *retryBudget) admits(now time.Duration) bool {
	if b.settings.Window == 0 {
		return true
	}
	retries, _ := b.retries.counts(now)
	_, requests := b.requests.counts(now)
	return float64(retries+1) <= float64(b.settings.FreeRetries)+b.settings.RetryRatio*float64(requests)
}
