package dispatcher

import (
	"slices"
	"time"
)

// This file probes workers for their load and applies their load reports.

const (
	probeFanout          = 2 // workers probed in parallel for one request
	maxProbeRounds       = 2 // maximum rounds of probes for one request while no probed worker has free slots
	probeTimeout         = 15 * time.Millisecond
	probeResultTTL       = 40 * time.Millisecond // time for which a probe result is used instead of another probe
	maxQueueWaitFraction = 0.35                  // maximum reported wait at a worker, as a fraction of the request's slack
)

// probeForLoad probes a few workers for their load before a request is placed, if load
// reports arrive only as probe results and are timely. Without probes a dispatcher with
// few requests per second does not know the free capacity that other dispatchers leave.
func (d *Dispatcher) probeForLoad(now time.Duration, r *request) {
	if r.keyHash != 0 || !d.meter.timely(d.estimates.meanWork) {
		return
	}
	r.probeRounds++
	r.probed = r.probed[:0]
	near, all := d.candidateZones(r)
	recent := r.tenant.recentWorkers
	if r.probeRounds > 1 || len(near) == 0 || len(near[0]) < probeFanout {
		near, recent = all, nil
	}
	for w := range recentThenRandom(d.rng, recent, near) {
		if !d.usable(now, w, r, true) || !d.mayAttempt(now, r, w) || slices.Contains(r.probed, w) {
			continue
		}
		r.probed = append(r.probed, w)
		if w.freeSlotsAt == 0 || now-w.freeSlotsAt > probeResultTTL {
			if len(w.probeWaiters) == 0 {
				d.host.Probe(w.Name)
			}
			w.probeWaiters = append(w.probeWaiters, r)
			r.probesPending++
		}
		if len(r.probed) == probeFanout {
			break
		}
	}
	if r.probesPending > 0 {
		r.probeDeadline = now + probeTimeout
		d.setTimer(probeTimeout, tokenProbe, r, 0)
	}
}

// pickProbed returns the probed worker with the most free capacity. If none has any,
// other workers are probed; after the last round a request within its tenant's share
// goes to the worker with the shortest wait. Decided is false if no probe result is
// available, so that the caller picks a worker without one.
func (d *Dispatcher) pickProbed(now time.Duration, r *request, withinShare bool) (best *worker, decided bool) {
	mostFree, leastWait := 0.0, unlimited
	var leastWaiting *worker
	for _, w := range r.probed {
		if now-w.freeSlotsAt > probeResultTTL+probeTimeout || !d.usable(now, w, r, withinShare) || !d.mayAttempt(now, r, w) {
			continue
		}
		decided = true
		if free := w.freeSlots * w.size; w.freeSlots >= r.Slots-0.5 && free > mostFree {
			best, mostFree = w, free
		}
		if wait := d.workers.reportedWait(w, r); withinShare && wait < leastWait {
			leastWaiting, leastWait = w, wait
		}
	}
	switch {
	case best != nil:
		return best, true
	case r.probeRounds < maxProbeRounds:
		d.probeForLoad(now, r)
		return nil, r.probesPending > 0
	}
	if remaining := min(r.deadline, r.targetAt) - now; leastWait > maxQueueWaitFraction*(remaining.Seconds()-r.work/r.Slots) {
		leastWaiting = nil
	}
	return leastWaiting, decided
}

// applyReport records the free slots of a load report. A report of no free slot decreases
// the worker's limit.
func (d *Dispatcher) applyReport(now time.Duration, w *worker, p *LoadReport) {
	w.freeSlots, w.freeSlotsAt = p.FreeSlots, now
	d.workers.maxFreeByKind[w.Kind] = max(d.workers.maxFreeByKind[w.Kind], p.FreeSlots)
	if p.FreeSlots < 0.5 {
		d.limits.decrease(&d.workers, w, 0)
	}
}

// probeMeteredWorker probes one worker in two consecutive rounds, more often at first,
// to learn how quickly load reports change.
func (d *Dispatcher) probeMeteredWorker() {
	if !d.settings.LoadByProbe || !d.meter.due(d.rounds.number) {
		return
	}
	if d.meter.worker == nil || d.rounds.number%8 == 0 {
		d.meter.worker = d.workers.random(d.rng)
	}
	if d.meter.worker != nil && d.meter.worker.State == Active && len(d.meter.worker.probeWaiters) == 0 {
		d.host.Probe(d.meter.worker.Name)
	}
}

// meterReports records whether the load report of a worker that was probed twice within
// two rounds has changed.
func (d *Dispatcher) meterReports(now time.Duration, w *worker, p *LoadReport) {
	if since := now - w.freeSlotsAt; w.freeSlotsAt > 0 && since <= 2*roundInterval && since >= roundInterval/2 {
		d.meter.observe(since, w.lastReport != *p)
	}
	w.lastReport = *p
}
