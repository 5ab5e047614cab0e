// Package driver runs an admission queue (fairqueue.Queue) in front of the planners: it passes
// it the clock, arrivals and ends of jobs, and carries out its decisions.
package driver

import (
	"sync"
	"time"

	"sedgevale/internal/dispatch"
	"sedgevale/internal/fairqueue"
)

// Planners accept jobs. SubmitRequest submits an exchange, ClientDisconnected reports that its
// client has disconnected.
type Planners interface {
	SubmitRequest(*dispatch.Exchange)
	ClientDisconnected(*dispatch.Exchange)
}

// Driver admits jobs to Planners. It offers the same methods, so that servers need not know.
type Driver struct {
	planners      Planners
	clock         dispatch.Clock
	maxRetryAfter time.Duration // the longest Retry-After; 0: responses have none

	mu        sync.Mutex // guards all below
	queue     *fairqueue.Queue
	jobs      map[*dispatch.Exchange]*job // queued or in flight
	classCost map[string]float64          // mean slot time of a job in seconds, by class
	polling   bool                        // a timer is set
	stats     Stats
}

// Stats are counts of jobs since the start. Admitted counts those that were queued before, too.
type Stats struct {
	Admitted, Queued, Rejected, Expired uint64
}

// job is a job that is queued or in flight.
type job struct {
	exchange   *dispatch.Exchange
	request    fairqueue.Request
	admitted   bool
	admittedAt time.Duration // on the clock
}

const (
	initialCost  = 0.1                   // seconds, of a class without finished jobs
	costGain     = 1.0 / 32              // EWMA weight of a job in its class's cost
	pollInterval = 10 * time.Millisecond // while jobs are queued
	answerMargin = 20 * time.Millisecond // of a job's time, for its response
)

// New returns a Driver. MaxRetryAfter is the longest Retry-After of a rejection; with 0
// rejections have none. The error is that of fairqueue.New.
func New(o fairqueue.Options, planners Planners, clock dispatch.Clock, maxRetryAfter time.Duration) (*Driver, error) {
	if maxRetryAfter > 0 {
		o.MaxRetryAfter = maxRetryAfter
	}
	q, err := fairqueue.New(o)
	if err != nil {
		return nil, err
	}
	return &Driver{planners: planners, clock: clock, maxRetryAfter: maxRetryAfter, queue: q,
		jobs: map[*dispatch.Exchange]*job{}, classCost: map[string]float64{}}, nil
}

// SubmitRequest admits, queues or rejects a job.
func (d *Driver) SubmitRequest(x *dispatch.Exchange) {
	now := d.clock.Now()
	d.mu.Lock()
	tenant := -1
	if x.Tenant >= 0 {
		tenant = d.queue.TenantIndex(x.TenantName)
	}
	if tenant < 0 { // of no tenant, or of one that was removed as it came: there is nothing to share by
		d.mu.Unlock()
		d.planners.SubmitRequest(x)
		return
	}
	j := &job{exchange: x}
	j.request = fairqueue.Request{Token: j, Tenant: tenant, Client: x.Client, Cost: d.costOf(x) * max(1, x.Slots), MaxWait: x.TimeLeft(now)/2 - answerMargin}
	x.WrapClient(func(c dispatch.Client) dispatch.Client { return &releasingClient{c, d, j} })
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
		d.poll()
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

// SetTenants replaces the tenants. Jobs that are queued or in flight are served as before. An
// error changes nothing.
func (d *Driver) SetTenants(tenants []fairqueue.Tenant) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.SetTenants(tenants)
}

// costOf returns the expected slot time of a job in seconds. The lock is held.
func (d *Driver) costOf(x *dispatch.Exchange) float64 {
	if c, ok := d.classCost[x.Class.Name]; ok {
		return c
	}
	return initialCost
}

// ClientDisconnected reports that a job's client has disconnected.
func (d *Driver) ClientDisconnected(x *dispatch.Exchange) {
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

// release records that a job in flight has ended, and admits queued ones.
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
		d.classCost[j.exchange.Class.Name] = old + ((now-j.admittedAt).Seconds()-old)*costGain
	}
	d.mu.Unlock()
	d.admitQueued()
}

// admitQueued admits the queued jobs that may be in flight, and rejects those that cannot meet
// their deadlines any more.
func (d *Driver) admitQueued() {
	now := d.clock.Now()
	var admitted []*dispatch.Exchange
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

// poll calls admitQueued after pollInterval, again and again while jobs are queued. The lock is
// held.
func (d *Driver) poll() {
	if d.polling {
		return
	}
	d.polling = true
	time.AfterFunc(pollInterval, func() {
		d.admitQueued()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.polling = false
		if d.queue.HasQueued() {
			d.poll()
		}
	})
}

// Queued returns how many jobs are queued.
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

// Close rejects all queued jobs, at the end of the process.
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

// releasingClient is a job's client that releases the job with its answer.
type releasingClient struct {
	dispatch.Client
	driver *Driver
	job    *job
}

func (l *releasingClient) Answer(a dispatch.Answer) {
	l.Client.Answer(a)
	l.driver.release(l.job, a.Kind == dispatch.Served)
}
