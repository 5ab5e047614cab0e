package sedgevale

// The budget of attempts beyond each request's first.

import (
	"time"
)

// slidingCounter counts the events of a sliding window, by parts of it, in constant
// memory.
type slidingCounter struct {
	part  time.Duration // the length of a part
	last  int64         // the number of the newest part
	parts [counterParts + 1]int
}

// counterParts is how many parts a window has.
const counterParts = 64

// advance forgets what is older than the window.
func (t *slidingCounter) advance(now time.Duration) {
	at := int64(now / t.part)
	for range min(at-t.last, counterParts+1) {
		t.last++
		t.parts[t.last%(counterParts+1)] = 0
	}
	t.last = at
}

// add counts an event.
func (t *slidingCounter) add(now time.Duration) {
	t.advance(now)
	t.parts[t.last%(counterParts+1)]++
}

// counts returns how many events the last window has had at most, and how many at
// least: with and without the part in which it begins.
func (t *slidingCounter) counts(now time.Duration) (most, least int) {
	t.advance(now)
	for _, n := range t.parts {
		most += n
	}
	return most, most - t.parts[(t.last+1)%(counterParts+1)]
}

// resetCounters begins to count attempts and requests in the budget's window.
func (d *Dispatcher) resetCounters() {
	part := max(1, d.settings.RetryBudget.Window/counterParts)
	d.retryCounter, d.requestCounter = slidingCounter{part: part}, slidingCounter{part: part}
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
