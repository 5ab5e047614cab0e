// Package fairqueue decides who of those that ask may come in, in which order, and when those
// who may not should come back. It stands between the fronts and the planners and is fair
// twice over: between co-ops by their shares, and inside a co-op between its clients. It
// is pure: it does no input or output, and time is an argument. It never decides which
// worker a job goes to. A Door is for one goroutine at a time.
//
// Order is by start-time fair queueing (Goyal, Vin and Cheng, 1996), in two levels. A flow
// that asks for less than its share is never behind one that asks for more, and what one
// leaves others use.
package fairqueue

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Coop is one of those who share what is behind the door.
type Coop struct {
	Name  string
	Share float64 // only proportions count
}

// Options set a Door up.
type Options struct {
	Coops       []Coop
	Concurrency int           // jobs inside at a time, in slots
	Queue       int           // jobs that may wait, of a co-op; 0: 256
	Clients     int           // of a co-op that have a queue of their own; 0: 512
	MaxAfter    time.Duration // the longest advice; 0: 30 s
	Seed        uint64        // of the hash by which clients that have none share queues
}

const (
	queueDefault   = 256
	clientsDefault = 512
	afterDefault   = 30 * time.Second
	afterLeast     = 50 * time.Millisecond
	rateGain       = 0.2 // EWMA weight of a tick in a co-op's rate
	rateTick       = 100 * time.Millisecond
	costGain       = 1.0 / 32
)

// Check returns an error for options that make no sense.
func (o *Options) Check() error {
	if len(o.Coops) == 0 {
		return errors.New("door: no co-op")
	}
	if err := checkCoops(o.Coops); err != nil {
		return err
	}
	if o.Concurrency <= 0 || o.Queue < 0 || o.Clients < 0 || o.MaxAfter < 0 {
		return errors.New("door: concurrency must be positive, and no bound negative")
	}
	return nil
}

func checkCoops(coops []Coop) error {
	seen := make(map[string]bool, len(coops))
	for _, c := range coops {
		if !(c.Share > 0) || math.IsInf(c.Share, 0) {
			return fmt.Errorf("door: co-op %q: its share must be positive", c.Name)
		}
		if seen[c.Name] {
			return fmt.Errorf("door: co-op %q is there twice", c.Name)
		}
		seen[c.Name] = true
	}
	return nil
}

// Ask is a job at the door.
type Ask struct {
	Token  any // of whoever asks
	Coop   int // as Number tells it
	Client string
	Cost   float64       // what it is expected to take, in slot-seconds
	Left   time.Duration // how long it may wait and still be in time
}

// Verdict says what becomes of an ask.
type Verdict uint8

// The verdicts.
const (
	In Verdict = iota
	Wait
	Refused
)

type waiter struct {
	ask   Ask
	until time.Duration
	start float64 // its tag within the co-op
	seq   uint64
}

// flow is a client of a co-op, or several that share a place.
type flow struct {
	finish float64 // tag of its last job
	queue  []waiter
}

type coop struct {
	name    string
	gone    bool    // nobody new comes; who waits or is inside keeps his rights
	weight  float64 // its share as it was given: that of others changes nothing here
	finish  float64 // tag of its last job, at the level of co-ops
	virtual float64 // of its clients
	flows   []flow
	active  []int // flows in which somebody waits
	waiting int
	cost    float64 // of those that wait
	inside  float64 // cost of those inside
	jobs    int     // those

	served float64 // cost let in since the last tick
	rate   float64 // cost that can be let in a second
	book   ledger
}

// Door is the state.
type Door struct {
	opt     Options
	coops   []coop // by number; a number stays until its co-op is gone and nobody of it is here
	numbers map[string]int
	virtual float64
	inside  int
	seq     uint64
	tick    time.Duration
	hasher  hasher
}

// New returns a Door.
func New(o Options) (*Door, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if o.Queue == 0 {
		o.Queue = queueDefault
	}
	if o.Clients == 0 {
		o.Clients = clientsDefault
	}
	if o.MaxAfter == 0 {
		o.MaxAfter = afterDefault
	}
	d := &Door{opt: o, hasher: newHasher(o.Seed)}
	return d, d.Retune(o.Coops)
}

