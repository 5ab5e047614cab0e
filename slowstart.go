package sedgevale

// Workers that warm up, and workers presumed restarted before the list says so.

import (
	"time"
)

const (
	presumedRestartTTL        = 5 * time.Second // within it the list tells of a restart
	minConnFailuresForRestart = 3               // connections on end that break or fail for a restart to be presumed
)

type brokenConnection struct {
	worker *worker
	at     time.Duration
}

// slowStartIfRecent makes a worker that has just started a cold one (rule 4). It gets credit for a part of the
// work that warm ones carry for us, which grows as it warms; every dispatcher does so, hence the sum
// stays below what it can do.
func (d *Dispatcher) slowStartIfRecent(now time.Duration, w *worker) {
	d.clearPresumedRestart(w)
	w.warmAt = 0
	if d.settings.WarmUp > 0 && w.StartedAt > 0 && now < w.StartedAt+d.settings.WarmUp {
		d.beginSlowStart(now, w, w.StartedAt)
	}
}

// beginSlowStart makes the worker a cold one that started at the time. A random part
// of a job is owed at first, so that dispatchers do not all begin at once.
func (d *Dispatcher) beginSlowStart(now time.Duration, w *worker, started time.Duration) {
	w.warmAt = started + d.settings.WarmUp
	w.slowStartCreditAt = now
	w.slowStartCredit = -d.rng.Float64() * d.expectedWork()
}

func (d *Dispatcher) slowStartAdmits(now time.Duration, w *worker, r *request) bool {
	warm := 1 - (w.warmAt-now).Seconds()/d.settings.WarmUp.Seconds()
	part := d.settings.StartCapacity + (1-d.settings.StartCapacity)*max(0, warm)
	mean := d.expectedWork()
	least := mean / d.settings.Fall.Seconds() / float64(d.subsetSharers)
	rate := part * max(least, d.workRate*w.size)
	// A heavier job than usual must leave room for others, also where our part is twice the mean.
	heavy := d.settings.FallMultiple / 4 * rate * float64(d.subsetSharers) * d.settings.Fall.Seconds()
	rate *= min(1.5, d.settings.FallMultiple/2) // half of the multiple at most, for chance and bursts
	if d.knownRequests == 0 {                   // knowing no job yet one must begin somewhere: two of all together
		rate = 2 * least
	}
	w.slowStartCredit = min(w.slowStartCredit+rate*(now-w.slowStartCreditAt).Seconds(), rate*d.settings.Fall.Seconds()/4)
	w.slowStartCreditAt = now
	return w.slowStartCredit > 0 && d.expectedWorkOf(r) <= max(mean, heavy)
}

// presumeRestart takes workers for restarted before the list says so: one that broke
// or refused a connection, and all of its cell if another there did lately and
// none has served since. It guards against workers that come back cold and are pushed over by those who
// do not know it yet. If most workers are struck, the fault is not theirs.
func (d *Dispatcher) presumeRestart(now time.Duration, w *worker) {
	struck := []*worker{w}
	before := d.brokenByCell[w.Cell]
	if d.brokenByCell[w.Cell] = (brokenConnection{w, now}); before.worker != nil && before.worker != w && now < before.at+presumedRestartTTL {
		struck = d.cells[w.Cell]
	}
	for _, v := range struck {
		d.presumeWorkerRestarted(now, v)
	}
	if d.presumedRestarts*2 > d.pools[0].active {
		d.clearPresumedRestart(d.workers...)
	}
}

// presumeWorkerRestarted makes the worker a cold one, unless it is known to be one.
func (d *Dispatcher) presumeWorkerRestarted(now time.Duration, w *worker) {
	if d.settings.WarmUp > 0 && (w.presumedRestartAt > 0 || w.warmAt <= now) {
		d.clearPresumedRestart(w)
		d.presumedRestarts++
		w.presumedRestartAt = now
		d.beginSlowStart(now, w, now)
	}
}

// clearPresumedRestart ends presumptions of a restart.
func (d *Dispatcher) clearPresumedRestart(workers ...*worker) {
	for _, w := range workers {
		if w != nil && w.presumedRestartAt > 0 {
			w.presumedRestartAt, w.warmAt = 0, 0
			d.presumedRestarts--
		}
	}
}
