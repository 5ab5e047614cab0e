package upstream

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"sedgevale"
	"sedgevale/internal/http1"
)

// conn is a connection to a worker. It belongs to the loop.
type conn struct {
	pool   *Pool
	gc     gnet.Conn
	w      *worker
	f      *flight // what it carries; nil: it is idle, or only the end of an answer is to come
	parser *http1.Parser
	lines  lines
	dead   bool
	broken bool // writing fails
	ended  bool // the whole answer has come
	since  time.Time
	out    []byte
}

// carry sends a flight's request.
func (c *conn) carry(f *flight) {
	c.f, f.c = f, c
	c.ended = false
	c.lines.part = nil
	c.out = c.request(c.out[:0], f)
	c.broken = true // a failure closes the connection within Write, and OnClose tells
	if _, err := c.gc.Write(c.out); err != nil {
		c.pool.end(f, sedgevale.ConnectFailed, nil, nil)
		return
	}
	c.broken = false
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

// read takes an answer apart as it comes. What is malformed ends the attempt
// and the connection, nothing else.
func (c *conn) read() gnet.Action {
	for !c.dead {
		buf, _ := c.gc.Peek(-1)
		n, ev, body, err := c.parser.Next(buf)
		if err == nil {
			err = c.event(ev, body)
		}
		if c.dead {
			return gnet.None
		}
		if n > 0 { // gnet takes 0 for all
			_, _ = c.gc.Discard(n)
		}
		if err != nil {
			return c.broke(err)
		}
		if ev == http1.More {
			return gnet.None
		}
		if ev == http1.Ended && !c.interim() {
			if !c.finish() {
				return gnet.None
			}
		}
	}
	return gnet.None
}

func (c *conn) interim() bool { return c.parser.Head.Status < 200 }

func (c *conn) broke(err error) gnet.Action {
	if f := c.f; f != nil && !f.over {
		c.pool.opt.Log.Warn("a worker's answer is malformed", "worker", c.w.id, "err", err)
		c.pool.end(f, sedgevale.Lost, nil, nil)
	}
	c.pool.drop(c)
	return gnet.None
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
	if c.parser.Head.Close || !c.w.ready {
		c.pool.drop(c)
		return false
	}
	c.ended = true
	c.since = time.Now()
	c.w.idle = append(c.w.idle, c)
	return true
}

type fault string

func (f fault) Error() string { return string(f) }

const (
	errUnasked  = fault("an answer that nothing was asked for")
	errOtherJob = fault("an answer to another job")
	errNoResult = fault("a job is done without a result")
)

// socketPair returns two connected sockets.
func socketPair() (near, far net.Conn, err error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, err
	}
	if near, err = fileConn(fds[0]); err != nil {
		unix.Close(fds[1])
		return nil, nil, err
	}
	if far, err = fileConn(fds[1]); err != nil {
		near.Close()
		return nil, nil, err
	}
	return near, far, nil
}

func fileConn(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "pair")
	defer f.Close()
	return net.FileConn(f)
}
