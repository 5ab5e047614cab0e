package web

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"sedgevale"
	"sedgevale/internal/core"
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
	flights map[*core.Attempt]*flight
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
	a    *core.Attempt
	call *call
	w    *server
	c    *rconn
	told bool // the planner has heard of its end
	over bool // nothing more comes of it
}

func newRelay(s *Site) *relay {
	return &relay{site: s, loop: s.opt.Loop, servers: map[string]*server{}, flights: map[*core.Attempt]*flight{},
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
func (r *relay) Send(a *core.Attempt) {
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
func (r *relay) Cancel(a *core.Attempt) {
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
func (r *relay) Withdraw(a *core.Attempt) {
	r.loop.Do(func() {
		if f := r.flights[a]; f != nil && f.c == nil && f.call.pump == nil {
			r.end(f, sedgevale.NotSent)
		}
	})
}

// Probe is the core's; there are no load reports here.
func (r *relay) Probe(worker string, p *core.Planner) { p.Probed(worker, nil) }

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

// rconn is a connection to a server. It belongs to the loop.
type rconn struct {
	relay  *relay
	gc     evloop.Conn
	w      *server
	f      *flight
	parser *http1.Parser
	dead   bool
	broken bool
	whole  bool // the answer has come whole
	moved  bool // a goroutine has it
	since  time.Time
	out    []byte
}

// Opened is the loop's.
func (c *rconn) Opened(gc evloop.Conn) bool {
	c.gc = gc
	f := c.f
	if f.over { // the server was taken out or the client left meanwhile
		c.dead = true
		return false
	}
	delete(c.w.dialling, f)
	c.carry(f)
	return true
}

// Closed is the loop's.
func (c *rconn) Closed(evloop.Conn) {
	if c.moved {
		return
	}
	c.relay.site.opt.Budget.Release()
	c.dead = true
	c.w.forget(c)
	f := c.f
	if f == nil || f.over {
		return
	}
	switch {
	case c.parser.UntilClose(): // the end of the connection is that of the body
		c.finish(&delivery{end: true})
	case f.told: // its answer has begun
		c.relay.end(f, sedgevale.Lost)
		if f.call.finish() {
			f.call.out.broken()
		}
	case c.broken || c.gc.OutboundBuffered() > 0:
		c.relay.end(f, sedgevale.ConnectFailed)
	default:
		c.relay.end(f, sedgevale.Lost)
	}
}

func (c *rconn) quiet() bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(c.gc.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

func (c *rconn) carry(f *flight) {
	c.f, f.c = f, c
	c.whole = false
	c.parser.NoBody = f.call.head.Method == "HEAD"
	f.call.leaves()
	c.out = f.call.wire(c.out[:0], f.call.length())
	c.broken = true
	if _, err := c.gc.Write(c.out); err != nil {
		c.relay.end(f, sedgevale.ConnectFailed)
		return
	}
	c.broken = false
	if cap(c.out) > 16<<10 {
		c.out = nil
	}
}

var errUnasked = errors.New("an answer that nothing was asked for")

// Traffic is the loop's. What one reading brings goes to the client in one delivery.
func (c *rconn) Traffic(evloop.Conn) bool {
	d := &delivery{}
	for !c.dead && !c.moved {
		buf, _ := c.gc.Peek(-1)
		n, ev, body, err := c.parser.Next(buf)
		if err == nil && c.f == nil {
			err = errUnasked
		}
		f := c.f
		if err == nil && ev == http1.Body && !f.over {
			d.parts = append(d.parts, append([]byte(nil), body...))
			d.size += len(body)
		}
		evloop.Take(c.gc, n)
		switch {
		case err != nil:
			c.junk(err)
			return true
		case ev == http1.More:
			c.pass(d)
			return true
		case ev == http1.Headed:
			if c.parser.Head.Status == 101 {
				c.tunnel()
				return true
			}
			if c.parser.Head.Status >= 200 && !c.headed(d) {
				return true
			}
		case ev == http1.Ended && c.parser.Head.Status >= 200:
			d.end, d.trailer = true, c.parser.Head.Trailer
			c.finish(d)
			return true
		}
		if c.slow(d) {
			c.detach(d)
			return true
		}
	}
	return true
}

// headed takes in the head of an answer. It returns false if nothing more is wanted of it.
func (c *rconn) headed(d *delivery) bool {
	f := c.f
	h := c.parser.Head
	if f.over {
		c.relay.drop(c)
		return false
	}
	if f.call.retryStatus(h.Status) {
		f.call.failedBy(status(h.Status))
		f.over, f.told = true, true
		delete(c.relay.flights, f.a)
		delete(c.relay.calls, f.call)
		c.relay.drop(c)
		f.a.Planner.Ended(f.a, sedgevale.Lost, nil, nil)
		return false
	}
	if !f.call.begin() {
		c.relay.end(f, sedgevale.Cancelled)
		return false
	}
	d.head = &h
	// To the module the head is the answer: how long a body takes is the client's affair.
	c.relay.tell(f, sedgevale.Served)
	return true
}

func status(s int) string {
	return string([]byte{byte('0' + s/100), byte('0' + s/10%10), byte('0' + s%10)})
}

// pass delivers what has come.
func (c *rconn) pass(d *delivery) {
	if c.f != nil && !c.f.over && (d.head != nil || len(d.parts) > 0) {
		c.f.call.out.deliver(d)
	}
}

// slow reports whether the client does not keep up, or will not, with this answer.
func (c *rconn) slow(d *delivery) bool {
	f := c.f
	if f == nil || f.over || !f.told {
		return false
	}
	if c.parser.Head.Length > longBody && d.head != nil && !c.parser.NoBody && c.f.call.head.Method != "HEAD" {
		return true
	}
	o, ok := f.call.out.(*loopOut)
	if !ok {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pending+d.size > longBody
}

// finish ends an answer that has come whole. The connection serves the next request.
func (c *rconn) finish(d *delivery) {
	f := c.f
	c.whole = true
	if f != nil && !f.over {
		f.over = true
		delete(c.relay.calls, f.call)
		f.call.out.deliver(d)
	}
	c.f = nil
	if c.dead {
		return
	}
	if c.parser.Head.Close || !c.w.ready || len(c.w.idle) >= idleMost {
		c.relay.drop(c)
		return
	}
	c.since = time.Now()
	c.w.idle = append(c.w.idle, c)
}

// junk ends what a server's malformed answer was for.
func (c *rconn) junk(err error) {
	f := c.f
	c.relay.site.opt.Log.Warn("a server's answer is malformed", "server", c.w.id, "err", err)
	c.relay.drop(c)
	if f == nil || f.over {
		return
	}
	begun := f.told
	c.relay.end(f, sedgevale.Errored)
	if begun && f.call.finish() {
		f.call.out.broken()
	}
}

// detach has a goroutine read the rest of an answer, no faster than the client takes it.
func (c *rconn) detach(d *delivery) {
	f := c.f
	o, ok := f.call.out.(*loopOut)
	if !ok {
		return
	}
	c.pass(d)
	c.moved = true
	nc, rest, err := c.relay.loop.Detach(c.gc)
	if err != nil {
		c.moved = false
		c.junk(err)
		return
	}
	go func() {
		defer c.relay.site.opt.Budget.Release()
		defer nc.Close()
		c.rest(f, o, nc, rest)
		c.relay.loop.Do(func() {
			f.over, c.dead = true, true
			if c.relay.calls[f.call] == f {
				delete(c.relay.calls, f.call)
			}
		})
	}()
}

// rest reads an answer to its end.
func (c *rconn) rest(f *flight, o *loopOut, nc net.Conn, buf []byte) {
	r := &reader{conn: nc, parser: c.parser, buf: buf, chunk: make([]byte, 64<<10)}
	for {
		if !o.wait() {
			return
		}
		body, end, err := r.next()
		if err != nil {
			if f.call.finish() {
				f.call.out.broken()
			}
			return
		}
		d := &delivery{size: len(body), end: end}
		if len(body) > 0 {
			d.parts = [][]byte{append([]byte(nil), body...)}
		}
		if end {
			d.trailer = c.parser.Head.Trailer
		}
		o.deliver(d)
		if end {
			return
		}
	}
}

// reader reads a body from a connection, by waiting.
type reader struct {
	conn   net.Conn
	parser *http1.Parser
	buf    []byte // read and not parsed
	chunk  []byte
}

// next returns the next bytes of the body, which are good until the next call, or its end.
func (r *reader) next() (body []byte, end bool, err error) {
	for {
		n, ev, part, err := r.parser.Next(r.buf)
		if err != nil {
			return nil, false, err
		}
		r.buf = r.buf[n:]
		switch ev {
		case http1.Body:
			return part, false, nil
		case http1.Ended:
			return nil, true, nil
		case http1.Headed:
			continue
		}
		left := copy(r.chunk, r.buf)
		k, err := r.conn.Read(r.chunk[left:])
		r.buf = r.chunk[:left+k]
		if k == 0 && err != nil {
			if r.parser.UntilClose() && isEOF(err) {
				return nil, true, nil
			}
			return nil, false, err
		}
	}
}
