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
	sweepInterval  = 500 * time.Millisecond
	defaultIdleTimeout = 30 * time.Second
	idleTimeoutFraction    = 0.6 // of the time after which a worker closes: a request must not cross that
	probeTimeout   = time.Second
	drainTimeout    = time.Second
	statsDecay    = 0.95 // of what was counted, at the next sweep
	minBrokenReused   = 1.5  // kept connections that broke, for them to be avoided
	minBreakRatio   = 3    // how much more often than new ones
	assumedNewConns   = 20   // new connections among which one may be thought to break
	maxIdleWhileAvoided    = 4    // to one worker, while those are avoided
)

// Pool holds the connections to all workers. It implements core.Carrier.
type Pool struct {
	opt  Options
	loop *evloop.Loop

	// For the loop alone.
	workers map[string]*worker
	cordoned     map[string]bool // cordoned: nothing is sent there, whatever the list says
	calls map[*dispatch.Attempt]*call
	draining   map[*conn]struct{} // their attempt is over, the end of the answer is still to come
	reusedConns    connStats               // of connections that had carried an attempt before
	newConns    connStats               // of new ones
}

// connStats counts attempts on connections, and those whose connection broke before
// any answer; older ones count less.
type connStats struct{ used, broken float64 }

func (w *connStats) decay() { w.used, w.broken = w.used*statsDecay, w.broken*statsDecay }

// reusedConnsBreak reports whether connections that were kept break under the next
// request, and far more often than new ones.
func (p *Pool) reusedConnsBreak() bool {
	return p.reusedConns.broken >= minBrokenReused &&
		p.reusedConns.broken/p.reusedConns.used > minBreakRatio*(p.newConns.broken+1)/(p.newConns.used+assumedNewConns)
}

type worker struct {
	id, addr string
	ready    bool
	idle     []*conn // the most recently used last
	dialling map[*call]struct{}
}

// call is an attempt on its way, or a probe.
type call struct {
	attempt    *dispatch.Attempt // nil: a probe
	planner    *dispatch.Planner // of the probe
	worker    *worker
	conn    *conn // nil: not connected yet
	done bool
}

// New returns a Pool.
func New(opt Options) *Pool {
	opt.setTimeouts(opt.DialTimeout, opt.IdleClose)
	p := &Pool{opt: opt, loop: opt.Loop, workers: map[string]*worker{}, cordoned: map[string]bool{},
		calls: map[*dispatch.Attempt]*call{}, draining: map[*conn]struct{}{}}
	opt.Budget.OnDire(func(n int) { p.loop.Do(func() { p.closeIdle(n) }) })
	return p
}

// Retune takes other times over.
func (p *Pool) Retune(dialTimeout, idleClose time.Duration) {
	p.loop.Do(func() { p.opt.setTimeouts(dialTimeout, idleClose) })
}

func (o *Options) setTimeouts(dialTimeout, idleClose time.Duration) {
	if o.IdleClose = idleClose; o.IdleClose <= 0 {
		o.IdleClose = defaultIdleTimeout
	}
	if o.DialTimeout = dialTimeout; o.DialTimeout <= 0 {
		o.DialTimeout = time.Second
	}
}

// Run closes connections that are idle for too long, until the context ends.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
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
					p.stopSending(w)
				}
			}
		}
		for _, m := range members {
			w := p.workers[m.ID]
			if w == nil {
				w = &worker{id: m.ID, dialling: map[*call]struct{}{}}
				p.workers[m.ID] = w
			}
			if w.addr != m.Addr {
				p.cancelUnsent(w) // what is being dialled would come up at the address that was
				w.addr = m.Addr
			}
			if w.ready = m.Ready; !m.Ready {
				p.stopSending(w)
			}
		}
	})
}

// Cordon takes a worker out, or puts it back, whatever the list says of it. Done is
// called once nothing more goes there.
func (p *Pool) Cordon(id string, out bool, done func()) {
	p.loop.Do(func() {
		delete(p.cordoned, id)
		if out {
			p.cordoned[id] = true
			if w := p.workers[id]; w != nil {
				p.cancelUnsent(w)
			}
		}
		done()
	})
}

func (p *Pool) accepts(w *worker) bool { return w.ready && !p.cordoned[w.id] }

// stopSending ends what has not been sent yet to a worker that drains or is gone: the
// rule counts a send from its first byte, which a dial may put off.
func (p *Pool) stopSending(w *worker) {
	w.ready = false
	p.cancelUnsent(w)
}

