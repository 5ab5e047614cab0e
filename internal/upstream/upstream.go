// Package upstream is the server side: it carries attempts to workers over
// HTTP/1.1 connections on a gnet event loop, one attempt a connection at a
// time. It decides nothing and never sends anything again on its own.
package upstream

import (
	"context"
	"log/slog"
	"time"

	"sedgevale"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/evloop"
	"sedgevale/internal/fdlimit"
	"sedgevale/internal/http1"
)

// Options set a Pool up.
type Options struct {
	DialTimeout time.Duration
	IdleClose   time.Duration // when workers close an idle connection; 0: not told
	Host        string        // the Host field of what is sent
	Clock       dispatch.Clock
	Loop        *evloop.Loop
	Budget      *fdlimit.Budget
	Log         *slog.Logger
}

// Member is a worker as the list has it.
type Member struct {
	ID, Addr string
	Ready    bool // else it drains or is gone
}

const (
	sweepEvery  = 500 * time.Millisecond
	defaultIdle = 30 * time.Second
	idlePart    = 0.6 // of the time after which a worker closes: a request must not cross that
	probeWait   = time.Second
	tailWait    = time.Second
	wearPart    = 0.95 // of what was counted, at the next sweep
	wearLeast   = 1.5  // kept connections that broke, for them to be avoided
	wearTimes   = 3    // how much more often than new ones
	wearDoubt   = 20   // new connections among which one may be thought to break
	keptMost    = 4    // to one worker, while those are avoided
)

// Pool holds the connections to all workers. It implements core.Carrier.
type Pool struct {
	opt  Options
	loop *evloop.Loop

	// For the loop alone.
	workers map[string]*worker
	out     map[string]bool // cordoned: nothing is sent there, whatever the list says
	flights map[*dispatch.Attempt]*flight
	tails   map[*conn]struct{} // their attempt is over, the end of the answer is still to come
	kept    wear               // of connections that had carried an attempt before
	made    wear               // of new ones
}

// wear counts attempts on connections, and those whose connection broke before
// any answer; older ones count less.
type wear struct{ used, broke float64 }

func (w *wear) age() { w.used, w.broke = w.used*wearPart, w.broke*wearPart }

// keptBreak reports whether connections that were kept break under the next
// request, and far more often than new ones.
func (p *Pool) keptBreak() bool {
	return p.kept.broke >= wearLeast &&
		p.kept.broke/p.kept.used > wearTimes*(p.made.broke+1)/(p.made.used+wearDoubt)
}

type worker struct {
	id, addr string
	ready    bool
	idle     []*conn // the most recently used last
	dialling map[*flight]struct{}
}

// flight is an attempt on its way, or a probe.
type flight struct {
	a    *dispatch.Attempt // nil: a probe
	p    *dispatch.Planner // of the probe
	w    *worker
	c    *conn // nil: not connected yet
	over bool
}

// New returns a Pool.
func New(opt Options) *Pool {
	opt.times(opt.DialTimeout, opt.IdleClose)
	p := &Pool{opt: opt, loop: opt.Loop, workers: map[string]*worker{}, out: map[string]bool{},
		flights: map[*dispatch.Attempt]*flight{}, tails: map[*conn]struct{}{}}
	opt.Budget.OnDire(func(n int) { p.loop.Do(func() { p.closeIdle(n) }) })
	return p
}

// Retune takes other times over.
func (p *Pool) Retune(dialTimeout, idleClose time.Duration) {
	p.loop.Do(func() { p.opt.times(dialTimeout, idleClose) })
}

func (o *Options) times(dialTimeout, idleClose time.Duration) {
	if o.IdleClose = idleClose; o.IdleClose <= 0 {
		o.IdleClose = defaultIdle
	}
	if o.DialTimeout = dialTimeout; o.DialTimeout <= 0 {
		o.DialTimeout = time.Second
	}
}

// Run closes connections that are idle for too long, until the context ends.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.loop.Do(p.sweep)
		case <-ctx.Done():
			return
		}
	}
}

// Members brings the list, or what has changed in it. With whole, who is absent
// has been removed.
func (p *Pool) Members(whole bool, members []Member) {
	p.loop.Do(func() {
		if whole {
			named := make(map[string]bool, len(members))
			for _, m := range members {
				named[m.ID] = true
			}
			for id, w := range p.workers {
				if !named[id] {
					p.leave(w)
				}
			}
		}
		for _, m := range members {
			w := p.workers[m.ID]
			if w == nil {
				w = &worker{id: m.ID, dialling: map[*flight]struct{}{}}
				p.workers[m.ID] = w
			}
			if w.addr != m.Addr {
				p.clear(w) // what is being dialled would come up at the address that was
				w.addr = m.Addr
			}
			if w.ready = m.Ready; !m.Ready {
				p.leave(w)
			}
		}
	})
}

// Cordon takes a worker out, or puts it back, whatever the list says of it. Done is
// called once nothing more goes there.
func (p *Pool) Cordon(id string, out bool, done func()) {
	p.loop.Do(func() {
		delete(p.out, id)
		if out {
			p.out[id] = true
			if w := p.workers[id]; w != nil {
				p.clear(w)
			}
		}
		done()
	})
}

