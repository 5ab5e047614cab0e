package sedgevale

// State of a worker, and the operator's cordon.

import (
	"slices"
	"time"
)

// worker is what this dispatcher knows of a worker.
type worker struct {
	WorkerInfo
	index             int     // in Dispatcher.workers and tenant.sendShares
	size              float64 // by the listed weight; see sizeOf
	poolPositions     []int   // by pool: position in its zone's list, -1 if not in it
	inFlight          float64 // slots, with siblingLoad and peerLoad
	notStarted        int     // attempts without a start notice, with those of siblingLoad and peerLoad
	limit             float64 // learned bound on slots in flight; unlimited at first
	lastDecreaseRound int64   // of the limit
	siblingLoad       Load    // of other dispatchers of this scheduler
	siblingLoadKnown  bool    // siblingLoad has been set before
	peerLoad          Load    // of other schedulers of the site
	loadChanged       bool    // it stands in Dispatcher.loadChanged
	inSubset          bool    // of the workers that this dispatcher prefers
	workSent          float64 // ever, in slot seconds
	cordoned          bool    // by an operator, whatever the list says
	cordonedAt        time.Duration
	cleanRound        bool          // this round had clean outcomes
	idleClosedAt      time.Duration // of its idle connections while it drains; 0: not to be closed again
	probeWaiters      []*request    // that wait for its answer to a probe
	lastReport        LoadReport    // the last answer to a probe
	freeSlots         float64       // by the last report, less what was sent since
	freeSlotsAt       time.Duration // of the last report; 0: none yet
	unhealthyUntil    time.Duration // not to be sent to before; 0: healthy
	unhealthyBackoff  time.Duration
	lastSeen          time.Duration // its last sign of life
	lastTrial         time.Duration // when it was last sent to while unhealthy
	connFailures      int           // connections that broke or failed since the last sign of life
	ejectedUntil      time.Duration // not to be sent to before: it rejected or failed requests
	ejectionBackoff   time.Duration
	errorRate         float64       // EWMA share of errors
	runtimeRatio      float64       // EWMA of its running times over the class's mean; above 1: slower than the others
	attempts          []attemptRef  // that have not ended
	warmAt            time.Duration // when its slow start ends
	presumedRestartAt time.Duration // when it was presumed to have restarted; 0: it is not
	slowStartCredit   float64       // slot seconds that it may be sent now while it warms up
	slowStartCreditAt time.Duration
}

// attemptRef names an attempt in flight.
type attemptRef struct {
	request *request
	number  int
}

// addWorker adds a worker that the list names for the first time. The lowest free
// index is taken again.
func (d *Dispatcher) addWorker(e *WorkerInfo) *worker {
	w := &worker{WorkerInfo: *e, poolPositions: slices.Repeat([]int{-1}, len(d.pools)), limit: unlimited, runtimeRatio: 1,
		index: len(d.workers), lastDecreaseRound: -1, cordoned: d.cordons[e.Worker]}
	if i := slices.Index(d.workers, nil); i >= 0 {
		w.index = i
		d.workers[i] = w
	} else {
		d.workers = append(d.workers, w)
	}
	d.workersByName[e.Worker] = w
	return w
}

// removeWorker forgets a worker that has left the list, and the load of others there.
// Its attempts in flight keep it until they end.
func (d *Dispatcher) removeWorker(w *worker) {
	delete(d.workersByName, w.Worker)
	d.addInFlight(w, -w.siblingLoad.InFlight)
	w.notStarted -= w.siblingLoad.NotStarted
	d.addOccupied(w, -w.peerLoad.InFlight)
	w.notStarted -= w.peerLoad.NotStarted
	w.siblingLoad, w.peerLoad = Load{}, Load{}
	d.endProbe(w)
	d.clearPresumedRestart(w)
	d.workers[w.index] = nil
	for _, t := range d.tenants {
		if w.index < len(t.sendShares) && t.sendShares[w.index].Used {
			t.sendShares[w.index] = sendShare{}
			t.usedWorkers = slices.DeleteFunc(t.usedWorkers, func(i int) bool { return i == w.index })
		}
	}
}

// inPool reports whether the worker is in the pool of that index. A worker that has left the list knows none of the pools that
// were made since.
func (w *worker) inPool(index int) bool {
	return index < len(w.poolPositions) && w.poolPositions[index] >= 0
}

// markAlive notes that the worker is alive.
func (w *worker) markAlive(now time.Duration) {
	w.lastSeen, w.connFailures, w.unhealthyUntil, w.unhealthyBackoff = now, 0, 0, 0
}

// resetHealth forgets the worker's failures, its limit and its runtime ratio.
func (w *worker) resetHealth() {
	w.limit, w.freeSlotsAt = unlimited, 0
	w.runtimeRatio, w.errorRate = 1, 0
	w.unhealthyUntil, w.unhealthyBackoff, w.lastTrial = 0, 0, 0
	w.ejectedUntil, w.ejectionBackoff = 0, 0
	w.connFailures = 0
}

// sizeOf returns the worker's size: its listed weight, or 1 where weights mean
// nothing. Live weights sink below the size, so there it is the largest weight
// seen of the kind.
func (d *Dispatcher) sizeOf(e *WorkerInfo) float64 {
	if d.settings.Weights == WeightNone || e.Weight <= 0 {
		return 1
	}
	if d.settings.Weights == WeightLive {
		return d.maxWeightByKind[e.Kind]
	}
	return e.Weight
}

// growKindTables extends the tables that are indexed by kind up to this one.
func (d *Dispatcher) growKindTables(kind int) {
	for len(d.maxWeightByKind) <= kind {
		d.maxWeightByKind, d.maxFreeByKind = append(d.maxWeightByKind, 0), append(d.maxFreeByKind, 1)
	}
}

// Cordon cordons a worker, or uncordons it if cordon is false. Nothing is sent to a
// cordoned worker, whatever the list says of it meanwhile, also if it vanishes and
// returns. Once uncordoned it warms up: from now, or from the restart that the
// list has shown meanwhile. Cordon returns false for an unknown worker, and then
// changes nothing.
func (d *Dispatcher) Cordon(now time.Duration, name string, cordon bool) bool {
	w := d.workersByName[name]
	if w == nil && !d.cordons[name] {
		return false
	}
	if cordon == d.cordons[name] {
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
	delete(d.cordons, name)
	if w != nil {
		d.removeFromPools(w)
		w.cordoned = false
		d.clearPresumedRestart(w)
		w.resetHealth()
		if d.settings.SlowStartDuration > 0 {
			from := now
			if w.StartedAt > w.cordonedAt { // the list has shown its restart
				from = min(now, w.StartedAt)
			}
			d.beginSlowStart(now, w, from)
		}
		d.addToPools(w)
	}
	d.capacityChanged()
	d.releasePending(now)
	return true
}

// RestoreCordon cordons a worker as it was in an earlier run, also one that no list
// has named yet.
func (d *Dispatcher) RestoreCordon(name string) {
	d.cordons[name] = true
	if w := d.workersByName[name]; w != nil && !w.cordoned {
		d.removeFromPools(w)
		w.cordoned = true
		d.addToPools(w)
	}
}
