package sedgevale

// Requests and attempts: from a client's request to its one final answer.

import (
	"time"
)

type attempt struct {
	w       *worker
	sent    time.Duration
	started time.Duration
	noted   time.Duration // its last progress
	over    bool
	proven  bool // over, and nothing ran
	moved   bool // it failed there, or was called off for another worker
	off     bool // nothing more is expected of it; off the books
	late    bool // its start is overdue
}

type request struct {
	Request
	class    *class
	serial   uint64
	tenant   *tenant
	hash     uint64
	work     float64 // estimated slot seconds
	own      float64 // estimated running time, by which its aim grows
	deadline time.Duration
	aim      time.Duration
	latest   time.Duration // when it must be sent
	attempts []attempt
	out      int
	ended    bool
	queued   bool
	stream   bool
	looked   []*worker // asked for their load on its behalf
	looking  int       // answers of those still to come
	looks    int
	lookTill time.Duration // not waited for any longer
}

// Request takes a job from a client.
func (d *Dispatcher) Request(now time.Duration, q Request) error {
	if q.Class < 0 || q.Class >= len(d.classes) || d.tenantOf(q.Tenant) == nil {
		return ErrBadRequest
	}
	if d.requests[q.ID] != nil {
		return ErrDuplicateRequest
	}
	d.wake(now)
	d.stoodStill(now)
	d.taken.add(now)
	q.Slots = max(1, q.Slots)
	d.serial++
	k := d.classes[q.Class]
	r := &request{Request: q, class: k, serial: d.serial, tenant: d.tenantOf(q.Tenant)}
	r.deadline = now + q.Left
	run := k.run
	r.work = q.Slots * run
	if q.Hint > 0 { // a hint is in the time of a usual core, ours in that of the workers met
		run = q.Hint.Seconds()
		r.work = q.Slots * run * (k.run + hintTrust) / (k.hint + hintTrust)
	}
	d.meanWork += (r.work - d.meanWork) * max(meanGain, 1/float64(r.serial))
	d.weigh(r)
	if q.Hint <= 0 {
		run = k.base // what the client counts is the job's own time, however slow workers are now
	}
	r.own = run
	r.aim = now + k.Aim + seconds(k.Stretch*run)
	if q.Retry { // the aim counts from the client's first try
		r.aim -= max(0, k.Limit-q.Left)
	}
	r.hash = hashOf(q.Key)
	d.arrived++
	d.note(r)
	if q.Left <= 0 || !d.feasible(now, r, true) {
		d.end(now, r)
		return nil
	}
	d.timer(r.deadline-now, tokenDeadline, r, 0)
	d.enqueue(now, r)
	d.look(now, r)
	d.release(now)
	if r.queued {
		d.timer(r.latest-now, tokenHold, r, 0)
	}
	return nil
}

// Started tells that a job has begun to run.
func (d *Dispatcher) Started(now time.Duration, id string, n int) error {
	r, a, err := d.find(id, n)
	if err != nil {
		return err
	}
	d.stoodStill(now)
	a.w.sign(now)
	if a.started == 0 {
		d.writeOff(r, a)
		a.started = now
		d.overtaken(now, a)
		d.writeOn(r, a)
		d.roomAgain()
		d.release(now)
	}
	return nil
}

// Progress tells that a job is being worked on.
func (d *Dispatcher) Progress(now time.Duration, id string, n int, _ float64) error {
	r, a, err := d.find(id, n)
	if err != nil {
		return err
	}
	a.w.sign(now)
	if a.noted = now; a.off && a.started > 0 {
		d.writeOn(r, a)
	}
	return nil
}

// StreamBegan tells that the answer of a streamed class has begun.
func (d *Dispatcher) StreamBegan(now time.Duration, id string, n int) error {
	r, a, err := d.find(id, n)
	if err != nil {
		return err
	}
	a.w.sign(now)
	r.stream = true
	return nil
}

// Outcome tells how an attempt ended.
func (d *Dispatcher) Outcome(now time.Duration, res Result) error {
	r, a, err := d.find(res.ID, res.Attempt)
	if err != nil {
		return err
	}
	d.stoodStill(now)
	d.settle(now, r, a, res.Outcome)
	if res.Report != nil && res.Report.HasFree {
		d.reported(now, a.w, res.Report)
	}
	d.learn(now, r, a, res.Outcome)
	if res.Closed {
		d.close(r)
	}
	if !r.ended && r.out == 0 && !r.queued {
		d.again(now, r)
	}
	d.forget(r)
	d.closeIdle(now, a.w)
	d.roomAgain()
	d.release(now)
	return nil
}

// Gone tells that the client has left. An unknown request is no error: it may have ended just then.
func (d *Dispatcher) Gone(now time.Duration, id string) {
	if r := d.requests[id]; r != nil && !r.ended {
		d.close(r)
		d.release(now)
	}
}

func (d *Dispatcher) find(id string, n int) (*request, *attempt, error) {
	r := d.requests[id]
	if r == nil {
		return nil, nil, ErrUnknownRequest
	}
	if n < 0 || n >= len(r.attempts) || r.attempts[n].over {
		return nil, nil, ErrUnknownAttempt
	}
	return r, &r.attempts[n], nil
}

// note keeps a request that has come.
func (d *Dispatcher) note(r *request) {
	t := r.tenant
	t.arrived++
	if t.open++; t.gone && t.open == 1 { // it has its share back
		d.shares()
	}
	d.requests[r.ID], d.serials[r.serial] = r, r
}

// close marks the request as finished; nothing is sent for it from here on.
func (d *Dispatcher) close(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if r.queued {
		d.dequeue(r)
	}
	if d.set.MayCancel && !r.stream {
		for n := range r.attempts {
			if !r.attempts[n].over {
				d.host.Cancel(r.ID, n)
			}
		}
	}
	d.forget(r)
}

// forget frees the request once it has its answer and its attempts are over.
func (d *Dispatcher) forget(r *request) {
	if r.ended && r.out == 0 && d.requests[r.ID] == r {
		r.tenant.open--
		delete(d.requests, r.ID)
		delete(d.serials, r.serial)
	}
}