// Retune goes on by other co-ops, none among them, matched by their names. One that stays keeps its number, its place
// in the order, its queue and its rate. One that goes is served to the end by the share that it had. An error
// changes nothing.
func (d *Door) Retune(coops []Coop) error {
	if err := checkCoops(coops); err != nil {
		return err
	}
	former := make(map[string]int, len(d.coops)) // also those that are gone and still have somebody here
	for i := range d.coops {
		if d.coops[i].flows != nil {
			former[d.coops[i].name] = i
		}
	}
	d.numbers = make(map[string]int, len(coops))
	sum := 0.0
	for _, c := range coops {
		sum += c.Share
		if i, stays := former[c.Name]; stays {
			d.numbers[c.Name] = i
			d.coops[i].weight, d.coops[i].gone = c.Share, false
		}
	}
	var free []int
	for i := range d.coops {
		c := &d.coops[i]
		if _, stays := d.numbers[c.name]; !stays || c.flows == nil {
			c.gone = true
		}
		if c.gone && c.waiting == 0 && c.jobs == 0 {
			free = append(free, i)
			*c = coop{gone: true}
		}
	}
	for _, c := range coops {
		if _, stays := former[c.Name]; stays {
			continue
		}
		i := len(d.coops)
		if len(free) > 0 {
			i, free = free[0], free[1:]
		} else {
			d.coops = append(d.coops, coop{})
		}
		d.numbers[c.Name] = i
		d.coops[i] = coop{name: c.Name, weight: c.Share, flows: make([]flow, d.opt.Clients), book: newLedger(),
			rate: c.Share / sum * float64(d.opt.Concurrency)} // what it has if all are busy
	}
	return nil
}

// Number returns the number of a co-op that is not gone, or -1. It holds for jobs that have asked with it until
// they are over.
func (d *Door) Number(name string) int {
	if i, ok := d.numbers[name]; ok {
		return i
	}
	return -1
}

// Inside returns how many jobs are inside, Waiting how many wait.
func (d *Door) Inside() int { return d.inside }

// AnyWaiting reports whether anybody waits.
func (d *Door) AnyWaiting() bool { return !d.idle() }

// Waiting returns how many jobs of a co-op wait.
func (d *Door) Waiting(coop int) int { return d.coops[coop].waiting }

// SetConcurrency moves the bound, as an adaptive limit does.
func (d *Door) SetConcurrency(n int) { d.opt.Concurrency = max(1, n) }

// Arrive takes in that a job asks. With Refused, after is when it had better come back.
func (d *Door) Arrive(now time.Duration, a Ask) (v Verdict, after time.Duration) {
	d.advance(now)
	c := &d.coops[a.Coop]
	a.Cost = max(a.Cost, 1e-6)
	id := d.hasher.of(a.Client)
	kept := c.book.returns(now, id)
	if d.inside < d.opt.Concurrency && d.idle() {
		d.enter(now, a, d.startTag(c, a, id))
		return In, 0
	}
	// Who could not be let in before its time is over is told at once.
	wait := d.waitFor(c, a)
	if !kept && (c.waiting >= d.opt.Queue || wait > a.Left) {
		return Refused, d.comeBack(now, c, a, id, wait)
	}
	if kept && c.waiting >= 2*d.opt.Queue {
		return Refused, d.comeBack(now, c, a, id, wait)
	}
	f := &c.flows[id%uint64(len(c.flows))]
	start := d.startTag(c, a, id)
	if kept { // it was told to come now, so it goes ahead of newcomers
		start = c.virtual
	}
	d.seq++
	if len(f.queue) == 0 {
		c.active = append(c.active, int(id%uint64(len(c.flows))))
	}
	f.queue = append(f.queue, waiter{a, now + a.Left, start, d.seq})
	c.waiting++
	c.cost += a.Cost
	return Wait, 0
}

func (d *Door) idle() bool {
	for i := range d.coops {
		if d.coops[i].waiting > 0 {
			return false
		}
	}
	return true
}

// startTag gives a job its place within its co-op: behind the last of its client, but not
// behind where the co-op stands.
func (d *Door) startTag(c *coop, a Ask, id uint64) float64 {
	f := &c.flows[id%uint64(len(c.flows))]
	start := max(c.virtual, f.finish)
	f.finish = start + a.Cost
	return start
}

// enter lets a job in.
func (d *Door) enter(now time.Duration, a Ask, start float64) {
	c := &d.coops[a.Coop]
	tag := max(d.virtual, c.finish)
	c.finish = tag + a.Cost/c.weight
	d.virtual = tag
	c.virtual = max(c.virtual, start)
	c.inside += a.Cost
	c.jobs++
	c.served += a.Cost
	d.inside++
}

