package dispatcher

import "time"

// This file holds the state of a worker.

// loadPerSize returns the slots in flight or waited for at the worker, per unit of size.
func (w *worker) loadPerSize() float64 {
	return (w.inFlight + float64(w.notStarted) - min(0, w.freeSlots)) / w.size
}

// endProbe ends the wait of requests for the worker's probe result.
func (w *worker) endProbe() {
	for _, r := range w.probeWaiters {
		r.probesPending--
	}
	w.probeWaiters = w.probeWaiters[:0]
}

// worker is the state of a worker as known to this dispatcher.
type worker struct {
	WorkerInfo
	index             int     // index into workerSet.all and tenant.sendShares
	size              float64 // size by the listed weight; see sizeOf
	poolPositions     []int   // by pool: position in the list of its zone, -1 if not in the pool
	inFlight          float64 // slots in flight, including siblingLoad and peerLoad
	notStarted        int     // attempts without a start notice, including siblingLoad and peerLoad
	limit             float64 // learned limit on slots in flight; unlimited at first
	lastDecreaseRound int64   // number of the round in which the limit was last decreased
	siblingLoad       Load    // load of this dispatcher's siblings
	siblingLoadKnown  bool    // siblingLoad has been set before
	peerLoad          Load    // load of other schedulers of the site
	loadChanged       bool    // the worker is in loadChanges
	inSubset          bool    // in the subset that this dispatcher prefers
	workSent          float64 // total work sent, in slot seconds
	cordoned          bool    // cordoned by an operator
	cordonedAt        time.Duration
	cleanRound        bool          // served a request in this round
	idleClosedAt      time.Duration // last close of its idle connections while it drains; 0 if no other close is due
	probeWaiters      []*request    // requests that wait for its probe result
	lastReport        LoadReport    // last probe result
	freeSlots         float64       // free slots by the last report, live weight or rejection, less those sent since
	freeSlotsAt       time.Duration // time at which freeSlots was set; 0 if it is unknown
	unhealthyUntil    time.Duration // time until which nothing is sent to it; 0 if healthy
	unhealthyBackoff  time.Duration
	lastSeen          time.Duration // last time at which it was known to be alive
	lastTrial         time.Duration // last send to it while unhealthy
	connFailures      int           // consecutive connections that broke or failed
	ejectedUntil      time.Duration // time until which nothing is sent to it because it rejected or failed requests
	ejectionBackoff   time.Duration
	errorRate         float64       // EWMA share of responses that are errors
	runtimeRatio      float64       // EWMA of its running times over the class's mean; above 1 it is slower than the mean
	attempts          []attemptRef  // attempts that have not ended
	warmAt            time.Duration // end of its slow start
	presumedRestartAt time.Duration // time at which a restart was presumed; 0 if none is
	slowStartCredit   float64       // slot seconds that may be sent to it now while it warms up
	slowStartCreditAt time.Duration
}

// attemptRef identifies an attempt in flight.
type attemptRef struct {
	request *request
	number  int
}

// inPool reports whether the worker is in the pool with that index. A removed worker has
// no positions for pools that were created after its removal.
func (w *worker) inPool(index int) bool {
	return index < len(w.poolPositions) && w.poolPositions[index] >= 0
}

// markAlive records that the worker is alive and ends its unhealthy state.
func (w *worker) markAlive(now time.Duration) {
	w.lastSeen, w.connFailures, w.unhealthyUntil, w.unhealthyBackoff = now, 0, 0, 0
}

// resetHealth clears the worker's failures, limit, last report and runtime ratio.
func (w *worker) resetHealth() {
	w.limit, w.freeSlotsAt = unlimited, 0
	w.runtimeRatio, w.errorRate = 1, 0
	w.unhealthyUntil, w.unhealthyBackoff, w.lastTrial = 0, 0, 0
	w.ejectedUntil, w.ejectionBackoff = 0, 0
	w.connFailures = 0
}
