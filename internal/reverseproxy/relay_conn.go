package reverseproxy

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"sedgevale"
	"sedgevale/internal/evloop"
	"sedgevale/internal/http1"
)

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
	more := true
	for more && !c.dead && !c.moved {
		more = c.read(d)
	}
	return true
}

// read takes in one event of the answer, and reports whether to go on with this reading.
func (c *rconn) read(d *delivery) (more bool) {
	buf, _ := c.gc.Peek(-1)
	n, ev, body, err := c.parser.Next(buf)
	if err == nil && c.f == nil {
		err = errUnasked
	}
	if err == nil && ev == http1.Body && !c.f.over {
		d.parts = append(d.parts, append([]byte(nil), body...))
		d.size += len(body)
	}
	evloop.Take(c.gc, n)
	switch {
	case err != nil:
		c.junk(err)
		return false
	case ev == http1.More:
		c.pass(d)
		return false
	case ev == http1.Headed && !c.headed(d):
		return false
	case ev == http1.Ended && c.parser.Head.Status >= 200:
		d.end, d.trailer = true, c.parser.Head.Trailer
		c.finish(d)
		return false
	}
	if c.slow(d) {
		c.detach(d)
		return false
	}
	return true
}

// headed takes in a head. It returns false if nothing more is wanted of the answer here.
func (c *rconn) headed(d *delivery) bool {
	f := c.f
	h := c.parser.Head
	if h.Status == 101 {
		c.tunnel()
		return false
	}
	if h.Status < 200 {
		return true
	}
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
		defer func() { _ = nc.Close() }()
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
