package sedgevale

// Requests and attempts: from a client's request to its one final answer.

import (
	"time"
)

type attempt struct {
	worker       *worker
	sentAt       time.Duration
	startedAt    time.Duration
	progressAt   time.Duration // its last progress
	ended        bool
	neverRan     bool // over, and nothing ran
	avoidWorker  bool // it failed there, or was called off for another worker
	writtenOff   bool // nothing more is expected of it; off the books
	startOverdue bool // its start is overdue
}

type request struct {
	Request
	class         *class
	serial        uint64
	tenant        *tenant
	keyHash       uint64
	work          float64 // estimated slot seconds
	runtime       float64 // estimated running time, by which its aim grows
	deadline      time.Duration
	targetAt      time.Duration
	sendBy        time.Duration // when it must be sent
	attempts      []attempt
	inFlight      int
	ended         bool
	queued        bool
	streaming     bool
	probed        []*worker // asked for their load on its behalf
	probesPending int       // answers of those still to come
	probeRounds   int
	probeDeadline time.Duration // not waited for any longer
}

// SubmitRequest takes a job from a client.
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
	k := d.classes[q.Class]
	r := &request{Request: q, class: k, serial: d.lastSerial, tenant: d.tenantByIndex(q.Tenant)}
	r.deadline = now + q.Left
	run := k.meanRuntime
	r.work = q.Slots * run
	if q.Hint > 0 { // a hint is in the time of a usual core, ours in that of the workers met
		run = q.Hint.Seconds()
		r.work = q.Slots * run * (k.meanRuntime + hintTrust) / (k.meanHint + hintTrust)
	}
	d.meanWork += (r.work - d.meanWork) * max(meanGain, 1/float64(r.serial))
	d.observeWork(r)
	if q.Hint <= 0 {
		run = k.baseRuntime // what the client counts is the job's own time, however slow workers are now
	}
	r.runtime = run
	r.targetAt = now + k.Aim + seconds(k.Stretch*run)
	if q.Retry { // the aim counts from the client's first try
		r.targetAt -= max(0, k.Limit-q.Left)
	}
	r.keyHash = hashOf(q.Key)
	d.arrivals++
	d.addRequest(r)
	if q.Left <= 0 || !d.feasible(now, r, true) {
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

// AttemptStarted tells that a job has begun to run.
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

// AttemptProgressed tells that a job is being worked on.
func (d *Dispatcher) AttemptProgressed(now time.Duration, id string, n int, _ float64) error {
	r, a, err := d.findAttempt(id, n)
	if err != nil {
		return err
	}
	a.worker.markAlive(now)
	if a.progressAt = now; a.writtenOff && a.startedAt > 0 {
		d.writeBack(r, a)
	}
	return nil
}

// StreamStarted tells that the answer of a streamed class has begun.
func (d *Dispatcher) StreamStarted(now time.Duration, id string, n int) error {
	r, a, err := d.findAttempt(id, n)
	if err != nil {
		return err
	}
	a.worker.markAlive(now)
	r.streaming = true
	return nil
}

// AttemptEnded tells how an attempt ended.
func (d *Dispatcher) AttemptEnded(now time.Duration, res Result) error {
	r, a, err := d.findAttempt(res.ID, res.Attempt)
	if err != nil {
		return err
	}
	d.detectStall(now)
	d.endAttempt(now, r, a, res.Outcome)
	if res.Report != nil && res.Report.HasFree {
		d.applyReport(now, a.worker, res.Report)
	}
	d.learn(now, r, a, res.Outcome)
	if res.Closed {
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

// ClientDisconnected tells that the client has left. An unknown request is no error: it may have ended just then.
func (d *Dispatcher) ClientDisconnected(now time.Duration, id string) {
	if r := d.requests[id]; r != nil && !r.ended {
		d.closeRequest(r)
		d.releasePending(now)
	}
}

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

// addRequest keeps a request that has come.
func (d *Dispatcher) addRequest(r *request) {
	t := r.tenant
	t.arrivals++
	if t.openRequests++; t.removed && t.openRequests == 1 { // it has its share back
		d.updateShares()
	}
	d.requests[r.ID], d.requestsBySerial[r.serial] = r, r
}

// closeRequest marks the request as finished; nothing is sent for it from here on.
func (d *Dispatcher) closeRequest(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if r.queued {
		d.removePending(r)
	}
	if d.settings.MayCancel && !r.streaming {
		for n := range r.attempts {
			if !r.attempts[n].ended {
				d.host.Cancel(r.ID, n)
			}
		}
	}
	d.forgetIfDone(r)
}

// forgetIfDone frees the request once it has its answer and its attempts are over.
func (d *Dispatcher) forgetIfDone(r *request) {
	if r.ended && r.inFlight == 0 && d.requests[r.ID] == r {
		r.tenant.openRequests--
		delete(d.requests, r.ID)
		delete(d.requestsBySerial, r.serial)
	}
}
