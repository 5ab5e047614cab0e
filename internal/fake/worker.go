// Package fake has fakes of the outside systems that a scheduler meets: workers that record what
// they run, a discovery, clients, and a file system that fails. They are written from the
// public descriptions alone, know nothing of how the scheduler works, and stay on loopback.
// Tests, the crash test and `sedgevale standin` share them.
package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Fault is a point in the course of a job at which a Worker can be made to fail.
type Fault string

// The points, in the order of a job's course.
const (
	FaultRejected       Fault = "turn-away" // rejected unstarted: 503 with Not-Started
	FaultCutBeforeStart Fault = "cut-early" // the connection breaks, the job is dropped before it begins
	FaultInternalError  Fault = "error"     // an answer of 500
	FaultCutAfterStart  Fault = "cut-begun" // the connection breaks when it has begun; it is finished all the same
	FaultMalformed      Fault = "garbage"   // a line that is no JSON, in place of progress
	FaultHang           Fault = "hang"      // it begins and is neither reported on again nor finished
	FaultCutAfterEnd    Fault = "cut-done"  // it is finished, and the connection breaks before that is reported
	FaultFailed         Fault = "failed"    // it ends in failure after it has begun
)

// AllFaults are all of them.
var AllFaults = []Fault{FaultRejected, FaultCutBeforeStart, FaultInternalError, FaultCutAfterStart, FaultMalformed, FaultHang, FaultCutAfterEnd, FaultFailed}

// FaultShares are the shares of a Worker's jobs, from 0 to 1, that fail at a point.
type FaultShares map[Fault]float64

// ParseFault reads POINT=SHARE.
func (f FaultShares) ParseFault(s string) error {
	name, value, _ := strings.Cut(s, "=")
	var share float64
	if _, err := fmt.Sscanf(value, "%g", &share); err != nil || share < 0 || share > 1 {
		return fmt.Errorf("fault %q: want POINT=SHARE with a share from 0 to 1", s)
	}
	for _, p := range AllFaults {
		if string(p) == name {
			f[p] = share
			return nil
		}
	}
	return fmt.Errorf("fault %q: the points are %v", s, AllFaults)
}

// WorkerOptions configure a Worker.
type WorkerOptions struct {
	ID    string
	Slots int // jobs at a time; 0: 4
	Queue int // waiting jobs; 0: 16
	// Work is how long a job of a class takes; nil: 1 to 4 ms.
	Work    func(class string, r *rand.Rand) time.Duration
	Faults  FaultShares
	Seed    uint64
	Results *ResultStore // nil: one of its own
	RunLog  *RunLog      // nil: one of its own
}

// Worker is a worker: it takes jobs by the platform's protocol, and records in its RunLog which it
// began and finished.
type Worker struct {
	options WorkerOptions
	runLog  *RunLog
	slots   chan struct{}
	server  *http.Server

	mu       sync.Mutex // guards all below
	random   *rand.Rand
	waiting  int
	inFlight int           // jobs in flight; not a WaitGroup, since jobs arrive while AwaitIdle waits
	idle     chan struct{} // closed when none is in flight; nil: nobody waits
}

// NewWorker returns a Worker that does not listen yet.
func NewWorker(o WorkerOptions) *Worker {
	if o.Slots <= 0 {
		o.Slots = 4
	}
	if o.Queue <= 0 {
		o.Queue = 16
	}
	if o.Work == nil {
		o.Work = func(_ string, r *rand.Rand) time.Duration {
			return time.Millisecond + time.Duration(r.Int64N(int64(3*time.Millisecond)))
		}
	}
	if o.Results == nil {
		o.Results = NewResultStore(0)
	}
	if o.RunLog == nil {
		o.RunLog = NewRunLog()
	}
	worker := &Worker{options: o, runLog: o.RunLog, slots: make(chan struct{}, o.Slots), random: rand.New(rand.NewPCG(o.Seed, 0xb0c5))}
	worker.server = &http.Server{Handler: worker}
	return worker
}

// RunLog returns the record of the worker's jobs.
func (worker *Worker) RunLog() *RunLog { return worker.runLog }

