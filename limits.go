package sedgevale

// Limits: of each worker, learned from failures, and of each tenant, a quantile of those (Wisp's Algorithm 1).

import (
	"time"

	"sedgevale/admission"
)

const (
	limitQuantileQ      = 0.25      // the quantile over workers; Wisp starts from 0.5
	limitDecreaseFactor = 0.7       // a worker's limit after a failure, over the slots in flight there
	limitIncreaseStep   = 0.1       // what a clean round adds to a limit, of the spare slots
	minLimit            = 0.1       // slots: one slot for a tenth of the time
	sendShareGain       = 1.0 / 128 // EWMA weight of one request in a tenant's share sent to a worker
	maxQuantileSamples  = 64        // workers sampled for a quantile, so that a round stays cheap
)

// sendShare is the EWMA share of a tenant's requests that went to a worker.
type sendShare = admission.Share

// setLimit sets the worker's limit and keeps the sums of its pools.
func (d *Dispatcher) setLimit(w *worker, to float64) {
	d.adjustPoolSums(w, -1)
	w.limit = to
	d.adjustPoolSums(w, 1)
}

// decreaseLimit lowers a worker's limit after a failure, at most once a round. Slots are
// those of the failed attempt, which are not in flight any more.
func (d *Dispatcher) decreaseLimit(w *worker, slots float64) {
	if w.lastDecreaseRound == d.round {
		return
	}
	w.lastDecreaseRound = d.round
	d.setLimit(w, limitTuning.Decrease(w.limit, w.inFlight+slots))
}

// increaseLimits raises the limits of workers that had only clean outcomes in the
// last round, by a fraction of their spare capacity.
func (d *Dispatcher) increaseLimits(now time.Duration) {
	for _, w := range d.cleanWorkers {
		w.cleanRound = false
		if w.lastDecreaseRound < d.round-1 && w.limit < unlimited {
			spare := w.limit - w.inFlight
			if now-w.freeSlotsAt < d.reportTTL() && w.freeSlotsAt > 0 {
				spare = w.freeSlots
			}
			d.setLimit(w, limitTuning.Increase(w.limit, spare))
		}
	}
	d.cleanWorkers = d.cleanWorkers[:0]
}

// limitQuantile returns the paper's Q(sigma_d/alpha_d, q): the quantile, over the
// workers that the tenant used, of a worker's limit over the tenant's share of
// jobs sent there. With few jobs to a worker that share is mostly noise, so it is
// drawn to the even share by as many jobs as there are workers.
func (d *Dispatcher) limitQuantile(t *tenant) float64 {
	n := float64(max(1, d.pools[0].active))
	jobs := min(float64(t.sentJobs), 1/sendShareGain)
	d.limitsBuffer = d.limitsBuffer[:0]
	step := 1 + len(t.usedWorkers)/maxQuantileSamples
	for i := int(d.round) % step; i < len(t.usedWorkers); i += step {
		w := d.workers[t.usedWorkers[i]]
		if w == nil || w.State != Active {
			continue
		}
		share := t.sendShares[t.usedWorkers[i]].DecayedTo(t.sentJobs, sendShareGain)
		d.limitsBuffer = append(d.limitsBuffer, w.limit/admission.SmoothedShare(share, jobs, n))
	}
	return admission.Quantile(d.limitsBuffer, limitQuantileQ)
}

// updateLocalShares sets the tenants' local shares, in slots: they rise while the
// demand is met, else each is the tenant's max-min fair share. None is below the
// tenant's quota share, since a demand can appear within the round.
func (d *Dispatcher) updateLocalShares() {
	limit := unlimited
	all := d.pools[0]
	if all.limitedWorkers*2 > all.active { // a worker without a limit counts at the mean of the others
		limit = all.limitSum / float64(all.limitedWorkers) * float64(all.active)
	}
	if d.capacityShort {
		d.capacity += 0.2 * (d.inFlight - d.capacity)
		limit = min(limit, max(1, d.capacity))
	} else {
		d.capacity = max(d.capacity, d.inFlight)
	}
	demand := 0.0
	for _, t := range d.tenants {
		demand += t.inFlight + t.pendingSlots
	}
	level := 0.0
	if demand > limit {
		level = d.fairLevel(limit)
	}
	for _, t := range d.tenants {
		t.localShare = admission.LocalShare(t.localShare, t.claim(), demand, limit, level, limitIncreaseStep)
	}
}

// fairLevel returns the max-min fair level in slots per unit of share.
func (d *Dispatcher) fairLevel(limit float64) float64 {
	d.claimants = d.claimants[:0]
	for _, t := range d.tenants {
		d.claimants = append(d.claimants, t.claim())
	}
	return admission.MaxMinLevel(d.claimants, limit)
}
