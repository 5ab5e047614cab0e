package fleetsim

import (
	"math"
	"time"

	"sedgevale/internal/dispatchconfig"
)

// A worker that warms up may get so many times what it can do then, in any window of
// this length.
const (
	overloadMultiple = 3
	overloadWindow   = 2 * time.Second
)

// arrival is work that has reached a worker that warmed up, whatever became of it.
type arrival struct {
	at   time.Duration
	work float64 // slot seconds at speed 1
}

// recordArrival notes work that reaches the worker while it warms up.
func (w *worker) recordArrival(t *task) {
	if w.slowStart && w.clock.now < w.startedAt+dispatchconfig.Seconds(w.model.SlowStartSeconds) {
		w.slowStartArrivals = append(w.slowStartArrivals, arrival{w.clock.now, t.work.Seconds() * float64(t.slots)})
	}
}

// maxOverload returns the largest ratio of the work that reached the worker within a
// window, from all schedulers, to what it may get from the window's start on: that of N
// jobs of mean work, plus 2 x sqrt(N) + 2 for chance.
func (w *worker) maxOverload() (most float64) {
	sum, last := 0.0, 0
	for _, a := range w.slowStartArrivals {
		for ; last < len(w.slowStartArrivals) && w.slowStartArrivals[last].at < a.at+overloadWindow; last++ {
			sum += w.slowStartArrivals[last].work
		}
		rate := w.speed * (w.model.SlowStartCapacity + (1-w.model.SlowStartCapacity)*(a.at-w.startedAt).Seconds()/w.model.SlowStartSeconds)
		n := overloadMultiple * float64(w.cores) * rate * overloadWindow.Seconds() / meanWorkSeconds()
		most = max(most, sum/meanWorkSeconds()/(n+2*math.Sqrt(n)+2))
		sum -= a.work
	}
	return most
}
