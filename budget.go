package sedgevale

// The budget of attempts beyond each request's first.

import (
	"time"
)

// slidingCounter counts events of the last span in parts of it, in constant memory.
type slidingCounter struct {
	part  time.Duration
	last  int64 // the newest part
	parts [counterParts + 1]int
}

// counterParts is how many parts of a span a tally tells apart.
const counterParts = 64

// advance forgets what is older than the span.
func (t *slidingCounter) advance(now time.Duration) {
	at := int64(now / t.part)
	for range min(at-t.last, counterParts+1) {
		t.last++
		t.parts[t.last%(counterParts+1)] = 0
	}
	t.last = at
}

func (t *slidingCounter) add(now time.Duration) {
	t.advance(now)
	t.parts[t.last%(counterParts+1)]++
}

// counts returns how many events at most, and how many at least, the last span
// has had: with and without the part in which it begins.
func (t *slidingCounter) counts(now time.Duration) (most, least int) {
	t.advance(now)
	for _, n := range t.parts {
		most += n
	}
	return most, most - t.parts[(t.last+1)%(counterParts+1)]
}

// resetCounters begins to count attempts and requests for the budget's span.
func (d *Dispatcher) resetCounters() {
	part := max(1, d.settings.Further.Span/counterParts)
	d.retryCounter, d.requestCounter = slidingCounter{part: part}, slidingCounter{part: part}
}

// withinRetryBudget reports whether an attempt beyond a request's first keeps the
// budget of those. Attempts count for a 64th of the span longer and requests
// for as much less than they must, so it holds in every window.
func (d *Dispatcher) withinRetryBudget(now time.Duration) bool {
	b := &d.settings.Further
	if b.Span == 0 {
		return true
	}
	further, _ := d.retryCounter.counts(now)
	_, taken := d.requestCounter.counts(now)
	return float64(further+1) <= float64(b.Free)+b.Ratio*float64(taken)
}
