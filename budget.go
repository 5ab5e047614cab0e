package sedgevale

// The budget of attempts beyond each request's first.

import (
	"time"
)

// tally counts events of the last span in parts of it, in constant memory.
type tally struct {
	part  time.Duration
	last  int64 // the newest part
	parts [tallyParts + 1]int
}

// tallyParts is how many parts of a span a tally tells apart.
const tallyParts = 64

// roll forgets what is older than the span.
func (t *tally) roll(now time.Duration) {
	at := int64(now / t.part)
	for range min(at-t.last, tallyParts+1) {
		t.last++
		t.parts[t.last%(tallyParts+1)] = 0
	}
	t.last = at
}

func (t *tally) add(now time.Duration) {
	t.roll(now)
	t.parts[t.last%(tallyParts+1)]++
}

// counts returns how many events at most, and how many at least, the last span
// has had: with and without the part in which it begins.
func (t *tally) counts(now time.Duration) (most, least int) {
	t.roll(now)
	for _, n := range t.parts {
		most += n
	}
	return most, most - t.parts[(t.last+1)%(tallyParts+1)]
}

// tallies begins to count attempts and requests for the budget's span.
func (d *Dispatcher) tallies() {
	part := max(1, d.set.Further.Span/tallyParts)
	d.further, d.taken = tally{part: part}, tally{part: part}
}

// withinBudget reports whether an attempt beyond a request's first keeps the
// budget of those. Attempts count for a 64th of the span longer and requests
// for as much less than they must, so it holds in every window.
func (d *Dispatcher) withinBudget(now time.Duration) bool {
	b := &d.set.Further
	if b.Span == 0 {
		return true
	}
	further, _ := d.further.counts(now)
	_, taken := d.taken.counts(now)
	return float64(further+1) <= float64(b.Free)+b.Ratio*float64(taken)
}
