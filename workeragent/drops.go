package workeragent

import (
	"time"

	"sedgevale/jobs"
)

// DropReason says why an order was dropped. The values are labels of a metric.
type DropReason string

// The reasons for which orders are dropped.
const (
	DropStopped      DropReason = "stopped"      // the owner ordered to stop a run that never started
	DropNotReady     DropReason = "not_ready"    // the worker drains
	DropDeregistered DropReason = "deregistered" // the worker has deregistered
	DropRepeated     DropReason = "repeated"     // the owner ordered to start a run that was dropped before
)

// Drop is a run that the agent has reported to the owner as one that never started.
type Drop struct {
	Run          jobs.RunRef
	Reason       DropReason
	ListedEnds   int  // finished runs in the last heartbeat, which lists at most maxFinishedRuns
	SentToWorker bool // whether an answer contained the order; it did not reach the worker
}

// TakeDrops returns the drops since the last call.
func (a *Agent) TakeDrops() []Drop {
	drops := a.drops
	a.drops = nil
	return drops
}

// dropOrder removes the pending orders for a run that has not started, reports it to the owner as dropped, and rejects
// later orders to start it.
func (a *Agent) dropOrder(now time.Duration, ref jobs.RunRef, reason DropReason) {
	a.drops = append(a.drops, Drop{
		Run: ref, Reason: reason, ListedEnds: len(a.heartbeat.Finished),
		SentToWorker: a.starts[ref] != nil && a.starts[ref].sentAfter > a.incarnationStart,
	})
	delete(a.starts, ref)
	delete(a.stops, ref)
	a.dropped[ref] = now
	a.rejected[ref] = now
}

// notAcceptingReason returns why the worker accepts no runs.
func (a *Agent) notAcceptingReason() DropReason {
	if a.deregistered {
		return DropDeregistered
	}
	return DropNotReady
}