func (p *Pool) cancelUnsent(w *worker) {
	for f := range w.dialling {
		p.finish(f, sedgevale.NotSent, nil, nil)
	}
	p.closeIdleOf(w)
}

func (p *Pool) closeIdleOf(w *worker) {
	for len(w.idle) > 0 {
		p.closeConn(w.idle[len(w.idle)-1])
	}
}

// Send carries out an attempt.
func (p *Pool) Send(a *dispatch.Attempt) {
	p.loop.Do(func() {
		f := &call{attempt: a, worker: p.workers[a.Worker]}
		p.calls[a] = f
		p.start(f)
	})
}

// Cancel gives an attempt up by closing its connection.
func (p *Pool) Cancel(a *dispatch.Attempt) {
	p.loop.Do(func() {
		if f := p.calls[a]; f != nil {
			p.finish(f, sedgevale.Cancelled, nil, nil)
		}
	})
}

// Withdraw gives an attempt up unless its request is on its way already.
func (p *Pool) Withdraw(a *dispatch.Attempt) {
	p.loop.Do(func() {
		if f := p.calls[a]; f != nil && f.conn == nil {
			p.finish(f, sedgevale.NotSent, nil, nil)
		}
	})
}

// Probe asks a worker for its load.
func (p *Pool) Probe(id string, planner *dispatch.Planner) {
	p.loop.Do(func() {
		f := &call{planner: planner, worker: p.workers[id]}
		if f.worker == nil {
			planner.Probed(id, nil)
			return
		}
		p.start(f)
		time.AfterFunc(probeTimeout, func() {
			p.loop.Do(func() { p.finish(f, sedgevale.TimedOut, nil, nil) })
		})
	})
}

// CloseIdle closes the connections to a worker that carry nothing.
func (p *Pool) CloseIdle(id string) {
	p.loop.Do(func() {
		if w := p.workers[id]; w != nil {
			p.closeIdleOf(w)
		}
	})
}

func (p *Pool) start(f *call) {
	w := f.worker
	if w == nil || !p.accepts(w) {
		p.finish(f, sedgevale.NotSent, nil, nil)
		return
	}
	// What must not run twice has one attempt; it is not risked on a kept connection
	// while those break.
	for n := len(w.idle); n > 0 && !(f.attempt != nil && f.attempt.Single && p.reusedConnsBreak()); n = len(w.idle) {
		c := w.idle[n-1]
		w.idle = w.idle[:n-1]
		if c.isQuiet() {
			c.send(f)
			return
		}
		p.closeConn(c)
	}
	// Counted from here on: while workers are silent, dials that wait hold the most.
	if !p.opt.Budget.Take() {
		p.opt.Budget.Release()
		p.finish(f, sedgevale.NotSent, nil, nil)
		return
	}
	w.dialling[f] = struct{}{}
	c := &conn{pool: p, call: f, parser: http1.NewParser(http1.Response)}
	p.loop.Dial(w.addr, p.opt.DialTimeout, c, func(error) {
		p.opt.Budget.Release()
		p.finish(f, sedgevale.ConnectFailed, nil, nil)
	})
}

// finish tells how a flight ended. Unless its answer has come whole, its
// connection is closed with it.
func (p *Pool) finish(f *call, o sedgevale.Outcome, result []byte, report *sedgevale.Report) {
	if f.done {
		return
	}
	f.done = true
	if f.worker != nil {
		delete(f.worker.dialling, f)
	}
	if c := f.conn; c != nil && !c.closed && o != sedgevale.Served && !c.answered {
		p.closeConn(c)
	}
	if f.attempt == nil {
		f.planner.Probed(f.worker.id, report)
		return
	}
	delete(p.calls, f.attempt)
	f.attempt.Planner.Ended(f.attempt, o, result, report)
}

// closeConn closes a connection.
func (p *Pool) closeConn(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	c.worker.removeIdle(c)
	c.shutdownWrite()
	p.loop.Close(c.raw)
}

func (w *worker) removeIdle(c *conn) {
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
	p.reusedConns.decay()
	p.newConns.decay()
	for c := range p.draining {
		if now.Sub(c.idleSince) > drainTimeout {
			p.closeConn(c)
		}
	}
	last := now.Add(-time.Duration(idleTimeoutFraction * float64(p.opt.IdleClose)))
	for id, w := range p.workers {
		for len(w.idle) > 0 && w.idle[0].idleSince.Before(last) {
			p.closeConn(w.idle[0])
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
			p.closeConn(w.idle[0])
		}
	}
}
