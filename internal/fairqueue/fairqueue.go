// Package fairqueue implements the admission queue in front of the planners: it decides which
// jobs are admitted and in which order, and computes the Retry-After of those that it rejects.
// Admission is fair between tenants, by their shares, and between the clients of a tenant. The
// package does no input or output, takes the time as an argument, and leaves the choice of a
// worker to the planners.
//
// The order is that of start-time fair queueing (Goyal, Vin and Cheng, 1996) at two levels:
// tenants, and within a tenant its flows of clients. A flow that demands less than its share is
// not delayed by one that demands more, and unused capacity goes to the other flows. Costs and
// virtual times are in slot-seconds.
package fairqueue

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Tenant is a tenant that shares the workers with others.
type Tenant struct {
	Name  string
	Share float64 // weight relative to the shares of the other tenants
}

// Options configure a Queue.
type Options struct {
	Tenants       []Tenant
	Concurrency   int           // maximum number of jobs in flight
	MaxQueued     int           // maximum number of queued jobs per tenant; 0 selects 256
	ClientQueues  int           // number of queues per tenant, over which its clients are hashed; 0 selects 512
	MaxRetryAfter time.Duration // longest Retry-After; 0 selects 30 s
	Seed          uint64        // seed of the hash that assigns clients to queues
}

const (
	defaultMaxQueued     = 256
	defaultClientQueues  = 512
	defaultMaxRetryAfter = 30 * time.Second
	minRetryAfter        = 50 * time.Millisecond
	rateEWMAWeight       = 0.2 // weight of the last interval in the moving average of a tenant's rate
	rateUpdateInterval   = 100 * time.Millisecond
)

// Validate returns an error if there is no tenant, or if a bound or share is out of range.
func (o *Options) Validate() error {
	if len(o.Tenants) == 0 {
		return errors.New("fairqueue: no tenant")
	}
	if err := validateTenants(o.Tenants); err != nil {
		return err
	}
	if o.Concurrency <= 0 || o.MaxQueued < 0 || o.ClientQueues < 0 || o.MaxRetryAfter < 0 {
		return errors.New("fairqueue: concurrency must be positive, and no bound negative")
	}
	return nil
}

func validateTenants(tenants []Tenant) error {
	seen := make(map[string]bool, len(tenants))
	for _, t := range tenants {
		if !(t.Share > 0) || math.IsInf(t.Share, 0) {
			return fmt.Errorf("fairqueue: tenant %q: its share must be positive", t.Name)
		}
		if seen[t.Name] {
			return fmt.Errorf("fairqueue: tenant %q is there twice", t.Name)
		}
		seen[t.Name] = true
	}
	return nil
}

// Request describes a job for which admission is requested.
type Request struct {
	Token   any // identifies the job to the caller; returned with it
	Tenant  int // index of the tenant, from TenantIndex
	Client  string
	Cost    float64       // expected cost in slot-seconds
	MaxWait time.Duration // longest time in the queue after which the job can still meet its deadline
}

// Decision is the result of Arrive.
type Decision uint8

// The decisions.
const (
	Admitted Decision = iota
	Queued
	Rejected
)

// queuedJob is a job in the queue of a flow.
type queuedJob struct {
	request  Request
	deadline time.Duration
	startTag float64 // start tag among the jobs of the tenant
	seq      uint64  // arrival number, which orders jobs with equal start tags
}

// flow is a client of a tenant, or several clients whose hashes select the same queue.
type flow struct {
	finishTag float64 // finish tag of its last job
	queue     []queuedJob
}

type tenant struct {
	name         string
	removed      bool    // accepts no new jobs; queued ones and those in flight are still served
	weight       float64 // the configured share, not normalized: it does not depend on other tenants
	finishTag    float64 // finish tag of its last job at the tenant level
	virtualTime  float64 // virtual time of the flow level
	flows        []flow
	active       []int   // indexes of the flows with queued jobs
	queued       int     // number of queued jobs
	queuedCost   float64 // total cost of the queued jobs
	inFlightCost float64 // total cost of the jobs in flight
	inFlight     int     // number of jobs in flight

	admittedCost float64 // cost admitted since the last update of the rates
	rate         float64 // cost admitted per second while jobs are queued
	reservations reservations
}

