//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxListedEnds = 500 // "the rest are sent again (500 at once)"
	endDelay      = 50 * time.Millisecond
	answerLimit   = time.Second
	stopTime      = 20 * time.Millisecond // within stop_ms
)

// worker is a stand-in for an application worker, after PROTOCOL.md, "Running tasks" and "Service discovery".
type worker struct {
	id       string
	side     *machine
	log      *record
	judge    *judge
	capacity map[string]int64
	client   *http.Client

	mu       sync.Mutex
	wake     chan struct{}
	done     chan struct{}
	closed   bool
	sequence int64
	fence    int64
	number   int64 // N of the last end
	refused  int64 // starts that were rejected
	brief    bool  // the record gets the numbers of starts and ends in place of a line for each
	active   map[string]*run
	ended    map[string]int64 // highest run that was stopped or ended here, by task
	finished []*end           // ends that are not noted yet
	holdEnd  time.Time
	holds    int // times that the hold has lapsed
	nextBeat time.Time
	draining time.Time // when the worker leaves at the earliest; zero while it is ready
}

type run struct {
	task     string
	attempt  int64
	began    time.Time
	duration time.Duration
	stopping bool
	cpu      int64
	timer    *time.Timer
}

type end struct {
	n       int64
	task    string
	attempt int64
	how     string
	at      time.Time
	holds   int // the worker's holds when the run ended
}

func newWorker(id string, side *machine, log *record, j *judge) *worker {
	return &worker{
		id: id, side: side, log: log, judge: j, capacity: map[string]int64{"cpu": 16000, "mem_mb": 32768, "gpu": 0},
		client: &http.Client{}, wake: make(chan struct{}, 1), done: make(chan struct{}),
		active: map[string]*run{}, ended: map[string]int64{},
	}
}

// parseSpec reads what a job's spec tells the worker: "ms=3000 fail=2" runs for 3 s and fails in its first two runs.
func parseSpec(spec string) (duration time.Duration, failures, cpu int64) {
	duration = time.Second
	for _, word := range strings.Fields(spec) {
		key, value, _ := strings.Cut(word, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch key {
		case "ms":
			duration = time.Duration(n) * time.Millisecond
		case "fail":
			failures = n
		case "cpu":
			cpu = n
		}
	}
	return duration, failures, cpu
}

// loop sends heartbeats until the worker is closed.
func (w *worker) loop() {
	defer close(w.done)
	for {
		w.mu.Lock()
		if w.closed {
			w.mu.Unlock()
			return
		}
		wait := time.Until(w.nextBeat)
		w.mu.Unlock()
		if wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-w.wake:
			}
			timer.Stop()
			continue
		}
		w.beat()
	}
}