// Leave takes in that a job that was inside is over.
func (d *Door) Leave(coop int, cost float64) {
	if d.inside > 0 {
		d.inside--
	}
	c := &d.coops[coop]
	c.jobs = max(0, c.jobs-1)
	c.inside = max(0, c.inside-cost)
}

// Next returns the job that goes in now, if one can.
func (d *Door) Next(now time.Duration) (a Ask, ok bool) {
	d.advance(now)
	if d.inside >= d.opt.Concurrency {
		return a, false
	}
	best, least := -1, math.Inf(1)
	for i := range d.coops {
		c := &d.coops[i]
		if tag := max(d.virtual, c.finish); c.waiting > 0 && (tag < least || tag == least && c.finish < d.coops[best].finish) {
			best, least = i, tag
		}
	}
	if best < 0 {
		return a, false
	}
	c := &d.coops[best]
	fi := c.first()
	w := c.take(fi, 0)
	d.enter(now, w.ask, w.start)
	return w.ask, true
}

// first returns the flow whose first job has the least tag.
func (c *coop) first() int {
	best := -1
	for _, i := range c.active {
		q := c.flows[i].queue
		if best < 0 || q[0].start < c.flows[best].queue[0].start ||
			q[0].start == c.flows[best].queue[0].start && q[0].seq < c.flows[best].queue[0].seq {
			best = i
		}
	}
	return best
}

func (c *coop) take(flow, i int) waiter {
	f := &c.flows[flow]
	w := f.queue[i]
	if f.queue = slices.Delete(f.queue, i, i+1); len(f.queue) == 0 {
		f.queue = nil
		k := slices.Index(c.active, flow)
		c.active = slices.Delete(c.active, k, k+1)
	}
	c.waiting--
	c.cost = max(0, c.cost-w.ask.Cost)
	return w
}

// Expired is a job that has waited in vain.
type Expired struct {
	Ask
	After time.Duration
}

// Expire returns the jobs that cannot be in time any more, and when they had better come
// back.
func (d *Door) Expire(now time.Duration) (out []Expired) {
	d.advance(now)
	for i := range d.coops {
		c := &d.coops[i]
		for _, k := range slices.Clone(c.active) {
			for j := 0; j < len(c.flows[k].queue); {
				if now < c.flows[k].queue[j].until {
					j++
					continue
				}
				w := c.take(k, j)
				out = append(out, Expired{w.ask, d.comeBack(now, c, w.ask, d.hasher.of(w.ask.Client), d.waitFor(c, w.ask))})
			}
		}
	}
	return out
}

// Gone takes a job out whose client has left, and reports whether it was waiting.
func (d *Door) Gone(coop int, token any) bool {
	c := &d.coops[coop]
	for _, k := range c.active {
		if j := slices.IndexFunc(c.flows[k].queue, func(w waiter) bool { return w.ask.Token == token }); j >= 0 {
			c.take(k, j)
			return true
		}
	}
	return false
}

// advance brings the rates up to now.
func (d *Door) advance(now time.Duration) {
	if d.tick == 0 || now < d.tick {
		d.tick = now
		return
	}
	n := int((now - d.tick) / rateTick)
	if n == 0 {
		return
	}
	d.tick += time.Duration(n) * rateTick
	for i := range d.coops {
		c := &d.coops[i]
		seen := c.served / (float64(n) * rateTick.Seconds())
		if c.waiting > 0 || seen > c.rate { // else it says how little was asked, not how much could go in
			c.rate += (seen - c.rate) * (1 - math.Pow(1-rateGain, float64(n)))
		}
		c.served = 0
	}
}

// waitFor estimates how long a job of a co-op would wait: what is before it, over the rate
// at which the co-op's jobs go in.
func (d *Door) waitFor(c *coop, a Ask) time.Duration {
	ahead := c.cost
	if ahead == 0 && d.inside < d.opt.Concurrency {
		return 0
	}
	return seconds(ahead / max(c.rate, 1e-9))
}

func seconds(s float64) time.Duration {
	if s > 1e6 {
		return time.Duration(1e6 * float64(time.Second))
	}
	return time.Duration(s * float64(time.Second))
}

// comeBack says when a job that is refused would most likely be let in, and keeps a place
// for it then.
func (d *Door) comeBack(now time.Duration, c *coop, a Ask, id uint64, wait time.Duration) time.Duration {
	perSecond := c.rate / max(a.Cost, 1e-9) // jobs like this one
	after := c.book.reserve(now, id, max(wait-a.Left/2, afterLeast), perSecond, d.opt.MaxAfter)
	return min(max(after, afterLeast), d.opt.MaxAfter)
}