// Listen serves on an address, "127.0.0.1:0" for any, and returns it.
func (worker *Worker) Listen(addr string) (string, error) {
	return listen(worker.server, addr)
}

// listen has a server serve on an address until it is closed, and returns the address.
func listen(server *http.Server, addr string) (string, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return "", err
	}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// Close closes all connections at once.
func (worker *Worker) Close() error { return worker.server.Close() }

// AwaitIdle waits until no job is in flight, apart from those that hang.
func (worker *Worker) AwaitIdle() {
	worker.mu.Lock()
	if worker.inFlight == 0 {
		worker.mu.Unlock()
		return
	}
	if worker.idle == nil {
		worker.idle = make(chan struct{})
	}
	idle := worker.idle
	worker.mu.Unlock()
	<-idle
}

// release gives a job's slot back.
func (worker *Worker) release() {
	<-worker.slots
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.inFlight--; worker.inFlight == 0 && worker.idle != nil {
		close(worker.idle)
		worker.idle = nil
	}
}

// draw decides at which point a job fails, "" for none, and how long it takes.
func (worker *Worker) draw(class string) (Fault, time.Duration) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	work := worker.options.Work(class, worker.random)
	at := worker.random.Float64()
	for _, p := range AllFaults {
		if at -= worker.options.Faults[p]; at < 0 {
			return p, work
		}
	}
	return "", work
}

func (worker *Worker) load() map[string]float64 {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return map[string]float64{"x0": float64(cap(worker.slots) - len(worker.slots)), "queue": float64(worker.waiting)}
}

func (worker *Worker) loadText() string {
	l := worker.load()
	return fmt.Sprintf("x0=%g,queue=%g", l["x0"], l["queue"])
}

// line is a line of a job's response.
type line struct {
	ID     string             `json:"id"`
	From   string             `json:"from"`
	State  string             `json:"state"`
	Share  float64            `json:"share,omitempty"`
	Result *string            `json:"result,omitempty"`
	Load   map[string]float64 `json:"load,omitempty"`
}

// workerJob is a job at a Worker.
type workerJob struct {
	id, class, key string
	received       time.Time
	fault          Fault // empty: none
	work           time.Duration
	result         string // if it is finished
	out            *lineWriter
}

