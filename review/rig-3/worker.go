//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	answerLimit  = time.Second // a later answer is dropped
	stopDuration = 200 * time.Millisecond
	maxListed    = 500
)

// run is an attempt of a task on a worker.
type run struct {
	task    string
	attempt int64
	endsAt  time.Time // zero if it runs until it is stopped
	outcome string    // of the end at endsAt
	saved   string    // checkpoint that the start brought
}

// runKey names a run.
type runKey struct {
	task    string
	attempt int64
}

// start is an event: a worker has begun a task on an order.
type start struct {
	at      time.Time
	worker  string
	task    string
	attempt int64
	spec    string
	saved   string
}

// worker is one incarnation of a worker that follows the users' pages.
type worker struct {
	record  *record
	id      string
	service string
	side    string // control_plane address of its machine
	cpu     int64
	labels  []string
	// behave returns how long a run lasts and how it ends; 0 means until it is stopped.
	behave func(task string, attempt int64) (time.Duration, string)

	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	sequence int64
	fence    int64
	holdEnds time.Time
	active   map[string]*run
	last     map[string]int64 // highest run stopped or ended, by task
	finished [][]any
	ends     int64
	starts   []start
	lastSeen int64
	draining bool
	wake     chan struct{}

	endedAt  map[runKey]time.Time
	late     time.Duration // how late each heartbeat arrives
	onTheWay sync.WaitGroup
}

func (c *cluster) newWorker(side *process, service string, cpu int64, behave func(string, int64) (time.Duration, string)) *worker {
	return c.newLateWorker(side, service, cpu, 0, behave)
}

// newLateWorker starts a worker whose heartbeats arrive late.
func (c *cluster) newLateWorker(side *process, service string, cpu int64, late time.Duration, behave func(string, int64) (time.Duration, string)) *worker {
	w := &worker{
		late:   late,
		record: c.record, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, side: address(side.ip, c.ports.control), cpu: cpu,
		labels: []string{"a", "r1-1"}, behave: behave, done: make(chan struct{}), active: map[string]*run{}, last: map[string]int64{},
		endedAt: map[runKey]time.Time{},
		wake:    make(chan struct{}, 1),
	}
	c.workers = append(c.workers, w)
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go w.loop(ctx)
	return w
}

// crash ends the worker with all that runs on it.
func (w *worker) crash() {
	w.cancel()
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.active {
		w.endedAt[runKey{r.task, r.attempt}] = time.Now()
	}
	clear(w.active)
}

func (w *worker) loop(ctx context.Context) {
	defer close(w.done)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		pause := w.beat(ctx, client)
		select {
		case <-ctx.Done():
		case <-w.wake:
		case <-time.After(pause):
		}
	}
}

// beat sends a heartbeat and applies its answer. It returns the pause before the next one.
func (w *worker) beat(ctx context.Context, client *http.Client) time.Duration {
	body, sentAt := w.message(), time.Now()
	if w.late > 0 {
		return w.beatLate(ctx, body)
	}
	call, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(call, http.MethodPut, "http://"+w.side+"/sedgevale/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return answerLimit
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 100 * time.Millisecond
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode/100 != 2 || time.Since(sentAt) > answerLimit {
		return 100 * time.Millisecond
	}
	return w.apply(text, sentAt)
}

// beatLate sends a heartbeat that is on its way for w.late, also if the worker has given up waiting or has crashed meanwhile.
func (w *worker) beatLate(ctx context.Context, body []byte) time.Duration {
	w.record.note("worker %s: sends heartbeat %d, which is %v on its way", w.id, w.sequence, w.late)
	sequence := w.sequence
	w.onTheWay.Go(func() {
		time.Sleep(w.late)
		request, err := http.NewRequest(http.MethodPut, "http://"+w.side+"/sedgevale/instances/"+w.id, bytes.NewReader(body))
		if err != nil {
			return
		}
		request.Header.Set("Content-Type", "application/json")
		w.record.note("worker %s: heartbeat %d arrives", w.id, sequence)
		call, cancel := context.WithTimeout(context.Background(), answerLimit)
		defer cancel()
		if response, err := newClient().Do(request.WithContext(call)); err == nil {
			_ = response.Body.Close()
		}
	})
	select {
	case <-ctx.Done():
	case <-time.After(answerLimit): // the worker gives up waiting for the answer
	}
	return 50 * time.Millisecond
}

// answer is the answer to a heartbeat.
type answer struct {
	HoldMS       int64   `json:"hold_ms"`
	LastSeen     int64   `json:"last_seen"`
	FenceToken   int64   `json:"fence_token"`
	Started      [][]any `json:"started"`
	Stopped      [][]any `json:"stopped"`
	RetryAfterMS int64   `json:"retry_after_ms"`
}

func (w *worker) message() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.sequence++
	active := [][]any{}
	for _, r := range w.active {
		active = append(active, []any{r.task, r.attempt, r.saved, 0})
	}
	state := "ready"
	if w.draining {
		state = "draining"
	}
	text, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.side, "zone": "hall", "version": "v1", "slots": 8, "state": state, "warmup_left_ms": 0,
		"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": 32768, "gpu": 0}, "labels": w.labels, "clock_ms": time.Now().UnixMilli(),
		"sequence": w.sequence, "active": active, "finished": w.finished[:min(len(w.finished), maxListed)], "remaining_ms": 8000,
	})
	return text
}

