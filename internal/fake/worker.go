// Package fake provides fakes of the external systems that a scheduler depends on: workers that
// record what they run, a discovery service, clients, and a file system with fault injection. The
// fakes are written from the public descriptions alone, independently of the scheduler's
// implementation, and use only loopback addresses. Tests, the crash test and `sedgevale standin`
// share them.
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

// Fault is a fault that a Worker can inject at one point of a job's execution.
type Fault string

// The faults, in the order of a job's execution.
const (
	FaultRejected       Fault = "turn-away" // the job is rejected before it starts: 503 with Not-Started
	FaultCutBeforeStart Fault = "cut-early" // the connection is closed and the job dropped before it starts
	FaultInternalError  Fault = "error"     // the response has status 500
	FaultCutAfterStart  Fault = "cut-begun" // the connection is closed after the start; the job still runs to its end
	FaultMalformed      Fault = "garbage"   // a line that is not valid JSON replaces the progress report
	FaultHang           Fault = "hang"      // the job starts, never finishes and sends no further line
	FaultCutAfterEnd    Fault = "cut-done"  // the connection is closed after the job has finished, before the result is sent
	FaultFailed         Fault = "failed"    // the job starts and ends in failure
)

// AllFaults lists all faults.
var AllFaults = []Fault{FaultRejected, FaultCutBeforeStart, FaultInternalError, FaultCutAfterStart, FaultMalformed, FaultHang, FaultCutAfterEnd, FaultFailed}

// FaultShares is the probability, from 0 to 1, of each fault.
type FaultShares map[Fault]float64

// ParseFault adds a fault in the form POINT=SHARE, as given on the command line.
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

// WorkerOptions configures a Worker.
type WorkerOptions struct {
	ID    string
	Slots int // maximum number of running jobs; 0 means 4
	Queue int // maximum number of waiting jobs; 0 means 16
	// Work returns the run time of a job of a class; nil means 1 to 4 ms.
	Work    func(class string, r *rand.Rand) time.Duration
	Faults  FaultShares
	Seed    uint64
	Results *ResultStore // nil means that the worker gets its own
	RunLog  *RunLog      // nil means that the worker gets its own
}

// Worker is a fake worker: it accepts jobs over the platform's protocol, sleeps for their run time,
// and records in its RunLog which jobs it began and finished.
type Worker struct {
	options WorkerOptions
	runLog  *RunLog
	slots   chan struct{}
	server  *http.Server

	mu       sync.Mutex // guards all below
	random   *rand.Rand
	waiting  int
	inFlight int           // jobs in flight; not a WaitGroup, since jobs arrive while AwaitIdle waits
	idle     chan struct{} // closed when no job is in flight; nil if nobody waits for that
}

// NewWorker returns a Worker that is not listening yet.
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

// RunLog returns the run log in which the worker records its jobs.
func (worker *Worker) RunLog() *RunLog { return worker.runLog }

// Listen serves on an address, such as "127.0.0.1:0" for a free port, and returns the bound address.
func (worker *Worker) Listen(addr string) (string, error) {
	return listen(worker.server, addr)
}

// listen serves on an address in the background until the server is closed, and returns the bound
// address.
func listen(server *http.Server, addr string) (string, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return "", err
	}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// Close closes the listener and all connections immediately.
func (worker *Worker) Close() error { return worker.server.Close() }

// AwaitIdle waits until no job is in flight, except for jobs that hang because of FaultHang.
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

// release frees a job's slot.
func (worker *Worker) release() {
	<-worker.slots
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.inFlight--; worker.inFlight == 0 && worker.idle != nil {
		close(worker.idle)
		worker.idle = nil
	}
}