// Queue is an admission queue. It is not safe for concurrent use.
type Queue struct {
	options     Options
	tenants     []tenant // an index is reused only after its tenant is removed and the last of its jobs has ended
	indexes     map[string]int
	virtualTime float64
	inFlight    int
	seq         uint64
	lastUpdate  time.Duration
	hasher      hasher
}

// New returns an empty Queue.
func New(o Options) (*Queue, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = defaultMaxQueued
	}
	if o.ClientQueues == 0 {
		o.ClientQueues = defaultClientQueues
	}
	if o.MaxRetryAfter == 0 {
		o.MaxRetryAfter = defaultMaxRetryAfter
	}
	q := &Queue{options: o, hasher: newHasher(o.Seed)}
	return q, q.SetTenants(o.Tenants)
}

// SetTenants replaces the tenants; the new list may be empty. Tenants are matched by name: one
// that stays keeps its index, tags, queue and rate. The remaining jobs of a removed tenant are
// served with its former share. If SetTenants returns an error, nothing has changed.
func (q *Queue) SetTenants(tenants []Tenant) error {
	if err := validateTenants(tenants); err != nil {
		return err
	}
	former := make(map[string]int, len(q.tenants)) // includes removed tenants that still have jobs
	for i := range q.tenants {
		if q.tenants[i].flows != nil {
			former[q.tenants[i].name] = i
		}
	}
	q.indexes = make(map[string]int, len(tenants))
	sum := 0.0
	for _, t := range tenants {
		sum += t.Share
		if i, stays := former[t.Name]; stays {
			q.indexes[t.Name] = i
			q.tenants[i].weight, q.tenants[i].removed = t.Share, false
		}
	}
	var free []int
	for i := range q.tenants {
		t := &q.tenants[i]
		if _, stays := q.indexes[t.name]; !stays || t.flows == nil {
			t.removed = true
		}
		if t.removed && t.queued == 0 && t.inFlight == 0 {
			free = append(free, i)
			*t = tenant{removed: true}
		}
	}
	for _, t := range tenants {
		if _, stays := former[t.Name]; stays {
			continue
		}
		i := len(q.tenants)
		if len(free) > 0 {
			i, free = free[0], free[1:]
		} else {
			q.tenants = append(q.tenants, tenant{})
		}
		q.indexes[t.Name] = i
		q.tenants[i] = tenant{name: t.Name, weight: t.Share, flows: make([]flow, q.options.ClientQueues), reservations: newReservations(),
			rate: t.Share / sum * float64(q.options.Concurrency)} // its rate if all tenants use their shares
	}
	return nil
}

// TenantIndex returns the index of a current tenant, or -1. After a removal of the tenant the
// index stays valid for the jobs that have arrived with it.
func (q *Queue) TenantIndex(name string) int {
	if i, ok := q.indexes[name]; ok {
		return i
	}
	return -1
}

// InFlight returns the number of jobs in flight.
func (q *Queue) InFlight() int { return q.inFlight }

// HasQueued reports whether any job is queued.
func (q *Queue) HasQueued() bool { return !q.isEmpty() }

// Queued returns the number of queued jobs of a tenant.
func (q *Queue) Queued(tenant int) int { return q.tenants[tenant].queued }

// SetConcurrency sets the maximum number of jobs in flight, which is at least 1.
func (q *Queue) SetConcurrency(n int) { q.options.Concurrency = max(1, n) }

