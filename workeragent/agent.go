package workeragent

import (
	"strconv"
	"time"

	"sedgevale/jobs"
)

// Timing holds the durations of the two leases.
type Timing struct {
	WorkerLease time.Duration // the lease that each answer grants to the worker: its runs end when it expires
	AgentLease  time.Duration // the lease that an owner's answer grants to the agent: the agent renews the worker's only while it is valid
}

const (
	// maxClockDrift bounds how slow a worker's clock may run, as a factor of a duration on it.
	maxClockDrift = 1.0205
	// pollSlack covers the time between an instant and the check that notices it.
	pollSlack = 100 * time.Millisecond

	maxFinished = 500             // ends of runs that one heartbeat lists at most
	droppedTTL  = 5 * time.Second // how long a dropped order is reported
	rejectedTTL = time.Minute     // how long orders for a dropped run are rejected
)

// RunsExpireAfter returns the time after the owner's last grant of a lease to the agent by which the lease of the worker has
// expired, so that none of its runs can be active.
func (t Timing) RunsExpireAfter() time.Duration {
	return t.AgentLease + stretch(t.WorkerLease) + 2*pollSlack
}

// stretch returns how long a duration on the worker's clock may take on the agent's.
func stretch(d time.Duration) time.Duration { return time.Duration(float64(d) * maxClockDrift) }

// pendingStart is the order to start a run that no heartbeat has confirmed yet.
type pendingStart struct {
	start    jobs.Start
	inFlight bool // it is in the answer to the last heartbeat
}

// Agent decides for one incarnation of a worker. It is not safe for concurrent use. Times are durations on a monotonic
// clock of the caller.
type Agent struct {
	Instance string // the worker's instance, as its heartbeats and the owner name it
	timing   Timing
	process  string // the agent's process

	heartbeat     Heartbeat // the one with the highest sequence number
	heartbeats    int64     // how many have come
	heartbeatAt   time.Duration
	runsExpireAt  time.Duration // when all runs of the worker have ended unless its lease is renewed; never decreases
	expiries      int64         // how often that has happened; part of the incarnation
	expired       bool          // it has happened since the last heartbeat
	deregistered  bool          // the worker has deregistered
	missedAnswers int64         // answers that the worker has not acted on, and expiries

	token        int64         // the highest fencing token met; never decreases
	leaseUntil   time.Duration // until when the owner lets the agent renew the worker's lease
	acknowledged int64         // all ends of runs up to this number are stored by the owner; never decreases

	// A run is in at most one of starts and active after reconcile.
	starts   map[jobs.RunRef]*pendingStart
	demands  map[jobs.RunRef]jobs.Resources // of all runs that are active or in starts, as far as the owner has sent it
	stops    map[jobs.RunRef]bool           // runs to be stopped, until a heartbeat confirms it
	dropped  map[jobs.RunRef]time.Duration  // runs that did not begin, to be reported to the owner: since when
	rejected map[jobs.RunRef]time.Duration  // runs that must not begin any more: since when
	active   map[jobs.RunRef]bool           // as the last heartbeat lists them
	finished map[jobs.RunRef]bool           // as the last heartbeat lists them
}

// New returns the agent of an incarnation of a worker. Process identifies the agent's process. An earlier one may have
// granted the worker a lease just before, so its runs may be active for the length of one.
func New(now time.Duration, instance, process string, timing Timing) *Agent {
	return &Agent{
		Instance: instance, timing: timing, process: process, heartbeatAt: now,
		runsExpireAt: now + stretch(timing.WorkerLease) + pollSlack,
		starts:       map[jobs.RunRef]*pendingStart{}, demands: map[jobs.RunRef]jobs.Resources{}, stops: map[jobs.RunRef]bool{},
		dropped: map[jobs.RunRef]time.Duration{}, rejected: map[jobs.RunRef]time.Duration{},
		active: map[jobs.RunRef]bool{}, finished: map[jobs.RunRef]bool{},
	}
}

