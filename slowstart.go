package sedgevale

// Slow start: workers that warm up, and workers presumed restarted before the list says so.

import (
	"time"
)

const (
	presumedRestartTTL        = 5 * time.Second // within it the list shows a restart
	minConnFailuresForRestart = 3               // connections in a row that break or fail
)

// brokenConnection is a connection that broke or was refused.
type brokenConnection struct {
	worker *worker
	at     time.Duration
}

// slowStartIfRecent begins the slow start of a worker that has just started. It earns
// credit for a fraction of the work that warm workers do for this dispatcher, which
// grows as it warms up. Every dispatcher does the same, hence the sum stays below what
// it can do.
func (d *Dispatcher) slowStartIfRecent(now time.Duration, w *worker) {
	d.clearPresumedRestart(w)
	w.warmAt = 0
	if d.settings.SlowStartDuration > 0 && w.StartedAt > 0 && now < w.StartedAt+d.settings.SlowStartDuration {
		d.beginSlowStart(now, w, w.StartedAt)
	}
}

// beginSlowStart begins the slow start of a worker that started at the given time.
// Its credit begins at minus a random part of a request, so that dispatchers do not
// all begin at once.
func (d *Dispatcher) beginSlowStart(now time.Duration, w *worker, started time.Duration) {
	w.warmAt = started + d.settings.SlowStartDuration
	w.slowStartCreditAt = now
	w.slowStartCredit = -d.rng.Float64() * d.expectedWork()
}

// slowStartAdmits reports whether the request may go to a worker that warms up, and
// brings its credit up to date.
func (d *Dispatcher) slowStartAdmits(now time.Duration, w *worker, r *request) bool {
	warm := 1 - (w.warmAt-now).Seconds()/d.settings.SlowStartDuration.Seconds()
	fraction := d.settings.SlowStartCapacity + (1-d.settings.SlowStartCapacity)*max(0, warm)
	mean := d.expectedWork()
	minRate := mean / d.settings.OverloadWindow.Seconds() / float64(d.subsetSharers)
	rate := fraction * max(minRate, d.workRate*w.size)
	// A heavier request than usual must leave capacity for others, also where this
	// dispatcher's part is twice the mean.
	maxWork := d.settings.OverloadMultiple / 4 * rate * float64(d.subsetSharers) * d.settings.OverloadWindow.Seconds()
	rate *= min(1.5, d.settings.OverloadMultiple/2) // half of the multiple at most, for chance and bursts
	if d.knownRequests == 0 {                       // no running time is known yet: begin with two from all together
		rate = 2 * minRate
	}
	w.slowStartCredit = min(w.slowStartCredit+rate*(now-w.slowStartCreditAt).Seconds(), rate*d.settings.OverloadWindow.Seconds()/4)
	w.slowStartCreditAt = now
	return w.slowStartCredit > 0 && d.expectedWorkOf(r) <= max(mean, maxWork)
}

// presumeRestart presumes workers restarted before the list says so: one that broke
// or refused connections, and all of its cell if another there did lately and none
// has served since. It guards against workers that come back cold and are
// overloaded by dispatchers that do not know it yet. If that holds for most
// workers, the fault is not theirs.
func (d *Dispatcher) presumeRestart(now time.Duration, w *worker) {
	restarted := []*worker{w}
	before := d.brokenByCell[w.Cell]
	d.brokenByCell[w.Cell] = brokenConnection{w, now}
	if before.worker != nil && before.worker != w && now < before.at+presumedRestartTTL {
		restarted = d.cells[w.Cell]
	}
	for _, v := range restarted {
		d.presumeWorkerRestarted(now, v)
	}
	if d.presumedRestarts*2 > d.pools[0].active {
		d.clearPresumedRestart(d.workers...)
	}
}

// presumeWorkerRestarted begins the worker's slow start, unless it is known to warm up.
func (d *Dispatcher) presumeWorkerRestarted(now time.Duration, w *worker) {
	if d.settings.SlowStartDuration > 0 && (w.presumedRestartAt > 0 || w.warmAt <= now) {
		d.clearPresumedRestart(w)
		d.presumedRestarts++
		w.presumedRestartAt = now
		d.beginSlowStart(now, w, now)
	}
}

// clearPresumedRestart takes back that workers are presumed restarted.
func (d *Dispatcher) clearPresumedRestart(workers ...*worker) {
	for _, w := range workers {
		if w != nil && w.presumedRestartAt > 0 {
			w.presumedRestartAt, w.warmAt = 0, 0
			d.presumedRestarts--
		}
	}
}
