package jobs

import (
	"math"
	"slices"
	"time"
)

// WorkerState is the state of a worker as its agent reports it or as the owner infers it. The values are sent by agents.
type WorkerState string

// The states of a worker. Only a ready worker receives starts.
const (
	Ready        WorkerState = "ready"
	Draining     WorkerState = "draining" // the worker departs at its DrainDeadline
	Departed     WorkerState = "gone"     // the worker has announced its shutdown
	Unresponsive WorkerState = "silent"   // the agent received no heartbeat for more than heartbeatTimeoutMS
	LeaseExpired WorkerState = "lapsed"   // the lease is certain to have expired, so no run of this shard is active
	Unconfirmed  WorkerState = "unheard"  // the worker is known from restored records and has not been reported yet
)

// Worker is one incarnation of a worker with its assigned runs.
type Worker struct {
	Ref              string // unique name, see WorkerRef
	Instance         string // identifies the incarnation of the worker
	AgentAddress     string // network address of the agent
	AgentIncarnation string // identifies the incarnation of the agent process
	Capacity         Resources
	Labels           []string // the last label is the rack
	State            WorkerState
	DrainDeadline    time.Duration // time at which the worker departs; set while draining

	Runs            map[RunRef]*Run
	used            Resources // sum of the demands of Runs
	allocated       float64   // sum of the shares of Runs; exceeds the load if the runs' dominant resources differ
	loadLimit       float64   // learned limit on the load, in (0, 1]
	failureRate     float64   // EWMA of the fraction of finished runs that failed, decayed per tick
	slowdown        float64   // EWMA of the ratio of run time to expected run time
	countsForQueues bool      // the runs count towards Queue.allocated
	agentTimedOut   bool      // no report arrived within agentTimeout before the last tick
	limitDecreased  bool      // loadLimit was decreased since the last tick

	lastReport         time.Duration
	leaseExpiry        time.Duration // time at which all run leases are certain to have expired unless a report arrives
	appliedCompletions int64         // number up to which finished runs have been applied
	durableCompletions int64         // number up to which finished runs are committed
	ordersDue          bool          // the agent may have to be sent Orders
	demandsUnknown     bool          // the agent lacks the demands of some active runs
}

// newWorker returns a worker without runs whose load limit is its full capacity. A report sets its capacity and state.
func newWorker(now time.Duration, ref, instance, agent string) *Worker {
	return &Worker{
		Ref: ref, Instance: instance, AgentAddress: agent, loadLimit: 1, slowdown: 1, Runs: map[RunRef]*Run{}, lastReport: now,
	}
}

// WorkerRef returns the unique name of a worker's incarnation at an agent.
func WorkerRef(instance, agent string) string { return instance + "@" + agent }

// freeCapacity returns the capacity that is not used by runs. It is negative in a resource if the worker's capacity was reduced
// below the usage.
func (w *Worker) freeCapacity() Resources { return w.Capacity.Minus(w.used) }

// add adds a run and its share to the worker and to the run's queue.
func (w *Worker) add(r *Run) {
	w.Runs[r.Key] = r
	w.used = w.used.Plus(r.demand)
	w.allocated += r.share
	w.countForQueue(r, r.share)
}

// remove removes a run and its share from the worker and from the run's queue.
func (w *Worker) remove(r *Run) {
	delete(w.Runs, r.Key)
	w.used = w.used.Minus(r.demand)
	w.allocated -= r.share
	if len(w.Runs) == 0 {
		w.allocated = 0 // discards accumulated rounding errors
	}
	w.countForQueue(r, -r.share)
}

// shareOf returns the dominant share of a demand on the worker, capped at 1.
func (w *Worker) shareOf(demand Resources) float64 { return min(1, w.Capacity.dominantShare(demand)) }

// updateShare recomputes a run's share after a change of the worker's capacity.
func (w *Worker) updateShare(r *Run) {
	share := w.shareOf(r.demand)
	w.allocated += share - r.share
	w.countForQueue(r, share-r.share)
	r.share = share
}

// setState changes the state and updates whether the worker's runs count towards their queues' allocation.
func (w *Worker) setState(state WorkerState) {
	w.State = state
	if counts := state == Ready || state == Unresponsive; counts != w.countsForQueues {
		for _, r := range w.Runs {
			w.countForQueue(r, -r.share)
		}
		w.countsForQueues = counts
		for _, r := range w.Runs {
			w.countForQueue(r, r.share)
		}
	}
}

// countForQueue adds a share to the allocation of the run's queue. Runs count only on ready and unresponsive workers. In the
// other states no other queue could use the capacity either.
func (w *Worker) countForQueue(r *Run, share float64) {
	if r.queue == nil || !w.countsForQueues {
		return
	}
	r.queue.allocated += share
	if math.Abs(r.queue.allocated) < roundingError {
		r.queue.allocated = 0 // a rounding error must not count as an allocation
	}
}

// roundingError is an upper bound on the rounding error of a sum of shares.
const roundingError = 1e-9

// fits reports whether a demand fits into the free capacity and the learned load limit of a ready worker. The limit does not
// apply to an idle worker, which must be able to run any feasible task.
func (w *Worker) fits(demand Resources) bool {
	if w.State != Ready || !w.freeCapacity().Holds(demand) {
		return false
	}
	return len(w.Runs) == 0 || w.Capacity.dominantShare(w.used.Plus(demand)) <= w.loadLimit+roundingError
}

// hasLabels reports whether the worker has all of the given labels.
func (w *Worker) hasLabels(labels Labels) bool {
	for _, label := range labels {
		if !slices.Contains(w.Labels, label) {
			return false
		}
	}
	return true
}

// rack returns the label of the worker's rack, which is its last label, or "" if it has no labels.
func (w *Worker) rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}
