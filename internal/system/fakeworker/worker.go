// Package fakeworker simulates workers: they send heartbeats to their side scheduler, start and stop tasks as ordered and
// kill all tasks when their lease expires. Tests and the system on loopback use it.
package fakeworker

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sedgevale/workeragent"
)

// Observer is called at each event of a worker, in order, from the worker's goroutine.
type Observer interface {
	// TaskStarted takes the CPU that the worker uses with the task, and its capacity, in millicores.
	TaskStarted(task, worker string, cpu, capacity int64)
	TaskEnded(task, worker string)
	// EndAcknowledged says that the side scheduler has acknowledged a task's successful end.
	EndAcknowledged(task string)
	// InvalidAnswer says that an answer cannot be read.
	InvalidAnswer(err error)
}

// Options of a worker. Times are of the worker's own clock.
type Options struct {
	ID          string // of the incarnation
	Service     string
	SideAddress string // host:port of its side scheduler
	Capacity    workeragent.Capacity
	Labels      []string
	TaskCPU     int64         // millicores that a task is taken to use, since orders do not say
	MinTaskTime time.Duration // tasks run for random times in
	MaxTaskTime time.Duration // [MinTaskTime, MaxTaskTime)
	FailOneIn   int           // one task in so many fails; 0 for none
	ClockDrift  float64       // how much slower than real time its clock runs: 0.02 is 2%
	Client      *http.Client
	Observer    Observer
	Random      *rand.Rand
}

const (
	heartbeatTimeout  = time.Second
	heartbeatInterval = 50 * time.Millisecond
	retryBackoff      = 200 * time.Millisecond
)

// Worker simulates one incarnation of a worker.
type Worker struct {
	Options

	mu             sync.Mutex // guards the fields below
	fencingToken   int64      // the highest that was seen
	sequence       int64      // of the last heartbeat
	lastEnd        int64      // number of the last end
	expiredUpTo    int64      // ends up to this number came before the lease expired
	active         map[string]*attempt
	unacknowledged []workeragent.FinishedRun // ends that heartbeats repeat
	lastAttempt    map[string]int64          // by task: the highest attempt that ended here
	leaseUntil     time.Time                 // zero before the first lease
}

// attempt is a running attempt of a task.
type attempt struct {
	number int64
	until  time.Time
}

// New returns a worker that runs nothing.
func New(options Options) *Worker {
	return &Worker{Options: options, active: map[string]*attempt{}, lastAttempt: map[string]int64{}}
}

// Run sends heartbeats until the context ends, as if the worker crashed then.
func (w *Worker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := w.heartbeat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.active {
		w.Observer.TaskEnded(task, w.ID)
	}
	w.Client.CloseIdleConnections()
}

// advance ends the attempts that are over, or all of them if the lease has expired. w.mu is held.
func (w *Worker) advance() {
	now := time.Now()
	expired := !w.leaseUntil.IsZero() && now.After(w.leaseUntil)
	if expired {
		w.expiredUpTo = w.lastEnd
	}
	for task, running := range w.active {
		switch {
		case expired:
			w.end(task, running.number, "lapsed")
		case now.After(running.until):
			outcome := "done"
			if w.FailOneIn > 0 && w.Random.IntN(w.FailOneIn) == 0 {
				outcome = "failed"
			}
			w.end(task, running.number, outcome)
		}
	}
}

// end ends an attempt. w.mu is held.
func (w *Worker) end(task string, attempt int64, outcome string) {
	delete(w.active, task)
	w.lastAttempt[task] = max(w.lastAttempt[task], attempt)
	w.lastEnd++
	w.unacknowledged = append(w.unacknowledged, workeragent.FinishedRun{Number: w.lastEnd, Task: task, Attempt: attempt, Outcome: outcome})
	w.Observer.TaskEnded(task, w.ID)
}

// heartbeat sends one heartbeat, applies the answer and returns the time until the next.
func (w *Worker) heartbeat(ctx context.Context) time.Duration {
	text, err := w.nextHeartbeat().MarshalJSON()
	if err != nil {
		w.Observer.InvalidAnswer(err)
		return retryBackoff
	}
	sentAt := time.Now()
	call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	url := "http://" + w.SideAddress + "/sedgevale/instances/" + w.ID
	request, err := http.NewRequestWithContext(call, http.MethodPut, url, bytes.NewReader(text))
	if err != nil {
		w.Observer.InvalidAnswer(err)
		return retryBackoff
	}
	response, err := w.Client.Do(request)
	if err != nil {
		return retryBackoff
	}
	body, err := io.ReadAll(response.Body)
	if errors.Join(err, response.Body.Close()) != nil || response.StatusCode != http.StatusOK || time.Since(sentAt) > heartbeatTimeout {
		return retryBackoff
	}
	answer := workeragent.Answer{}
	if len(body) > 0 {
		if err := answer.UnmarshalJSON(body); err != nil {
			w.Observer.InvalidAnswer(err)
			return retryBackoff
		}
	}
	w.apply(answer, sentAt)
	return heartbeatInterval
}

// nextHeartbeat returns the content of the next heartbeat.
func (w *Worker) nextHeartbeat() workeragent.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.sequence++
	heartbeat := workeragent.Heartbeat{
		Service: w.Service, State: "ready", Sequence: w.sequence, Capacity: w.Capacity, Labels: w.Labels, Finished: w.unacknowledged,
	}
	for task, running := range w.active {
		heartbeat.Active = append(heartbeat.Active, workeragent.ActiveRun{Task: task, Attempt: running.number})
	}
	return heartbeat
}

// apply follows the answer to a heartbeat that was sent at a time, unless its fencing token is outdated.
func (w *Worker) apply(a workeragent.Answer, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.acknowledge(a.LastSeen)
	if a.FenceToken < w.fencingToken {
		return
	}
	w.fencingToken = a.FenceToken
	for _, ref := range a.Stopped {
		if running := w.active[ref.Task]; running != nil && running.number == ref.Attempt {
			w.end(ref.Task, ref.Attempt, "stopped")
		}
		w.lastAttempt[ref.Task] = max(w.lastAttempt[ref.Task], ref.Attempt)
	}
	if a.LeaseMS == 0 {
		return
	}
	lease := time.Duration(float64(a.LeaseMS) / (1 - w.ClockDrift) * float64(time.Millisecond))
	if until := sentAt.Add(lease); until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
	for _, start := range a.Started {
		w.start(start)
	}
}

// start starts a task, unless it runs or a later attempt has ended here. w.mu is held.
func (w *Worker) start(start workeragent.Start) {
	if w.active[start.Task] != nil || start.Attempt <= w.lastAttempt[start.Task] {
		return
	}
	w.Observer.TaskStarted(start.Task, w.ID, int64(len(w.active)+1)*w.TaskCPU, w.Capacity.CPU)
	spread := max(1, int64(w.MaxTaskTime-w.MinTaskTime))
	duration := w.MinTaskTime + time.Duration(w.Random.Int64N(spread))
	w.active[start.Task] = &attempt{number: start.Attempt, until: time.Now().Add(duration)}
}

// acknowledge drops the ends up to a number. A successful end counts as acknowledged unless the lease has expired since:
// its task may have been started elsewhere by then. w.mu is held.
func (w *Worker) acknowledge(upTo int64) {
	for len(w.unacknowledged) > 0 && w.unacknowledged[0].Number <= upTo {
		if w.unacknowledged[0].Outcome == "done" && w.unacknowledged[0].Number > w.expiredUpTo {
			w.Observer.EndAcknowledged(w.unacknowledged[0].Task)
		}
		w.unacknowledged = w.unacknowledged[1:]
	}
}
