package dispatcher

import (
	"slices"
	"time"
)

// This file holds the state of requests and their attempts.

const (
	shortRequestFraction = 0.4 // fraction of the mean running time that is assumed for a request without a hint
)

// awaitsProbes reports whether the request waits for results of its probes.
func (r *request) awaitsProbes(now time.Duration) bool {
	return r.probesPending > 0 && now < r.probeDeadline
}

// slackAt returns how long the request can still wait, in seconds, if a worker with that
// runtime ratio runs it. Without a hint the running time is unknown. Since the request
// may be short and its latency target correspondingly early, slackAt assumes
// shortRequestFraction of the mean for a first attempt, and the mean for a retry.
func (r *request) slackAt(now time.Duration, runtimeRatio float64) float64 {
	fraction := shortRequestFraction
	if r.RuntimeHint > 0 || len(r.attempts) > 0 {
		fraction = 1
	}
	return (min(r.deadline, r.targetAt) - now).Seconds() - (1-fraction)*r.class.TargetStretch*r.runtime - fraction*runtimeRatio*r.work/r.Slots
}

// mayReject reports whether the request may be rejected, which tells the client that it
// may safely retry. It may not if an attempt may have run and a repeat would not be
// deduplicated.
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

// attempt is an attempt of a request at a worker. It remains in the request's list of
// attempts after its end.
type attempt struct {
	worker        *worker
	sentAt        time.Duration
	startedAt     time.Duration
	progressAt    time.Duration // last progress report
	ended         bool
	neverRan      bool // ended, and the worker has certainly not begun to run it
	avoidWorker   bool // the request must not be sent to the worker again: the attempt failed or was rescheduled
	slotsReleased bool // its slots are no longer counted as in flight
	startOverdue  bool // the start notice did not arrive in time
}

// request is a request that has no final result yet or has attempts in flight.
type request struct {
	Request
	class         *class
	serial        uint64 // identifies the request in timer tokens
	tenant        *tenant
	keyHash       uint64  // hash of the affinity key, 0 if there is none
	work          float64 // estimated work, in slot seconds
	runtime       float64 // estimated running time, in seconds, which extends the latency target
	deadline      time.Duration
	targetAt      time.Duration // time until which a response has its full value
	sendBy        time.Duration // time by which a queued request must be sent
	attempts      []attempt
	inFlight      int  // number of attempts that have not ended
	ended         bool // the request has its final result
	queued        bool
	streaming     bool      // the response has begun to stream
	probed        []*worker // workers of the last round of probes
	probesPending int       // outstanding probe results
	probeRounds   int
	probeDeadline time.Duration // time until which probe results are awaited
}

// avoids reports whether the request must not be sent to the worker again.
func (r *request) avoids(w *worker) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.avoidWorker && a.worker == w })
}

// requestTable holds the requests that have no final result or have attempts in flight.
// Invariant: byID and bySerial hold the same requests.
type requestTable struct {
	byID       map[string]*request
	bySerial   map[uint64]*request
	lastSerial uint64
	pending    int // number of queued requests
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

// attempt returns a request and its attempt n, or an error if that is not in flight.
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

// dedupWorker returns the worker whose group deduplicates the request: that of the first
// attempt that may have run. It is nil if there is none or the request is not idempotent by
// key.
func (r *request) dedupWorker() *worker {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverRan && r.class.Idempotency == IdempotentByKey {
			return a.worker
		}
	}
	return nil
}
