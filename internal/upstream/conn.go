package upstream

import (
	"errors"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"sedgevale"
	"sedgevale/internal/evloop"
	"sedgevale/internal/http1"
)

// conn is a connection to a worker. It belongs to the loop.
type conn struct {
	pool   *Pool
	gc     evloop.Conn
	w      *worker
	f      *flight // what it carries; nil: it is idle, or only the end of an answer is to come
	parser *http1.Parser
	lines  lines
	dead   bool
	broken bool // writing fails
	ended  bool // the whole answer has come
	uses   int  // attempts carried
	got    int  // bytes of the answer at hand
	since  time.Time
	out    []byte
}

// Opened is the loop's: a dialled connection is up.
func (c *conn) Opened(gc evloop.Conn) bool {
	c.gc = gc
	f := c.f
	c.w, c.f = f.w, nil
	if f.over { // the worker has begun to drain or was taken out, or nobody waits any more
		c.dead = true
		return false
	}
	delete(f.w.dialling, f)
	c.carry(f)
	return true
}

// Closed is the loop's.
func (c *conn) Closed(evloop.Conn) {
	p := c.pool
	p.opt.Budget.Release()
	c.dead = true
	c.w.forget(c)
	delete(p.tails, c)
	f := c.f
	if f == nil || f.over {
		return
	}
	if c.whole() {
		if c.parser.Idle() {
			c.wear().broke++
		}
		p.end(f, sedgevale.Lost, nil, nil)
	} else {
		c.shutdownWrite()
		p.end(f, sedgevale.ConnectFailed, nil, nil)
	}
}

// shutdownWrite sees to it that a request of which a part is still to be written stays a part: gnet
// writes the rest as it closes the connection, and then the request may run that was told not
// to have been sent.
func (c *conn) shutdownWrite() {
	if c.gc.OutboundBuffered() > 0 {
		_ = unix.Shutdown(c.gc.Fd(), unix.SHUT_WR)
	}
}

func (c *conn) wear() *wear {
	if c.uses > 1 {
		return &c.pool.kept
	}
	return &c.pool.made
}

