// Package fakeworker simulates workers for tests and the demo system. A fake worker sends heartbeats to its side scheduler,
// starts and stops simulated tasks as ordered, and kills all tasks when its lease expires.
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

// Observer receives the events of a worker, in order, on the worker's goroutine.
type Observer interface {
	// TaskStarted is called when a task starts, with the worker's CPU use including the task and its CPU capacity, both in
	// millicores.
	TaskStarted(task, worker string, cpu, capacity int64)
	TaskEnded(task, worker string)
	// CompletionAcknowledged is called when the side scheduler has acknowledged the successful end of a task.
	CompletionAcknowledged(task string)
	// InvalidMessage is called when a heartbeat or its response cannot be encoded or decoded.
	InvalidMessage(err error)
}

// Options are the options of a worker. Durations are measured by the worker's clock.
type Options struct {
	ID          string // instance ID of the incarnation
	Service     string
	SideAddress string // host:port of the side scheduler
	Capacity    workeragent.Capacity
	Labels      []string
	TaskCPU     int64         // CPU use of each task in millicores, since orders do not contain it
	MinTaskTime time.Duration // minimum run time of a task; run times are uniformly distributed
	MaxTaskTime time.Duration // maximum run time of a task, exclusive
	FailOneIn   int           // one task in FailOneIn fails; 0 means that none fails
	ClockDrift  float64       // fraction by which the worker's clock is slower than real time; 0.02 is 2%
	Client      *http.Client
	Observer    Observer
	Random      *rand.Rand
}

const (
	heartbeatTimeout  = time.Second
	heartbeatInterval = 50 * time.Millisecond
	retryBackoff      = 200 * time.Millisecond

	maxListedEnds = 500 // finished runs in one heartbeat; the oldest come first
)

// Worker simulates one incarnation of a worker.
type Worker struct {
	Options

	mu              sync.Mutex // guards the fields below
	fencingToken    int64      // highest token received
	sequence        int64      // sequence number of the last heartbeat
	lastFinished    int64      // number of the last finished run
	expiredAtNumber int64      // value of lastFinished when the lease last expired
	active          map[string]*attempt
	unacknowledged  []workeragent.FinishedRun // finished runs that heartbeats repeat until acknowledged
	lastAttempt     map[string]int64          // highest attempt that ended on this worker, by task
	leaseExpiry     time.Time                 // zero before the first lease
	leavesAt        time.Time                 // earliest end of the worker; zero while it does not drain
	rejectedStarts  int                       // starts that were rejected as repetitions
}

// attempt is a running attempt of a task.
type attempt struct {
	number int64
	endsAt time.Time
}

// New returns a worker with no running tasks.
func New(options Options) *Worker {
	return &Worker{Options: options, active: map[string]*attempt{}, lastAttempt: map[string]int64{}}
}

// Run sends heartbeats until ctx is cancelled, which simulates a crash of the worker.
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

// Drain makes the worker announce that it drains and stays for at least the given duration.
func (w *Worker) Drain(remaining time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leavesAt = time.Now().Add(remaining)
}

// Deregister announces the end of the worker. The caller then cancels the context of Run.
func (w *Worker) Deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, w.url(), http.NoBody)
	if err != nil {
		w.Observer.InvalidMessage(err)
		return
	}
	if response, err := w.Client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// UnlistedEnds returns the number of finished runs that the next heartbeat does not list.
func (w *Worker) UnlistedEnds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, len(w.unacknowledged)-maxListedEnds)
}

// RejectedStarts returns the number of starts that the worker has rejected, since the run or a later one had ended.
func (w *Worker) RejectedStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rejectedStarts
}

// url returns the URL of the worker's registration.
func (w *Worker) url() string {
	return "http://" + w.SideAddress + "/sedgevale/instances/" + w.ID
}

// endFinishedAttempts ends the attempts whose run time has elapsed, or all attempts if the lease has expired. The caller
// holds w.mu.
func (w *Worker) endFinishedAttempts() {
	now := time.Now()
	expired := !w.leaseExpiry.IsZero() && now.After(w.leaseExpiry)
	if expired {
		w.expiredAtNumber = w.lastFinished
	}
	for task, running := range w.active {
		switch {
		case expired:
			w.endAttempt(task, running.number, "lapsed")
		case now.After(running.endsAt):
			outcome := "done"
			if w.FailOneIn > 0 && w.Random.IntN(w.FailOneIn) == 0 {
				outcome = "failed"
			}
			w.endAttempt(task, running.number, outcome)
		}
	}
}

// endAttempt ends an attempt and queues its outcome for the next heartbeats. The caller holds w.mu.
func (w *Worker) endAttempt(task string, attempt int64, outcome string) {
	delete(w.active, task)
	w.lastAttempt[task] = max(w.lastAttempt[task], attempt)
	w.addEnd(task, attempt, outcome)
	w.Observer.TaskEnded(task, w.ID)
}

