// Package fake has stand-ins for the outside systems that a scheduler meets: worker
// boxes with ledgers of their own, a discovery, clients, and a file system that fails.
// They are written from the public descriptions alone, know nothing of how the
// scheduler works, and stay on loopback. Tests, the torture run and `sedgevale standin`
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

// Point is a place in the course of a job at which a Box can be made to fail.
type Point string

// The points, in the order of a job's course.
const (
	TurnAway Point = "turn-away" // refused unstarted: 503 with Not-Started
	CutEarly Point = "cut-early" // the connection breaks, the job is dropped before it begins
	Error500 Point = "error"     // an answer of 500
	CutBegun Point = "cut-begun" // the connection breaks when it has begun; it is finished all the same
	Garbage  Point = "garbage"   // a line that is no JSON, in place of progress
	Hang     Point = "hang"      // it begins and is never heard of again, nor finished
	CutDone  Point = "cut-done"  // it is finished, and the connection breaks before that is said
	Failed   Point = "failed"    // it ends in failure after it has begun
)

// Points are all of them.
var Points = []Point{TurnAway, CutEarly, Error500, CutBegun, Garbage, Hang, CutDone, Failed}

// Faults says how often a Box fails at which point: shares of its jobs, from 0 to 1.
type Faults map[Point]float64

// ParseFault reads POINT=SHARE.
func (f Faults) ParseFault(s string) error {
	name, value, _ := strings.Cut(s, "=")
	var share float64
	if _, err := fmt.Sscanf(value, "%g", &share); err != nil || share < 0 || share > 1 {
		return fmt.Errorf("fault %q: want POINT=SHARE with a share from 0 to 1", s)
	}
	for _, p := range Points {
		if string(p) == name {
			f[p] = share
			return nil
		}
	}
	return fmt.Errorf("fault %q: the points are %v", s, Points)
}

// BoxOptions set a Box up.
type BoxOptions struct {
	ID    string
	Slots int // jobs at a time; 0: 4
	Queue int // waiting jobs; 0: 16
	// Work is how long a job of a class takes; nil: 1 to 4 ms.
	Work   func(class string, r *rand.Rand) time.Duration
	Faults Faults
	Seed   uint64
	Shelf  *Shelf  // nil: one of its own
	Ledger *Ledger // nil: one of its own
}

// Box is a worker: it takes jobs by the platform's protocol, and notes in its Ledger
// what it began and finished.
type Box struct {
	opt    BoxOptions
	ledger *Ledger
	slots  chan struct{}
	server *http.Server

	mu      sync.Mutex
	rand    *rand.Rand
	waiting int
	busy    int           // jobs under way; not a WaitGroup, for jobs come while Quiet waits
	quiet   chan struct{} // closed when none is; nil: nobody waits
}

// NewBox returns a Box that does not listen yet.
func NewBox(o BoxOptions) *Box {
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
	if o.Shelf == nil {
		o.Shelf = NewShelf(0)
	}
	if o.Ledger == nil {
		o.Ledger = NewLedger()
	}
	b := &Box{opt: o, ledger: o.Ledger, slots: make(chan struct{}, o.Slots), rand: rand.New(rand.NewPCG(o.Seed, 0xb0c5))}
	b.server = &http.Server{Handler: b}
	return b
}

// Ledger returns what the box has noted.
func (b *Box) Ledger() *Ledger { return b.ledger }

// Listen serves on an address, "127.0.0.1:0" for any, and returns it.
func (b *Box) Listen(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	go func() { _ = b.server.Serve(l) }() // ends with Close
	return l.Addr().String(), nil
}

// Close ends the box at once.
func (b *Box) Close() error { return b.server.Close() }

// Quiet returns once no job is under way but those that hang.
func (b *Box) Quiet() {
	b.mu.Lock()
	if b.busy == 0 {
		b.mu.Unlock()
		return
	}
	if b.quiet == nil {
		b.quiet = make(chan struct{})
	}
	quiet := b.quiet
	b.mu.Unlock()
	<-quiet
}

// leave gives a job's slot back.
func (b *Box) leave() {
	<-b.slots
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy--; b.busy == 0 && b.quiet != nil {
		close(b.quiet)
		b.quiet = nil
	}
}

// draw decides at which point a job fails, "" for none, and how long it takes.
func (b *Box) draw(class string) (Point, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	work := b.opt.Work(class, b.rand)
	at := b.rand.Float64()
	for _, p := range Points {
		if at -= b.opt.Faults[p]; at < 0 {
			return p, work
		}
	}
	return "", work
}

func (b *Box) load() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]float64{"x0": float64(cap(b.slots) - len(b.slots)), "queue": float64(b.waiting)}
}

func (b *Box) loadText() string {
	l := b.load()
	return fmt.Sprintf("x0=%g,queue=%g", l["x0"], l["queue"])
}

