package sedgevale

// Load probes and reports: asking workers for their load, and how far to trust the answers.

import (
	"slices"
	"time"
)

const (
	probeFanout          = 2 // workers probed for one request at a time
	maxProbeRounds       = 2 // rounds of probes for one request, when none has free slots
	probeTimeout         = 15 * time.Millisecond
	probeResultTTL       = 40 * time.Millisecond // a worker that has answered is not probed again for so long
	minMeteredSeconds    = 0.6                   // of metering before it counts
	meterIntervalRounds  = 32                    // later a worker is metered every so many rounds
	maxReportChangeJobs  = 2.0                   // mean work between changes of a report, at most, for it to be timely
	reportTTLFraction    = 0.5                   // of the mean work: how long a report holds
	maxQueueWaitFraction = 0.35                  // of the time left: what a queue's wait, by a report, may take
)

// probeForLoad probes a few workers for their load before a request is placed, where
// reports come only as answers to probes. Without them a dispatcher with few
// requests a second does not know a worker's free capacity, whoever has taken it.
func (d *Dispatcher) probeForLoad(now time.Duration, r *request) {
	if r.keyHash != 0 || !d.reportsAreTimely() {
		return
	}
	r.probeRounds++
	r.probed = r.probed[:0]
	near, all := d.candidateZones(r)
	recent := r.tenant.recentWorkers
	if r.probeRounds > 1 || len(near) == 0 || len(near[0]) < probeFanout {
		near, recent = all, nil
	}
	for w := range d.recentThenRandom(recent, near) {
		if !d.usable(now, w, r, true) || !d.mayAttempt(now, r, w) || slices.Contains(r.probed, w) {
			continue
		}
		r.probed = append(r.probed, w)
		if w.freeSlotsAt == 0 || now-w.freeSlotsAt > probeResultTTL {
			if len(w.probeWaiters) == 0 {
				d.host.Probe(w.Worker)
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

// awaitsProbes reports whether the request waits for answers to its probes.
func (r *request) awaitsProbes(now time.Duration) bool {
	return r.probesPending > 0 && now < r.probeDeadline
}

// pickProbed returns the worker with the most free capacity of those that were
// probed. If none has any, others are probed; in the end a request within its
// tenant's share goes where the wait is shortest. Without any answer nothing is
// decided.
func (d *Dispatcher) pickProbed(now time.Duration, r *request, withinShare bool) (best *worker, decided bool) {
	mostFree, leastWait := 0.0, unlimited
	var shortest *worker
	for _, w := range r.probed {
		if now-w.freeSlotsAt > probeResultTTL+probeTimeout || !d.usable(now, w, r, withinShare) || !d.mayAttempt(now, r, w) {
			continue
		}
		decided = true
		if free := w.freeSlots * w.size; w.freeSlots >= r.Slots-0.5 && free > mostFree {
			best, mostFree = w, free
		}
		if wait := d.reportedWait(w, r); withinShare && wait < leastWait {
			shortest, leastWait = w, wait
		}
	}
	switch {
	case best != nil:
		return best, true
	case r.probeRounds < maxProbeRounds:
		d.probeForLoad(now, r)
		return nil, r.probesPending > 0
	}
	if left := min(r.deadline, r.targetAt) - now; leastWait > maxQueueWaitFraction*(left.Seconds()-r.work/r.Slots) {
		shortest = nil
	}
	return shortest, decided
}

// reportedWait returns how many seconds a request would wait at a worker by its last
// report.
func (d *Dispatcher) reportedWait(w *worker, r *request) float64 {
	slots := d.maxFreeByKind[w.Kind]
	return max(0, w.lastReport.InFlight+r.Slots-slots-min(0, w.freeSlots)) / slots * r.class.meanRuntime
}

// ProbeResult brings a worker's answer to [Host.Probe], or nil where none came in
// time. The worker may have left the list meanwhile.
func (d *Dispatcher) ProbeResult(now time.Duration, name string, rep *LoadReport) {
	d.detectStall(now)
	w := d.workersByName[name]
	if w == nil {
		return
	}
	if rep != nil && rep.HasFreeSlots {
		d.meterReports(now, w, rep)
		d.applyReport(now, w, rep)
	}
	d.endProbe(w)
	d.releasePending(now)
}

// endProbe releases the requests that wait for the worker's answer to a probe.
func (d *Dispatcher) endProbe(w *worker) {
	for _, r := range w.probeWaiters {
		r.probesPending--
	}
	w.probeWaiters = w.probeWaiters[:0]
}

// applyReport takes over free slots from a report; none at all decrease the limit.
func (d *Dispatcher) applyReport(now time.Duration, w *worker, p *LoadReport) {
	w.freeSlots, w.freeSlotsAt = p.FreeSlots, now
	d.maxFreeByKind[w.Kind] = max(d.maxFreeByKind[w.Kind], p.FreeSlots)
	if p.FreeSlots < 0.5 {
		d.decreaseLimit(w, 0)
	}
}

// applyLiveWeight takes over free slots from a live weight, which is the size over 1
// + requests in flight per core. It guards against slots that other dispatchers
// fill.
func (d *Dispatcher) applyLiveWeight(now time.Duration, w *worker) {
	perCore := d.maxWeightByKind[w.Kind]/w.Weight - 1
	w.freeSlots, w.freeSlotsAt = (1-perCore)*d.maxFreeByKind[w.Kind], now
}

// probeMeteredWorker probes one worker in two rounds in a row, often at first, to
// learn how fast reports change.
func (d *Dispatcher) probeMeteredWorker() {
	if !d.settings.LoadByProbe || d.meteredSeconds > minMeteredSeconds && d.round%meterIntervalRounds > 1 {
		return
	}
	if d.meteredWorker == nil || d.round%8 == 0 {
		d.meteredWorker = d.randomWorker()
	}
	if d.meteredWorker != nil && d.meteredWorker.State == Active && len(d.meteredWorker.probeWaiters) == 0 {
		d.host.Probe(d.meteredWorker.Worker)
	}
}

// meterReports counts whether the report of a worker that was probed twice within two
// rounds has changed.
func (d *Dispatcher) meterReports(now time.Duration, w *worker, p *LoadReport) {
	if since := now - w.freeSlotsAt; w.freeSlotsAt > 0 && since <= 2*roundInterval && since >= roundInterval/2 {
		d.meteredSeconds = d.meteredSeconds*(1-meanGain) + since.Seconds()
		d.reportChanges *= 1 - meanGain
		if w.lastReport != *p {
			d.reportChanges++
		}
	}
	w.lastReport = *p
}

// reportsAreTimely reports whether a worker's report changes often enough to show the
// next request's slot, not one of those before: all dispatchers that see an old free
// slot send there at once. No setting tells how often reports change.
func (d *Dispatcher) reportsAreTimely() bool {
	return d.meteredSeconds >= minMeteredSeconds && d.meteredSeconds < maxReportChangeJobs*d.meanWork*d.reportChanges
}

// reportTTL returns how long a report holds: slots change hands as requests end.
func (d *Dispatcher) reportTTL() time.Duration { return seconds(reportTTLFraction * d.meanWork) }
