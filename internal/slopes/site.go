package slopes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sedgevale"
	"sedgevale/internal/peers"
)

const (
	short = iota
	long
)

const (
	way       = 200 * time.Microsecond // to a worker or another scheduler
	longRun   = 80_000 * time.Second   // 41,000 running at 44,000 starts a day (Little's law)
	bringFor  = 5 * time.Second        // long tasks come in within it
	idsAtOnce = 4096
	mostSends = 6
)

// site is schedulers of one site over hollow workers, which start jobs in the order in which they come, as slots are free.
type site struct {
	clock
	load    Load
	rand    *rand.Rand
	members []sedgevale.WorkerInfo
	ids     []string // of workers
	index   map[string]int32
	taken   []int32   // slots, by worker
	queues  [][]place // jobs that wait there
	jobs    []job
	names   []string
	byID    map[string]int32
	serial  int
	scheds  []*sched
	spent   Spent
}

// place is an attempt that waits at a worker.
type place struct {
	job, n, sched int32
}

// job is what a client wants.
type job struct {
	id     string
	run    time.Duration
	class  int
	tenant int
	sends  int8 // attempts
	open   int8 // of those, not over
	ended  bool
	began  uint8            // attempts that a worker has started, a bit each
	where  [mostSends]int32 // worker by attempt; -1: over
}

// sched is one scheduler: a Dispatcher and, where the site has several, a Node. It is the Dispatcher's host.
type sched struct {
	s       *site
	number  int32
	d       *sedgevale.Dispatcher
	node    *peers.Node
	changed []sedgevale.Told
	news    []sedgevale.Told
}

// Spent is what was done by the calls on real Dispatchers and Nodes, in all.
type Spent struct {
	Rounds, Jobs, Refused, Sends, Full int
	Round, Job, Signals                time.Duration // on the machine's clock
	Datagrams, Bytes                   int           // sent
	Entries                            int
}

var theClasses = []sedgevale.Class{
	{Name: "short", Effect: sedgevale.Safe, Aim: 2 * time.Second, Stretch: 3, Limit: 30 * time.Second},
	{Name: "long", Effect: sedgevale.Safe, Aim: 24 * time.Hour, Stretch: 3, Limit: 1000 * time.Hour},
}

// newSite starts so many schedulers; the load's other ones are there in name only.
func newSite(l Load, scheds int, signals bool) *site {
	s := &site{load: l, rand: rand.New(rand.NewPCG(l.Seed, 1)), index: map[string]int32{}, byID: map[string]int32{}}
	s.ids = workerIDs(s.rand, l.Workers)
	for i, id := range s.ids {
		s.index[id] = int32(i)
		s.members = append(s.members, sedgevale.WorkerInfo{Worker: id, Zone: i % 19, Cell: i / 8, Weight: float64(l.Slots)})
	}
	s.taken, s.queues = make([]int32, l.Workers), make([][]place, l.Workers)
	for i := range scheds {
		s.start(int32(i), signals)
	}
	return s
}

func (l Load) settings() sedgevale.Settings {
	set := sedgevale.Settings{Peers: max(1, l.Schedulers), MaxAttempts: mostSends, ParallelTries: true, MayCancel: true, TellsStart: true, InOrder: true,
		MaxRetryAfter: 2 * time.Second, Weights: sedgevale.WeightSize, Classes: theClasses}
	rate := l.JobsPerS*float64(max(1, l.Schedulers)) + float64(l.Running)/longRun.Seconds()
	for i := range l.Tenants {
		set.Tenants = append(set.Tenants, sedgevale.Tenant{Name: fmt.Sprintf("tenant-%04d", i), Share: 1, Quota: 2 * max(1, rate) / float64(l.Tenants)})
	}
	return set
}

func (s *site) start(number int32, signals bool) {
	c := &sched{s: s, number: number}
	s.scheds = append(s.scheds, c)
	var err error
	if c.d, err = sedgevale.New(s.load.settings(), s.rand.Uint64(), c); err != nil {
		panic(err) // the settings are ours
	}
	c.d.Members(s.now, sedgevale.ListStale, s.members)
	// How long jobs run is learned from ends, and long tasks do not end here: it is given as a scheduler that takes over has it.
	l := c.d.Learned(s.now)
	for i, run := range []float64{s.load.ShortS, longRun.Seconds()} {
		if i == long && s.load.Unlearned {
			continue
		}
		l.Classes[i].Run, l.Classes[i].Base, l.Classes[i].Complete, l.Classes[i].Runs = run, run, run, 100
	}
	c.d.Adopt(s.now, l)
	if s.load.Part || signals {
		node := s.load.node(int(number))
		node.Boxes(s.ids)
		if part, sharers := node.Part(); s.load.Part {
			c.d.Part(s.now, part, sharers)
		}
		if signals {
			c.node = node
			c.d.Tell()
			s.after(time.Duration(s.rand.Int64N(int64(peers.TickEvery))), event{kind: dueTick, to: number})
		}
	}
	if s.load.JobsPerS > 0 {
		s.after(s.gap(), event{kind: dueJob, to: number})
	}
	for range s.load.Running {
		s.after(time.Duration(s.rand.Int64N(int64(bringFor))), event{kind: dueTask, to: number})
	}
}

