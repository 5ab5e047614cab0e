package dispatcher

import "time"

// This file handles the events of requests, from their submission to their final result.

const (
	hintSmoothing = 0.01 // seconds added to mean hint and mean running time, so that the first hints are used almost unscaled
)

// ProbeResult reports the result of a [Host.Probe], or nil if none arrived in time.
// The worker may have been removed in the meantime.
func (d *Dispatcher) ProbeResult(now time.Duration, name string, rep *LoadReport) {
	d.detectStall(now)
	w := d.workers.byName[name]
	if w == nil {
		return
	}
	if rep != nil && rep.HasFreeSlots {
		d.meterReports(now, w, rep)
		d.applyReport(now, w, rep)
	}
	w.endProbe()
	d.releasePending(now)
}

// SubmitRequest submits a request from a client. The request may be rejected, sent or
// queued before SubmitRequest returns. It returns [ErrBadRequest] or
// [ErrDuplicateRequest] for a request that it does not accept.
func (d *Dispatcher) SubmitRequest(now time.Duration, q Request) error {
	if q.Class < 0 || q.Class >= len(d.classes.current) || d.tenants.at(q.Tenant) == nil {
		return ErrBadRequest
	}
	if d.requests.byID[q.ID] != nil {
		return ErrDuplicateRequest
	}
	d.startRounds(now)
	d.detectStall(now)
	d.budget.requests.add(now)
	q.Slots = max(1, q.Slots)
	c := d.classes.current[q.Class]
	r := &request{Request: q, class: c, serial: d.requests.nextSerial(), tenant: d.tenants.at(q.Tenant)}
	r.deadline = now + q.RemainingTimeout
	d.estimate(now, r)
	r.keyHash = hashOf(q.AffinityKey)
	d.tenants.arrivals++
	d.addRequest(r)
	if q.RemainingTimeout <= 0 || !d.feasible(now, r, true) {
		d.rejectOrFail(now, r)
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

// estimate sets the request's estimated work and running time, and its latency target.
func (d *Dispatcher) estimate(now time.Duration, r *request) {
	c := r.class
	run := c.meanRuntime
	r.work = r.Slots * run
	if r.RuntimeHint > 0 { // a hint is for an average core, and is scaled to the workers in use
		run = r.RuntimeHint.Seconds()
		r.work = r.Slots * run * (c.meanRuntime + hintSmoothing) / (c.meanHint + hintSmoothing)
	}
	d.estimates.meanWork += (r.work - d.estimates.meanWork) * max(meanGain, 1/float64(r.serial))
	d.estimates.observe(r)
	if r.RuntimeHint <= 0 {
		run = c.baseRuntime // the target must not grow while workers are slow
	}
	r.runtime = run
	r.targetAt = now + c.LatencyTarget + seconds(c.TargetStretch*run)
	if r.ClientRetry { // the target counts from the client's first request
		r.targetAt -= max(0, c.ClientTimeout-r.RemainingTimeout)
	}
}

// AttemptStarted reports that a worker has begun to run attempt n of the request. Like
// the other reports on attempts, it returns [ErrUnknownRequest] or [ErrUnknownAttempt]
// if there is no such attempt in flight.
func (d *Dispatcher) AttemptStarted(now time.Duration, id string, n int) error {
	r, a, err := d.requests.attempt(id, n)
	if err != nil {
		return err
	}
	d.detectStall(now)
	a.worker.markAlive(now)
	if a.startedAt == 0 {
		d.releaseSlots(r, a)
		a.startedAt = now
		d.releaseOvertaken(now, a)
		d.reacquireSlots(r, a)
		d.workers.capacityChanged()
		d.releasePending(now)
	}
	return nil
}

// AttemptProgressed reports progress of attempt n of the request at a worker. The
// completed fraction, 0 to 1, is not used.
func (d *Dispatcher) AttemptProgressed(now time.Duration, id string, n int, _ float64) error {
	r, a, err := d.requests.attempt(id, n)
	if err != nil {
		return err
	}
	a.worker.markAlive(now)
	a.progressAt = now
	if a.slotsReleased && a.startedAt > 0 {
		d.reacquireSlots(r, a)
	}
	return nil
}

// StreamStarted reports that the response to a request of a streaming class has begun.
// The request is no longer cancelled, hedged or ended at its deadline.
func (d *Dispatcher) StreamStarted(now time.Duration, id string, n int) error {
	r, a, err := d.requests.attempt(id, n)
	if err != nil {
		return err
	}
	a.worker.markAlive(now)
	r.streaming = true
	return nil
}

// AttemptEnded reports the result of an attempt. The Dispatcher may retry or end the
// request before AttemptEnded returns.
func (d *Dispatcher) AttemptEnded(now time.Duration, res AttemptResult) error {
	r, a, err := d.requests.attempt(res.ID, res.Attempt)
	if err != nil {
		return err
	}
	d.detectStall(now)
	d.endAttempt(now, r, a, res.Outcome)
	if res.Report != nil && res.Report.HasFreeSlots {
		d.applyReport(now, a.worker, res.Report)
	}
	d.learn(now, r, a, res.Outcome)
	if res.ClientAnswered {
		d.closeRequest(r)
	}
	if !r.ended && r.inFlight == 0 && !r.queued {
		d.retryOrEnd(now, r)
	}
	d.removeIfDone(r)
	d.closeIdleConns(now, a.worker)
	d.workers.capacityChanged()
	d.releasePending(now)
	return nil
}

// ClientDisconnected reports that the client of a request has disconnected. Nothing more
// is sent for the request, and its attempts are cancelled if that is allowed. An unknown
// request is ignored, since it may have just ended.
func (d *Dispatcher) ClientDisconnected(now time.Duration, id string) {
	if r := d.requests.byID[id]; r != nil && !r.ended {
		d.closeRequest(r)
		d.releasePending(now)
	}
}

// addRequest registers a submitted request with its tenant.
func (d *Dispatcher) addRequest(r *request) {
	t := r.tenant
	t.arrivals++
	t.openRequests++
	if t.removed && t.openRequests == 1 { // a removed tenant regains its share with its first open request
		d.tenants.updateShares()
	}
	d.requests.add(r)
}
