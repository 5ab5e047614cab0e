package dispatcher

import (
	"sedgevale/admission"
	"time"
)

// Limits: of each worker, learned from failures, and of each tenant, a quantile of those (Wisp's Algorithm 1).

const (
	limitQuantileQ      = 0.25 // the quantile over workers; Wisp starts from 0.5
	limitDecreaseFactor = 0.7  // a worker's limit after a failure, over the slots in flight there
	limitIncreaseStep   = 0.1  // what a clean round adds to a limit, of the spare slots
	minLimit            = 0.1  // slots: one slot for a tenth of the time
	maxQuantileSamples  = 64   // workers sampled for a quantile, so that a round stays cheap
)

var limitTuning = admission.LimitTuning{DecreaseFactor: limitDecreaseFactor, IncreaseStep: limitIncreaseStep, MinLimit: minLimit}

// limitLearning is which workers have earned a higher limit.
type limitLearning struct {
	round  int64     // the number of the current round
	clean  []*worker // with a clean outcome in this round
	buffer []float64 // reused by quantile
}

// decrease lowers a worker's limit after a failure, at most once a round. Slots are
// those of the failed attempt, which are not in flight any more.
func (l *limitLearning) decrease(workers *workerSet, w *worker, slots float64) {
	if w.lastDecreaseRound == l.round {
		return
	}
	w.lastDecreaseRound = l.round
	workers.setLimit(w, limitTuning.Decrease(w.limit, w.inFlight+slots))
}

// increase raises the limits of workers that had only clean outcomes in the
// last round, by a fraction of their spare capacity.
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
// workers that the tenant used, of a worker's limit over the tenant's share of
// jobs sent there. With few jobs to a worker that share is mostly noise, so it is
// drawn to the even share by as many jobs as there are workers.
func (l *limitLearning) quantile(t *tenant, workers *workerSet) float64 {
	n := float64(max(1, workers.pools[0].active))
	jobs := min(float64(t.sentJobs), 1/sendShareGain)
	l.buffer = l.buffer[:0]
	step := 1 + len(t.usedWorkers)/maxQuantileSamples
	for i := int(l.round) % step; i < len(t.usedWorkers); i += step {
		w := workers.all[t.usedWorkers[i]]
		if w == nil || w.State != Active {
			continue
		}
		share := t.sendShares[t.usedWorkers[i]].DecayedTo(t.sentJobs, sendShareGain)
		l.buffer = append(l.buffer, w.limit/admission.SmoothedShare(share, jobs, n))
	}
	return admission.Quantile(l.buffer, limitQuantileQ)
}

// addClean notes that the worker had a clean outcome in this round.
func (l *limitLearning) addClean(w *worker) {
	if !w.cleanRound {
		w.cleanRound = true
		l.clean = append(l.clean, w)
	}
}
