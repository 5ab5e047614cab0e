package dispatcher

import (
	"sedgevale/admission"
	"time"
)

// This file learns a concurrency limit for each worker from failures, and derives each tenant's limit as a quantile
// of those (Wisp's Algorithm 1).

const (
	limitQuantileQ      = 0.25 // quantile over the workers' limits; Wisp starts from 0.5
	limitDecreaseFactor = 0.7  // factor from the slots in flight at a worker to its limit after a failure
	limitIncreaseStep   = 0.1  // fraction of the spare slots by which a round without failure raises a limit
	minLimit            = 0.1  // slots; 0.1 stands for one slot during a tenth of the time
	maxQuantileSamples  = 64   // maximum number of workers sampled for a quantile, which bounds the cost of a round
)

var limitTuning = admission.LimitTuning{DecreaseFactor: limitDecreaseFactor, IncreaseStep: limitIncreaseStep, MinLimit: minLimit}

// limitLearning tracks which workers' limits may rise after the current round.
type limitLearning struct {
	round  int64     // number of the current round
	clean  []*worker // workers that served a request in this round
	buffer []float64 // scratch space of quantile
}

// decrease lowers a worker's limit after a failure, at most once per round. It adds slots
// to the slots in flight, which no longer include those of an attempt that has ended.
func (l *limitLearning) decrease(workers *workerSet, w *worker, slots float64) {
	if w.lastDecreaseRound == l.round {
		return
	}
	w.lastDecreaseRound = l.round
	workers.setLimit(w, limitTuning.Decrease(w.limit, w.inFlight+slots))
}

// increase raises the limits of workers that served a request and had no failure in the
// last round by a fraction of their spare capacity.
func (l *limitLearning) increase(now, reportTTL time.Duration, workers *workerSet) {
	for _, w := range l.clean {
		w.cleanRound = false
		if w.lastDecreaseRound < l.round-1 && w.limit < unlimited {
			spare := w.limit - w.inFlight
			if now-w.freeSlotsAt < reportTTL && w.freeSlotsAt > 0 {
				spare = w.freeSlots
			}
			workers.setLimit(w, limitTuning.Increase(w.limit, spare))
		}
	}
	l.clean = l.clean[:0]
}

// quantile returns the paper's Q(sigma_d/alpha_d, q): the quantile, over the
// workers that the tenant used, of a worker's limit divided by the share of the
// tenant's requests sent there. With few requests to a worker that share is mostly
// noise, so it is smoothed towards the even share with a weight of one request per worker.
func (l *limitLearning) quantile(t *tenant, workers *workerSet) float64 {
	n := float64(max(1, workers.pools[0].active))
	jobs := min(float64(t.sentRequests), 1/sendShareGain)
	l.buffer = l.buffer[:0]
	step := 1 + len(t.usedWorkers)/maxQuantileSamples
	for i := int(l.round) % step; i < len(t.usedWorkers); i += step {
		w := workers.all[t.usedWorkers[i]]
		if w == nil || w.State != Active {
			continue
		}
		share := t.sendShares[t.usedWorkers[i]].DecayedTo(t.sentRequests, sendShareGain)
		l.buffer = append(l.buffer, w.limit/admission.SmoothedShare(share, jobs, n))
	}
	return admission.Quantile(l.buffer, limitQuantileQ)
}

// addClean records that the worker served a request in this round.
func (l *limitLearning) addClean(w *worker) {
	if !w.cleanRound {
		w.cleanRound = true
		l.clean = append(l.clean, w)
	}
}
