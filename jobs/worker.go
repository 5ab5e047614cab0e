package jobs

import (
	"math"
	"slices"
	"time"
)

// Run is a start of a task at a worker, from the decision until its end was heard of.
type Run struct {
	Key          RunRef
	position     taskPosition
	job          *Job // nil where the job is not known any more
	demand       Resources
	share        float64 // of the worker
	queue        *Queue
	durable      bool // the start is stored, so it may be sent
	reported     bool // the side agent knows of it
	stopping     bool
	lastSent     time.Duration // when the start or the stop was sent last; 0 for never
	runningSince time.Duration // when it was first seen active; 0 before
	percent      int64
	progressedAt time.Duration // when percent rose last
	assignedAt   time.Duration
	worker       string // its name
}

// WorkerState is whether a worker takes tasks.
type WorkerState string

// The states of a worker, as its side agent tells them.
const (
	Ready        WorkerState = "ready"
	Draining     WorkerState = "draining"
	Gone         WorkerState = "gone"    // it has said good-bye
	Unresponsive WorkerState = "silent"  // no heartbeat for some time
	Lapsed       WorkerState = "lapsed"  // its hold has surely run out: nothing of ours runs there
	Unconfirmed  WorkerState = "unheard" // known from records alone
)

// Worker is one incarnation of a worker.
type Worker struct {
	Ref              string // instance@side
	Instance         string
	Side             string
	AgentIncarnation string // of the side agent's process
	Capacity         Resources
	Labels           []string
	State            WorkerState
	DrainDeadline    time.Duration // with Draining: when it may be gone

	Runs            map[RunRef]*Run
	used            Resources
	allocated       float64 // the sum of its runs' parts; more than its load where they want different resources
	loadLimit       float64 // the learned limit on its load
	failureRate     float64 // weighted share of runs that failed lately
	slowdown        float64 // weighted run time over what was expected
	countsForQueues bool    // its runs count for their queues
	agentTimedOut   bool    // its side agent was not heard for some time
	limitCut        bool    // an outcome lowered sigma in this round

	lastReport         time.Duration // when its side agent was last heard
	leaseExpiry        time.Duration // when all its runs have surely lapsed, if nothing more is heard
	appliedCompletions int64         // ends up to this number were applied
	durableCompletions int64         // ends up to this number are durable
	ordersDue          bool          // its side agent should be told something
	demandsUnknown     bool          // its side agent does not know what all active runs take
}

// WorkerRef returns the name of a worker's incarnation beside its side agent.
func WorkerRef(instance, side string) string { return instance + "@" + side }

func (w *Worker) freeCapacity() Resources { return w.Capacity.minus(w.used) }

func (w *Worker) add(r *Run) {
	w.Runs[r.Key] = r
	w.used = w.used.plus(r.demand)
	w.allocated += r.share
	w.countForQueue(r, r.share)
}

func (w *Worker) remove(r *Run) {
	delete(w.Runs, r.Key)
	w.used = w.used.minus(r.demand)
	w.allocated -= r.share
	if len(w.Runs) == 0 {
		w.allocated = 0
	}
	w.countForQueue(r, -r.share)
}

// updateShare reckons anew what part of the worker a run takes.
func (w *Worker) updateShare(r *Run) {
	part := min(1, w.Capacity.dominantShare(r.demand))
	w.allocated += part - r.share
	w.countForQueue(r, part-r.share)
	r.share = part
}

// setState notes whether the worker takes tasks, and with it whether its runs count for their queues.
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

// countForQueue adds to what a queue holds of the workers that take tasks; runs on others take no room that
// anything could use.
func (w *Worker) countForQueue(r *Run, part float64) {
	if r.queue == nil || !w.countsForQueues {
		return
	}
	r.queue.allocated += part
	if math.Abs(r.queue.allocated) < roundingError {
		r.queue.allocated = 0 // nothing is held: a rest of rounding must not count as a run
	}
}

// roundingError is more than what sums of parts of workers are off by.
const roundingError = 1e-9

// fits reports whether a demand fits, by capacity and by the learned limit. An empty worker takes any
// task that its capacity holds.
func (w *Worker) fits(demand Resources) bool {
	if w.State != Ready || !w.freeCapacity().Holds(demand) {
		return false
	}
	return len(w.Runs) == 0 || w.Capacity.dominantShare(w.used.plus(demand)) <= w.loadLimit+1e-9
}

func (w *Worker) hasLabels(labels Labels) bool {
	for _, label := range labels {
		if !slices.Contains(w.Labels, label) {
			return false
		}
	}
	return true
}

// rack returns the label of the worker's rack: the last of its labels.
func (w *Worker) rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}
