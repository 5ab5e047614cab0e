package dispatcher

import "time"

// Events of requests: from a client's request to its one final answer.

const (
	hintTrust = 0.01 // seconds of running time by which hints are trusted at first
)

// ProbeResult brings a worker's answer to [Host.Probe], or nil where none came in
// time. The worker may have left the list meanwhile.
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

// SubmitRequest takes a request from a client. The request may be rejected, sent
// or queued before it returns. It returns [ErrBadRequest] or
// [ErrDuplicateRequest] for a request that it did not take.
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
	r.deadline = now + q.TimeLeft
	d.estimate(now, r)
	r.keyHash = hashOf(q.AffinityKey)
	d.tenants.arrivals++
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
	d.estimates.meanWork += (r.work - d.estimates.meanWork) * max(meanGain, 1/float64(r.serial))
	d.estimates.observe(r)
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
	r, a, err := d.requests.attempt(id, n)
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
		d.workers.capacityChanged()
		d.releasePending(now)
	}
	return nil
}

// AttemptProgressed reports that a worker goes on with attempt n of the request.
// The share done, 0 to 1, is not used.
func (d *Dispatcher) AttemptProgressed(now time.Duration, id string, n int, _ float64) error {
	r, a, err := d.requests.attempt(id, n)
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
	r, a, err := d.requests.attempt(id, n)
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
	if res.Answered {
		d.closeRequest(r)
	}
	if !r.ended && r.inFlight == 0 && !r.queued {
		d.retryOrEnd(now, r)
	}
	d.forgetIfDone(r)
	d.closeIdleConns(now, a.worker)
	d.workers.capacityChanged()
	d.releasePending(now)
	return nil
}

// ClientDisconnected reports that the client of a request has left: nothing more
// is sent for it, and its attempts are cancelled where that is allowed. An unknown
// request is no error, for it may have ended just then.
func (d *Dispatcher) ClientDisconnected(now time.Duration, id string) {
	if r := d.requests.byID[id]; r != nil && !r.ended {
		d.closeRequest(r)
		d.releasePending(now)
	}
}

// addRequest registers a request that has come.
func (d *Dispatcher) addRequest(r *request) {
	t := r.tenant
	t.arrivals++
	t.openRequests++
	if t.removed && t.openRequests == 1 { // it has its share back
		d.tenants.updateShares()
	}
	d.requests.add(r)
}
