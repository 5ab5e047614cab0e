package dispatcher

import (
	"math/rand/v2"
	"time"
)

// The kinds of timers, in the lowest 4 bits of a token. The next 5 bits are the
// attempt's number, the rest is the request's serial number.
const (
	tokenRound    = iota // the next round
	tokenWatch           // retry the watch on the list of workers
	tokenDeadline        // the request's client stops waiting
	tokenSendBy          // the request must have been sent
	tokenStartDue        // the attempt should have started
	tokenProbe           // answers to the request's probes are overdue
	tokenCaughtUp        // all that came during a stall has been read
)

// Dispatcher makes the decisions of one dispatcher. Use [New] to make one. It
// is not safe for concurrent use.
//
// Its state is in components, each with its own invariants; a component knows no
// other one, and the Dispatcher passes it what it needs. The Dispatcher's own
// methods compose them: they handle events, take decisions that concern several,
// and call the Host.
//
// Work is counted in slot seconds, times in seconds of the host's clock unless
// they are a [time.Duration].
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

// startRounds starts the rounds with the first event that needs them.
func (d *Dispatcher) startRounds(now time.Duration) {
	if d.rounds.start(now) {
		d.host.SetTimer(roundInterval, tokenRound)
	}
}

// setTimer sets a timer of the request's attempt n, or of the request with n 0.
func (d *Dispatcher) setTimer(after time.Duration, kind uint64, r *request, n int) {
	d.host.SetTimer(max(after, time.Millisecond), kind|uint64(n)<<4|r.serial<<9)
}

// detectStall notices, by an overdue round, that this dispatcher did not
// run for a while. Nothing is sent until all events that came meanwhile have been
// read: a drain or an outcome may be among them, and durations measured across the
// stall say nothing about workers.
func (d *Dispatcher) detectStall(now time.Duration) {
	if d.rounds.detectStall(now) {
		d.host.SetTimer(catchUpDelay, tokenCaughtUp)
	}
}

// firstCredit returns the credit with which a slow start begins: minus a random part of a
// request, so that dispatchers do not all begin at once.
func (d *Dispatcher) firstCredit() float64 { return -d.rng.Float64() * d.estimates.expected() }
