// Package upstream is the HTTP/1.1 client of the workers: it sends attempts over pooled connections on a gnet event loop, one
// attempt at a time on each connection, and reports their outcomes to the planners. It makes no scheduling decisions and never
// retries on its own.
package upstream

import (
	"context"
	"log/slog"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/evloop"
	"sedgevale/internal/fdlimit"
)

// Options configure a Pool.
type Options struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration // idle timeout of the workers; 0 if unknown
	Host        string        // value of the Host field of requests
	Clock       dispatchdriver.Clock
	Loop        *evloop.Loop
	Descriptors *fdlimit.Limiter
	Log         *slog.Logger
}

// Member is a worker in the membership list.
type Member struct {
	ID, Addr string
	Ready    bool // false if the worker drains or has left
}

const (
	sweepInterval       = 500 * time.Millisecond
	defaultDialTimeout  = time.Second
	defaultIdleTimeout  = 30 * time.Second
	idleTimeoutFraction = 0.6         // part of the workers' idle timeout after which this side closes, so that no request crosses a close by the worker
	responseEndTimeout  = time.Second // time for the end of a response whose outcome is known
	maxIdleWhileAvoided = 4           // maximum number of idle connections to a worker while reused connections are avoided
)

// Pool holds the connections to all workers. It implements dispatchdriver.Transport. Its methods are safe for concurrent use and
// take effect on the loop.
type Pool struct {
	opt  Options
	loop *evloop.Loop

	// The fields below are accessed on the loop only.
	workers     map[string]*worker
	cordoned    map[string]bool // workers to which nothing is sent, regardless of the membership list
	calls       map[*dispatchdriver.Attempt]*call
	awaitingEnd map[*conn]struct{} // connections whose call has ended while the end of the response is outstanding
	reusedConns connStats          // calls on connections that had carried a call before
	newConns    connStats          // first calls on connections
}

// worker is the state of the connections to one worker.
type worker struct {
	id, addr string
	ready    bool
	idle     []*conn // ordered by last use, the most recent last
	dialing  map[*call]struct{}
}

// New returns a Pool.
func New(opt Options) *Pool {
	opt.setTimeouts(opt.DialTimeout, opt.IdleTimeout)
	p := &Pool{opt: opt, loop: opt.Loop, workers: map[string]*worker{}, cordoned: map[string]bool{},
		calls: map[*dispatchdriver.Attempt]*call{}, awaitingEnd: map[*conn]struct{}{}}
	opt.Descriptors.OnCritical(func(n int) { p.loop.Do(func() { p.closeIdle(n) }) })
	return p
}

// SetTimeouts changes the timeouts. A timeout of 0 or less selects the default.
func (p *Pool) SetTimeouts(dialTimeout, idleTimeout time.Duration) {
	p.loop.Do(func() { p.opt.setTimeouts(dialTimeout, idleTimeout) })
}

func (o *Options) setTimeouts(dialTimeout, idleTimeout time.Duration) {
	if o.IdleTimeout = idleTimeout; o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.DialTimeout = dialTimeout; o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
}

// Run closes connections that have been idle for too long, until ctx is done.
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

// UpdateMembers applies an update of the membership list. If full is set, members is the full list, and workers that are not in
// it have left; otherwise it has the changed entries.
func (p *Pool) UpdateMembers(full bool, members []Member) {
	p.loop.Do(func() {
		if full {
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
				w = &worker{id: m.ID, dialing: map[*call]struct{}{}}
				p.workers[m.ID] = w
			}
			if w.addr != m.Addr {
				p.cancelUnsent(w) // pending dials are to the previous address
				w.addr = m.Addr
			}
			if w.ready = m.Ready; !m.Ready {
				p.stopSending(w)
			}
		}
	})
}

// Cordon stops sending to a worker, regardless of the membership list, or resumes it if cordon is false. It calls done on the
// loop when the change is in effect.
func (p *Pool) Cordon(id string, cordon bool, done func()) {
	p.loop.Do(func() {
		delete(p.cordoned, id)
		if cordon {
			p.cordoned[id] = true
			if w := p.workers[id]; w != nil {
				p.cancelUnsent(w)
			}
		}
		done()
	})
}

// acceptsAttempts reports whether attempts may be sent to a worker.
func (p *Pool) acceptsAttempts(w *worker) bool { return w.ready && !p.cordoned[w.id] }

// stopSending ends the attempts to a worker that drains or has left, if they have not been sent yet. An attempt counts as sent
// from its first byte, so one whose connection is still being dialed is not sent.
func (p *Pool) stopSending(w *worker) {
	w.ready = false
	p.cancelUnsent(w)
}

// cancelUnsent ends the calls to a worker whose connections are being dialed, and closes its idle connections.
func (p *Pool) cancelUnsent(w *worker) {
	for c := range w.dialing {
		p.finishCall(c, dispatcher.NotSent, nil, nil)
	}
	p.closeIdleOf(w)
}

func (p *Pool) closeIdleOf(w *worker) {
	for len(w.idle) > 0 {
		p.closeConn(w.idle[len(w.idle)-1])
	}
}

// CloseIdleConnections closes the idle connections to a worker.
func (p *Pool) CloseIdleConnections(id string) {
	p.loop.Do(func() {
		if w := p.workers[id]; w != nil {
			p.closeIdleOf(w)
		}
	})
}

// closeConn closes a connection at once. It does nothing if the connection is closed already.
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

// sweep closes connections that have been idle for idleTimeoutFraction of the workers' idle timeout, or whose response does not
// end, and removes workers that are not ready and have no idle connections or pending dials.
func (p *Pool) sweep() {
	now := time.Now()
	p.reusedConns.decay()
	p.newConns.decay()
	for c := range p.awaitingEnd {
		if now.Sub(c.idleSince) > responseEndTimeout {
			p.closeConn(c)
		}
	}
	cutoff := now.Add(-time.Duration(idleTimeoutFraction * float64(p.opt.IdleTimeout)))
	for id, w := range p.workers {
		for len(w.idle) > 0 && w.idle[0].idleSince.Before(cutoff) {
			p.closeConn(w.idle[0])
		}
		if !w.ready && len(w.idle) == 0 && len(w.dialing) == 0 {
			delete(p.workers, id)
		}
	}
}

// closeIdle closes up to n idle connections to any workers.
func (p *Pool) closeIdle(n int) {
	for _, w := range p.workers {
		for ; n > 0 && len(w.idle) > 0; n-- {
			p.closeConn(w.idle[0])
		}
	}
}
