package jobs

import "sedgevale/admission"

// limitTuning of the learned limits, in parts of a worker.
var limitTuning = admission.Tuning{CutFactor: 0.7, RiseStep: 0.1, Least: 0.1}

// minLimitRise is what a clean round adds at least. A limit that was cut below what runs would have no gap to rise by, and
// tasks that last could keep it there for ever.
const minLimitRise = 0.03

// minMeasuredLoad is the load from which on it tells how well tasks go together.
const minMeasuredLoad = 0.3

// cutLimit lowers the worker's limit, at most once a round.
func (w *Worker) cutLimit() {
	if w.limitCut {
		return
	}
	w.limitCut = true
	w.loadLimit = limitTuning.Cut(w.loadLimit, max(w.load(), limitTuning.Least))
}

// raiseLimit raises the limit after a clean round, never above the announced capacity.
func (w *Worker) raiseLimit() {
	if !w.limitCut {
		raised := limitTuning.Raise(w.loadLimit, w.loadLimit-w.load())
		w.loadLimit = min(1, max(raised, w.loadLimit+minLimitRise))
	}
	w.limitCut = false
}

// load is how full the worker is, in the resource of which it has least left.
func (w *Worker) load() float64 { return w.Capacity.dominantShare(w.used) }

// allocationLimit is sigma in the measure of held: tasks that want different resources go together, so that their parts may
// sum up to more than 1.
func (w *Worker) allocationLimit() float64 {
	load := w.load()
	if load < minMeasuredLoad {
		return w.loadLimit
	}
	return w.loadLimit * max(1, w.allocated/load)
}
