package jobs

import "sedgevale/admission"

// limitTuning is the tuning of the learned limits on the load of workers.
var limitTuning = admission.LimitTuning{DecreaseFactor: 0.7, IncreaseStep: 0.1, MinLimit: 0.1}

const (
	// minLimitIncrease is by how much a tick without a decrease increases a limit at least. A limit that was decreased below
	// the present load would have no margin to increase by, and long-running tasks could keep it there for ever.
	minLimitIncrease = 0.03
	// minMeasuredLoad is the load from which on the ratio of allocated shares to load is measured.
	minMeasuredLoad = 0.3
)

// load returns the fraction of the worker in use, in its scarcest resource.
func (w *Worker) load() float64 { return w.Capacity.dominantShare(w.used) }

// decreaseLimit lowers the worker's limit, at most once between two ticks.
func (w *Worker) decreaseLimit() {
	if w.limitDecreased {
		return
	}
	w.limitDecreased = true
	w.loadLimit = limitTuning.Decrease(w.loadLimit, max(w.load(), limitTuning.MinLimit))
}

// increaseLimit raises the limit, up to the full capacity, if it was not decreased since the last tick.
func (w *Worker) increaseLimit() {
	if !w.limitDecreased {
		raised := limitTuning.Increase(w.loadLimit, w.loadLimit-w.load())
		w.loadLimit = min(1, max(raised, w.loadLimit+minLimitIncrease))
	}
	w.limitDecreased = false
}

// allocationLimit returns the limit in the measure of allocated: the shares of tasks that want different resources may sum up
// to more than the load.
func (w *Worker) allocationLimit() float64 {
	load := w.load()
	if load < minMeasuredLoad {
		return w.loadLimit
	}
	return w.loadLimit * max(1, w.allocated/load)
}
