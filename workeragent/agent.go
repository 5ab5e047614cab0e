package workeragent

import (
	"strconv"
	"time"

	"sedgevale/jobs"
)

// Timing holds the durations of the two leases.
type Timing struct {
	// WorkerLease is the lease that each answer grants to the worker. The worker ends its runs when the lease expires.
	WorkerLease time.Duration
	// AgentLease is the lease that an owner's response grants to the agent. The agent renews the worker's lease only while it
	// holds this one.
	AgentLease time.Duration
}

const (
	// maxClockDrift is the highest assumed ratio of a duration on the agent's clock to the same duration on a worker's clock.
	maxClockDrift = 1.0205
	// pollSlack bounds the delay between an expiry and the periodic check that detects it.
	pollSlack = 100 * time.Millisecond

	droppedTTL  = 5 * time.Second // duration for which a dropped order is reported to the owner
	rejectedTTL = time.Minute     // duration for which further orders to start a dropped run are rejected
)

// RunsExpireAfter returns how long an owner must wait after its last grant of an agent lease until the worker's lease has
// expired too, so that none of the worker's runs can be active.
func (t Timing) RunsExpireAfter() time.Duration {
	return t.AgentLease + withClockDrift(t.WorkerLease) + 2*pollSlack
}

// withClockDrift returns the longest duration on the agent's clock that a duration on the worker's clock may take.
func withClockDrift(d time.Duration) time.Duration { return time.Duration(float64(d) * maxClockDrift) }

// pendingStart is an order to start a run that no heartbeat has confirmed yet.
type pendingStart struct {
	start    jobs.Start
	inFlight bool // whether an answer contains it that may have reached the worker

	// sentAfter is the number of the heartbeat whose answer contained the order last. Until an answer contains it, it is the
	// Agent's incarnationStart, since an earlier process may have sent the order. If the ends before a later heartbeat are known
	// and the run is neither active nor ended, the order has not reached the worker.
	sentAfter int64
}

// Agent holds the state of the agent for one incarnation of a worker. It is not safe for concurrent use. Times are durations
// on a monotonic clock of the caller.
type Agent struct {
	Instance string // instance ID of the worker in its heartbeats and in the owner's orders
	timing   Timing
	process  string // distinguishes this agent from the earlier ones of the worker

	heartbeat     Heartbeat     // the heartbeat with the highest sequence number
	heartbeats    int64         // number of heartbeats received
	heartbeatAt   time.Duration // time at which heartbeat was received; before the first heartbeat, the time of New
	runsExpireAt  time.Duration // time by which all runs have ended unless the worker's lease is renewed; never decreases
	expiries      int64         // number of times that the worker's lease has expired; part of the incarnation
	expired       bool          // whether the worker's lease has expired since the last heartbeat
	deregistered  bool          // whether the worker has deregistered
	missedAnswers int64         // number of starts in flight that the worker has not acted on, plus expiries

	// incarnationStart is the number of heartbeats received when the current incarnation began. Runs of earlier incarnations may
	// have been started before the heartbeat that follows.
	incarnationStart int64

	token        int64         // highest fencing token seen; never decreases
	leaseUntil   time.Duration // expiry of the agent's lease; until then the agent may renew the worker's lease
	acknowledged int64         // the owner has stored all finished runs up to this number; never decreases

	// A run is in at most one of starts, active and ends.unlisted.
	starts   map[jobs.RunRef]*pendingStart
	demands  map[jobs.RunRef]jobs.Resources // demands of the runs in active and starts, as far as the owner has sent them
	stops    map[jobs.RunRef]bool           // runs to stop, until a heartbeat confirms that they have ended
	dropped  map[jobs.RunRef]time.Duration  // runs that were not started, to report to the owner, with the time of the drop
	rejected map[jobs.RunRef]time.Duration  // runs that must not be started any more, with the time of the drop
	active   map[jobs.RunRef]bool           // active runs in the last heartbeat
	finished map[jobs.RunRef]bool           // finished runs in the last heartbeat
	ends     endLog
	drops    []Drop // drops since the last call of TakeDrops
}

// New returns the agent for an incarnation of a worker. Process identifies this agent of the worker. An earlier one may have
// granted the worker a lease just before, so the worker's runs may be active for the duration of one more lease.
func New(now time.Duration, instance, process string, timing Timing) *Agent {
	return &Agent{
		Instance: instance, timing: timing, process: process, heartbeatAt: now,
		runsExpireAt: now + withClockDrift(timing.WorkerLease) + pollSlack,
		starts:       map[jobs.RunRef]*pendingStart{}, demands: map[jobs.RunRef]jobs.Resources{}, stops: map[jobs.RunRef]bool{},
		dropped: map[jobs.RunRef]time.Duration{}, rejected: map[jobs.RunRef]time.Duration{},
		active: map[jobs.RunRef]bool{}, finished: map[jobs.RunRef]bool{}, ends: newEndLog(),
	}
}

