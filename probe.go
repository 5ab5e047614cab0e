package sedgevale

// Load reports: asking workers for their load, and what the answers are worth.

import (
	"slices"
	"time"
)

const (
	lookAt      = 2                     // workers asked for their load at a time
	lookRounds  = 2                     // times that others are asked when none has room
	lookWait    = 15 * time.Millisecond // an answer is waited for so long
	lookFresh   = 40 * time.Millisecond // a worker that has answered is not asked again for so long
	meterLeast  = 0.6                   // seconds between two askings, summed, before they tell
	meterRounds = 32                    // later a worker is asked twice every so many rounds
	speakPart   = 2.0                   // mean jobs between changes of a report, at most, for it to tell
	freshPart   = 0.5                   // a report speaks for this part of a mean job
	queuePart   = 0.35                  // part of the time left that a queue's wait, by a report, may take
)

// look asks a few workers for their load before a job is placed, where reports come only so: without
// them a dispatcher with some jobs a second knows nothing of a worker's room, whatever has filled it.
func (d *Dispatcher) look(now time.Duration, r *request) {
	if r.hash != 0 || !d.reportsSpeak() {
		return
	}
	r.looks++
	r.looked = r.looked[:0]
	near, all := d.reach(r)
	known := r.tenant.known
	if r.looks > 1 || len(near) == 0 || len(near[0]) < lookAt {
		near, known = all, nil
	}
	for w := range d.drawAfter(known, near) {
		if !d.usable(now, w, r, true) || !d.mayTry(now, r, w) || slices.Contains(r.looked, w) {
			continue
		}
		r.looked = append(r.looked, w)
		if w.freeAt == 0 || now-w.freeAt > lookFresh {
			if len(w.askers) == 0 {
				d.host.Probe(w.Worker)
			}
			w.askers = append(w.askers, r)
			r.looking++
		}
		if len(r.looked) == lookAt {
			break
		}
	}
	if r.looking > 0 {
		r.lookTill = now + lookWait
		d.timer(lookWait, tokenLook, r, 0)
	}
}

// pickLooked returns the worker with the most room of those that were asked.
// If none has any, others are asked; in the end a job within its tenant's
// share goes where least is in hand. Without any answer nothing is decided.
func (d *Dispatcher) pickLooked(now time.Duration, r *request, own bool) (best *worker, decided bool) {
	most, least := 0.0, inf
	var fewest *worker
	for _, w := range r.looked {
		if now-w.freeAt > lookFresh+lookWait || !d.usable(now, w, r, own) || !d.mayTry(now, r, w) {
			continue
		}
		decided = true
		if room := w.free * w.size; w.free >= r.Slots-0.5 && room > most {
			best, most = w, room
		}
		if wait := d.waitAt(w, r); own && wait < least {
			fewest, least = w, wait
		}
	}
	switch {
	case best != nil:
		return best, true
	case r.looks < lookRounds:
		d.look(now, r)
		return nil, r.looking > 0
	}
	if left := min(r.deadline, r.aim) - now; least > queuePart*(left.Seconds()-r.work/r.Slots) {
		fewest = nil
	}
	return fewest, decided
}

// waitAt returns how long a job would wait at a worker by its last report.
func (d *Dispatcher) waitAt(w *worker, r *request) float64 {
	slots := d.kindRoom[w.Kind]
	return max(0, w.told.Held+r.Slots-slots-min(0, w.free)) / slots * r.class.run
}

// Probed brings a worker's answer to a probe, or nil where none came. The
// worker may have left meanwhile.
func (d *Dispatcher) Probed(now time.Duration, name string, rep *Report) {
	d.stoodStill(now)
	w := d.byName[name]
	if w == nil {
		return
	}
	if rep != nil && rep.HasFree {
		d.meter(now, w, rep)
		d.reported(now, w, rep)
	}
	d.answered(w)
	d.release(now)
}

// answered tells those who wait for the worker's answer to a probe that there
// is nothing more to wait for.
func (d *Dispatcher) answered(w *worker) {
	for _, r := range w.askers {
		r.looking--
	}
	w.askers = w.askers[:0]
}

func (d *Dispatcher) reported(now time.Duration, w *worker, p *Report) {
	w.free, w.freeAt = p.Free, now
	d.kindRoom[w.Kind] = max(d.kindRoom[w.Kind], p.Free)
	if p.Free < 0.5 {
		d.cut(w, 0)
	}
}

// lively reads free slots from a live weight, which is the size over 1 +
// requests held per core: it guards against slots that other dispatchers fill.
func (d *Dispatcher) lively(now time.Duration, w *worker) {
	perCore := d.kindSize[w.Kind]/w.Weight - 1
	w.free, w.freeAt = (1-perCore)*d.kindRoom[w.Kind], now
}

// askAgain asks a worker in two rounds on end, often at first.
func (d *Dispatcher) askAgain() {
	if !d.set.MustProbe || d.metered > meterLeast && d.round%meterRounds > 1 {
		return
	}
	if d.gauge == nil || d.round%8 == 0 {
		d.gauge = d.any()
	}
	if d.gauge != nil && d.gauge.State == Active && len(d.gauge.askers) == 0 {
		d.host.Probe(d.gauge.Worker)
	}
}

// meter learns from a worker asked twice within two rounds.
func (d *Dispatcher) meter(now time.Duration, w *worker, p *Report) {
	if since := now - w.freeAt; w.freeAt > 0 && since <= 2*roundEvery && since >= roundEvery/2 {
		d.metered = d.metered*(1-meanGain) + since.Seconds()
		d.changes *= 1 - meanGain
		if w.told != *p {
			d.changes++
		}
	}
	w.told = *p
}

// reportsSpeak reports whether a worker's report changes often enough to tell
// of the next job's slot, not of those before: all who see an old free slot
// go there at once. How often it changes is measured, not told.
func (d *Dispatcher) reportsSpeak() bool {
	return d.metered >= meterLeast && d.metered < speakPart*d.meanWork*d.changes
}

// fresh is how long a report speaks for: slots change hands as jobs end.
func (d *Dispatcher) fresh() time.Duration { return seconds(freshPart * d.meanWork) }
