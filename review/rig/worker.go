//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	beatTimeout = time.Second
	beatEvery   = 1500 * time.Millisecond
	afterEnd    = 50 * time.Millisecond
	maxEnds     = 500
)

// behaviour says how long a run takes on a worker, and how it ends.
type behaviour func(task string, run int64, spec string) (duration time.Duration, how string)

// event is what a worker saw of a run.
type event struct {
	at     time.Duration // since the start of the rig
	worker string
	task   string
	run    int64
	what   string // "start", or "end " and how, or "noted " and how
}

// history holds the events of all workers in order.
type history struct {
	mu     sync.Mutex
	events []event
}

func (h *history) add(e event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

func (h *history) all() []event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]event(nil), h.events...)
}

// activeRun is a run on a worker.
type activeRun struct {
	run    int64
	endsAt time.Time
	how    string
}

// listedEnd is an end that the worker lists until last_seen reaches it.
type listedEnd struct {
	n    int64
	task string
	run  int64
	how  string
	at   time.Time
}

// worker is a stand-in for a worker that follows PROTOCOL.md: it sends heartbeats to the side scheduler on its machine, starts
// and stops what the answers name, and kills everything when its hold is over.
type worker struct {
	rig      *rig
	id       string
	service  string
	side     *machine
	cpu      int64
	behave   behaviour
	events   *history
	quit     chan struct{}
	done     chan struct{}
	sequence int64

	active   map[string]*activeRun
	ends     []listedEnd
	lastN    int64
	highest  map[string]int64 // by task: the highest run that was stopped or ended here
	fence    int64
	holdEnds time.Time
	lapsedN  int64 // ends up to this number were listed before the hold lapsed last
}

func (r *rig) startWorker(service string, side *machine, cpu int64, events *history, behave behaviour) *worker {
	w := &worker{
		rig: r, id: fmt.Sprintf("i-%08x", 0x7f3a0000+len(r.workers)*4099+r.net), service: service, side: side, cpu: cpu, behave: behave,
		events: events, quit: make(chan struct{}), done: make(chan struct{}), active: map[string]*activeRun{}, highest: map[string]int64{},
	}
	r.workers = append(r.workers, w)
	go w.loop()
	return w
}

func (w *worker) stop() {
	close(w.quit)
	<-w.done
}

func (w *worker) loop() {
	defer close(w.done)
	for {
		wait := w.beat()
		timer := time.NewTimer(w.untilNext(wait))
		select {
		case <-w.quit:
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// untilNext shortens the wait for the next heartbeat to the next end of a run.
func (w *worker) untilNext(wait time.Duration) time.Duration {
	for _, a := range w.active {
		wait = min(wait, max(0, time.Until(a.endsAt))+afterEnd)
	}
	if len(w.active) > 0 {
		wait = min(wait, max(0, time.Until(w.holdEnds))+time.Millisecond)
	}
	return wait
}

func (w *worker) note(task string, run int64, what string) {
	w.rig.log.printf("worker %s (%s): %s run %d: %s", w.id, w.service, task, run, what)
	w.events.add(event{time.Since(w.rig.started), w.id, task, run, what})
}

func (w *worker) end(task string, run int64, how string) {
	delete(w.active, task)
	w.highest[task] = max(w.highest[task], run)
	w.lastN++
	w.ends = append(w.ends, listedEnd{w.lastN, task, run, how, time.Now()})
	w.note(task, run, "end "+how)
}

// progress ends the runs whose time has come, and all runs when the hold is over.
func (w *worker) progress() {
	now := time.Now()
	for task, a := range w.active {
		if !now.Before(a.endsAt) && a.endsAt.Before(w.holdEnds) {
			w.end(task, a.run, a.how)
		}
	}
	if now.Before(w.holdEnds) {
		return
	}
	w.lapsedN = w.lastN
	for task, a := range w.active {
		w.end(task, a.run, "lapsed")
	}
}

type beatAnswer struct {
	HoldMS       int64   `json:"hold_ms"`
	LastSeen     int64   `json:"last_seen"`
	FenceToken   int64   `json:"fence_token"`
	Started      [][]any `json:"started"`
	Stopped      [][]any `json:"stopped"`
	RetryAfterMS int64   `json:"retry_after_ms"`
}

// beat sends a heartbeat, acts on its answer and returns the time until the next one.
func (w *worker) beat() time.Duration {
	w.progress()
	w.sequence++
	active := [][]any{}
	for task, a := range w.active {
		active = append(active, []any{task, a.run, "", 50})
	}
	finished := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.side.ip + ":8080", "zone": "hearne-hall", "version": "v1", "slots": 8, "state": "ready",
		"warmup_left_ms": 0, "capacity": map[string]int64{"cpu": w.cpu, "mem_mb": 131072, "gpu": 0}, "labels": []string{"a", "r1-3"},
		"clock_ms": time.Since(w.rig.started).Milliseconds(), "sequence": w.sequence, "active": active, "finished": finished,
	})
	sent := time.Now()
	address := w.side.control()
	status, text := send(http.MethodPut, address, "/sedgevale/instances/"+w.id, address, nil, body, beatTimeout)
	if status < 200 || status > 299 || time.Since(sent) > beatTimeout {
		return 200 * time.Millisecond
	}
	var a beatAnswer
	if text != "" && json.NewDecoder(strings.NewReader(text)).Decode(&a) != nil {
		return beatEvery
	}
	w.progress()
	w.act(sent, &a)
	if a.RetryAfterMS > 0 {
		return time.Duration(a.RetryAfterMS) * time.Millisecond
	}
	return beatEvery
}

func (w *worker) act(sent time.Time, a *beatAnswer) {
	for len(w.ends) > 0 && w.ends[0].n <= a.LastSeen {
		if e := w.ends[0]; e.n > w.lapsedN {
			w.note(e.task, e.run, "noted "+e.how)
		}
		w.ends = w.ends[1:]
	}
	if a.FenceToken < w.fence {
		return
	}
	w.fence = a.FenceToken
	for _, s := range a.Stopped {
		task, run := s[0].(string), int64(s[1].(float64))
		if active := w.active[task]; active != nil && active.run == run {
			w.end(task, run, "stopped")
		}
		w.highest[task] = max(w.highest[task], run)
	}
	if a.HoldMS <= 0 {
		return
	}
	if until := sent.Add(time.Duration(min(a.HoldMS, 10000)) * time.Millisecond); until.After(w.holdEnds) {
		w.holdEnds = until
	}
	for _, s := range a.Started {
		w.startRun(s[0].(string), int64(s[1].(float64)), s[2].(string))
	}
}

func (w *worker) startRun(task string, run int64, spec string) {
	if a := w.active[task]; a != nil {
		return
	}
	if run <= w.highest[task] {
		w.end(task, run, "refused")
		return
	}
	duration, how := w.behave(task, run, spec)
	w.active[task] = &activeRun{run, time.Now().Add(duration), how}
	w.note(task, run, "start")
}
