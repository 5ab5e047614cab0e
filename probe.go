package sedgevale

// Load reports: asking workers for their load, and what the answers are worth.

import (
	"slices"
	"time"
)

const (
	probeFanout         = 2                     // workers asked for their load at a time
	maxProbeRounds      = 2                     // times that others are asked when none has room
	probeTimeout        = 15 * time.Millisecond // an answer is waited for so long
	probeResultTTL      = 40 * time.Millisecond // a worker that has answered is not asked again for so long
	minMeteredSeconds   = 0.6                   // seconds between two askings, summed, before they tell
	meterIntervalRounds = 32                    // later a worker is asked twice every so many rounds
	maxReportChangeJobs = 2.0                   // mean jobs between changes of a report, at most, for it to tell
	reportTTLPart       = 0.5                   // a report speaks for this part of a mean job
	maxQueueWaitPart    = 0.35                  // part of the time left that a queue's wait, by a report, may take
)

// probeForLoad asks a few workers for their load before a job is placed, where reports come only so: without
// them a dispatcher with some jobs a second knows nothing of a worker's room, whatever has filled it.
func (d *Dispatcher) probeForLoad(now time.Duration, r *request) {
	if r.keyHash != 0 || !d.reportsAreTimely() {
		return
	}
	r.probeRounds++
	r.probed = r.probed[:0]
	near, all := d.candidateZones(r)
	known := r.tenant.recentWorkers
	if r.probeRounds > 1 || len(near) == 0 || len(near[0]) < probeFanout {
		near, known = all, nil
	}
	for w := range d.recentThenRandom(known, near) {
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

// pickProbed returns the worker with the most room of those that were asked.
// If none has any, others are asked; in the end a job within its tenant's
// share goes where least is in hand. Without any answer nothing is decided.
func (d *Dispatcher) pickProbed(now time.Duration, r *request, own bool) (best *worker, decided bool) {
	most, least := 0.0, unlimited
	var fewest *worker
	for _, w := range r.probed {
		if now-w.freeSlotsAt > probeResultTTL+probeTimeout || !d.usable(now, w, r, own) || !d.mayAttempt(now, r, w) {
			continue
		}
		decided = true
		if room := w.freeSlots * w.size; w.freeSlots >= r.Slots-0.5 && room > most {
			best, most = w, room
		}
		if wait := d.reportedWait(w, r); own && wait < least {
			fewest, least = w, wait
		}
	}
	switch {
	case best != nil:
		return best, true
	case r.probeRounds < maxProbeRounds:
		d.probeForLoad(now, r)
		return nil, r.probesPending > 0
	}
	if left := min(r.deadline, r.targetAt) - now; least > maxQueueWaitPart*(left.Seconds()-r.work/r.Slots) {
		fewest = nil
	}
	return fewest, decided
}

// reportedWait returns how long a job would wait at a worker by its last report.
func (d *Dispatcher) reportedWait(w *worker, r *request) float64 {
	slots := d.maxFreeByKind[w.Kind]
	return max(0, w.lastReport.Held+r.Slots-slots-min(0, w.freeSlots)) / slots * r.class.meanRuntime
}

// ProbeResult brings a worker's answer to a probe, or nil where none came. The
// worker may have left meanwhile.
func (d *Dispatcher) ProbeResult(now time.Duration, name string, rep *Report) {
	d.detectStall(now)
	w := d.workersByName[name]
	if w == nil {
		return
	}
	if rep != nil && rep.HasFree {
		d.meterReports(now, w, rep)
		d.applyReport(now, w, rep)
	}
	d.endProbe(w)
	d.releasePending(now)
}

// endProbe tells those who wait for the worker's answer to a probe that there
// is nothing more to wait for.
func (d *Dispatcher) endProbe(w *worker) {
	for _, r := range w.probeWaiters {
		r.probesPending--
	}
	w.probeWaiters = w.probeWaiters[:0]
}

func (d *Dispatcher) applyReport(now time.Duration, w *worker, p *Report) {
	w.freeSlots, w.freeSlotsAt = p.Free, now
	d.maxFreeByKind[w.Kind] = max(d.maxFreeByKind[w.Kind], p.Free)
	if p.Free < 0.5 {
		d.cutLimit(w, 0)
	}
}

// applyLiveWeight reads free slots from a live weight, which is the size over 1 +
// requests held per core: it guards against slots that other dispatchers fill.
func (d *Dispatcher) applyLiveWeight(now time.Duration, w *worker) {
	perCore := d.maxWeightByKind[w.Kind]/w.Weight - 1
	w.freeSlots, w.freeSlotsAt = (1-perCore)*d.maxFreeByKind[w.Kind], now
}

// probeMeteredWorker asks a worker in two rounds on end, often at first.
func (d *Dispatcher) probeMeteredWorker() {
	if !d.settings.MustProbe || d.meteredSeconds > minMeteredSeconds && d.round%meterIntervalRounds > 1 {
		return
	}
	if d.meteredWorker == nil || d.round%8 == 0 {
		d.meteredWorker = d.randomWorker()
	}
	if d.meteredWorker != nil && d.meteredWorker.State == Active && len(d.meteredWorker.probeWaiters) == 0 {
		d.host.Probe(d.meteredWorker.Worker)
	}
}

// meterReports learns from a worker asked twice within two rounds.
func (d *Dispatcher) meterReports(now time.Duration, w *worker, p *Report) {
	if since := now - w.freeSlotsAt; w.freeSlotsAt > 0 && since <= 2*roundInterval && since >= roundInterval/2 {
		d.meteredSeconds = d.meteredSeconds*(1-meanGain) + since.Seconds()
		d.reportChanges *= 1 - meanGain
		if w.lastReport != *p {
			d.reportChanges++
		}
	}
	w.lastReport = *p
}

// reportsAreTimely reports whether a worker's report changes often enough to tell
// of the next job's slot, not of those before: all who see an old free slot
// go there at once. How often it changes is measured, not told.
func (d *Dispatcher) reportsAreTimely() bool {
	return d.meteredSeconds >= minMeteredSeconds && d.meteredSeconds < maxReportChangeJobs*d.meanWork*d.reportChanges
}

// reportTTL is how long a report speaks for: slots change hands as jobs end.
func (d *Dispatcher) reportTTL() time.Duration { return seconds(reportTTLPart * d.meanWork) }