// ServeHTTP answers a health check or carries out a job.
func (worker *Worker) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodGet {
		w.Header().Set("Server-Load", worker.loadText())
		_, _ = io.WriteString(w, worker.loadText()+"\n")
		return
	}
	body, err := io.ReadAll(io.LimitReader(q.Body, 1<<20))
	j := &workerJob{id: q.Header.Get("Request-Id"), key: q.Header.Get("Idempotency-Key"), received: time.Now()}
	if err != nil || j.id == "" {
		http.Error(w, "incomplete request, or without an id", http.StatusNotFound)
		return
	}
	j.class, _, _ = strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
	j.result = fmt.Sprintf("%s %s: %d bytes by %s", j.class, j.id, len(body), worker.options.ID)
	j.fault, j.work = worker.draw(j.class)
	switch j.fault {
	case FaultCutBeforeStart:
		panic(http.ErrAbortHandler)
	case FaultInternalError:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if j.fault == FaultRejected || !worker.enqueue() {
		w.Header().Set("Not-Started", "1")
		w.Header().Set("Server-Load", worker.loadText())
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	j.out = newLineWriter(w, j.id, worker.options.ID)
	worker.slots <- struct{}{}
	worker.mu.Lock()
	worker.waiting--
	worker.mu.Unlock()
	if j.key != "" && worker.repeated(q.Context(), j) {
		return
	}
	worker.run(q.Context(), j)
}

// enqueue counts a job as waiting, unless the queue is full.
func (worker *Worker) enqueue() bool {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.waiting >= worker.options.Queue {
		return false
	}
	worker.waiting++
	worker.inFlight++
	return true
}

// repeated answers a job whose key was used before by the former result, and reports whether the
// job is over by that or by the end of its context.
func (worker *Worker) repeated(ctx context.Context, j *workerJob) bool {
	former, repeat, ok := worker.options.Results.Take(ctx, j.key)
	if ok && !repeat {
		return false
	}
	worker.release()
	if repeat {
		j.out.line(line{State: "done", Result: &former, Load: worker.load()})
	}
	return true
}

// run carries out a job that has a slot.
func (worker *Worker) run(ctx context.Context, j *workerJob) {
	worker.runLog.Begin(j.id, j.class, worker.options.ID, j.received)
	j.out.line(line{State: "started"})
	switch j.fault {
	case FaultHang:
		worker.release()
		<-ctx.Done()
		return
	case FaultCutAfterStart:
		go func() {
			time.Sleep(j.work)
			worker.finish(j)
		}()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(j.work / 2)
	if j.fault == FaultMalformed {
		j.out.raw("{not a line\n")
	} else {
		j.out.line(line{State: "running", Share: 0.5})
	}
	time.Sleep(j.work - j.work/2)
	if j.fault == FaultFailed {
		worker.options.Results.End(j.key, "", false)
		worker.release()
		j.out.line(line{State: "failed", Load: worker.load()})
		return
	}
	worker.finish(j)
	if j.fault == FaultCutAfterEnd {
		panic(http.ErrAbortHandler)
	}
	j.out.line(line{State: "done", Result: &j.result, Load: worker.load()})
}

// finish notes that a job is finished and gives its slot back.
func (worker *Worker) finish(j *workerJob) {
	worker.runLog.Finish(j.id, worker.options.ID)
	worker.options.Results.End(j.key, j.result, true)
	worker.release()
}

// lineWriter writes the lines of a job's response. Errors are ignored: the job goes on without
// its scheduler.
type lineWriter struct {
	w        http.ResponseWriter
	rc       *http.ResponseController
	id, from string
}

func newLineWriter(w http.ResponseWriter, id, from string) *lineWriter {
	s := &lineWriter{w, http.NewResponseController(w), id, from}
	w.WriteHeader(http.StatusOK)
	_ = s.rc.Flush()
	return s
}

func (s *lineWriter) line(l line) {
	l.ID, l.From = s.id, s.from
	b, _ := json.Marshal(l) // every value of its type can be encoded
	s.raw(string(b) + "\n")
}

func (s *lineWriter) raw(text string) {
	_, _ = io.WriteString(s.w, text)
	_ = s.rc.Flush()
}

// ResultStore stores the results of jobs by their idempotency keys: a key is not run again within the
// window.
type ResultStore struct {
	window time.Duration
	mu     sync.Mutex // guards seen
	seen   map[string]*storedResult
}

type storedResult struct {
	began  time.Time
	done   chan struct{} // closed when the job has ended
	result string
	ok     bool // it ended well
}

// NewResultStore returns an empty ResultStore; window 0: 7.5 s.
func NewResultStore(window time.Duration) *ResultStore {
	if window <= 0 {
		window = 7500 * time.Millisecond
	}
	return &ResultStore{window: window, seen: map[string]*storedResult{}}
}

// Take notes that a job with a key begins; End has to be called when it ends. If one with that
// key was begun before, Take waits for its end and returns its result; if it failed, the
// job at hand is to be run after all. Ok is false if the context ended first.
func (s *ResultStore) Take(ctx context.Context, key string) (result string, repeat, ok bool) {
	for {
		s.mu.Lock()
		now := time.Now()
		before := s.seen[key]
		if before == nil || now.Sub(before.began) >= s.window {
			s.seen[key] = &storedResult{began: now, done: make(chan struct{})}
			s.mu.Unlock()
			return "", false, true
		}
		s.mu.Unlock()
		select {
		case <-before.done:
		case <-ctx.Done():
			return "", false, false
		}
		s.mu.Lock()
		if before.ok {
			s.mu.Unlock()
			return before.result, true, true
		}
		if s.seen[key] == before {
			delete(s.seen, key)
		}
		s.mu.Unlock()
	}
}

// End notes how the job of a key ended.
func (s *ResultStore) End(key, result string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.seen[key]; e != nil && !e.ok {
		select {
		case <-e.done:
		default:
			e.result, e.ok = result, ok
			close(e.done)
		}
	}
}
