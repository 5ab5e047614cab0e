package sedgevale

// State of a worker, and the operator's cordon.

import (
	"slices"
	"time"
)

// worker is what this dispatcher knows of a worker.
type worker struct {
	WorkerInfo
	index     int // in tenant.alpha and Dispatcher.workers
	size      float64
	places    []int // by pool: where in its zone's list, -1 if not in it
	held      float64
	unstarted int
	sigma     float64
	cutIn     int64         // the round of the last cut
	beside    Load          // of other dispatchers of this scheduler, counted in held and unstarted
	besides   bool          // that has been told before
	others    Load          // of other schedulers, counted in held and unstarted
	marked    bool          // what we have out here has changed since Changed
	ours      bool          // of our part of the workers
	sent      float64       // work ever sent
	outAt     time.Duration // when it was taken out
	cordoned  bool          // taken out by an operator, whatever the list says
	outcomes  bool          // this round had clean outcomes
	closedAt  time.Duration // when its idle connections were last closed, while it leaves
	askers    []*request    // they wait for its answer to a probe
	told      Report        // the last answer to a probe
	free      float64       // free slots by the last report, less what we sent since
	freeAt    time.Duration
	suspect   time.Duration // not to be sent to before; 0: trusted
	backoff   time.Duration
	lastSign  time.Duration
	trial     time.Duration // when it was last tried while not trusted
	broken    int           // connections that broke or failed since the last sign
	rest      time.Duration // gives bad answers: not to be sent to before
	restFor   time.Duration
	bad       float64 // EWMA share of errors
	pace      float64 // EWMA of its running times over the class's mean
	out       []flight
	coldUntil time.Duration
	presumed  time.Duration // when it was taken for restarted; 0: not
	credit    float64       // work that a cold worker may be sent
	creditAt  time.Duration
}

// flight is an attempt that is out.
type flight struct {
	r *request
	n int
}

func (d *Dispatcher) newWorker(e *WorkerInfo) *worker {
	w := &worker{WorkerInfo: *e, places: slices.Repeat([]int{-1}, len(d.pools)), sigma: inf, pace: 1,
		index: len(d.workers), cutIn: -1, cordoned: d.cordons[e.Worker]}
	if i := slices.Index(d.workers, nil); i >= 0 {
		w.index = i
		d.workers[i] = w
	} else {
		d.workers = append(d.workers, w)
	}
	d.byName[e.Worker] = w
	return w
}

func (d *Dispatcher) drop(w *worker) {
	delete(d.byName, w.Worker)
	d.hold(w, -w.beside.Held)
	w.unstarted -= w.beside.Waiting
	d.occupy(w, -w.others.Held)
	w.unstarted -= w.others.Waiting
	w.beside, w.others = Load{}, Load{}
	d.answered(w)
	d.absolve(w)
	d.workers[w.index] = nil
	for _, t := range d.tenants {
		if w.index < len(t.alpha) && t.alpha[w.index].Used {
			t.alpha[w.index] = alpha{}
			t.used = slices.DeleteFunc(t.used, func(i int) bool { return i == w.index })
		}
	}
}

// sign notes that the worker is alive.
func (w *worker) sign(now time.Duration) { w.lastSign, w.broken, w.suspect, w.backoff = now, 0, 0, 0 }

// trustAgain forgets what was held against a worker.
func (d *Dispatcher) trustAgain(w *worker) {
	w.sigma, w.freeAt, w.pace, w.bad = inf, 0, 1, 0
	w.suspect, w.backoff, w.trial, w.rest, w.restFor, w.broken = 0, 0, 0, 0, 0, 0
}

// sizeOf is the worker's listed size where the list tells it. Live weights
// sink below the size, which is the most that was seen of the kind.
func (d *Dispatcher) sizeOf(e *WorkerInfo) float64 {
	if d.set.Weights == WeightNone || e.Weight <= 0 {
		return 1
	}
	if d.set.Weights == WeightLive {
		return d.kindSize[e.Kind]
	}
	return e.Weight
}

func (d *Dispatcher) growKinds(kind int) {
	for len(d.kindSize) <= kind {
		d.kindSize, d.kindRoom = append(d.kindSize, 0), append(d.kindRoom, 1)
	}
}

// Cordon takes a worker out, or puts it back. While it is out nothing is sent to it, whatever the list
// says of it meanwhile, also if it vanishes and returns. Put back it counts as cold: from now, or from
// the restart that the list has told of meanwhile. An unknown worker is reported as false, and nothing
// changes.
func (d *Dispatcher) Cordon(now time.Duration, name string, out bool) bool {
	w := d.byName[name]
	if w == nil && !d.cordons[name] {
		return false
	}
	if out == d.cordons[name] {
		return true
	}
	d.wake(now)
	if out {
		d.Keep(name)
		if w != nil {
			w.outAt = now
		}
		return true
	}
	delete(d.cordons, name)
	if w != nil {
		d.unplace(w)
		w.cordoned = false
		d.absolve(w)
		d.trustAgain(w)
		if d.set.WarmUp > 0 {
			from := now
			if w.StartedAt > w.outAt { // the list has told of its restart
				from = min(now, w.StartedAt)
			}
			d.coolDown(now, w, from)
		}
		d.place(w)
	}
	d.roomAgain()
	d.release(now)
	return true
}

// Keep takes a worker out, also one that no list has named yet: it was taken out in an earlier run.
func (d *Dispatcher) Keep(name string) {
	d.cordons[name] = true
	if w := d.byName[name]; w != nil && !w.cordoned {
		d.unplace(w)
		w.cordoned = true
		d.place(w)
	}
}
