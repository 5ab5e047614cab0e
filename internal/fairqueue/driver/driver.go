// Package driver connects an admission queue (fairqueue.Queue) with the planners: it reports the
// time, arrivals and ends of jobs to the queue and carries out its decisions.
package driver

import (
	"sync"
	"time"

	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/fairqueue"
)

// Planners dispatch admitted jobs. SubmitRequest submits the exchange of a job, and
// ClientDisconnected reports that its client has disconnected.
type Planners interface {
	SubmitRequest(*dispatchdriver.Exchange)
	ClientDisconnected(*dispatchdriver.Exchange)
}

// Driver admits jobs to Planners. It implements Planners itself, so that servers can use either.
type Driver struct {
	planners      Planners
	clock         dispatchdriver.Clock
	maxRetryAfter time.Duration // longest Retry-After; 0 omits it

	mu            sync.Mutex // guards the fields below
	queue         *fairqueue.Queue
	jobs          map[*dispatchdriver.Exchange]*job // the jobs that are queued or in flight
	classCost     map[string]float64                // moving average of the run time of a job in seconds, by class
	pollScheduled bool                              // a poll timer is pending
	stats         Stats
}

// Stats counts jobs since the start. Admitted includes jobs that were queued first.
type Stats struct {
	Admitted, Queued, Rejected, Expired uint64
}

// job is a job that is queued or in flight.
type job struct {
	exchange   *dispatchdriver.Exchange
	request    fairqueue.Request
	admitted   bool
	admittedAt time.Duration // time of the dispatchdriver.Clock
}

const (
	initialCost    = 0.1                   // expected run time in seconds for a class without finished jobs
	costEWMAWeight = 1.0 / 32              // weight of a job in the moving average of its class's cost
	pollInterval   = 10 * time.Millisecond // interval of calls of admitQueued while jobs are queued
	responseMargin = 20 * time.Millisecond // part of a job's remaining time that is kept for the response
)

// New returns a Driver. maxRetryAfter is the longest Retry-After of a rejection; 0 omits it.
// The error is that of fairqueue.New.
func New(o fairqueue.Options, planners Planners, clock dispatchdriver.Clock, maxRetryAfter time.Duration) (*Driver, error) {
	if maxRetryAfter > 0 {
		o.MaxRetryAfter = maxRetryAfter
	}
	q, err := fairqueue.New(o)
	if err != nil {
		return nil, err
	}
	return &Driver{planners: planners, clock: clock, maxRetryAfter: maxRetryAfter, queue: q,
		jobs: map[*dispatchdriver.Exchange]*job{}, classCost: map[string]float64{}}, nil
}

// SubmitRequest admits, queues or rejects a job.
func (d *Driver) SubmitRequest(x *dispatchdriver.Exchange) {
	now := d.clock.Now()
	d.mu.Lock()
	tenant := -1
	if x.Tenant >= 0 {
		tenant = d.queue.TenantIndex(x.TenantName)
	}
	if tenant < 0 { // the job has no tenant, or its tenant has just been removed: it bypasses the queue
		d.mu.Unlock()
		d.planners.SubmitRequest(x)
		return
	}
	j := &job{exchange: x}
	j.request = fairqueue.Request{Token: j, Tenant: tenant, Client: x.Client, Cost: d.costOf(x) * max(1, x.Slots), MaxWait: x.TimeLeft(now)/2 - responseMargin}
	x.WrapClient(func(c dispatchdriver.Client) dispatchdriver.Client { return &releasingClient{c, d, j} })
	decision, after := d.queue.Arrive(now, j.request)
	if decision != fairqueue.Rejected {
		d.jobs[x] = j
	}
	switch decision {
	case fairqueue.Admitted:
		d.stats.Admitted++
		j.admitted, j.admittedAt = true, now
	case fairqueue.Queued:
		d.stats.Queued++
		d.schedulePoll()
	case fairqueue.Rejected:
		d.stats.Rejected++
	}
	d.mu.Unlock()
	switch decision {
	case fairqueue.Admitted:
		d.planners.SubmitRequest(x)
	case fairqueue.Rejected:
		x.Reject(min(after, d.maxRetryAfter), "its co-op's queue is full")
	}
}

