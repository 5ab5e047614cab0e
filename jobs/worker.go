package jobs

import (
	"math"
	"slices"
	"time"

	"sedgevale/admission"
)

// Resources are what a task asks for or a worker has.
type Resources struct {
	CPU   int64 // thousandths of a core
	MemMB int64
	GPU   int64
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

// Holds reports whether a demand fits into r.
func (r Resources) Holds(demand Resources) bool {
	return demand.CPU <= r.CPU && demand.MemMB <= r.MemMB && demand.GPU <= r.GPU
}

// part returns the largest part of r that a demand takes of any resource.
func (r Resources) part(demand Resources) float64 {
	return max(ratio(demand.CPU, r.CPU), ratio(demand.MemMB, r.MemMB), ratio(demand.GPU, r.GPU))
}

func ratio(part, whole int64) float64 {
	if part == 0 {
		return 0
	}
	if whole == 0 {
		return math.Inf(1)
	}
	return float64(part) / float64(whole)
}

// demand returns what one task of a step asks for.
func (s *Stage) demand() Resources { return Resources{s.CPU, s.MemMB, s.GPU} }

// Run is a start of a task at a worker, from the decision until its end was heard of.
type Run struct {
	Key      RunRef
	at       place
	job      *Job // nil where the job is not known any more
	demand   Resources
	part     float64 // of the worker
	queue    *Queue
	durable  bool // the start is stored, so it may be sent
	reported bool // the side agent knows of it
	stopping bool
	lastSent time.Duration // when the start or the stop was sent last; 0 for never
	began    time.Duration // when it was first seen active; 0 before
	percent  int64
	moved    time.Duration // when percent rose last
	placed   time.Duration
	worker   string // its name
}

// WorkerState is whether a worker takes tasks.
type WorkerState string

// The states of a worker, as its side agent tells them.
const (
	Ready    WorkerState = "ready"
	Draining WorkerState = "draining"
	Gone     WorkerState = "gone"    // it has said good-bye
	Silent   WorkerState = "silent"  // no heartbeat for some time
	Lapsed   WorkerState = "lapsed"  // its hold has surely run out: nothing of ours runs there
	Unheard  WorkerState = "unheard" // known from records alone
)

// Worker is one incarnation of a worker.
type Worker struct {
	Ref      string // instance@side
	Instance string
	Side     string
	Life     string // of the side agent's process
	Capacity Resources
	Labels   []string
	State    WorkerState
	Leaves   time.Duration // with Draining: when it may be gone

	Runs    map[RunRef]*Run
	used    Resources
	held    float64 // the sum of its runs' parts; more than its load where they want different resources
	sigma   float64 // the learned limit on its load
	failing float64 // weighted share of runs that failed lately
	pace    float64 // weighted run time over what was expected
	counts  bool    // its runs count for their queues
	unheard bool    // its side agent was not heard for some time
	cut     bool    // an outcome lowered sigma in this round

	heard   time.Duration // when its side agent was last heard
	expiry  time.Duration // when all its runs have surely lapsed, if nothing more is heard
	seen    int64         // ends up to this number were applied
	noted   int64         // ends up to this number are durable
	dirty   bool          // its side agent should be told something
	unknown bool          // its side agent does not know what all active runs take
}

// RefOf returns the name of a worker's incarnation beside its side agent.
func RefOf(instance, side string) string { return instance + "@" + side }

func (w *Worker) free() Resources { return w.Capacity.minus(w.used) }

func (w *Worker) add(r *Run) {
	w.Runs[r.Key] = r
	w.used = w.used.plus(r.demand)
	w.held += r.part
	w.count(r, r.part)
}

// count adds to what a queue holds of the workers that take tasks; runs on others take no room that
// anything could use.
func (w *Worker) count(r *Run, part float64) {
	if r.queue == nil || !w.counts {
		return
	}
	r.queue.held += part
	if math.Abs(r.queue.held) < roundingError {
		r.queue.held = 0 // nothing is held: a rest of rounding must not count as a run
	}
}

// setState notes whether the worker takes tasks, and with it whether its runs count for their queues.
func (w *Worker) setState(state WorkerState) {
	w.State = state
	if counts := state == Ready || state == Silent; counts != w.counts {
		for _, r := range w.Runs {
			w.count(r, -r.part)
		}
		w.counts = counts
		for _, r := range w.Runs {
			w.count(r, r.part)
		}
	}
}

// roundingError is more than what sums of parts of workers are off by.
const roundingError = 1e-9

func (w *Worker) remove(r *Run) {
	delete(w.Runs, r.Key)
	w.used = w.used.minus(r.demand)
	w.held -= r.part
	if len(w.Runs) == 0 {
		w.held = 0
	}
	w.count(r, -r.part)
}

// resize reckons anew what part of the worker a run takes.
func (w *Worker) resize(r *Run) {
	part := min(1, w.Capacity.part(r.demand))
	w.held += part - r.part
	w.count(r, part-r.part)
	r.part = part
}

func (w *Worker) carries(labels Labels) bool {
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

// tuning of the learned limits, in parts of a worker.
var tuning = admission.Tuning{CutFactor: 0.7, RiseStep: 0.1, Least: 0.1}

// hurt lowers the worker's limit, at most once a round.
func (w *Worker) hurt() {
	if w.cut {
		return
	}
	w.cut = true
	w.sigma = tuning.Cut(w.sigma, max(w.load(), tuning.Least))
}

// leastRise is what a clean round adds at least. A limit that was cut below what runs would have no gap to rise by, and
// tasks that last could keep it there for ever.
const leastRise = 0.03

// endRound raises the limit after a clean round, never above the announced capacity.
func (w *Worker) endRound() {
	if !w.cut {
		raised := tuning.Raise(w.sigma, w.sigma-w.load())
		w.sigma = min(1, max(raised, w.sigma+leastRise))
	}
	w.cut = false
}

// room reports whether a demand fits, by capacity and by the learned limit. An empty worker takes any
// task that its capacity holds.
func (w *Worker) room(demand Resources) bool {
	if w.State != Ready || !w.free().Holds(demand) {
		return false
	}
	return len(w.Runs) == 0 || w.Capacity.part(w.used.plus(demand)) <= w.sigma+1e-9
}

// load is how full the worker is, in the resource of which it has least left.
func (w *Worker) load() float64 { return w.Capacity.part(w.used) }

// limit is sigma in the measure of held: tasks that want different resources go together, so that their parts may
// sum up to more than 1.
func (w *Worker) limit() float64 {
	load := w.load()
	if load < leastLoad {
		return w.sigma
	}
	return w.sigma * max(1, w.held/load)
}

// leastLoad is the load from which on it tells how well tasks go together.
const leastLoad = 0.3

// Report is what a side agent tells of one incarnation of its worker.
type Report struct {
	Side        string // where the side agent hears the owner
	Life        string
	Service     string
	Instance    string
	State       string
	RemainingMS int64
	Capacity    Resources
	Labels      []string
	Active      []ActiveRun
	Finished    []EndedRun
	Held        []RunRef // orders that were received and not yet seen at the worker
	Dropped     []RunRef // orders that never reached the worker and never will
	Missed      int64    // heartbeats that did not come and answers that were dropped, since its life began
	SinceBeatMS int64    // since the last heartbeat
	Unknown     int64    // active runs of which the side agent does not know what they take
	LapsesInMS  int64    // when all its runs have surely lapsed, where no more holds are granted; 0 where they are
}

// RunRef names one start of a task.
type RunRef struct {
	Task    string
	Attempt int64
}

// ActiveRun is a run that the worker lists as active.
type ActiveRun struct {
	Task    string
	Attempt int64
	Saved   string
	Percent int64
}

// EndedRun is a run that the worker lists as finished.
type EndedRun struct {
	Number  int64
	Task    string
	Attempt int64
	How     string
	Saved   string
}

// The ways in which a run ends.
const (
	endDone   = "done"
	endFailed = "failed"
)

// Orders are what a side agent is told about one incarnation.
type Orders struct {
	Instance string
	Life     string  // of the side agent, as the owner knows it; orders for an earlier one are turned down
	Known    []Start // what runs take that the side agent may not know
	Starts   []Start
	Stops    []RunRef
	Noted    int64
}

// Start orders a run.
type Start struct {
	Task    string
	Attempt int64
	Text    string
	Saved   string
	Demand  Resources
}