// HandleHeartbeat handles a heartbeat. It reports false, and changes nothing, if the sequence number is not higher than that of
// the last heartbeat.
func (a *Agent) HandleHeartbeat(now time.Duration, heartbeat Heartbeat) bool {
	if a.heartbeats > 0 && heartbeat.Sequence <= a.heartbeat.Sequence {
		return false
	}
	a.heartbeat = heartbeat
	a.heartbeatAt = now
	a.heartbeats++
	a.expired = false
	a.applyLists()
	a.reconcile(now)
	return true
}

// reconcile compares the pending orders with the last heartbeat. A heartbeat reflects the answer before it, so a start in
// flight that has neither become active nor ended by then has not reached the worker and is sent again.
func (a *Agent) reconcile(now time.Duration) {
	for _, pending := range a.starts {
		if pending.inFlight && a.ends.knownBefore > pending.sentAfter {
			pending.inFlight = false
			a.missedAnswers++
		}
	}
	for ref := range a.demands {
		if !a.active[ref] && a.starts[ref] == nil {
			delete(a.demands, ref)
		}
	}
	for ref := range a.stops {
		if a.neverStarted(ref) {
			a.dropOrder(now, ref, DropStopped)
		}
	}
	a.dropUnacceptedStarts(now)
}

// dropUnacceptedStarts drops the pending starts that have not reached the worker if it accepts no more runs.
func (a *Agent) dropUnacceptedStarts(now time.Duration) {
	if a.acceptsRuns() {
		return
	}
	for ref := range a.starts {
		if a.neverStarted(ref) {
			a.dropOrder(now, ref, a.notAcceptingReason())
		}
	}
}

// acceptsRuns reports whether the worker is ready for new runs.
func (a *Agent) acceptsRuns() bool { return a.heartbeat.State == string(jobs.Ready) && !a.deregistered }

// HandleDeregister handles the worker's deregistration. Active runs may still finish and be reported.
func (a *Agent) HandleDeregister(now time.Duration) {
	a.deregistered = true
	a.dropUnacceptedStarts(now)
}

// CheckExpiry checks whether the worker's lease has expired, and reports true once for each expiry. It also forgets dropped
// runs after droppedTTL and rejected runs after rejectedTTL.
func (a *Agent) CheckExpiry(now time.Duration) bool {
	for ref, droppedAt := range a.dropped {
		if now-droppedAt > droppedTTL {
			delete(a.dropped, ref)
		}
	}
	for ref, rejectedAt := range a.rejected {
		if now-rejectedAt > rejectedTTL {
			delete(a.rejected, ref)
		}
	}
	if a.expired || now < a.runsExpireAt {
		return false
	}
	a.expired = true
	a.expiries++
	a.missedAnswers++
	clear(a.starts)
	clear(a.demands)
	clear(a.stops)
	clear(a.active)
	clear(a.ends.unlisted)
	a.incarnationStart = a.heartbeats
	return true
}

// Incarnation returns the ID of the incarnation: the agent and the number of expiries of the worker's lease during it. Orders for
// an earlier incarnation are rejected.
func (a *Agent) Incarnation() string { return a.process + "/" + strconv.FormatInt(a.expiries, 10) }

// LeaseExpired reports whether the worker's lease has expired, so that no run of this incarnation can be active.
func (a *Agent) LeaseExpired() bool { return a.expired }

// Idle reports whether the worker accepts runs but has no active, finished or pending ones. The answer to an idle worker may be
// delayed until there is an order.
func (a *Agent) Idle() bool {
	return a.acceptsRuns() && len(a.active) == 0 && len(a.heartbeat.Finished) == 0 && len(a.starts) == 0
}

// Draining reports whether the worker drains or has deregistered.
func (a *Agent) Draining() bool { return a.deregistered || a.heartbeat.State != string(jobs.Ready) }

// IsNewest reports whether the heartbeat with a sequence number is the last one received.
func (a *Agent) IsNewest(sequence int64) bool { return a.heartbeat.Sequence == sequence }

// Heartbeats returns the number of heartbeats received.
func (a *Agent) Heartbeats() int64 { return a.heartbeats }