// sampleJob returns a random fault for a job, empty for none, and its run time.
func (worker *Worker) sampleJob(class string) (Fault, time.Duration) {
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

func (worker *Worker) loadReport() map[string]float64 {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return map[string]float64{"x0": float64(cap(worker.slots) - len(worker.slots)), "queue": float64(worker.waiting)}
}

func (worker *Worker) loadHeader() string {
	l := worker.loadReport()
	return fmt.Sprintf("x0=%g,queue=%g", l["x0"], l["queue"])
}

// responseLine is one JSON line of a job's response body.
type responseLine struct {
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
	fault          Fault // empty without a fault
	work           time.Duration
	result         string // the result if the job succeeds
	out            *lineWriter
}

// ServeHTTP answers GET requests as health checks and runs all others as jobs.
func (worker *Worker) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodGet {
		w.Header().Set("Server-Load", worker.loadHeader())
		_, _ = io.WriteString(w, worker.loadHeader()+"\n")
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
	j.fault, j.work = worker.sampleJob(j.class)
	switch j.fault {
	case FaultCutBeforeStart:
		panic(http.ErrAbortHandler)
	case FaultInternalError:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if j.fault == FaultRejected || !worker.enqueue() {
		w.Header().Set("Not-Started", "1")
		w.Header().Set("Server-Load", worker.loadHeader())
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	j.out = newLineWriter(w, j.id, worker.options.ID)
	worker.slots <- struct{}{}
	worker.mu.Lock()
	worker.waiting--
	worker.mu.Unlock()
	if j.key != "" && worker.answerDuplicate(q.Context(), j) {
		return
	}
	worker.run(q.Context(), j)
}

// enqueue counts a job as waiting. It returns false if the queue is full.
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

// answerDuplicate answers a job with the stored result if its key was used before. It reports whether
// the job is finished, either by that answer or because its context ended.
func (worker *Worker) answerDuplicate(ctx context.Context, j *workerJob) bool {
	stored, duplicate, ok := worker.options.Results.Begin(ctx, j.key)
	if ok && !duplicate {
		return false
	}
	worker.release()
	if duplicate {
		j.out.writeLine(responseLine{State: "done", Result: &stored, Load: worker.loadReport()})
	}
	return true
}

// run executes a job that holds a slot, with its fault, if any.
func (worker *Worker) run(ctx context.Context, j *workerJob) {
	worker.runLog.Begin(j.id, j.class, worker.options.ID, j.received)
	j.out.writeLine(responseLine{State: "started"})
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
		j.out.writeRaw("{not a line\n")
	} else {
		j.out.writeLine(responseLine{State: "running", Share: 0.5})
	}
	time.Sleep(j.work - j.work/2)
	if j.fault == FaultFailed {
		worker.options.Results.Complete(j.key, "", false)
		worker.release()
		j.out.writeLine(responseLine{State: "failed", Load: worker.loadReport()})
		return
	}
	worker.finish(j)
	if j.fault == FaultCutAfterEnd {
		panic(http.ErrAbortHandler)
	}
	j.out.writeLine(responseLine{State: "done", Result: &j.result, Load: worker.loadReport()})
}

// finish records that a job has finished and frees its slot.
func (worker *Worker) finish(j *workerJob) {
	worker.runLog.Finish(j.id, worker.options.ID)
	worker.options.Results.Complete(j.key, j.result, true)
	worker.release()
}

// lineWriter writes the lines of a job's response. It ignores write errors, because a job continues
// after its scheduler has disconnected.
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

func (s *lineWriter) writeLine(l responseLine) {
	l.ID, l.From = s.id, s.from
	b, _ := json.Marshal(l) // cannot fail for this type
	s.writeRaw(string(b) + "\n")
}

func (s *lineWriter) writeRaw(text string) {
	_, _ = io.WriteString(s.w, text)
	_ = s.rc.Flush()
}

// ResultStore stores the results of jobs by idempotency key, so that a key is not run again within
// the deduplication window.
type ResultStore struct {
	window time.Duration
	mu     sync.Mutex // guards seen
	seen   map[string]*storedResult
}

type storedResult struct {
	began     time.Time
	done      chan struct{} // closed when the job has ended
	result    string
	succeeded bool // the job ended with a result
}

// NewResultStore returns an empty ResultStore. A window of 0 means 7.5 s.
func NewResultStore(window time.Duration) *ResultStore {
	if window <= 0 {
		window = 7500 * time.Millisecond
	}
	return &ResultStore{window: window, seen: map[string]*storedResult{}}
}

// Begin registers a job under its key; the caller runs it and calls Complete when it ends. If an
// earlier job with the key is within the window, Begin waits for its end and returns its result
// with duplicate set; if the earlier job failed, the new one is registered instead. Ok is false
// if the context ended first.
func (s *ResultStore) Begin(ctx context.Context, key string) (result string, duplicate, ok bool) {
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
		if before.succeeded {
			s.mu.Unlock()
			return before.result, true, true
		}
		if s.seen[key] == before {
			delete(s.seen, key)
		}
		s.mu.Unlock()
	}
}

// Complete records the outcome of the job registered under a key.
func (s *ResultStore) Complete(key, result string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.seen[key]; e != nil && !e.succeeded {
		select {
		case <-e.done:
		default:
			e.result, e.succeeded = result, ok
			close(e.done)
		}
	}
}