func (w *worker) beatSoon(in time.Duration) {
	if at := time.Now().Add(in); w.nextBeat.After(at) {
		w.nextBeat = at
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// beat sends one heartbeat and applies its answer.
func (w *worker) beat() {
	w.mu.Lock()
	w.lapse()
	w.sequence++
	var active, finished [][]any
	for _, r := range w.active {
		percent := min(99, int64(100*time.Since(r.began)/max(1, r.duration)))
		active = append(active, []any{r.task, r.attempt, "", percent})
	}
	for _, e := range w.finished[:min(len(w.finished), maxListedEnds)] {
		finished = append(finished, []any{e.n, e.task, e.attempt, e.how, ""})
	}
	account := map[string]any{
		"service": service, "address": w.side.ip + ":8080", "zone": "hearne-hall", "version": "v1", "slots": 8, "state": "ready",
		"warmup_left_ms": 0, "capacity": w.capacity, "labels": []string{"a", "r1-1"}, "clock_ms": time.Since(w.log.start).Milliseconds(),
		"sequence": w.sequence, "active": active, "finished": finished,
	}
	if !w.draining.IsZero() {
		account["state"] = "draining"
		account["remaining_ms"] = max(0, time.Until(w.draining).Milliseconds())
	}
	w.log.write("worker %s beats %d %s: %d active, ends listed %d of %d, %d starts rejected so far", w.id, w.sequence, account["state"], len(active), len(finished), len(w.finished), w.refused)
	pending := len(w.finished)
	w.nextBeat = time.Now().Add(time.Hour)
	w.mu.Unlock()
	text, _ := json.Marshal(account)
	sent := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s:%d/sedgevale/instances/%s", w.side.ip, controlPort, w.id), bytes.NewReader(text))
	request.Header.Set("Content-Type", "application/json")
	response, err := w.client.Do(request)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed { // it ended before the answer came
		return
	}
	w.lapse()
	if err != nil || response.StatusCode/100 != 2 || time.Since(sent) > answerLimit {
		w.beatSoon(200 * time.Millisecond)
		return
	}
	var answer struct {
		HoldMS       int64   `json:"hold_ms"`
		LastSeen     int64   `json:"last_seen"`
		Fence        int64   `json:"fence_token"`
		Started      [][]any `json:"started"`
		Stopped      [][]any `json:"stopped"`
		RetryAfterMS int64   `json:"retry_after_ms"`
	}
	if len(body) > 0 && json.Unmarshal(body, &answer) != nil {
		w.log.write("worker %s: an answer that can't be read: %s", w.id, body)
	}
	retry := time.Duration(answer.RetryAfterMS) * time.Millisecond
	if retry == 0 {
		retry = 1500 * time.Millisecond
	}
	w.beatSoon(retry)
	if len(w.finished) > pending {
		w.beatSoon(endDelay)
	}
	if answer.Fence < w.fence {
		w.log.write("worker %s: fence %d is below %d", w.id, answer.Fence, w.fence)
		return
	}
	w.fence = answer.Fence
	w.note(answer.LastSeen)
	for _, s := range answer.Stopped {
		w.stop(s[0].(string), int64(s[1].(float64)))
	}
	if answer.HoldMS <= 0 {
		return
	}
	if until := sent.Add(time.Duration(min(answer.HoldMS, 10000)) * time.Millisecond); until.After(w.holdEnd) {
		w.holdEnd = until
	}
	if w.brief && len(answer.Started) > 0 {
		w.log.write("worker %s is told to start %d runs, the first is %v", w.id, len(answer.Started), answer.Started[0])
	}
	for _, s := range answer.Started {
		saved := ""
		if len(s) > 3 {
			saved, _ = s[3].(string)
		}
		w.start(s[0].(string), int64(s[1].(float64)), s[2].(string), saved)
	}
}

// lapse kills everything if the hold is over. w.mu is held.
func (w *worker) lapse() {
	if len(w.active) == 0 || time.Now().Before(w.holdEnd) {
		if !w.holdEnd.IsZero() && time.Now().After(w.holdEnd) {
			w.holds++
			w.holdEnd = time.Time{}
		}
		return
	}
	w.holds++
	w.holdEnd = time.Time{}
	w.log.write("worker %s: the hold lapsed", w.id)
	for _, r := range w.active {
		w.finish(r, "lapsed")
	}
}

// note forgets the ends up to a number. w.mu is held.
func (w *worker) note(lastSeen int64) {
	before := len(w.finished)
	for len(w.finished) > 0 && w.finished[0].n <= lastSeen {
		e := w.finished[0]
		w.finished = w.finished[1:]
		w.judge.noted(w.id, e, w.holds == e.holds)
	}
	if len(w.finished) != before {
		w.log.write("worker %s: last_seen %d", w.id, lastSeen)
	}
}

// start begins a run, or rejects it. w.mu is held.
func (w *worker) start(task string, attempt int64, spec, saved string) {
	if r := w.active[task]; r != nil && r.attempt == attempt {
		return
	}
	if attempt <= w.ended[task] || w.active[task] != nil {
		w.addEnd(task, attempt, "refused")
		return
	}
	duration, failures, cpu := parseSpec(spec)
	r := &run{task: task, attempt: attempt, began: time.Now(), duration: duration, cpu: cpu}
	w.active[task] = r
	used := int64(0)
	for _, other := range w.active {
		used += other.cpu
	}
	if used > w.capacity["cpu"] {
		w.log.say("LIMIT: worker %s: %d of %d used at the start of %s run %d", w.id, used, w.capacity["cpu"], task, attempt)
	}
	w.judge.started(w.id, task, attempt, spec)
	how := "done"
	if attempt <= failures {
		how = "failed"
	}
	r.timer = time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lapse()
		if w.active[task] == r && !w.closed {
			w.finish(r, how)
		}
	})
	if !w.brief {
		w.log.write("worker %s starts %s run %d (%s) %s", w.id, task, attempt, spec, saved)
	}
}

// stop stops a run within stop_ms. One that is not there yet will be rejected. w.mu is held.
func (w *worker) stop(task string, attempt int64) {
	r := w.active[task]
	if r == nil || r.attempt != attempt {
		w.ended[task] = max(w.ended[task], attempt)
		return
	}
	if r.stopping {
		return
	}
	r.stopping = true
	w.log.write("worker %s is told to stop %s run %d", w.id, task, attempt)
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.active[task] == r && !w.closed {
			w.finish(r, "stopped")
		}
	})
}

// finish ends a run. w.mu is held.
func (w *worker) finish(r *run, how string) {
	r.timer.Stop()
	delete(w.active, r.task)
	w.ended[r.task] = max(w.ended[r.task], r.attempt)
	w.judge.ended(w.id, r.task, r.attempt, how)
	w.addEnd(r.task, r.attempt, how)
}

