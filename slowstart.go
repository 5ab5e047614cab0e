package sedgevale

// Workers that warm up, and workers presumed restarted before the list says so.

import (
	"time"
)

const (
	presumeFor   = 5 * time.Second // within it the list tells of a restart
	presumeLeast = 3               // connections on end that break or fail for a restart to be presumed
)

type sign struct {
	w  *worker
	at time.Duration
}

// startedAt makes a worker that has just started a cold one (rule 4). It gets credit for a part of the
// work that warm ones carry for us, which grows as it warms; every dispatcher does so, hence the sum
// stays below what it can do.
func (d *Dispatcher) startedAt(now time.Duration, w *worker) {
	d.absolve(w)
	w.coldUntil = 0
	if d.set.WarmUp > 0 && w.StartedAt > 0 && now < w.StartedAt+d.set.WarmUp {
		d.coolDown(now, w, w.StartedAt)
	}
}

// coolDown makes the worker a cold one that started at the time. A random part
// of a job is owed at first, so that dispatchers do not all begin at once.
func (d *Dispatcher) coolDown(now time.Duration, w *worker, started time.Duration) {
	w.coldUntil = started + d.set.WarmUp
	w.creditAt = now
	w.credit = -d.rng.Float64() * d.usualWork()
}

func (d *Dispatcher) coldRoom(now time.Duration, w *worker, r *request) bool {
	warm := 1 - (w.coldUntil-now).Seconds()/d.set.WarmUp.Seconds()
	part := d.set.StartCapacity + (1-d.set.StartCapacity)*max(0, warm)
	mean := d.usualWork()
	least := mean / d.set.Fall.Seconds() / float64(d.sharers)
	rate := part * max(least, d.carry*w.size)
	// A heavier job than usual must leave room for others, also where our part is twice the mean.
	heavy := d.set.FallMultiple / 4 * rate * float64(d.sharers) * d.set.Fall.Seconds()
	rate *= min(1.5, d.set.FallMultiple/2) // half of the multiple at most, for chance and bursts
	if d.weighed == 0 {                    // knowing no job yet one must begin somewhere: two of all together
		rate = 2 * least
	}
	w.credit = min(w.credit+rate*(now-w.creditAt).Seconds(), rate*d.set.Fall.Seconds()/4)
	w.creditAt = now
	return w.credit > 0 && d.weightOf(r) <= max(mean, heavy)
}

// presume takes workers for restarted before the list says so: one that broke
// or refused a connection, and all of its cell if another there did lately and
// none has served since. It guards against workers that come back cold and are pushed over by those who
// do not know it yet. If most workers are struck, the fault is not theirs.
func (d *Dispatcher) presume(now time.Duration, w *worker) {
	struck := []*worker{w}
	before := d.broke[w.Cell]
	if d.broke[w.Cell] = (sign{w, now}); before.w != nil && before.w != w && now < before.at+presumeFor {
		struck = d.cells[w.Cell]
	}
	for _, v := range struck {
		d.strike(now, v)
	}
	if d.presumed*2 > d.pools[0].active {
		d.absolve(d.workers...)
	}
}

// strike makes the worker a cold one, unless it is known to be one.
func (d *Dispatcher) strike(now time.Duration, w *worker) {
	if d.set.WarmUp > 0 && (w.presumed > 0 || w.coldUntil <= now) {
		d.absolve(w)
		d.presumed++
		w.presumed = now
		d.coolDown(now, w, now)
	}
}

// absolve ends presumptions of a restart.
func (d *Dispatcher) absolve(workers ...*worker) {
	for _, w := range workers {
		if w != nil && w.presumed > 0 {
			w.presumed, w.coldUntil = 0, 0
			d.presumed--
		}
	}
}