type line struct {
	ID     string             `json:"id"`
	From   string             `json:"from"`
	State  string             `json:"state"`
	Share  float64            `json:"share,omitempty"`
	Result *string            `json:"result,omitempty"`
	Load   map[string]float64 `json:"load,omitempty"`
}

// ServeHTTP answers a probe or carries out a job.
func (b *Box) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodGet {
		w.Header().Set("Server-Load", b.loadText())
		_, _ = io.WriteString(w, b.loadText()+"\n")
		return
	}
	body, err := io.ReadAll(io.LimitReader(q.Body, 1<<20))
	id, key := q.Header.Get("Request-Id"), q.Header.Get("Idempotency-Key")
	if err != nil || id == "" {
		http.Error(w, "no whole request with an id", http.StatusNotFound)
		return
	}
	came := time.Now()
	class, _, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
	point, work := b.draw(class)
	switch point {
	case CutEarly:
		panic(http.ErrAbortHandler)
	case Error500:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	b.mu.Lock()
	full := b.waiting >= b.opt.Queue
	if !full && point != TurnAway {
		b.waiting++
		b.busy++
	}
	b.mu.Unlock()
	if full || point == TurnAway {
		w.Header().Set("Not-Started", "1")
		w.Header().Set("Server-Load", b.loadText())
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	say := newSpeaker(w, id, b.opt.ID)
	b.slots <- struct{}{}
	b.mu.Lock()
	b.waiting--
	b.mu.Unlock()
	result := fmt.Sprintf("%s %s: %d bytes by %s", class, id, len(body), b.opt.ID)
	if key != "" {
		old, repeat, ok := b.opt.Shelf.Take(q.Context(), key)
		if !ok || repeat {
			b.leave()
			if repeat {
				say.line(line{State: "done", Result: &old, Load: b.load()})
			}
			return
		}
	}
	b.ledger.Begin(id, class, b.opt.ID, came)
	say.line(line{State: "started"})
	switch point {
	case Hang:
		b.leave()
		<-q.Context().Done()
		return
	case CutBegun:
		go func() {
			time.Sleep(work)
			b.ledger.Finish(id, b.opt.ID)
			b.opt.Shelf.End(key, result, true)
			b.leave()
		}()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(work / 2)
	if point == Garbage {
		say.raw("{not a line\n")
	} else {
		say.line(line{State: "running", Share: 0.5})
	}
	time.Sleep(work - work/2)
	if point == Failed {
		b.opt.Shelf.End(key, "", false)
		b.leave()
		say.line(line{State: "failed", Load: b.load()})
		return
	}
	b.ledger.Finish(id, b.opt.ID)
	b.opt.Shelf.End(key, result, true)
	b.leave()
	if point == CutDone {
		panic(http.ErrAbortHandler)
	}
	say.line(line{State: "done", Result: &result, Load: b.load()})
}

// speaker writes the lines of a job's answer. A scheduler that is gone does not hear
// them; the job goes on.
type speaker struct {
	w        http.ResponseWriter
	rc       *http.ResponseController
	id, from string
}

func newSpeaker(w http.ResponseWriter, id, from string) *speaker {
	s := &speaker{w, http.NewResponseController(w), id, from}
	w.WriteHeader(http.StatusOK)
	_ = s.rc.Flush()
	return s
}

func (s *speaker) line(l line) {
	l.ID, l.From = s.id, s.from
	b, _ := json.Marshal(l) // has no value that cannot be written
	s.raw(string(b) + "\n")
}

func (s *speaker) raw(text string) {
	_, _ = io.WriteString(s.w, text)
	_ = s.rc.Flush()
}

// Shelf drops repeats: a key within its window is not run again.
type Shelf struct {
	window time.Duration
	mu     sync.Mutex
	seen   map[string]*shelved
}

type shelved struct {
	at     time.Time
	over   chan struct{} // closed when the job has ended
	result string
	ok     bool // it ended well
}

// NewShelf returns a Shelf; window 0: 7.5 s.
func NewShelf(window time.Duration) *Shelf {
	if window <= 0 {
		window = 7500 * time.Millisecond
	}
	return &Shelf{window: window, seen: map[string]*shelved{}}
}

// Take notes that a job with a key begins; End must be told how it ends. If one with that
// key was begun before, Take waits for its end and returns its result; if it failed, the
// job at hand is to be run after all. Ok is false if the context ended first.
func (s *Shelf) Take(ctx context.Context, key string) (result string, repeat, ok bool) {
	for {
		s.mu.Lock()
		now := time.Now()
		before := s.seen[key]
		if before == nil || now.Sub(before.at) >= s.window {
			s.seen[key] = &shelved{at: now, over: make(chan struct{})}
			s.mu.Unlock()
			return "", false, true
		}
		s.mu.Unlock()
		select {
		case <-before.over:
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
func (s *Shelf) End(key, result string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.seen[key]; e != nil && !e.ok {
		select {
		case <-e.over:
		default:
			e.result, e.ok = result, ok
			close(e.over)
		}
	}
}
