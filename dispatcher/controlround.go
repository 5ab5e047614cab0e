package dispatcher

import (
	"sedgevale/admission"
	"time"
)

// This file runs the periodic control round, which updates the tenants' limits.

const (
	runtimeRatioDecay = 0.01 // fraction by which a round moves a runtime ratio towards 1, so that a slow worker is tried again
)

// endRound ends a control round of Wisp's Algorithm 1: it updates the learned state and the
// tenants' limits, and starts the next round.
func (d *Dispatcher) endRound(now time.Duration) {
	d.rounds.number++
	d.limits.round = d.rounds.number
	d.limits.increase(now, d.estimates.reportTTL(), &d.workers)
	d.estimates.endRound(d.workers.pools[0].targetWeight())
	d.classes.decayCompletions()
	d.estimates.lowRuntimeRatio = d.workers.secondLowestRuntimeRatio()
	d.closeDrainingIdleConns(now)
	d.probeMeteredWorker()
	d.connections.endRound()
	for _, w := range d.workers.all {
		if w != nil && d.settings.StartNotified && !d.rounds.catchingUp {
			w.runtimeRatio += runtimeRatioDecay * (1 - w.runtimeRatio)
			d.releaseOverdue(now, w)
		}
	}
	d.tenants.retire(now, d.classes.longestTimeout())
	d.updateLocalShares()
	for _, t := range d.tenants.all {
		t.limit = min(t.localShare, d.limits.quantile(t, &d.workers))
		t.arrivals *= 1 - arrivalsDecay
	}
	d.tenants.arrivals *= 1 - arrivalsDecay
	d.capacity.exhausted = false
	d.workers.capacityChanged()
	d.rounds.due = now + roundInterval
	d.host.SetTimer(roundInterval, tokenRound)
	d.releasePending(now)
}

// updateLocalShares sets the tenants' local shares, in slots. They rise while the total
// demand is within the limit; otherwise each is the tenant's max-min fair share. None
// falls below the tenant's share of the limit, since demand can arise within the round.
func (d *Dispatcher) updateLocalShares() {
	limit := unlimited
	all := d.workers.pools[0]
	if all.limitedWorkers*2 > all.active { // a worker without a limit counts with the mean limit of those that have one
		limit = all.limitSum / float64(all.limitedWorkers) * float64(all.active)
	}
	limit = d.capacity.endRound(limit)
	demand, level := d.tenants.demand(), 0.0
	if demand > limit {
		level = d.tenants.fairLevel(limit)
	}
	for _, t := range d.tenants.all {
		t.localShare = admission.LocalShare(t.localShare, t.claimant(), demand, limit, level, limitIncreaseStep)
	}
}
