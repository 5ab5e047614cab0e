package dispatcher

import (
	"math/rand/v2"
	"time"
)

// The kinds of timers. A token holds the kind in its lowest 4 bits, the number of the
// attempt in the next 5 bits, and the serial number of the request in the remaining bits.
const (
	tokenRound    = iota // the next round is due
	tokenWatch           // the watch on the worker list is to be retried
	tokenDeadline        // the client of the request stops waiting
	tokenSendBy          // the queued request can no longer be sent in time
	tokenStartDue        // the start notice of the attempt is due
	tokenProbe           // the results of the request's probes are overdue
	tokenCaughtUp        // all events that arrived during a stall have been read
)

// Dispatcher admits, queues and places requests. Use [New] to create one. It is not
// safe for concurrent use.
//
// Its state is divided into components, each with its own invariants. Components do not
// refer to each other: the methods of Dispatcher handle the events, make the decisions
// that concern several components, and call the Host.
//
// Work is in slot seconds, and times are in seconds unless they are a [time.Duration].
type Dispatcher struct {
	settings Settings
	host     Host
	rng      *rand.Rand

	rounds      roundClock
	requests    requestTable
	classes     classSet
	tenants     tenantSet
	workers     workerSet
	capacity    capacityEstimate
	limits      limitLearning
	estimates   workEstimates
	budget      retryBudget
	slowStart   slowStart
	connections connectionHealth
	meter       reportMeter
	watch       listWatch
	draining    drainingConnections
	loadChanges loadChanges
	placement   placementScratch
}

// startRounds starts the control rounds on the first event that needs them.
func (d *Dispatcher) startRounds(now time.Duration) {
	if d.rounds.start(now) {
		d.host.SetTimer(roundInterval, tokenRound)
	}
}

// setTimer sets a timer for attempt n of the request, or for the request itself with n 0.
func (d *Dispatcher) setTimer(after time.Duration, kind uint64, r *request, n int) {
	d.host.SetTimer(max(after, time.Millisecond), kind|uint64(n)<<4|r.serial<<9)
}

// detectStall detects by an overdue round that this process did not run for a while.
// After a stall nothing is sent until all events that arrived during it have been read,
// since they may include drains and outcomes, and no durations are learned, since those
// measured across a stall say nothing about workers.
func (d *Dispatcher) detectStall(now time.Duration) {
	if d.rounds.detectStall(now) {
		d.host.SetTimer(catchUpDelay, tokenCaughtUp)
	}
}

// initialCredit returns the credit with which a slow start begins: a random debt of up to
// one request, so that dispatchers do not all begin to send at once.
func (d *Dispatcher) initialCredit() float64 { return -d.rng.Float64() * d.estimates.expected() }
