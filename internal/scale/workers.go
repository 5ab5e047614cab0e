package scale

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The classes of tasks.
const (
	longClass  = "long"
	shortClass = "short"
)

// jobPrefix begins the ids of the jobs of a real process.
func jobPrefix(real int) string { return fmt.Sprintf("r%d-", real) }

// Workers are hollow workers: they take jobs by the platform's protocol, each on an address of its own, and do nothing
// for as long as a job takes.
type Workers struct {
	server *http.Server
	all    []*worker
	byAddr map[string]*worker

	mu    sync.Mutex // of rand and times
	rand  *rand.Rand
	long  time.Duration // mean times
	short time.Duration

	starts  []atomic.Int64 // by real process
	running []atomic.Int64 // long tasks, by real process
}

// worker is one of them.
type worker struct {
	addr  string
	slots int

	mu      sync.Mutex
	taken   int             // slots: by jobs here, and by what hollow schedulers have out
	waiting []chan struct{} // jobs that wait for one, in order
	life    context.Context // of this start
	end     context.CancelFunc
}

// addrsOfSchedulers is after the numbers of workers' addresses.
const addrsOfSchedulers = 40000

// loopback returns an address of the machine's own net for a number; runs at the same time have other ones, mostly.
func loopback(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()%100, n/250%250, 1+n%250)
}

// newWorkers has so many workers listen.
func newWorkers(f *File, number int) (*Workers, error) {
	w := &Workers{byAddr: map[string]*worker{}, rand: rand.New(rand.NewPCG(f.Seed, 0x0b0e)), starts: make([]atomic.Int64, f.Real),
		running: make([]atomic.Int64, f.Real), long: seconds(f.LongS), short: seconds(f.ShortMS / 1000)}
	w.server = &http.Server{Handler: w}
	for i := range number {
		l, err := net.Listen("tcp4", loopback(i)+":0")
		if err != nil {
			w.Close()
			return nil, fmt.Errorf("hollow worker %d: %w", i, err)
		}
		one := &worker{addr: l.Addr().String()}
		one.restart()
		w.all = append(w.all, one)
		w.byAddr[one.addr] = one
		go func() { _ = w.server.Serve(l) }() // ends with Close
	}
	return w, nil
}

// Close ends all of them.
func (w *Workers) Close() { _ = w.server.Close() }

// begin sets the workers up for a point, and returns an error if they are not rid of the one before.
func (w *Workers) begin(slots int) error {
	deadline := time.Now().Add(settleFor)
	for i, one := range w.all {
		one.restart()
		for one.inUse() > 0 {
			if time.Now().After(deadline) {
				return fmt.Errorf("hollow worker %d still has %d slots taken by the point before", i, one.inUse())
			}
			time.Sleep(time.Millisecond)
		}
		one.mu.Lock()
		one.slots = slots
		one.mu.Unlock()
	}
	return nil
}

func (w *worker) inUse() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.taken
}

// restart cuts what runs at a worker.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.end != nil {
		w.end()
	}
	w.life, w.end = context.WithCancel(context.Background())
}

// occupy takes a slot for a hollow scheduler, if one is free.
func (w *worker) occupy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.taken >= w.slots {
		return false
	}
	w.taken++
	return true
}

// release gives a slot back, to who waits first.
func (w *worker) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) > 0 && w.taken <= w.slots {
		close(w.waiting[0])
		w.waiting = w.waiting[1:]
		return
	}
	w.taken--
}

// take waits for a slot until one of the contexts ends.
func (w *worker) take(caller, life context.Context) bool {
	w.mu.Lock()
	if w.taken < w.slots {
		w.taken++
		w.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	w.waiting = append(w.waiting, turn)
	w.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-caller.Done():
	case <-life.Done():
	}
	w.mu.Lock()
	for i, c := range w.waiting {
		if c == turn {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			w.mu.Unlock()
			return false
		}
	}
	w.mu.Unlock()
	w.release() // it was given in this moment
	return false
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf(`"x0":%d,"queue":%d`, max(0, w.slots-w.taken), len(w.waiting))
}

// draw draws a time with an exponential law: what is left of a task that runs has the same law as a new one's.
func (w *Workers) draw(class string) time.Duration {
	mean := w.short
	if class == longClass {
		mean = w.long
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(min(10, w.rand.ExpFloat64()) * float64(mean))
}

// ServeHTTP carries out a job, or answers a probe.
func (w *Workers) ServeHTTP(out http.ResponseWriter, q *http.Request) {
	local, _ := q.Context().Value(http.LocalAddrContextKey).(net.Addr)
	one := w.byAddr[local.String()]
	if q.Method == http.MethodGet {
		out.Header().Set("Server-Load", strings.NewReplacer(`"`, "", ":", "=").Replace(one.load()))
		return
	}
	_, err := io.Copy(io.Discard, io.LimitReader(q.Body, 1<<20))
	id := q.Header.Get("Request-Id")
	if err != nil || id == "" {
		http.Error(out, "no whole request with an id", http.StatusNotFound)
		return
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
	one.mu.Lock()
	life := one.life
	one.mu.Unlock()
	rc := http.NewResponseController(out)
	_ = rc.Flush() // the head goes out; who is gone does not hear it, as below
	if !one.take(q.Context(), life) {
		panic(http.ErrAbortHandler)
	}
	defer one.release()
	real := w.realOf(id)
	if real >= 0 {
		w.starts[real].Add(1)
		if class == longClass {
			w.running[real].Add(1)
			defer w.running[real].Add(-1)
		}
	}
	fmt.Fprintf(out, `{"id":%q,"state":"started"}`+"\n", id)
	_ = rc.Flush()
	end := time.NewTimer(w.draw(class))
	defer end.Stop()
	select {
	case <-end.C:
	case <-q.Context().Done():
		return
	case <-life.Done():
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(out, `{"id":%q,"state":"done","result":"ok","load":{%s}}`+"\n", id, one.load())
}

// realOf returns whose job it is; -1: nobody's.
func (w *Workers) realOf(id string) int {
	number, _, _ := strings.Cut(strings.TrimPrefix(id, "r"), "-")
	n := -1
	if _, err := fmt.Sscan(number, &n); err != nil || n >= len(w.starts) {
		return -1
	}
	return n
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