func (p *Pool) takes(w *worker) bool { return w.ready && !p.out[w.id] }

// leave ends what has not been sent yet to a worker that drains or is gone: the
// rule counts a send from its first byte, which a dial may put off.
func (p *Pool) leave(w *worker) {
	w.ready = false
	p.clear(w)
}

func (p *Pool) clear(w *worker) {
	for f := range w.dialling {
		p.end(f, sedgevale.NotSent, nil, nil)
	}
	p.closeAll(w)
}

func (p *Pool) closeAll(w *worker) {
	for len(w.idle) > 0 {
		p.drop(w.idle[len(w.idle)-1])
	}
}

// Send carries out an attempt.
func (p *Pool) Send(a *dispatch.Attempt) {
	p.loop.Do(func() {
		f := &flight{a: a, w: p.workers[a.Worker]}
		p.flights[a] = f
		p.start(f)
	})
}

// Cancel gives an attempt up by closing its connection.
func (p *Pool) Cancel(a *dispatch.Attempt) {
	p.loop.Do(func() {
		if f := p.flights[a]; f != nil {
			p.end(f, sedgevale.Cancelled, nil, nil)
		}
	})
}

// Withdraw gives an attempt up unless its request is on its way already.
func (p *Pool) Withdraw(a *dispatch.Attempt) {
	p.loop.Do(func() {
		if f := p.flights[a]; f != nil && f.c == nil {
			p.end(f, sedgevale.NotSent, nil, nil)
		}
	})
}

// Probe asks a worker for its load.
func (p *Pool) Probe(id string, planner *dispatch.Planner) {
	p.loop.Do(func() {
		f := &flight{p: planner, w: p.workers[id]}
		if f.w == nil {
			planner.Probed(id, nil)
			return
		}
		p.start(f)
		time.AfterFunc(probeWait, func() {
			p.loop.Do(func() { p.end(f, sedgevale.TimedOut, nil, nil) })
		})
	})
}

// CloseIdle closes the connections to a worker that carry nothing.
func (p *Pool) CloseIdle(id string) {
	p.loop.Do(func() {
		if w := p.workers[id]; w != nil {
			p.closeAll(w)
		}
	})
}

func (p *Pool) start(f *flight) {
	w := f.w
	if w == nil || !p.takes(w) {
		p.end(f, sedgevale.NotSent, nil, nil)
		return
	}
	// What must not run twice has one attempt; it is not risked on a kept connection
	// while those break.
	for n := len(w.idle); n > 0 && !(f.a != nil && f.a.Single && p.keptBreak()); n = len(w.idle) {
		c := w.idle[n-1]
		w.idle = w.idle[:n-1]
		if c.quiet() {
			c.carry(f)
			return
		}
		p.drop(c)
	}
	// Counted from here on: while workers are silent, dials that wait hold the most.
	if !p.opt.Budget.Take() {
		p.opt.Budget.Release()
		p.end(f, sedgevale.NotSent, nil, nil)
		return
	}
	w.dialling[f] = struct{}{}
	c := &conn{pool: p, f: f, parser: http1.NewParser(http1.Response)}
	p.loop.Dial(w.addr, p.opt.DialTimeout, c, func(error) {
		p.opt.Budget.Release()
		p.end(f, sedgevale.ConnectFailed, nil, nil)
	})
}

// end tells how a flight ended. Unless its answer has come whole, its
// connection is closed with it.
func (p *Pool) end(f *flight, o sedgevale.Outcome, result []byte, report *sedgevale.Report) {
	if f.over {
		return
	}
	f.over = true
	if f.w != nil {
		delete(f.w.dialling, f)
	}
	if c := f.c; c != nil && !c.dead && o != sedgevale.Served && !c.ended {
		p.drop(c)
	}
	if f.a == nil {
		f.p.Probed(f.w.id, report)
		return
	}
	delete(p.flights, f.a)
	f.a.Planner.Ended(f.a, o, result, report)
}

// drop closes a connection.
func (p *Pool) drop(c *conn) {
	if c.dead {
		return
	}
	c.dead = true
	c.w.forget(c)
	c.shutdownWrite()
	p.loop.Close(c.gc)
}

func (w *worker) forget(c *conn) {
	for i := range w.idle {
		if w.idle[i] == c {
			w.idle = append(w.idle[:i], w.idle[i+1:]...)
			return
		}
	}
}

// sweep closes what will soon have been idle for too long, and forgets workers
// that are gone.
func (p *Pool) sweep() {
	now := time.Now()
	p.kept.age()
	p.made.age()
	for c := range p.tails {
		if now.Sub(c.since) > tailWait {
			p.drop(c)
		}
	}
	last := now.Add(-time.Duration(idlePart * float64(p.opt.IdleClose)))
	for id, w := range p.workers {
		for len(w.idle) > 0 && w.idle[0].since.Before(last) {
			p.drop(w.idle[0])
		}
		if !w.ready && len(w.idle) == 0 && len(w.dialling) == 0 {
			delete(p.workers, id)
		}
	}
}

// closeIdle closes so many idle connections, whichever comes first.
func (p *Pool) closeIdle(most int) {
	for _, w := range p.workers {
		for ; most > 0 && len(w.idle) > 0; most-- {
			p.drop(w.idle[0])
		}
	}
}
