package dispatcher

import "time"

// State of a worker.

// loadForSize returns the slots that are taken or waited for, for each unit of size.
func (w *worker) loadForSize() float64 {
	return (w.inFlight + float64(w.notStarted) - min(0, w.freeSlots)) / w.size
}

// endProbe releases the requests that wait for the worker's answer to a probe.
func (w *worker) endProbe() {
	for _, r := range w.probeWaiters {
		r.probesPending--
	}
	w.probeWaiters = w.probeWaiters[:0]
}

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