// OnHeartbeat handles a heartbeat. It reports false, and changes nothing, if a later one has come before.
func (a *Agent) OnHeartbeat(now time.Duration, heartbeat Heartbeat) bool {
	if a.heartbeats > 0 && heartbeat.Sequence <= a.heartbeat.Sequence {
		return false
	}
	a.heartbeat = heartbeat
	a.heartbeatAt = now
	a.heartbeats++
	a.expired = false
	clear(a.active)
	clear(a.finished)
	for _, run := range heartbeat.Active {
		a.active[jobs.RunRef{Task: run.Task, Attempt: run.Attempt}] = true
	}
	for _, run := range heartbeat.Finished {
		ref := jobs.RunRef{Task: run.Task, Attempt: run.Attempt}
		a.finished[ref] = true
		delete(a.stops, ref)
	}
	a.reconcile(now)
	return true
}

// reconcile compares the orders with the heartbeat that follows the answer in which they were: an order of which the
// heartbeat shows nothing has not reached the worker.
func (a *Agent) reconcile(now time.Duration) {
	for ref, o := range a.starts {
		switch {
		case a.active[ref] || a.finished[ref]:
			delete(a.starts, ref)
		case o.inFlight:
			o.inFlight = false
			a.missedAnswers++
		}
	}
	for ref := range a.demands {
		if !a.active[ref] && a.starts[ref] == nil {
			delete(a.demands, ref)
		}
	}
	if len(a.heartbeat.Finished) >= maxFinished { // the list may be truncated, so a run that it lacks may have ended
		return
	}
	for ref := range a.stops {
		if !a.active[ref] && !a.finished[ref] {
			a.dropOrder(now, ref)
		}
	}
	if !a.acceptsRuns() {
		for ref := range a.starts {
			a.dropOrder(now, ref)
		}
	}
}

// acceptsRuns reports whether the worker takes new runs.
func (a *Agent) acceptsRuns() bool { return a.heartbeat.State == string(jobs.Ready) && !a.deregistered }

// OnDeregister handles the worker's deregistration. Runs that are active may still end, and be reported.
func (a *Agent) OnDeregister(now time.Duration) {
	a.deregistered = true
	for ref, o := range a.starts {
		if !o.inFlight {
			a.dropOrder(now, ref)
		}
	}
}

// CheckExpiry checks whether the worker's lease has expired. It reports true once for each expiry.
func (a *Agent) CheckExpiry(now time.Duration) bool {
	for ref, at := range a.dropped {
		if now-at > droppedTTL {
			delete(a.dropped, ref)
		}
	}
	for ref, at := range a.rejected {
		if now-at > rejectedTTL {
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
	return true
}

// Incarnation returns the incarnation: the agent's process and how often the worker's lease has expired in it. Orders for an
// earlier incarnation are void.
func (a *Agent) Incarnation() string { return a.process + "/" + strconv.FormatInt(a.expiries, 10) }

// RunsExpired reports whether the worker's lease has expired, so that no run of this incarnation can be active.
func (a *Agent) RunsExpired() bool { return a.expired }

// Idle reports whether the worker accepts runs and has none, active or ordered: its next heartbeat may wait for an order.
func (a *Agent) Idle() bool {
	return a.acceptsRuns() && len(a.active) == 0 && len(a.heartbeat.Finished) == 0 && len(a.starts) == 0
}

// Draining reports whether the worker has announced that it will leave.
func (a *Agent) Draining() bool { return a.deregistered || a.heartbeat.State != string(jobs.Ready) }

// IsNewest reports whether no heartbeat has come after the one with a sequence number.
func (a *Agent) IsNewest(sequence int64) bool { return a.heartbeat.Sequence == sequence }

// Heartbeats returns how many heartbeats have come.
func (a *Agent) Heartbeats() int64 { return a.heartbeats }
