package reverseproxy

import (
	"context"
	"sync"
	"time"

	"sedgevale"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/evloop"
	"sedgevale/internal/http1"
)

const (
	idleFor    = 5 * time.Second // a connection to a server is kept that long
	idleMost   = 256             // to one server
	longBody   = 256 << 10       // bodies from which on, and unsent bytes from which on, an answer is read by a goroutine
	sweepEvery = 500 * time.Millisecond
)

// member is a server as the carrier knows it.
type member struct {
	id, addr string
	connect  time.Duration
	ready    bool
}

// relay is the server side: it carries requests to servers, as a core.Carrier.
type relay struct {
	site *Site
	loop *evloop.Loop

	// For the loop alone.
	servers map[string]*server
	flights map[*dispatch.Attempt]*flight
	calls   map[*call]*flight

	mu    sync.Mutex
	ready map[string]bool // the same as servers' ready, for goroutines
}

type server struct {
	member
	idle     []*rconn // the most recently used last
	dialling map[*flight]struct{}
}

type flight struct {
	a    *dispatch.Attempt
	call *call
	w    *server
	c    *rconn
	told bool // the planner has heard of its end
	over bool // nothing more comes of it
}

func newRelay(s *Site) *relay {
	return &relay{site: s, loop: s.opt.Loop, servers: map[string]*server{}, flights: map[*dispatch.Attempt]*flight{},
		calls: map[*call]*flight{}, ready: map[string]bool{}}
}

// members brings the list, or what has changed in it.
func (r *relay) members(whole bool, all []member) {
	r.mu.Lock()
	if whole {
		clear(r.ready)
	}
	for _, m := range all {
		r.ready[m.id] = m.ready
	}
	r.mu.Unlock()
	r.loop.Do(func() {
		named := map[string]bool{}
		for _, m := range all {
			named[m.id] = true
			w := r.servers[m.id]
			if w == nil {
				w = &server{dialling: map[*flight]struct{}{}}
				r.servers[m.id] = w
			}
			moved := w.addr != m.addr
			if w.member = m; moved || !m.ready {
				r.clear(w)
			}
		}
		if whole {
			for id, w := range r.servers {
				if !named[id] {
					w.ready = false
					r.clear(w)
					delete(r.servers, id)
				}
			}
		}
	})
}

func (r *relay) isReady(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready[id]
}

// clear ends what has not been sent to a server, and its idle connections.
func (r *relay) clear(w *server) {
	for f := range w.dialling {
		r.end(f, sedgevale.NotSent)
	}
	for len(w.idle) > 0 {
		r.drop(w.idle[len(w.idle)-1])
	}
}

// Send carries out an attempt.
func (r *relay) Send(a *dispatch.Attempt) {
	k := a.Load.(*call)
	r.loop.Do(func() {
		f := &flight{a: a, call: k, w: r.servers[a.Worker]}
		r.flights[a] = f
		r.calls[k] = f
		switch {
		case f.w == nil || !f.w.ready:
			r.end(f, sedgevale.NotSent)
		case k.pump != nil:
			f.over = true // from here on it is the pump's
			delete(r.calls, k)
			k.pump.sent <- a
		default:
			r.start(f)
		}
	})
}

// Cancel gives an attempt up by closing its connection.
func (r *relay) Cancel(a *dispatch.Attempt) {
	r.loop.Do(func() {
		if f := r.flights[a]; f != nil {
			if f.call.pump != nil && f.over {
				delete(r.flights, a)
				f.call.pump.stop()
				return
			}
			f.call.failedBy("response-timeout")
			r.end(f, sedgevale.Cancelled)
		}
	})
}

// Withdraw gives an attempt up unless its request is on its way already.
func (r *relay) Withdraw(a *dispatch.Attempt) {
	r.loop.Do(func() {
		if f := r.flights[a]; f != nil && f.c == nil && f.call.pump == nil {
			r.end(f, sedgevale.NotSent)
		}
	})
}

// Probe is the core's; there are no load reports here.
func (r *relay) Probe(worker string, p *dispatch.Planner) { p.Probed(worker, nil) }

// CloseIdle is the core's.
func (r *relay) CloseIdle(id string) {
	r.loop.Do(func() {
		if w := r.servers[id]; w != nil {
			for len(w.idle) > 0 {
				r.drop(w.idle[len(w.idle)-1])
			}
		}
	})
}

// cancel ends what goes on for a call whose client has gone.
func (r *relay) cancel(k *call) {
	r.loop.Do(func() {
		if f := r.calls[k]; f != nil {
			r.end(f, sedgevale.Cancelled)
		}
	})
	if k.pump != nil {
		k.pump.stop()
	}
}

func (r *relay) start(f *flight) {
	w := f.w
	for n := len(w.idle); n > 0; n = len(w.idle) {
		c := w.idle[n-1]
		w.idle = w.idle[:n-1]
		if c.quiet() {
			c.carry(f)
			return
		}
		r.drop(c)
	}
	if !r.site.opt.Budget.Take() {
		r.site.opt.Budget.Release()
		r.end(f, sedgevale.NotSent)
		return
	}
	w.dialling[f] = struct{}{}
	p := http1.NewParser(http1.Response)
	p.KeepTrailer = true
	c := &rconn{relay: r, f: f, w: w, parser: p}
	r.loop.Dial(w.addr, w.connect, c, func(error) {
		r.site.opt.Budget.Release()
		r.end(f, sedgevale.ConnectFailed)
	})
}

// end ends a flight. Unless its answer has come whole, its connection ends too.
func (r *relay) end(f *flight, o sedgevale.Outcome) {
	if f.over {
		return
	}
	f.over = true
	delete(f.w0().dialling, f)
	if r.calls[f.call] == f {
		delete(r.calls, f.call)
	}
	if c := f.c; c != nil && !c.dead && !c.whole {
		r.drop(c)
	}
	r.tell(f, o)
}

var nowhere = &server{}

func (f *flight) w0() *server {
	if f.w == nil {
		return nowhere
	}
	return f.w
}

// tell tells the planner how an attempt ended, once.
func (r *relay) tell(f *flight, o sedgevale.Outcome) {
	if f.told {
		return
	}
	f.told = true
	delete(r.flights, f.a)
	if cause := causes[o]; cause != "" {
		f.call.failedBy(cause)
	}
	f.a.Planner.Ended(f.a, o, nil, nil)
}

func (r *relay) drop(c *rconn) {
	if c.dead {
		return
	}
	c.dead = true
	c.w.forget(c)
	r.loop.Close(c.gc)
}

func (w *server) forget(c *rconn) {
	for i := range w.idle {
		if w.idle[i] == c {
			w.idle = append(w.idle[:i], w.idle[i+1:]...)
			return
		}
	}
}

// sweep closes connections that are idle for too long, until the context ends.
func (r *relay) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.loop.Do(func() {
				last := time.Now().Add(-idleFor)
				for _, w := range r.servers {
					for len(w.idle) > 0 && w.idle[0].since.Before(last) {
						r.drop(w.idle[0])
					}
				}
			})
		case <-ctx.Done():
			return
		}
	}
}