// Arrive admits, queues or rejects a job. If the job is rejected, after is the Retry-After for
// its client.
func (q *Queue) Arrive(now time.Duration, a Request) (decision Decision, after time.Duration) {
	q.updateRates(now)
	t := &q.tenants[a.Tenant]
	a.Cost = max(a.Cost, 1e-6)
	id := q.hasher.hash(a.Client)
	reserved := t.reservations.redeem(now, id)
	if q.inFlight < q.options.Concurrency && q.isEmpty() {
		q.admit(a, q.assignStartTag(t, a, id))
		return Admitted, 0
	}
	// A job that would miss its deadline in the queue is rejected at once.
	wait := q.estimateWait(t)
	if !reserved && (t.queued >= q.options.MaxQueued || wait > a.MaxWait) {
		return Rejected, q.retryAfter(now, t, a, id, wait)
	}
	if reserved && t.queued >= 2*q.options.MaxQueued {
		return Rejected, q.retryAfter(now, t, a, id, wait)
	}
	f := &t.flows[id%uint64(len(t.flows))]
	start := q.assignStartTag(t, a, id)
	if reserved { // the client retries at the time of its reservation, so the job precedes new ones
		start = t.virtualTime
	}
	q.seq++
	if len(f.queue) == 0 {
		t.active = append(t.active, int(id%uint64(len(t.flows))))
	}
	f.queue = append(f.queue, queuedJob{a, now + a.MaxWait, start, q.seq})
	t.queued++
	t.queuedCost += a.Cost
	return Queued, 0
}

// isEmpty reports whether no job is queued.
func (q *Queue) isEmpty() bool {
	for i := range q.tenants {
		if q.tenants[i].queued > 0 {
			return false
		}
	}
	return true
}

// assignStartTag returns the start tag of a job, the maximum of the finish tag of its flow and the
// tenant's virtual time, and advances the finish tag of the flow.
func (q *Queue) assignStartTag(t *tenant, a Request, id uint64) float64 {
	f := &t.flows[id%uint64(len(t.flows))]
	start := max(t.virtualTime, f.finishTag)
	f.finishTag = start + a.Cost
	return start
}

// admit records a job as in flight and advances the virtual times.
func (q *Queue) admit(a Request, start float64) {
	t := &q.tenants[a.Tenant]
	tag := max(q.virtualTime, t.finishTag)
	t.finishTag = tag + a.Cost/t.weight
	q.virtualTime = tag
	t.virtualTime = max(t.virtualTime, start)
	t.inFlightCost += a.Cost
	t.inFlight++
	t.admittedCost += a.Cost
	q.inFlight++
}

// Release records the end of a job that was in flight.
func (q *Queue) Release(tenant int, cost float64) {
	if q.inFlight > 0 {
		q.inFlight--
	}
	t := &q.tenants[tenant]
	t.inFlight = max(0, t.inFlight-1)
	t.inFlightCost = max(0, t.inFlightCost-cost)
}

// Next admits the next queued job. It returns false if none is queued or the maximum number of
// jobs is in flight.
func (q *Queue) Next(now time.Duration) (r Request, ok bool) {
	q.updateRates(now)
	if q.inFlight >= q.options.Concurrency {
		return r, false
	}
	best, minTag := -1, math.Inf(1)
	for i := range q.tenants {
		t := &q.tenants[i]
		if tag := max(q.virtualTime, t.finishTag); t.queued > 0 && (tag < minTag || tag == minTag && t.finishTag < q.tenants[best].finishTag) {
			best, minTag = i, tag
		}
	}
	if best < 0 {
		return r, false
	}
	t := &q.tenants[best]
	next := t.dequeue(t.nextFlow(), 0)
	q.admit(next.request, next.startTag)
	return next.request, true
}

// nextFlow returns the index of the flow whose first job has the smallest start tag, and among
// equal ones arrived first.
func (t *tenant) nextFlow() int {
	best := -1
	for _, i := range t.active {
		if best < 0 {
			best = i
			continue
		}
		head, bestHead := &t.flows[i].queue[0], &t.flows[best].queue[0]
		if head.startTag < bestHead.startTag || head.startTag == bestHead.startTag && head.seq < bestHead.seq {
			best = i
		}
	}
	return best
}

