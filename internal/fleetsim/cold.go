package fleetsim

import (
	"math"
	"time"

	"sedgevale/internal/dispatchconfig"
)

// What the platform allows a box that has just started: so many times what it can do then, in any such span.
const (
	fallMultiple = 3
	fall         = 2 * time.Second
)

// arrival is work that has reached a cold box, whatever became of it.
type arrival struct {
	at   time.Duration
	work float64 // slot seconds at speed 1
}

// reached notes work at a cold box.
func (b *box) reached(t *task) {
	if b.cold && b.c.now < b.upFrom+dispatchconfig.Seconds(b.set.ColdS) {
		b.came = append(b.came, arrival{b.c.now, t.work.Seconds() * float64(t.slots)})
	}
}

// pushed returns the most that has reached the box within the span, from all schedulers, over what it is allowed from
// the span's start on: a budget of N jobs of mean work, and 2 x root of N + 2 that are put down to chance.
func (b *box) pushed() (most float64) {
	sum, last := 0.0, 0
	for _, a := range b.came {
		for ; last < len(b.came) && b.came[last].at < a.at+fall; last++ {
			sum += b.came[last].work
		}
		rate := b.speed * (b.set.ColdFrom + (1-b.set.ColdFrom)*(a.at-b.upFrom).Seconds()/b.set.ColdS)
		n := fallMultiple * float64(b.cores) * rate * fall.Seconds() / meanWork()
		most = max(most, sum/meanWork()/(n+2*math.Sqrt(n)+2))
		sum -= a.work
	}
	return most
}
