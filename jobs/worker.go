package jobs

import (
	"math"
	"slices"
	"time"
)

// WorkerState is the state of a worker: as its agent reports it, or as the owner concludes.
type WorkerState string

// The states of a worker. Only a ready one gets starts.
const (
	Ready        WorkerState = "ready"
	Draining     WorkerState = "draining" // it leaves at its DrainDeadline
	Departed     WorkerState = "gone"     // it has announced its end
	Unresponsive WorkerState = "silent"   // no heartbeat reached the agent for heartbeatTimeoutMS
	LeaseExpired WorkerState = "lapsed"   // its lease has certainly expired: no run of this shard is active there
	Unconfirmed  WorkerState = "unheard"  // known from restored records, not reported yet
)

// Worker is one incarnation of a worker with the runs that are assigned to it.
type Worker struct {
	Ref              string // WorkerRef
	Instance         string // the worker's incarnation
	AgentAddress     string // address of its agent
	AgentIncarnation string // of the agent's process
	Capacity         Resources
	Labels           []string // the last one is the rack
	State            WorkerState
	DrainDeadline    time.Duration // with Draining: when it leaves

	Runs            map[RunRef]*Run
	used            Resources // sum of the demands of Runs
	allocated       float64   // sum of the shares of Runs; above the load where these want different resources
	loadLimit       float64   // learned limit on the load, in (0, 1]
	failureRate     float64   // EWMA of failures among finished runs
	slowdown        float64   // EWMA of run time over expected run time
	countsForQueues bool      // its runs count as allocated for their queues
	agentTimedOut   bool      // no report for agentTimeout, as of the last tick
	limitDecreased  bool      // loadLimit was decreased since the last tick

	lastReport         time.Duration
	leaseExpiry        time.Duration // when the leases of all runs have certainly expired, without another report
	appliedCompletions int64         // finished runs up to this number were applied
	durableCompletions int64         // finished runs up to this number are committed
	ordersDue          bool          // its agent is to be sent Orders
	demandsUnknown     bool          // its agent does not know the demands of all active runs
}

// newWorker returns a worker without runs, with its full capacity as the limit. Its capacity and state come with a report.
func newWorker(now time.Duration, ref, instance, agent string) *Worker {
	return &Worker{
		Ref: ref, Instance: instance, AgentAddress: agent, loadLimit: 1, slowdown: 1, Runs: map[RunRef]*Run{}, lastReport: now,
	}
}

// WorkerRef returns the name of a worker's incarnation with the address of its agent.
func WorkerRef(instance, agent string) string { return instance + "@" + agent }

// freeCapacity returns the capacity that no run takes. It is negative in a resource after a worker has shrunk.
func (w *Worker) freeCapacity() Resources { return w.Capacity.minus(w.used) }

// add adds a run, whose share must be set.
func (w *Worker) add(r *Run) {
	w.Runs[r.Key] = r
	w.used = w.used.plus(r.demand)
	w.allocated += r.share
	w.countForQueue(r, r.share)
}

// remove removes a run.
func (w *Worker) remove(r *Run) {
	delete(w.Runs, r.Key)
	w.used = w.used.minus(r.demand)
	w.allocated -= r.share
	if len(w.Runs) == 0 {
		w.allocated = 0 // no rounding error may remain
	}
	w.countForQueue(r, -r.share)
}

// shareOf returns the dominant share that a demand takes of the worker, 1 at most.
func (w *Worker) shareOf(demand Resources) float64 { return min(1, w.Capacity.dominantShare(demand)) }

// updateShare computes a run's share anew after the worker's capacity has changed.
func (w *Worker) updateShare(r *Run) {
	share := w.shareOf(r.demand)
	w.allocated += share - r.share
	w.countForQueue(r, share-r.share)
	r.share = share
}

// setState changes the state, and with it whether the worker's runs count for their queues.
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

// countForQueue adds a share to what the run's queue has allocated. Runs on workers that get no starts do not count: their
// capacity could not be used otherwise.
func (w *Worker) countForQueue(r *Run, share float64) {
	if r.queue == nil || !w.countsForQueues {
		return
	}
	r.queue.allocated += share
	if math.Abs(r.queue.allocated) < roundingError {
		r.queue.allocated = 0 // a rounding error must not count as a run
	}
}

// roundingError is above the error of sums of shares.
const roundingError = 1e-9

// fits reports whether a demand fits by free capacity and by the learned limit. The limit does not hold for an idle worker,
// which must be able to run any feasible task.
func (w *Worker) fits(demand Resources) bool {
	if w.State != Ready || !w.freeCapacity().Holds(demand) {
		return false
	}
	return len(w.Runs) == 0 || w.Capacity.dominantShare(w.used.plus(demand)) <= w.loadLimit+roundingError
}

// hasLabels reports whether the worker has all of some labels.
func (w *Worker) hasLabels(labels Labels) bool {
	for _, label := range labels {
		if !slices.Contains(w.Labels, label) {
			return false
		}
	}
	return true
}

// rack returns the label of the worker's rack, the last of its labels, or "".
func (w *Worker) rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}
