package sedgevale

// Limits: of each worker, learned from failures, and of each tenant, a quantile of those (Wisp's Algorithm 1).

import (
	"sedgevale/admission"
)

const (
	quantileQ    = 0.25      // the quantile over workers; Wisp starts from 0.5
	cutFactor    = 0.7       // a worker's limit after a failure, of what was out there
	riseStep     = 0.1       // what a clean round adds to a limit, of the spare room
	minSigma     = 0.1       // a limit never falls below: one slot for a tenth of the time
	alphaGain    = 1.0 / 128 // EWMA weight of one job in a tenant's alpha
	quantileSpan = 64        // workers looked at for a quantile, so that a round stays cheap
)

// alpha is a tenant's EWMA share of jobs sent to a worker.
type alpha = admission.Share

func (d *Dispatcher) setSigma(w *worker, to float64) {
	d.count(w, -1)
	w.sigma = to
	d.count(w, 1)
}

// cut lowers a worker's limit after a failure, at most once a round, from what was out there then.
func (d *Dispatcher) cut(w *worker, slots float64) {
	if w.cutIn == d.round {
		return
	}
	w.cutIn = d.round
	d.setSigma(w, tuning.Cut(w.sigma, w.held+slots))
}

// quantile returns Q(sigma_d/alpha_d, q) over the workers that the tenant
// used. With few jobs to a worker alpha is mostly noise, so it is drawn to the
// even share by as many jobs as there are workers.
func (d *Dispatcher) quantile(t *tenant) float64 {
	n := float64(max(1, d.pools[0].active))
	jobs := min(float64(t.jobs), 1/alphaGain)
	d.scratch = d.scratch[:0]
	step := 1 + len(t.used)/quantileSpan
	for i := int(d.round) % step; i < len(t.used); i += step {
		w := d.workers[t.used[i]]
		if w == nil || w.State != Active {
			continue
		}
		a := t.alpha[t.used[i]].Now(t.jobs, alphaGain)
		d.scratch = append(d.scratch, w.sigma/admission.Smoothed(a, jobs, n))
	}
	return admission.Quantile(d.scratch, quantileQ)
}

// shareOut sets the local shares: they ramp while the demand is met, else each is the tenant's max-min
// fair part. No part is below the tenant's own share, for a demand can appear within the round.
func (d *Dispatcher) shareOut() {
	limit := inf
	all := d.pools[0]
	if all.limited*2 > all.active { // a worker without a limit counts at the mean of the others
		limit = all.limits / float64(all.limited) * float64(all.active)
	}
	if d.crowded {
		d.room += 0.2 * (d.held - d.room)
		limit = min(limit, max(1, d.room))
	} else {
		d.room = max(d.room, d.held)
	}
	demand := 0.0
	for _, t := range d.tenants {
		demand += t.inflight + t.waiting
	}
	level := 0.0
	if demand > limit {
		level = d.fairLevel(limit)
	}
	for _, t := range d.tenants {
		t.local = admission.LocalShare(t.local, t.claim(), demand, limit, level, riseStep)
	}
}

// fairLevel returns the max-min level: slots per unit of share.
func (d *Dispatcher) fairLevel(limit float64) float64 {
	d.claims = d.claims[:0]
	for _, t := range d.tenants {
		d.claims = append(d.claims, t.claim())
	}
	return admission.FairLevel(d.claims, limit)
}
