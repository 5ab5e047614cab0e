package jobs

import "sedgevale/admission"

// limitTuning holds the AIMD parameters of the learned limits on the load of workers.
var limitTuning = admission.LimitTuning{DecreaseFactor: 0.7, IncreaseStep: 0.1, MinLimit: 0.1}

const (
	// minLimitIncrease is the minimum increase of a limit in a tick without a decrease. Otherwise a limit below the current
	// load would never increase, because there is no unused capacity below it, and long-running tasks could keep the load there
	// forever.
	minLimitIncrease = 0.03
	// minMeasuredLoad is the load from which the ratio of allocated shares to load is taken into account.
	minMeasuredLoad = 0.3
)

// load returns the fraction of the worker's capacity in use, for the resource with the highest fraction.
func (w *Worker) load() float64 { return w.Capacity.dominantShare(w.used) }

// decreaseLimit decreases the worker's limit, at most once between ticks.
func (w *Worker) decreaseLimit() {
	if w.limitDecreased {
		return
	}
	w.limitDecreased = true
	w.loadLimit = limitTuning.Decrease(w.loadLimit, max(w.load(), limitTuning.MinLimit))
}

// increaseLimit increases the limit, up to the full capacity, unless it was decreased since the last tick.
func (w *Worker) increaseLimit() {
	if !w.limitDecreased {
		increased := limitTuning.Increase(w.loadLimit, w.loadLimit-w.load())
		w.loadLimit = min(1, max(increased, w.loadLimit+minLimitIncrease))
	}
	w.limitDecreased = false
}

// allocationLimit converts the limit on the load to a limit on allocated. The sum of shares exceeds the load if the dominant
// resources of the runs differ.
func (w *Worker) allocationLimit() float64 {
	load := w.load()
	if load < minMeasuredLoad {
		return w.loadLimit
	}
	return w.loadLimit * max(1, w.allocated/load)
}