// SetTenants replaces the tenants. Jobs that are queued or in flight are still served. If
// SetTenants returns an error, nothing has changed.
func (d *Driver) SetTenants(tenants []fairqueue.Tenant) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.SetTenants(tenants)
}

// costOf returns the expected run time of a job in seconds. The caller holds mu.
func (d *Driver) costOf(x *dispatchdriver.Exchange) float64 {
	if c, ok := d.classCost[x.Class.Name]; ok {
		return c
	}
	return initialCost
}

// ClientDisconnected handles the disconnect of a job's client: it removes a queued job from the
// queue, and reports the disconnect of any other job to the planners.
func (d *Driver) ClientDisconnected(x *dispatchdriver.Exchange) {
	d.mu.Lock()
	j := d.jobs[x]
	if j != nil && !j.admitted {
		d.queue.Remove(j.request.Tenant, j)
		delete(d.jobs, x)
		d.mu.Unlock()
		return
	}
	d.mu.Unlock()
	d.planners.ClientDisconnected(x)
	if j != nil {
		d.release(j, false)
	}
}

// release records the end of a job that was in flight, and admits queued jobs. The run time of a
// served job updates the cost of its class.
func (d *Driver) release(j *job, served bool) {
	now := d.clock.Now()
	d.mu.Lock()
	if d.jobs[j.exchange] != j || !j.admitted {
		d.mu.Unlock()
		return
	}
	delete(d.jobs, j.exchange)
	d.queue.Release(j.request.Tenant, j.request.Cost)
	if served {
		old := d.costOf(j.exchange)
		d.classCost[j.exchange.Class.Name] = old + ((now-j.admittedAt).Seconds()-old)*costEWMAWeight
	}
	d.mu.Unlock()
	d.admitQueued()
}

// admitQueued admits queued jobs up to the concurrency limit, and rejects those that can no
// longer meet their deadlines.
func (d *Driver) admitQueued() {
	now := d.clock.Now()
	var admitted []*dispatchdriver.Exchange
	d.mu.Lock()
	for {
		r, ok := d.queue.Next(now)
		if !ok {
			break
		}
		j := r.Token.(*job)
		j.admitted, j.admittedAt = true, now
		d.stats.Admitted++
		admitted = append(admitted, j.exchange)
	}
	expired := d.queue.Expire(now)
	for _, e := range expired {
		d.stats.Expired++
		delete(d.jobs, e.Token.(*job).exchange)
	}
	d.mu.Unlock()
	for _, x := range admitted {
		d.planners.SubmitRequest(x)
	}
	for _, e := range expired {
		e.Token.(*job).exchange.Reject(min(e.RetryAfter, d.maxRetryAfter), "its co-op's turn did not come in time")
	}
}

// schedulePoll starts calling admitQueued every pollInterval while jobs are queued. The caller
// holds mu.
func (d *Driver) schedulePoll() {
	if d.pollScheduled {
		return
	}
	d.pollScheduled = true
	time.AfterFunc(pollInterval, func() {
		d.admitQueued()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.pollScheduled = false
		if d.queue.HasQueued() {
			d.schedulePoll()
		}
	})
}

// Queued returns the number of queued jobs.
func (d *Driver) Queued() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, j := range d.jobs {
		if !j.admitted {
			n++
		}
	}
	return n
}

// Close rejects all queued jobs. It is called when the process ends.
func (d *Driver) Close() {
	d.mu.Lock()
	var rejected []*job
	for x, j := range d.jobs {
		if !j.admitted {
			d.queue.Remove(j.request.Tenant, j)
			delete(d.jobs, x)
			rejected = append(rejected, j)
		}
	}
	d.mu.Unlock()
	for _, j := range rejected {
		j.exchange.Reject(0, "the scheduler ends")
	}
}

// Stats returns the counts.
func (d *Driver) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

// releasingClient wraps a job's client and releases the job when it is answered.
type releasingClient struct {
	dispatchdriver.Client
	driver *Driver
	job    *job
}

// Respond passes the answer to the client and releases the job.
func (l *releasingClient) Respond(a dispatchdriver.Response) {
	l.Client.Respond(a)
	l.driver.release(l.job, a.Kind == dispatchdriver.Served)
}
