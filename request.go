package sedgevale

// Requests and attempts: from a client's request to its one final answer.

import (
	"slices"
	"time"
)

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

// SubmitRequest takes a request from a client. The request may be rejected, sent
// or queued before it returns. It returns [ErrBadRequest] or
// [ErrDuplicateRequest] for a request that it did not take.
func (d *Dispatcher) SubmitRequest(now time.Duration, q Request) error {
	if q.Class < 0 || q.Class >= len(d.classes) || d.tenantByIndex(q.Tenant) == nil {
		return ErrBadRequest
	}
	if d.requests[q.ID] != nil {
		return ErrDuplicateRequest
	}
	d.startRounds(now)
	d.detectStall(now)
	d.requestCounter.add(now)
	q.Slots = max(1, q.Slots)
	d.lastSerial++
	c := d.classes[q.Class]
	r := &request{Request: q, class: c, serial: d.lastSerial, tenant: d.tenantByIndex(q.Tenant)}
	r.deadline = now + q.TimeLeft
	d.estimate(now, r)
	r.keyHash = hashOf(q.AffinityKey)
	d.arrivals++
	d.addRequest(r)
	if q.TimeLeft <= 0 || !d.feasible(now, r, true) {
		d.endUnserved(now, r)
		return nil
	}
	d.setTimer(r.deadline-now, tokenDeadline, r, 0)
	d.enqueue(now, r)
	d.probeForLoad(now, r)
	d.releasePending(now)
	if r.queued {
		d.setTimer(r.sendBy-now, tokenSendBy, r, 0)
	}
	return nil
}

// estimate sets the request's work, running time and latency target.
func (d *Dispatcher) estimate(now time.Duration, r *request) {
	c := r.class
	run := c.meanRuntime
	r.work = r.Slots * run
	if r.RuntimeHint > 0 { // a hint counts on an average core, the mean on the workers met
		run = r.RuntimeHint.Seconds()
		r.work = r.Slots * run * (c.meanRuntime + hintTrust) / (c.meanHint + hintTrust)
	}
	d.meanWork += (r.work - d.meanWork) * max(meanGain, 1/float64(r.serial))
	d.observeWork(r)
	if r.RuntimeHint <= 0 {
		run = c.baseRuntime // the target counts the job's own time, however slow workers are now
	}
	r.runtime = run
	r.targetAt = now + c.LatencyTarget + seconds(c.TargetStretch*run)
	if r.ClientRetry { // the target counts from the client's first try
		r.targetAt -= max(0, c.ClientTimeout-r.TimeLeft)
	}
}

// AttemptStarted reports that a worker has begun attempt n of the request. It
// returns [ErrUnknownRequest] or [ErrUnknownAttempt], like the other reports of
// an attempt.
func (d *Dispatcher) AttemptStarted(now time.Duration, id string, n int) error {
	r, a, err := d.findAttempt(id, n)
	if err != nil {
		return err
	}
	d.detectStall(now)
	a.worker.markAlive(now)
	if a.startedAt == 0 {
		d.writeOff(r, a)
		a.startedAt = now
		d.writeOffOvertaken(now, a)
		d.writeBack(r, a)
		d.capacityChanged()
		d.releasePending(now)
	}
	return nil
}

// AttemptProgressed reports that a worker goes on with attempt n of the request.
// The share done, 0 to 1, is not used.
func (d *Dispatcher) AttemptProgressed(now time.Duration, id string, n int, _ float64) error {
	r, a, err := d.findAttempt(id, n)
	if err != nil {
		return err
	}
	a.worker.markAlive(now)
	a.progressAt = now
	if a.writtenOff && a.startedAt > 0 {
		d.writeBack(r, a)
	}
	return nil
}

// StreamStarted reports that the answer of a streamed class has begun: from here
// on the request is not cancelled, hedged or ended at its deadline.
func (d *Dispatcher) StreamStarted(now time.Duration, id string, n int) error {
	r, a, err := d.findAttempt(id, n)
	if err != nil {
		return err
	}
	a.worker.markAlive(now)
	r.streaming = true
	return nil
}

// AttemptEnded reports how an attempt ended, and the load that came with it. It
// may send the request again or give it its final answer.
func (d *Dispatcher) AttemptEnded(now time.Duration, res AttemptResult) error {
	r, a, err := d.findAttempt(res.ID, res.Attempt)
	if err != nil {
		return err
	}
	d.detectStall(now)
	d.endAttempt(now, r, a, res.Outcome)
	if res.Report != nil && res.Report.HasFreeSlots {
		d.applyReport(now, a.worker, res.Report)
	}
	d.learn(now, r, a, res.Outcome)
	if res.Answered {
		d.closeRequest(r)
	}
	if !r.ended && r.inFlight == 0 && !r.queued {
		d.retryOrEnd(now, r)
	}
	d.forgetIfDone(r)
	d.closeIdleConns(now, a.worker)
	d.capacityChanged()
	d.releasePending(now)
	return nil
}

// ClientDisconnected reports that the client of a request has left: nothing more
// is sent for it, and its attempts are cancelled where that is allowed. An unknown
// request is no error, for it may have ended just then.
func (d *Dispatcher) ClientDisconnected(now time.Duration, id string) {
	if r := d.requests[id]; r != nil && !r.ended {
		d.closeRequest(r)
		d.releasePending(now)
	}
}

// avoids reports whether the request must not go to the worker again.
func (r *request) avoids(w *worker) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.avoidWorker && a.worker == w })
}

// findAttempt returns a request and its attempt n, which has not ended.
func (d *Dispatcher) findAttempt(id string, n int) (*request, *attempt, error) {
	r := d.requests[id]
	if r == nil {
		return nil, nil, ErrUnknownRequest
	}
	if n < 0 || n >= len(r.attempts) || r.attempts[n].ended {
		return nil, nil, ErrUnknownAttempt
	}
	return r, &r.attempts[n], nil
}

// addRequest registers a request that has come.
func (d *Dispatcher) addRequest(r *request) {
	t := r.tenant
	t.arrivals++
	t.openRequests++
	if t.removed && t.openRequests == 1 { // it has its share back
		d.updateShares()
	}
	d.requests[r.ID], d.requestsBySerial[r.serial] = r, r
}

// closeRequest marks the request as ended and cancels its attempts where that is
// allowed; nothing is sent for it from here on.
func (d *Dispatcher) closeRequest(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if r.queued {
		d.removePending(r)
	}
	if d.settings.AllowCancel && !r.streaming {
		for n := range r.attempts {
			if !r.attempts[n].ended {
				d.host.Cancel(r.ID, n)
			}
		}
	}
	d.forgetIfDone(r)
}

// forgetIfDone forgets the request once it has its answer and its attempts have ended.
func (d *Dispatcher) forgetIfDone(r *request) {
	if r.ended && r.inFlight == 0 && d.requests[r.ID] == r {
		r.tenant.openRequests--
		delete(d.requests, r.ID)
		delete(d.requestsBySerial, r.serial)
	}
}