// addEnd queues an outcome for the next heartbeats. The caller holds w.mu.
func (w *Worker) addEnd(task string, attempt int64, outcome string) {
	w.lastFinished++
	w.unacknowledged = append(w.unacknowledged, workeragent.FinishedRun{Number: w.lastFinished, Task: task, Attempt: attempt, Outcome: outcome})
}

// heartbeat sends one heartbeat, applies the response and returns the delay before the next heartbeat.
func (w *Worker) heartbeat(ctx context.Context) time.Duration {
	text, err := w.nextHeartbeat().MarshalJSON()
	if err != nil {
		w.Observer.InvalidMessage(err)
		return retryBackoff
	}
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(callCtx, http.MethodPut, w.url(), bytes.NewReader(text))
	if err != nil {
		w.Observer.InvalidMessage(err)
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
	answer := workeragent.HeartbeatResponse{}
	if len(body) > 0 {
		if err := answer.UnmarshalJSON(body); err != nil {
			w.Observer.InvalidMessage(err)
			return retryBackoff
		}
	}
	w.apply(answer, sentAt)
	return heartbeatInterval
}

// nextHeartbeat returns the next heartbeat.
func (w *Worker) nextHeartbeat() workeragent.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endFinishedAttempts()
	w.sequence++
	heartbeat := workeragent.Heartbeat{
		Service: w.Service, State: "ready", Sequence: w.sequence, Capacity: w.Capacity, Labels: w.Labels,
		Finished: w.unacknowledged[:min(len(w.unacknowledged), maxListedEnds)],
	}
	if !w.leavesAt.IsZero() {
		heartbeat.State = "draining"
		heartbeat.RemainingMS = max(0, time.Until(w.leavesAt).Milliseconds())
	}
	for task, running := range w.active {
		heartbeat.Active = append(heartbeat.Active, workeragent.ActiveRun{Task: task, Attempt: running.number})
	}
	return heartbeat
}

// apply applies the response to a heartbeat that was sent at sentAt. Orders with an outdated fencing token are ignored.
func (w *Worker) apply(a workeragent.HeartbeatResponse, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endFinishedAttempts()
	w.acknowledge(a.LastSeen)
	if a.FenceToken < w.fencingToken {
		return
	}
	w.fencingToken = a.FenceToken
	for _, ref := range a.Stopped {
		if running := w.active[ref.Task]; running != nil && running.number == ref.Attempt {
			w.endAttempt(ref.Task, ref.Attempt, "stopped")
		}
		w.lastAttempt[ref.Task] = max(w.lastAttempt[ref.Task], ref.Attempt)
	}
	if a.LeaseMS == 0 {
		return
	}
	lease := time.Duration(float64(a.LeaseMS) / (1 - w.ClockDrift) * float64(time.Millisecond))
	if expiry := sentAt.Add(lease); expiry.After(w.leaseExpiry) {
		w.leaseExpiry = expiry
	}
	for _, start := range a.Started {
		w.startTask(start)
	}
}

// startTask starts a task. It ignores the repetition of an active run, and rejects a run if it or a later one has ended here. The
// caller holds w.mu.
func (w *Worker) startTask(start workeragent.Start) {
	if running := w.active[start.Task]; running != nil && running.number == start.Attempt {
		return
	}
	if w.active[start.Task] != nil || start.Attempt <= w.lastAttempt[start.Task] {
		w.rejectedStarts++
		w.addEnd(start.Task, start.Attempt, "refused")
		return
	}
	w.Observer.TaskStarted(start.Task, w.ID, int64(len(w.active)+1)*w.TaskCPU, w.Capacity.CPU)
	spread := max(1, int64(w.MaxTaskTime-w.MinTaskTime))
	duration := w.MinTaskTime + time.Duration(w.Random.Int64N(spread))
	w.active[start.Task] = &attempt{number: start.Attempt, endsAt: time.Now().Add(duration)}
}

// acknowledge removes finished runs up to a number. The acknowledgement of a successful run is reported to the observer
// unless the lease has expired since the run ended: its task may have been started on another worker by then. The caller
// holds w.mu.
func (w *Worker) acknowledge(upTo int64) {
	for len(w.unacknowledged) > 0 && w.unacknowledged[0].Number <= upTo {
		if w.unacknowledged[0].Outcome == "done" && w.unacknowledged[0].Number > w.expiredAtNumber {
			w.Observer.CompletionAcknowledged(w.unacknowledged[0].Task)
		}
		w.unacknowledged = w.unacknowledged[1:]
	}
}
