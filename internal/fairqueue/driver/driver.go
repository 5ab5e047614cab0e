// Package driver puts a door between the fronts and the planners: it keeps the time,
// tells the door what comes and goes, and carries out what the door decides.
package driver

import (
	"log/slog"
	"sync"
	"time"

	"sedgevale/internal/dispatch"
	"sedgevale/internal/fairqueue"
)

// Planners take requests in.
type Planners interface {
	Request(*dispatch.Exchange)
	Gone(*dispatch.Exchange)
}

// Keeper stands before Planners and is one itself, for the fronts.
type Keeper struct {
	inner Planners
	clock dispatch.Clock
	most  time.Duration // the longest advice; 0: none is given
	log   *slog.Logger

	mu    sync.Mutex
	door  *fairqueue.Door
	jobs  map[*dispatch.Exchange]*job
	cost  map[string]float64 // seconds a slot is held, by class
	armed bool
	stats Stats
}

// Stats are counts since the start.
type Stats struct {
	In, Waited, Refused, Late uint64
}

type job struct {
	x      *dispatch.Exchange
	ask    fairqueue.Ask
	inside bool
	since  time.Duration
}

const (
	costFirst = 0.1 // seconds, of a class that nothing is known of
	costGain  = 1.0 / 32
	lookEvery = 10 * time.Millisecond // while somebody waits
	margin    = 20 * time.Millisecond // of a job's time, for its answer
)

// New returns a Keeper. Most is the longest advice that clients heed, 0 if none is given.
func New(o fairqueue.Options, inner Planners, clock dispatch.Clock, most time.Duration, log *slog.Logger) (*Keeper, error) {
	if most > 0 {
		o.MaxAfter = most
	}
	d, err := fairqueue.New(o)
	if err != nil {
		return nil, err
	}
	return &Keeper{inner: inner, clock: clock, most: most, log: log, door: d, jobs: map[*dispatch.Exchange]*job{}, cost: map[string]float64{}}, nil
}

// Request takes a request to the door.
func (k *Keeper) Request(x *dispatch.Exchange) {
	now := k.clock.Now()
	k.mu.Lock()
	number := -1
	if x.Tenant >= 0 {
		number = k.door.Number(x.TenantName)
	}
	if number < 0 { // of no co-op, or of one that went as it came: there is nothing to share by
		k.mu.Unlock()
		k.inner.Request(x)
		return
	}
	j := &job{x: x}
	j.ask = fairqueue.Ask{Token: j, Coop: number, Client: x.Client, Cost: k.costOf(x) * max(1, x.Slots), Left: x.Left(now)/2 - margin}
	x.Intercept(func(c dispatch.Client) dispatch.Client { return &leaver{c, k, j} })
	v, after := k.door.Arrive(now, j.ask)
	if v != fairqueue.Refused {
		k.jobs[x] = j
	}
	switch v {
	case fairqueue.In:
		k.stats.In++
		j.inside, j.since = true, now
	case fairqueue.Wait:
		k.stats.Waited++
		k.arm()
	case fairqueue.Refused:
		k.stats.Refused++
	}
	k.mu.Unlock()
	switch v {
	case fairqueue.In:
		k.inner.Request(x)
	case fairqueue.Refused:
		x.TurnAway(min(after, k.most), "its co-op's queue is full")
	}
}

// Retune goes on by other co-ops. Jobs that wait or are inside keep their rights. An error changes nothing.
func (k *Keeper) Retune(coops []fairqueue.Coop) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.door.Retune(coops)
}

func (k *Keeper) costOf(x *dispatch.Exchange) float64 {
	if c, ok := k.cost[x.Class.Name]; ok {
		return c
	}
	return costFirst
}

// Gone tells that a client has left.
func (k *Keeper) Gone(x *dispatch.Exchange) {
	k.mu.Lock()
	j := k.jobs[x]
	if j != nil && !j.inside {
		k.door.Gone(j.ask.Coop, j)
		delete(k.jobs, x)
		k.mu.Unlock()
		return
	}
	k.mu.Unlock()
	k.inner.Gone(x)
	if j != nil {
		k.leave(j, false)
	}
}

// leave tells the door that a job is over, and lets others in.
func (k *Keeper) leave(j *job, served bool) {
	now := k.clock.Now()
	k.mu.Lock()
	if k.jobs[j.x] != j || !j.inside {
		k.mu.Unlock()
		return
	}
	delete(k.jobs, j.x)
	k.door.Leave(j.ask.Coop, j.ask.Cost)
	if served {
		old := k.costOf(j.x)
		k.cost[j.x.Class.Name] = old + ((now-j.since).Seconds()-old)*costGain
	}
	k.mu.Unlock()
	k.advance()
}

// advance lets in who can, and refuses who cannot be in time any more.
func (k *Keeper) advance() {
	now := k.clock.Now()
	var in []*dispatch.Exchange
	var late []fairqueue.Expired
	k.mu.Lock()
	for {
		a, ok := k.door.Next(now)
		if !ok {
			break
		}
		j := a.Token.(*job)
		j.inside, j.since = true, now
		k.stats.In++
		in = append(in, j.x)
	}
	late = k.door.Expire(now)
	for _, e := range late {
		k.stats.Late++
		delete(k.jobs, e.Token.(*job).x)
	}
	k.mu.Unlock()
	for _, x := range in {
		k.inner.Request(x)
	}
	for _, e := range late {
		e.Token.(*job).x.TurnAway(min(e.After, k.most), "its co-op's turn did not come in time")
	}
}

// arm looks at the queue again after a while, as long as anybody waits. The lock is held.
func (k *Keeper) arm() {
	if k.armed {
		return
	}
	k.armed = true
	time.AfterFunc(lookEvery, func() {
		k.advance()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.armed = false
		if k.door.AnyWaiting() {
			k.arm()
		}
	})
}

// Waiting returns how many jobs wait at the door.
func (k *Keeper) Waiting() (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, j := range k.jobs {
		if !j.inside {
			n++
		}
	}
	return n
}

// Close refuses all that wait, at the end of the process.
func (k *Keeper) Close() {
	k.mu.Lock()
	var out []*job
	for x, j := range k.jobs {
		if !j.inside {
			k.door.Gone(j.ask.Coop, j)
			delete(k.jobs, x)
			out = append(out, j)
		}
	}
	k.mu.Unlock()
	for _, j := range out {
		j.x.TurnAway(0, "the scheduler ends")
	}
}

// Stats returns the counts.
func (k *Keeper) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stats
}

// leaver is a job's client that tells the keeper of its answer.
type leaver struct {
	dispatch.Client
	k *Keeper
	j *job
}

func (l *leaver) Answer(a dispatch.Answer) {
	l.Client.Answer(a)
	l.k.leave(l.j, a.Kind == dispatch.Served)
}