// advance ends the runs whose time is over, and all of them when the hold is over. w.mu is held.
func (w *worker) advance() {
	now := time.Now()
	for _, r := range w.active {
		switch {
		case !w.holdEnds.IsZero() && now.After(w.holdEnds):
			w.end(r, "lapsed")
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			w.end(r, r.outcome)
		}
	}
}

// end ends a run and lists its end. w.mu is held.
func (w *worker) end(r *run, outcome string) {
	delete(w.active, r.task)
	w.last[r.task] = max(w.last[r.task], r.attempt)
	w.endedAt[runKey{r.task, r.attempt}] = time.Now()
	w.list(r.task, r.attempt, outcome, r.saved)
}

// list adds an end to the list of the heartbeats. w.mu is held.
func (w *worker) list(task string, attempt int64, outcome, saved string) {
	w.ends++
	w.finished = append(w.finished, []any{w.ends, task, attempt, outcome, saved})
	w.record.note("worker %s: end %d: %s run %d %s", w.id, w.ends, task, attempt, outcome)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) apply(text []byte, sentAt time.Time) time.Duration {
	var a answer
	if len(text) > 0 && json.Unmarshal(text, &a) != nil {
		return 100 * time.Millisecond
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	pause := max(50*time.Millisecond, time.Duration(a.RetryAfterMS)*time.Millisecond)
	if a.FenceToken < w.fence {
		return pause
	}
	w.fence = a.FenceToken
	w.lastSeen = max(w.lastSeen, a.LastSeen)
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= a.LastSeen {
		w.finished = w.finished[1:]
	}
	for _, stop := range a.Stopped {
		w.stop(stop[0].(string), int64(stop[1].(float64)))
	}
	if a.HoldMS == 0 {
		return pause
	}
	if ends := sentAt.Add(time.Duration(min(a.HoldMS, 10000)) * time.Millisecond); ends.After(w.holdEnds) {
		w.holdEnds = ends
	}
	for _, s := range a.Started {
		w.begin(s[0].(string), int64(s[1].(float64)), s[2].(string), s[3].(string))
	}
	return pause
}

// stop ends a run after stopDuration. w.mu is held.
func (w *worker) stop(task string, attempt int64) {
	r := w.active[task]
	if r == nil || r.attempt != attempt {
		w.last[task] = max(w.last[task], attempt)
		return
	}
	if r.outcome != "stopped" {
		r.outcome, r.endsAt = "stopped", time.Now().Add(stopDuration)
	}
}

// begin starts a run, or refuses it if it is not above one that was stopped or ended here. w.mu is held.
func (w *worker) begin(task string, attempt int64, spec, saved string) {
	if r := w.active[task]; r != nil && r.attempt == attempt {
		return
	}
	if w.active[task] != nil || attempt <= w.last[task] {
		w.list(task, attempt, "refused", "")
		return
	}
	lasts, outcome := w.behave(task, attempt)
	r := &run{task: task, attempt: attempt, outcome: outcome, saved: saved}
	if lasts > 0 {
		r.endsAt = time.Now().Add(lasts)
	}
	w.active[task] = r
	w.starts = append(w.starts, start{time.Now(), w.id, task, attempt, spec, saved})
	w.record.note("worker %s: start of %s run %d", w.id, task, attempt)
}

// startsOf returns the starts of a job's tasks on all workers.
func (c *cluster) startsOf(id string) []start {
	var found []start
	for _, w := range c.workers {
		w.mu.Lock()
		for _, s := range w.starts {
			if strings.HasPrefix(s.task, id+".") {
				found = append(found, s)
			}
		}
		w.mu.Unlock()
	}
	return found
}

// interval is the time during which a run was active on a worker.
type interval struct {
	task    string
	attempt int64
	worker  string
	begin   time.Time
	end     time.Time // now for a run that is active
}

// intervalsOf returns the runs of a job's tasks on the worker.
func (w *worker) intervalsOf(id string) []interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []interval
	for _, s := range w.starts {
		if !strings.HasPrefix(s.task, id+".") {
			continue
		}
		end, ended := w.endedAt[runKey{s.task, s.attempt}]
		if !ended {
			end = time.Now()
		}
		found = append(found, interval{s.task, s.attempt, w.id, s.at, end})
	}
	return found
}
