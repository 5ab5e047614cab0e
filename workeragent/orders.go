package workeragent

import (
	"time"

	"sedgevale/internal/system/result"
	"sedgevale/jobs"
)

// HandleOrders handles the orders of an owner with a fencing token. The error has the code result.Fenced if a higher token is
// known, and result.WrongInstance if the orders are for another incarnation of the worker.
func (a *Agent) HandleOrders(now time.Duration, token int64, orders *jobs.Orders) error {
	if token < a.token {
		return a.fencedError(token)
	}
	a.token = token
	if orders.Instance != a.Instance || orders.AgentIncarnation != a.Incarnation() {
		return result.Errorf(result.WrongInstance, "this is %s %s, orders are for %s %s", a.Instance, a.Incarnation(),
			orders.Instance, orders.AgentIncarnation)
	}
	a.acknowledged = max(a.acknowledged, orders.DurableCompletions)
	for _, known := range orders.KnownDemands {
		a.demands[known.Ref()] = known.Demand
	}
	for _, ref := range orders.Stops {
		a.addStop(now, ref)
	}
	for _, start := range orders.Starts {
		a.addStart(now, start)
	}
	return nil
}

// HandleLease handles an owner's response to the report that was sent at sentAt: it renews the agent's lease and acknowledges
// the finished runs up to a number. The error has the code result.Fenced if a higher token is known.
func (a *Agent) HandleLease(sentAt time.Duration, token, acknowledged int64) error {
	if token < a.token {
		return a.fencedError(token)
	}
	a.token = token
	a.acknowledged = max(a.acknowledged, acknowledged)
	a.leaseUntil = max(a.leaseUntil, sentAt+a.timing.AgentLease)
	return nil
}

func (a *Agent) fencedError(token int64) error {
	return result.Errorf(result.Fenced, "fencing token %d is known, %d was sent", a.token, token)
}

func (a *Agent) addStart(now time.Duration, start jobs.Start) {
	ref := start.Ref()
	if _, rejected := a.rejected[ref]; rejected {
		a.drops = append(a.drops, Drop{Run: ref, Reason: DropRepeated, ListedEnds: len(a.heartbeat.Finished)})
		a.dropped[ref] = now
		return
	}
	if a.finished[ref] || a.isUnlisted(ref) {
		return
	}
	a.demands[ref] = start.Demand
	if a.active[ref] || a.starts[ref] != nil {
		return
	}
	a.starts[ref] = &pendingStart{start: start, sentAfter: a.incarnationStart}
	if !a.acceptsRuns() && a.neverStarted(ref) {
		a.dropOrder(now, ref, a.notAcceptingReason())
	}
}

// addStop handles the order to stop a run. If it is certain that the run has not started, the run is dropped at once.
func (a *Agent) addStop(now time.Duration, ref jobs.RunRef) {
	if a.finished[ref] || a.isUnlisted(ref) {
		return
	}
	a.stops[ref] = true
	if a.neverStarted(ref) {
		a.dropOrder(now, ref, DropStopped)
	}
}