func (l Load) node(number int) *peers.Node {
	return peers.New(peers.Options{Self: number, Members: l.Schedulers, Site: 1, Incarnation: 1, Hearers: hearers, Least: leastPart,
		Watch: rand.New(rand.NewPCG(l.Seed, uint64(number)))})
}

func (s *site) gap() time.Duration {
	return time.Duration(s.rand.ExpFloat64() / s.load.JobsPerS * float64(time.Second))
}

// run plays until a moment.
func (s *site) run(until time.Duration) {
	for {
		e, ok := s.next(until)
		if !ok {
			return
		}
		s.scheds[e.to].happen(&e)
	}
}

// happen tells the Dispatcher or the Node what is due.
func (c *sched) happen(e *event) {
	s := c.s
	switch e.kind {
	case dueJob:
		s.after(s.gap(), event{kind: dueJob, to: c.number})
		c.take(short, time.Duration(s.rand.ExpFloat64()*s.load.ShortS*float64(time.Second)))
	case dueTask:
		c.take(long, longRun)
	case dueTimer:
		from := time.Now()
		c.d.Timer(s.now, e.token)
		if e.token == 0 { // the round's: seen by its even pace, which the tests check
			s.spent.Rounds++
			s.spent.Round += time.Since(from)
		} else {
			s.spent.Job += time.Since(from)
		}
	case dueStarted:
		from := time.Now()
		_ = c.d.Started(s.now, s.jobs[e.job].id, int(e.n)) // an attempt called off meanwhile is no matter
		s.spent.Job += time.Since(from)
	case dueEnded, dueCancelled:
		c.ended(e)
	case dueProbed:
		c.d.Probed(s.now, s.ids[e.job], &sedgevale.Report{HasFree: true, Free: s.freeAt(e.job)})
	case dueTick:
		s.after(peers.TickEvery, event{kind: dueTick, to: c.number})
		from := time.Now()
		c.node.Tick(s.now)
		c.hear()
		s.spent.Signals += time.Since(from)
	case dueDatagram:
		from := time.Now()
		if c.node.Receive(s.now, int(e.job), e.data) == nil {
			c.hear()
		}
		s.spent.Signals += time.Since(from)
	}
	c.tell()
}

// freeAt is what a worker reports: below 0 if jobs wait there.
func (s *site) freeAt(worker int32) float64 {
	return float64(s.load.Slots - int(s.taken[worker]) - len(s.queues[worker]))
}

// begin has a worker start an attempt on a free slot.
func (s *site) begin(worker int32, p place) {
	s.taken[worker]++
	j := &s.jobs[p.job]
	j.began |= 1 << p.n
	s.after(2*way, event{kind: dueStarted, to: p.sched, job: p.job, n: p.n})
	if j.class == short {
		s.after(2*way+j.run, event{kind: dueEnded, to: p.sched, job: p.job, n: p.n})
	}
}

// leave has an attempt leave a worker, and the next that waits begin.
func (s *site) leave(worker, job, n int32) {
	if s.jobs[job].began&(1<<n) == 0 {
		s.queues[worker] = slices.DeleteFunc(s.queues[worker], func(p place) bool { return p.job == job && p.n == n })
		return
	}
	s.taken[worker]--
	if q := s.queues[worker]; len(q) > 0 {
		next := q[0]
		s.queues[worker] = slices.Delete(q, 0, 1)
		s.begin(worker, next)
	}
}

// take has a client hand in a job.
func (c *sched) take(class int, run time.Duration) {
	s := c.s
	if len(s.names) == 0 { // made at once, so that what a job allocates is the Dispatcher's
		for range idsAtOnce {
			s.serial++
			s.names = append(s.names, fmt.Sprintf("job-%08d", s.serial))
		}
	}
	j := job{id: s.names[len(s.names)-1], run: run, class: class}
	s.names = s.names[:len(s.names)-1]
	if s.load.Tenants > 0 {
		j.tenant = s.rand.IntN(s.load.Tenants)
	}
	at := int32(len(s.jobs))
	s.jobs = append(s.jobs, j)
	s.byID[j.id] = at
	s.spent.Jobs++
	q := sedgevale.Request{ID: j.id, Class: class, Tenant: j.tenant, Left: theClasses[class].Limit, Slots: 1}
	from := time.Now()
	if err := c.d.Request(s.now, q); err != nil {
		panic(err) // the request is ours
	}
	s.spent.Job += time.Since(from)
}

