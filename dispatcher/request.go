package dispatcher

import (
	"slices"
	"time"
)

// Requests and attempts, and the table of those that are open.

const (
	shortJobFraction = 0.4 // of the mean: a request may run for so short a time, and its target be as near
)

// awaitsProbes reports whether the request waits for answers to its probes.
func (r *request) awaitsProbes(now time.Duration) bool {
	return r.probesPending > 0 && now < r.probeDeadline
}

// slackAt returns how many seconds the request can still wait if a worker of that
// runtime ratio runs it. Without a hint its running time is not known; it may be short, and
// then its latency target is near too. For a retry the mean is good enough.
func (r *request) slackAt(now time.Duration, runtimeRatio float64) float64 {
	fraction := shortJobFraction
	if r.RuntimeHint > 0 || len(r.attempts) > 0 {
		fraction = 1
	}
	return (min(r.deadline, r.targetAt) - now).Seconds() - (1-fraction)*r.class.TargetStretch*r.runtime - fraction*runtimeRatio*r.work/r.Slots
}

// mayReject reports whether the request may be rejected, which tells the client that
// it may safely come again. It may not if an attempt may have run whose repeat would
// not be dropped.
func (r *request) mayReject() bool {
	c := r.class
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == DedupAll {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return false
		}
	}
	return true
}

// attempt is one sending of a request to a worker. It stays in its request's list
// once it has ended.
type attempt struct {
	worker       *worker
	sentAt       time.Duration
	startedAt    time.Duration
	progressAt   time.Duration // the last report of progress
	ended        bool
	neverRan     bool // ended, and the worker surely did not begin it
	avoidWorker  bool // the request must not go there again: it failed, or was cancelled to try another worker
	writtenOff   bool // not counted as in flight any more; nothing is expected of it
	startOverdue bool // no start notice came in time
}

// request is a request that has not got its final answer, or has attempts in flight.
type request struct {
	Request
	class         *class
	serial        uint64 // names it in timers' tokens
	tenant        *tenant
	keyHash       uint64  // 0: no key
	work          float64 // estimated, in slot seconds
	runtime       float64 // estimated, in seconds; the latency target grows by it
	deadline      time.Duration
	targetAt      time.Duration // an answer by then earns the full value
	sendBy        time.Duration // while queued: rejected if not sent by then
	attempts      []attempt
	inFlight      int  // attempts that have not ended
	ended         bool // it has its final answer
	queued        bool
	streaming     bool      // its answer has begun to stream
	probed        []*worker // probed for their load on its behalf
	probesPending int       // answers of those still to come
	probeRounds   int
	probeDeadline time.Duration // when answers are no longer waited for
}

// avoids reports whether the request must not go to the worker again.
func (r *request) avoids(w *worker) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.avoidWorker && a.worker == w })
}

// requestTable is the requests that have no final answer, or attempts in flight.
// Invariant: byID and bySerial hold the same requests.
type requestTable struct {
	byID       map[string]*request
	bySerial   map[uint64]*request
	lastSerial uint64
	pending    int // of them, those that are queued
}

func newRequestTable() requestTable {
	return requestTable{byID: map[string]*request{}, bySerial: map[uint64]*request{}}
}

// nextSerial returns the serial number of a new request.
func (t *requestTable) nextSerial() uint64 {
	t.lastSerial++
	return t.lastSerial
}

func (t *requestTable) add(r *request) { t.byID[r.ID], t.bySerial[r.serial] = r, r }

func (t *requestTable) remove(r *request) {
	delete(t.byID, r.ID)
	delete(t.bySerial, r.serial)
}

// attempt returns a request and its attempt n, which has not ended.
func (t *requestTable) attempt(id string, n int) (*request, *attempt, error) {
	r := t.byID[id]
	if r == nil {
		return nil, nil, ErrUnknownRequest
	}
	if n < 0 || n >= len(r.attempts) || r.attempts[n].ended {
		return nil, nil, ErrUnknownAttempt
	}
	return r, &r.attempts[n], nil
}

// mayHaveRunAt returns, for a request that is idempotent by key, the worker of its first
// attempt that may have run, or nil.
func (r *request) mayHaveRunAt() *worker {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverRan && r.class.Idempotency == IdempotentByKey {
			return a.worker
		}
	}
	return nil
}
