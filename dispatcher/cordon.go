package dispatcher

import "time"

// This file lets operators cordon workers.

// Cordon cordons a worker, or uncordons it if cordon is false. Nothing is sent to a
// cordoned worker, whatever its state in the worker list, even if it is removed and
// listed again. An uncordoned worker begins a slow start as of now, or as of a restart
// that the list showed while it was cordoned. Cordon returns false without a change if
// the worker is unknown.
func (d *Dispatcher) Cordon(now time.Duration, name string, cordon bool) bool {
	w := d.workers.byName[name]
	if w == nil && !d.workers.cordons[name] {
		return false
	}
	if cordon == d.workers.cordons[name] {
		return true
	}
	d.startRounds(now)
	if cordon {
		d.RestoreCordon(name)
		if w != nil {
			w.cordonedAt = now
		}
		return true
	}
	delete(d.workers.cordons, name)
	if w != nil {
		d.workers.removeFromPools(w)
		w.cordoned = false
		d.slowStart.clearPresumed(w)
		w.resetHealth()
		if d.settings.SlowStartDuration > 0 {
			from := now
			if w.StartedAt > w.cordonedAt { // restarted while it was cordoned
				from = min(now, w.StartedAt)
			}
			d.slowStart.begin(now, w, from, d.initialCredit)
		}
		d.workers.addToPools(w)
	}
	d.workers.capacityChanged()
	d.releasePending(now)
	return true
}

// RestoreCordon restores the cordon of a worker from an earlier run. The worker need not
// be in the worker list yet.
func (d *Dispatcher) RestoreCordon(name string) {
	d.workers.cordons[name] = true
	if w := d.workers.byName[name]; w != nil && !w.cordoned {
		d.workers.removeFromPools(w)
		w.cordoned = true
		d.workers.addToPools(w)
	}
}