// ended ends an attempt.
func (c *sched) ended(e *event) {
	s := c.s
	j := &s.jobs[e.job]
	if j.where[e.n] < 0 {
		return // called off before
	}
	worker := j.where[e.n]
	j.where[e.n] = -1
	s.leave(worker, e.job, e.n)
	j.open--
	o := sedgevale.Served
	if e.kind == dueCancelled {
		o = sedgevale.Cancelled
	} else {
		j.ended = true
	}
	id, closed := j.id, j.ended
	s.done(e.job)
	from := time.Now()
	_ = c.d.Outcome(s.now, sedgevale.Result{ID: id, Attempt: int(e.n), Outcome: o, Closed: closed,
		Report: &sedgevale.Report{HasFree: true, Free: s.freeAt(worker)}})
	s.spent.Job += time.Since(from)
}

// done forgets a job that is over.
func (s *site) done(at int32) {
	if j := &s.jobs[at]; j.ended && j.open == 0 {
		delete(s.byID, j.id)
	}
}

// What follows is the scheduler's side of sedgevale.Host.

// Send has a hollow worker start the job, or keep it until a slot is free.
func (c *sched) Send(id, worker string, _ time.Duration) {
	s := c.s
	at, w := s.byID[id], s.index[worker]
	j := &s.jobs[at]
	n := int32(j.sends)
	j.where[n] = w
	j.sends++
	j.open++
	s.spent.Sends++
	if p := (place{at, n, c.number}); s.taken[w] < int32(s.load.Slots) {
		s.begin(w, p)
	} else {
		s.spent.Full++
		s.queues[w] = append(s.queues[w], p)
	}
}

// Refuse ends a job.
func (c *sched) Refuse(id string, _ time.Duration) { c.Fail(id) }

// Fail ends a job.
func (c *sched) Fail(id string) {
	at := c.s.byID[id]
	c.s.spent.Refused++
	c.s.jobs[at].ended = true
	c.s.done(at)
}

// Cancel calls an attempt off.
func (c *sched) Cancel(id string, n int) {
	c.s.after(way, event{kind: dueCancelled, to: c.number, job: c.s.byID[id], n: int32(n)})
}

// SetTimer has the Dispatcher woken.
func (c *sched) SetTimer(after time.Duration, token uint64) {
	c.s.after(after, event{kind: dueTimer, to: c.number, token: token})
}

// Probe asks a worker for its load.
func (c *sched) Probe(worker string) {
	c.s.after(2*way, event{kind: dueProbed, to: c.number, job: c.s.index[worker]})
}

// CloseIdle has nothing to do: hollow workers have no connections.
func (c *sched) CloseIdle(string) {}

// Watch is not needed: the list is told at the start.
func (c *sched) Watch() {}

// Log is of no use here.
func (c *sched) Log(string) {}

// What follows joins the Dispatcher with the Node, as internal/peerlink does.

func (c *sched) tell() {
	if c.node == nil {
		return
	}
	from := time.Now()
	c.changed = c.d.Changed(c.changed[:0])
	for _, t := range c.changed {
		c.node.Out(c.s.now, t.Worker, peers.Out{Slots: int(t.Held + 0.5), Waiting: t.Waiting}, t.Full)
	}
	c.node.Flush(c.s.now, c.post)
	c.s.spent.Signals += time.Since(from)
}

func (c *sched) post(to int, datagram []byte) {
	s := c.s
	s.spent.note(datagram)
	if to < len(s.scheds) {
		s.after(way, event{kind: dueDatagram, to: int32(to), job: c.number, data: slices.Clone(datagram)})
	}
}

func (sp *Spent) note(datagram []byte) {
	sp.Datagrams++
	sp.Bytes += len(datagram)
	sp.Entries += entriesOf(datagram)
}

func (c *sched) hear() {
	c.news = c.news[:0]
	c.node.News(func(id string, slots, waiting int) {
		c.news = append(c.news, sedgevale.Told{Worker: id, Load: sedgevale.Load{Held: float64(slots), Waiting: waiting}})
	})
	if len(c.news) > 0 {
		c.d.Others(c.s.now, c.news)
	}
}
