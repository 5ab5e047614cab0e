package fleetsim

import (
	"math/rand/v2"
	"time"
)

// task is an attempt of a job at a worker.
type task struct {
	slots     int
	work      time.Duration // core time at speed 1 per slot
	handshake time.Duration // additional run time on a new connection
	started   func()
	ended     func(ok bool, reportedFree float64)
	cancelled bool
	running   bool
}

// worker is a modelled worker with one slot per core, a FIFO queue and a speed. During
// its slow start the speed rises linearly with time.
type worker struct {
	clock       *clock
	rand        *rand.Rand
	model       *WorkerModel
	cores       int
	speed       float64
	speedFactor float64 // 1, unless a fault changes it
	errorShare  float64 // 0, unless a fault changes it
	startedAt   time.Duration
	slowStart   bool // the worker started during the run
	removed     bool

	busySlots    int
	queue        []*task
	reportedFree float64 // free slots in the last load report

	coreTime          time.Duration // total core time used by tasks
	slowStartArrivals []arrival     // work that arrived during the slow start
}

func newWorker(c *clock, r *rand.Rand, model *WorkerModel, cores int, speed float64) *worker {
	w := &worker{clock: c, rand: r, model: model, cores: cores, speed: speed, speedFactor: 1, reportedFree: float64(cores)}
	c.after(millis(uniform(r, model.ReportMillis)), w.refreshReport)
	return w
}

// uniform samples the uniform distribution between two bounds.
func uniform(r *rand.Rand, bounds [2]float64) float64 {
	return bounds[0] + (bounds[1]-bounds[0])*r.Float64()
}

// refreshReport updates the load report and schedules its next update.
func (w *worker) refreshReport() {
	if w.removed {
		return
	}
	w.reportedFree = float64(w.cores - w.busySlots)
	w.clock.after(millis(uniform(w.rand, w.model.ReportMillis)), w.refreshReport)
}

// speedNow returns the current speed of a core.
func (w *worker) speedNow() float64 {
	rate := w.speed * w.speedFactor
	if age := (w.clock.now - w.startedAt).Seconds(); w.slowStart && age < w.model.SlowStartSeconds {
		rate *= w.model.SlowStartCapacity + (1-w.model.SlowStartCapacity)*age/w.model.SlowStartSeconds
	}
	return rate
}

// enqueue accepts a task. It returns false if the queue is full or the worker was removed.
func (w *worker) enqueue(t *task) bool {
	w.recordArrival(t)
	if w.removed || len(w.queue) >= w.model.Queue && (w.busySlots+t.slots > w.cores || len(w.queue) > 0) {
		return false
	}
	w.queue = append(w.queue, t)
	w.startTasks()
	return true
}

// cancel cancels a task. A task that has not started is dropped if the model says so.
func (w *worker) cancel(t *task) {
	t.cancelled = true
	if !t.running && w.model.DropsCancelled {
		for i, other := range w.queue {
			if other == t {
				w.queue = append(w.queue[:i], w.queue[i+1:]...)
				break
			}
		}
		w.startTasks() // the dropped task may have blocked the head of the queue
	}
}

// startTasks starts tasks from the head of the queue while their slots are free.
func (w *worker) startTasks() {
	for len(w.queue) > 0 && w.busySlots+w.queue[0].slots <= w.cores {
		t := w.queue[0]
		w.queue = w.queue[1:]
		t.running = true
		w.busySlots += t.slots
		t.started()
		took, ok := time.Duration(float64(t.work)/w.speedNow())+t.handshake, true
		if w.errorShare > 0 && w.rand.Float64() < w.errorShare {
			took, ok = time.Millisecond, false
		}
		w.coreTime += took * time.Duration(t.slots)
		w.clock.after(took, func() {
			w.busySlots -= t.slots
			t.ended(ok, w.reportedFree)
			w.startTasks()
		})
	}
}
