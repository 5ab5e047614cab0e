package fleetsim

import (
	"math"
	"time"

	"sedgevale/internal/dispatchconfig"
)

// In any window of length overloadWindow, a worker in slow start may receive at most
// overloadMultiple times the work that it can do in that window.
const (
	overloadMultiple = 3
	overloadWindow   = 2 * time.Second
)

// arrival is work that reached a worker during its slow start, whether or not it was
// accepted.
type arrival struct {
	at   time.Duration
	work float64 // in slot seconds at speed 1
}

// recordArrival records work that reaches the worker during its slow start.
func (w *worker) recordArrival(t *task) {
	if w.slowStart && w.clock.now < w.startedAt+dispatchconfig.Seconds(w.model.SlowStartSeconds) {
		w.slowStartArrivals = append(w.slowStartArrivals, arrival{w.clock.now, t.work.Seconds() * float64(t.slots)})
	}
}

// maxOverload returns the highest ratio of the work that reached the worker within a
// window, from all schedulers, to its limit at the start of the window: the work of N
// jobs of mean work, plus a tolerance of 2 x sqrt(N) + 2 jobs for randomness.
func (w *worker) maxOverload() (highest float64) {
	sum, last := 0.0, 0
	for _, a := range w.slowStartArrivals {
		for ; last < len(w.slowStartArrivals) && w.slowStartArrivals[last].at < a.at+overloadWindow; last++ {
			sum += w.slowStartArrivals[last].work
		}
		rate := w.speed * (w.model.SlowStartCapacity + (1-w.model.SlowStartCapacity)*(a.at-w.startedAt).Seconds()/w.model.SlowStartSeconds)
		n := overloadMultiple * float64(w.cores) * rate * overloadWindow.Seconds() / meanWorkSeconds()
		highest = max(highest, sum/meanWorkSeconds()/(n+2*math.Sqrt(n)+2))
		sum -= a.work
	}
	return highest
}
