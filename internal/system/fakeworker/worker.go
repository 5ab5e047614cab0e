// Package fakeworker plays the workers of the system: they beat to their side scheduler, run what they are told and
// kill everything once nobody lets them hold on to it. Tests and the system on loopback use it.
package fakeworker

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sedgevale/workeragent"
)

// Observer is told what a worker does, in the moment it does it.
type Observer interface {
	Started(task, worker string, cpu, capacity int64)
	Ended(task, worker string)
	Noted(task string) // a good end was taken note of
	Wrong(err error)   // an answer cannot be read
}

// Options of a worker. Times are those of its own clock.
type Options struct {
	ID        string
	Service   string
	Side      string // host:port of its side scheduler
	Capacity  workeragent.Capacity
	Labels    []string
	TaskCPU   int64         // what a task takes, since orders do not say
	ShortTask time.Duration // tasks run for this long to
	LongTask  time.Duration // this long
	FailOneIn int           // one task in so many fails; 0 for none
	ClockSlow float64       // how much slower its clock runs: 0.02 is 2%
	Client    *http.Client
	Observer  Observer
	Random    *rand.Rand
}

const (
	beatTimeout = time.Second
	beatPause   = 50 * time.Millisecond
	failedPause = 200 * time.Millisecond
)

// Worker plays one incarnation of a worker.
type Worker struct {
	Options

	mu        sync.Mutex
	token     int64
	sequence  int64
	number    int64
	voidUpTo  int64 // ends up to this number came before the hold lapsed
	active    map[string]*running
	finished  []workeragent.Finished
	stopped   map[string]int64 // the highest attempt that ended here
	holdUntil time.Time
}

type running struct {
	attempt int64
	until   time.Time
}

// New returns a worker that runs nothing.
func New(options Options) *Worker {
	return &Worker{Options: options, active: map[string]*running{}, stopped: map[string]int64{}}
}

// Run beats until the context ends, as if the worker had crashed then.
func (w *Worker) Run(ctx context.Context) {
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
		w.Observer.Ended(task, w.ID)
	}
	w.Client.CloseIdleConnections()
}

// step ends what is due.
func (w *Worker) step() {
	now := time.Now()
	lapsed := !w.holdUntil.IsZero() && now.After(w.holdUntil)
	if lapsed {
		w.voidUpTo = w.number
	}
	for task, r := range w.active {
		switch {
		case lapsed:
			w.end(task, r.attempt, "lapsed")
		case now.After(r.until):
			how := "done"
			if w.FailOneIn > 0 && w.Random.IntN(w.FailOneIn) == 0 {
				how = "failed"
			}
			w.end(task, r.attempt, how)
		}
	}
}

func (w *Worker) end(task string, attempt int64, how string) {
	delete(w.active, task)
	w.stopped[task] = max(w.stopped[task], attempt)
	w.number++
	w.finished = append(w.finished, workeragent.Finished{Number: w.number, Task: task, Attempt: attempt, How: how})
	w.Observer.Ended(task, w.ID)
}

// beat sends one heartbeat and returns the time until the next.
func (w *Worker) beat(ctx context.Context) time.Duration {
	text, err := w.account().MarshalJSON()
	if err != nil {
		w.Observer.Wrong(err)
		return failedPause
	}
	sentAt := time.Now()
	call, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	url := "http://" + w.Side + "/sedgevale/instances/" + w.ID
	request, err := http.NewRequestWithContext(call, http.MethodPut, url, bytes.NewReader(text))
	if err != nil {
		w.Observer.Wrong(err)
		return failedPause
	}
	response, err := w.Client.Do(request)
	if err != nil {
		return failedPause
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK || time.Since(sentAt) > beatTimeout {
		return failedPause
	}
	answer := workeragent.Answer{}
	if len(body) > 0 {
		if err := answer.UnmarshalJSON(body); err != nil {
			w.Observer.Wrong(err)
			return failedPause
		}
	}
	w.obey(answer, sentAt)
	return beatPause
}

// account is the body of the next heartbeat.
func (w *Worker) account() workeragent.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step()
	w.sequence++
	beat := workeragent.Heartbeat{
		Service: w.Service, State: "ready", Sequence: w.sequence, Capacity: w.Capacity, Labels: w.Labels, Finished: w.finished,
	}
	for task, r := range w.active {
		beat.Active = append(beat.Active, workeragent.Active{Task: task, Attempt: r.attempt})
	}
	return beat
}

func (w *Worker) obey(a workeragent.Answer, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step()
	w.forget(a.LastSeen)
	if a.FenceToken < w.token {
		return
	}
	w.token = a.FenceToken
	for _, ref := range a.Stopped {
		if r := w.active[ref.Task]; r != nil && r.attempt == ref.Attempt {
			w.end(ref.Task, ref.Attempt, "stopped")
		}
		w.stopped[ref.Task] = max(w.stopped[ref.Task], ref.Attempt)
	}
	if a.HoldMS == 0 {
		return
	}
	hold := time.Duration(float64(a.HoldMS) / (1 - w.ClockSlow) * float64(time.Millisecond))
	if until := sentAt.Add(hold); until.After(w.holdUntil) {
		w.holdUntil = until
	}
	for _, start := range a.Started {
		w.start(start)
	}
}

func (w *Worker) start(start workeragent.Start) {
	if w.active[start.Task] != nil || start.Attempt <= w.stopped[start.Task] {
		return
	}
	w.Observer.Started(start.Task, w.ID, int64(len(w.active)+1)*w.TaskCPU, w.Capacity.CPU)
	span := max(1, int64(w.LongTask-w.ShortTask))
	runs := w.ShortTask + time.Duration(w.Random.Int64N(span))
	w.active[start.Task] = &running{attempt: start.Attempt, until: time.Now().Add(runs)}
}

// forget drops the ends up to a number. A good end counts as taken note of unless the worker's hold has lapsed since: its
// task may have been started elsewhere by then.
func (w *Worker) forget(seen int64) {
	for len(w.finished) > 0 && w.finished[0].Number <= seen {
		if w.finished[0].How == "done" && w.finished[0].Number > w.voidUpTo {
			w.Observer.Noted(w.finished[0].Task)
		}
		w.finished = w.finished[1:]
	}
}
