package simulation

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sedgevale/workeragent"
)

// ledger judges by what workers did alone: no task twice at a time, none after its good end was noted, no start
// beyond the capacity, none without an accepted or unanswered hand-in.
type ledger struct {
	mu       sync.Mutex
	running  map[string]string // task: worker
	noted    map[string]bool
	starts   map[string]int
	handedIn map[string]bool
	wrong    []string
}

func newLedger() *ledger {
	return &ledger{running: map[string]string{}, noted: map[string]bool{}, starts: map[string]int{}, handedIn: map[string]bool{}}
}

func (l *ledger) break_(format string, args ...any) {
	l.wrong = append(l.wrong, fmt.Sprintf(format, args...))
}

func (l *ledger) started(task, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if other := l.running[task]; other != "" {
		l.break_("TWICE: %s starts at %s and runs at %s", task, worker, other)
	}
	if l.noted[task] {
		l.break_("TWICE: %s starts at %s after its good end was noted", task, worker)
	}
	if !l.handedIn[task[:16]] {
		l.break_("UNASKED: %s", task)
	}
	l.running[task] = worker
	l.starts[task]++
}

func (l *ledger) ended(task, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[task] == worker {
		delete(l.running, task)
	}
}

// worker plays a worker: it beats, runs what it is told, kills all when its hold is over on a clock that is 2% slow.
type worker struct {
	world    *world
	host     *host
	id       string
	side     string // the address that it beats to
	capacity int64
	random   *rand.Rand
	client   *http.Client

	mu        sync.Mutex
	token     int64
	sequence  int64
	number    int64
	active    map[string]*running
	finished  []workeragent.Finished
	stopped   map[string]int64 // highest attempt that ended here
	holdUntil time.Time
}

type running struct {
	attempt int64
	until   time.Time
}

const drift = 1 / 0.98

func (w *worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := w.beat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.active {
		w.world.ledger.ended(task, w.id)
	}
	w.client.CloseIdleConnections()
}

// step ends what is due.
func (w *worker) step() {
	now := time.Now()
	lapsed := !w.holdUntil.IsZero() && now.After(w.holdUntil)
	for task, r := range w.active {
		switch {
		case lapsed:
			w.end(task, r.attempt, "lapsed")
		case now.After(r.until):
			how := "done"
			if w.random.IntN(30) == 0 {
				how = "failed"
			}
			w.end(task, r.attempt, how)
		}
	}
}

func (w *worker) end(task string, attempt int64, how string) {
	delete(w.active, task)
	w.stopped[task] = max(w.stopped[task], attempt)
	w.number++
	w.finished = append(w.finished, workeragent.Finished{Number: w.number, Task: task, Attempt: attempt, How: how})
	w.world.ledger.ended(task, w.id)
}

// beat sends one heartbeat and returns the time until the next.
func (w *worker) beat(ctx context.Context) time.Duration {
	w.mu.Lock()
	w.step()
	w.sequence++
	beat := workeragent.Heartbeat{
		Service: service, State: "ready", Sequence: w.sequence, Capacity: workeragent.Capacity{CPU: w.capacity},
		Labels: []string{"k", "r1"}, Finished: w.finished,
	}
	for task, r := range w.active {
		beat.Active = append(beat.Active, workeragent.Active{Task: task, Attempt: r.attempt})
	}
	w.mu.Unlock()
	text, _ := beat.MarshalJSON()
	sentAt := time.Now()
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(call, http.MethodPut, "http://"+w.side+"/sedgevale/instances/"+w.id, bytes.NewReader(text))
	response, err := w.client.Do(request)
	if err != nil {
		return 200 * time.Millisecond
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK || time.Since(sentAt) > time.Second {
		return 200 * time.Millisecond
	}
	answer := workeragent.Answer{}
	if len(body) > 0 {
		if err := answer.UnmarshalJSON(body); err != nil {
			w.world.fail("answer: %v", err)
		}
	}
	w.obey(answer, sentAt)
	return 50 * time.Millisecond
}

func (w *worker) obey(a workeragent.Answer, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step()
	w.forget(a.LastSeen)
	if a.FenceToken < w.token {
		return
	}
	w.token = a.FenceToken
	if a.HoldMS == 0 {
		return
	}
	until := sentAt.Add(time.Duration(float64(a.HoldMS) * drift * float64(time.Millisecond)))
	if until.After(w.holdUntil) {
		w.holdUntil = until
	}
	for _, ref := range a.Stopped {
		if r := w.active[ref.Task]; r != nil && r.attempt == ref.Attempt {
			w.end(ref.Task, ref.Attempt, "stopped")
		}
		w.stopped[ref.Task] = max(w.stopped[ref.Task], ref.Attempt)
	}
	for _, start := range a.Started {
		if w.active[start.Task] != nil || start.Attempt <= w.stopped[start.Task] {
			continue
		}
		w.world.ledger.started(start.Task, w.id)
		if int64(len(w.active)+1)*taskCPU > w.capacity {
			w.world.fail("LIMIT: %s holds %d tasks", w.id, len(w.active)+1)
		}
		w.active[start.Task] = &running{
			attempt: start.Attempt, until: time.Now().Add(time.Duration(100+w.random.IntN(900)) * time.Millisecond),
		}
	}
}

// forget drops the ends up to a number. A good one that is dropped was taken note of.
func (w *worker) forget(seen int64) {
	for len(w.finished) > 0 && w.finished[0].Number <= seen {
		if w.finished[0].How == "done" {
			w.world.ledger.mu.Lock()
			w.world.ledger.noted[w.finished[0].Task] = true
			w.world.ledger.mu.Unlock()
		}
		w.finished = w.finished[1:]
	}
}
