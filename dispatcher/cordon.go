package dispatcher

import "time"

// The operator's cordon.

// Cordon cordons a worker, or uncordons it if cordon is false. Nothing is sent to a
// cordoned worker, whatever the list says of it meanwhile, also if it vanishes and
// returns. Once uncordoned it warms up: from now, or from the restart that the
// list has shown meanwhile. Cordon returns false for an unknown worker, and then
// changes nothing.
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
			if w.StartedAt > w.cordonedAt { // the list has shown its restart
				from = min(now, w.StartedAt)
			}
			d.slowStart.begin(now, w, from, d.firstCredit)
		}
		d.workers.addToPools(w)
	}
	d.workers.capacityChanged()
	d.releasePending(now)
	return true
}

// RestoreCordon cordons a worker as it was in an earlier run, also one that no list
// has named yet.
func (d *Dispatcher) RestoreCordon(name string) {
	d.workers.cordons[name] = true
	if w := d.workers.byName[name]; w != nil && !w.cordoned {
		d.workers.removeFromPools(w)
		w.cordoned = true
		d.workers.addToPools(w)
	}
}