// dequeue removes and returns the job at index i of a flow's queue.
func (t *tenant) dequeue(flow, i int) queuedJob {
	f := &t.flows[flow]
	removed := f.queue[i]
	if f.queue = slices.Delete(f.queue, i, i+1); len(f.queue) == 0 {
		f.queue = nil
		at := slices.Index(t.active, flow)
		t.active = slices.Delete(t.active, at, at+1)
	}
	t.queued--
	t.queuedCost = max(0, t.queuedCost-removed.request.Cost)
	return removed
}

// Expired is a job that was removed from the queue because it can no longer meet its deadline.
type Expired struct {
	Request
	RetryAfter time.Duration
}

// Expire removes the queued jobs that can no longer meet their deadlines, and returns them with
// the Retry-After for their clients.
func (q *Queue) Expire(now time.Duration) (out []Expired) {
	q.updateRates(now)
	for i := range q.tenants {
		t := &q.tenants[i]
		for _, flow := range slices.Clone(t.active) {
			for j := 0; j < len(t.flows[flow].queue); {
				if now < t.flows[flow].queue[j].deadline {
					j++
					continue
				}
				r := t.dequeue(flow, j).request
				out = append(out, Expired{r, q.retryAfter(now, t, r, q.hasher.hash(r.Client), q.estimateWait(t))})
			}
		}
	}
	return out
}

// Remove removes a job whose client has disconnected from the queue, and reports whether it was
// queued.
func (q *Queue) Remove(tenant int, token any) bool {
	t := &q.tenants[tenant]
	for _, flow := range t.active {
		if j := slices.IndexFunc(t.flows[flow].queue, func(job queuedJob) bool { return job.request.Token == token }); j >= 0 {
			t.dequeue(flow, j)
			return true
		}
	}
	return false
}

// updateRates updates the rates of the tenants for the intervals that have passed since the last
// update.
func (q *Queue) updateRates(now time.Duration) {
	if q.lastUpdate == 0 || now < q.lastUpdate {
		q.lastUpdate = now
		return
	}
	n := int((now - q.lastUpdate) / rateUpdateInterval)
	if n == 0 {
		return
	}
	q.lastUpdate += time.Duration(n) * rateUpdateInterval
	for i := range q.tenants {
		t := &q.tenants[i]
		admitted := t.admittedCost / (float64(n) * rateUpdateInterval.Seconds())
		if t.queued > 0 || admitted > t.rate { // otherwise it measures the demand, not the rate at which jobs could be admitted
			t.rate += (admitted - t.rate) * (1 - math.Pow(1-rateEWMAWeight, float64(n)))
		}
		t.admittedCost = 0
	}
}

// estimateWait estimates how long a new job of a tenant would be queued: the cost of the tenant's
// queued jobs divided by the rate at which they are admitted.
func (q *Queue) estimateWait(t *tenant) time.Duration {
	ahead := t.queuedCost
	if ahead == 0 && q.inFlight < q.options.Concurrency {
		return 0
	}
	return durationOfSeconds(ahead / max(t.rate, 1e-9))
}

// durationOfSeconds converts seconds to a duration of at most 1e6 s.
func durationOfSeconds(s float64) time.Duration {
	if s > 1e6 {
		return time.Duration(1e6 * float64(time.Second))
	}
	return time.Duration(s * float64(time.Second))
}

// retryAfter estimates after what time a rejected job would be admitted, and makes a reservation
// for its client at that time.
func (q *Queue) retryAfter(now time.Duration, t *tenant, a Request, id uint64, wait time.Duration) time.Duration {
	perSecond := t.rate / max(a.Cost, 1e-9) // rate in jobs of this cost
	after := t.reservations.reserve(now, id, max(wait-a.MaxWait/2, minRetryAfter), perSecond, q.options.MaxRetryAfter)
	return min(max(after, minRetryAfter), q.options.MaxRetryAfter)
}