// addEnd puts an end on the list. w.mu is held.
func (w *worker) addEnd(task string, attempt int64, how string) {
	w.number++
	w.finished = append(w.finished, &end{w.number, task, attempt, how, time.Now(), w.holds})
	if how == "refused" { // there may be millions of them; the heartbeats' lines tell how many
		w.refused++
	} else if !w.brief {
		w.log.write("worker %s end %d: %s run %d %s", w.id, w.number, task, attempt, how)
	}
	w.beatSoon(endDelay)
}

// drain makes the worker say that it is draining, with the time that is left at least.
func (w *worker) drain(remaining time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log.write("worker %s is draining: %d ms are left at least", w.id, remaining.Milliseconds())
	w.draining = time.Now().Add(remaining)
	w.beatSoon(0)
}

// deregister sends DELETE /sedgevale/instances/ID.
func (w *worker) deregister() bool {
	request, _ := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s:%d/sedgevale/instances/%s", w.side.ip, controlPort, w.id), nil)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	w.log.write("worker %s sent DELETE, gets %d", w.id, response.StatusCode)
	return response.StatusCode/100 == 2
}

// close ends the worker: all that runs on it dies, and it says nothing more.
func (w *worker) close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		for _, r := range w.active {
			r.timer.Stop()
			w.judge.ended(w.id, r.task, r.attempt, "died")
		}
		w.active = map[string]*run{}
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.mu.Unlock()
	<-w.done
	w.client.CloseIdleConnections()
}

// count returns the numbers of active runs and of ends that are not noted.
func (w *worker) count() (active, unnoted int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.active), len(w.finished)
}

// judge checks the rule TWICE as RULES.md writes it, from what the workers saw.
type judge struct {
	mu      sync.Mutex
	log     *record
	tasks   map[string]*history
	retries map[string]int       // of the queue, by job; others are not checked
	running map[string]int       // runs at work by job
	lastRan map[string]time.Time // end of the last run by job
}

type history struct {
	running map[string]int64 // run by worker
	dones   []*doneEnd
	starts  int
	overlap bool
	failed  int // ends failed that are taken note of
	beyond  int // starts after that
}

type doneEnd struct {
	worker  string
	attempt int64
	at      time.Time
	noted   bool
	after   int // starts of the task after this end
}

func newJudge(log *record) *judge {
	return &judge{log: log, tasks: map[string]*history{}, running: map[string]int{}, lastRan: map[string]time.Time{}, retries: map[string]int{}}
}

func (j *judge) task(name string) *history {
	if j.tasks[name] == nil {
		j.tasks[name] = &history{running: map[string]int64{}}
	}
	return j.tasks[name]
}

func (j *judge) started(worker, task string, attempt int64, _ string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	h := j.task(task)
	h.starts++
	job, _, _ := strings.Cut(task, ".")
	j.running[job]++
	if limit := j.retries[job]; limit > 0 && h.failed >= limit {
		h.beyond++
		j.log.say("BUDGET: %s run %d starts on %s after %d runs that ended failed", task, attempt, worker, h.failed)
	}
	if len(h.running) > 0 {
		h.overlap = true
		j.log.write("TWICE: %s run %d starts on %s while it runs on %v", task, attempt, worker, h.running)
	}
	h.running[worker] = attempt
	for _, d := range h.dones {
		d.after++
	}
}

func (j *judge) ended(worker, task string, attempt int64, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	h := j.task(task)
	delete(h.running, worker)
	job, _, _ := strings.Cut(task, ".")
	j.running[job]--
	j.lastRan[job] = time.Now()
	if how == "done" {
		h.dones = append(h.dones, &doneEnd{worker: worker, attempt: attempt, at: time.Now()})
	}
}

// noted takes note of an end: last_seen has reached it. It counts unless the worker's hold lapsed between the two.
func (j *judge) noted(worker string, e *end, held bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.how == "failed" && held {
		j.task(e.task).failed++
	}
	for _, d := range j.task(e.task).dones {
		if d.worker == worker && d.attempt == e.attempt && held {
			d.noted = true
		}
	}
}

// twice returns the tasks that ran twice: at the same time, or again after a run that ended done and was noted then or later.
func (j *judge) twice() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var broken []string
	for name, h := range j.tasks {
		bad := h.overlap
		for _, d := range h.dones {
			bad = bad || d.noted && d.after > 0
		}
		if bad {
			broken = append(broken, name)
		}
	}
	sort.Strings(broken)
	return broken
}

// failures returns how many noted runs of a task ended failed, and the starts beyond the retries of its job.
func (j *judge) failures(task string) (failed, beyond int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.task(task).failed, j.task(task).beyond
}

// idleSince returns when the last run of a job ended, and false while one is at work.
func (j *judge) idleSince(job string) (time.Time, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastRan[job], j.running[job] == 0
}

// totals returns the numbers of tasks that started and of starts.
func (j *judge) totals() (tasks, starts int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, h := range j.tasks {
		starts += h.starts
	}
	return len(j.tasks), starts
}