// quiet reports whether nothing has come on an idle connection, not even its end,
// that the loop has yet to read.
func (c *conn) quiet() bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(c.gc.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// carry sends a flight's request.
func (c *conn) carry(f *flight) {
	if f.a != nil && f.a.Expired(c.pool.opt.Clock.Now()) { // by the time that it took to connect
		c.putIdle()
		c.pool.end(f, sedgevale.NotSent, nil, nil)
		return
	}
	c.f, f.c = f, c
	c.uses++
	c.wear().used++
	c.ended, c.got = false, 0
	c.lines.part = nil
	c.out = c.request(c.out[:0], f)
	c.broken = true // a failure closes the connection within Write, and OnClose tells
	if _, err := c.gc.Write(c.out); err != nil {
		c.pool.end(f, sedgevale.ConnectFailed, nil, nil)
		return
	}
	c.broken = false
	if f.a != nil && f.a.Recorded() {
		f.a.Planner.Sent(f.a)
	}
	if cap(c.out) > 8<<10 {
		c.out = nil
	}
}

func (c *conn) request(b []byte, f *flight) []byte {
	a := f.a
	if a == nil {
		b = http1.AppendRequest(b, "GET", "/status/load")
		b = http1.AppendField(b, "Host", c.pool.opt.Host)
		return append(b, "\r\n"...)
	}
	b = http1.AppendRequest(b, a.Method, a.Target)
	b = http1.AppendField(b, "Host", c.pool.opt.Host)
	b = http1.AppendField(b, "Request-Id", a.ID)
	if a.Once != "" {
		b = http1.AppendField(b, "Idempotency-Key", a.Once)
	}
	left := max(0, a.Deadline-c.pool.opt.Clock.Now())
	b = http1.AppendField(b, "Request-Timeout", strconv.FormatInt(left.Milliseconds(), 10)+"m")
	return http1.AppendBody(b, a.Body)
}

// whole reports whether the request's last byte has been written.
func (c *conn) whole() bool { return !c.broken && c.gc.OutboundBuffered() == 0 }

// Traffic is the loop's. It takes an answer apart as it comes. What is malformed ends the attempt
// and the connection, nothing else.
func (c *conn) Traffic(evloop.Conn) bool {
	for !c.dead {
		buf, _ := c.gc.Peek(-1)
		n, ev, body, err := c.parser.Next(buf)
		if err == nil {
			err = c.event(ev, body)
		}
		if c.dead {
			return true
		}
		evloop.Take(c.gc, n)
		if c.got += n; c.got > maxAnswer && err == nil {
			err = errLongAnswer
		}
		if err != nil {
			c.broke(err)
			return true
		}
		if ev == http1.More {
			return true
		}
		if ev == http1.Ended && !c.interim() {
			if !c.finish() {
				return true
			}
		}
	}
	return true
}

func (c *conn) interim() bool { return c.parser.Head.Status < 200 }

func (c *conn) broke(err error) {
	if f := c.f; f != nil && !f.over {
		c.pool.opt.Log.Warn("a worker's answer is malformed", "worker", c.w.id, "err", err)
		c.pool.end(f, sedgevale.Lost, nil, nil)
	}
	c.pool.drop(c)
}

func (c *conn) event(ev http1.Event, body []byte) error {
	h := &c.parser.Head
	switch ev {
	case http1.Headed:
		if c.f == nil && c.ended {
			return errUnasked
		}
		if c.f == nil || c.f.over || c.interim() {
			return nil
		}
		if c.f.a == nil || h.Status != 200 {
			c.headOnly(h)
		}
	case http1.Body:
		if h.Status != 200 || c.f != nil && c.f.a == nil {
			return nil
		}
		for len(body) > 0 {
			var whole []byte
			var err error
			if whole, body, err = c.lines.next(body); err != nil {
				return err
			}
			if whole != nil {
				if err := c.line(whole); err != nil || c.dead {
					return err
				}
			}
		}
	case http1.Ended:
		if len(c.lines.part) > 0 && !c.interim() { // the last line may lack its end
			last := c.lines.part
			c.lines.part = nil
			return c.line(last)
		}
	}
	return nil
}

// headOnly deals with an answer that tells all in its head. What it means is
// kept until its end, so that the connection can be used again.
func (c *conn) headOnly(h *http1.Head) {
	f := c.f
	report := parseLoad(h.Get("Server-Load"))
	o := sedgevale.Errored
	if (h.Status == 503 || h.Status == 504) && h.Get("Not-Started") == "1" {
		o = sedgevale.Full
		h.Close = true // it names no job: come twice, it would prove of the next that it never ran
	}
	c.tail()
	c.pool.end(f, o, nil, report)
}

// line deals with one object of a job's answer.
func (c *conn) line(text []byte) error {
	f := c.f
	if f == nil || f.over || len(text) == 0 || len(text) == 1 && text[0] == '\r' {
		return nil
	}
	l, err := parseLine(text)
	if err != nil {
		return err
	}
	if l.ID != f.a.ID {
		return errOtherJob
	}
	switch l.State {
	case "started":
		f.a.Planner.Started(f.a)
	case "running":
		f.a.Planner.Progress(f.a, min(max(l.Share, 0), 1))
	case "done":
		if l.Result == nil {
			return errNoResult
		}
		c.over(sedgevale.Served, []byte(*l.Result), l)
	case "failed":
		c.over(sedgevale.Errored, nil, l)
	case "returned":
		c.over(sedgevale.Full, nil, l)
	case "lost":
		c.over(sedgevale.Lost, nil, l)
	}
	return nil
}

// over ends the attempt by its last line. The end of the chunks is still to
// come; until then the connection is not used again.
func (c *conn) over(o sedgevale.Outcome, result []byte, l line) {
	c.tail()
	c.pool.end(c.f, o, result, reportOf(l.Load))
}

// tail notes that only the end of the answer is still to come.
func (c *conn) tail() {
	c.ended, c.since = true, time.Now()
	c.pool.tails[c] = struct{}{}
}

// finish is called at the end of an answer. It makes the connection ready for
// the next request, or closes it.
func (c *conn) finish() bool {
	delete(c.pool.tails, c)
	if f := c.f; f != nil && !f.over { // it ended without a last line
		c.pool.end(f, sedgevale.Lost, nil, nil)
	}
	if c.dead {
		return false
	}
	c.f = nil
	if c.parser.Head.Close || !c.pool.takes(c.w) {
		c.pool.drop(c)
		return false
	}
	c.putIdle()
	if len(c.w.idle) > keptMost && c.pool.keptBreak() { // each job that avoids them adds one
		c.pool.drop(c.w.idle[0])
	}
	return true
}

// putIdle puts a connection that carries nothing beside the others.
func (c *conn) putIdle() {
	c.ended, c.since = true, time.Now()
	c.w.idle = append(c.w.idle, c)
}

type fault string

func (f fault) Error() string { return string(f) }

const (
	errUnasked    = fault("an answer that nothing was asked for")
	errOtherJob   = fault("an answer to another job")
	errNoResult   = fault("a job is done without a result")
	errLongAnswer = fault("an answer without end")
)
