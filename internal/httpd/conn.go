package httpd

import (
	"errors"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"sedgevale/internal/evloop"
	"sedgevale/internal/http1"
)

type connState uint8

const (
	fresh   connState = iota // nothing has come yet
	idle                     // between two requests
	reading                  // part of a request has come
	busy                     // the request is the handler's
	ending                   // the last answer is out
	closed
)

// Conn is a client's connection. Its methods are for its event loop, but for
// Post.
type Conn struct {
	State any // the handler's

	gc         gnet.Conn
	srv        *Server
	lane       *lane
	parser     *http1.Parser
	body       []byte
	state      connState
	closeAfter bool
	detached   bool // its descriptor lives on elsewhere
	framing    Framing
	heard      bool // a request has come whole
	flooded    bool // far more came than one request, which is dropped
	opened     time.Time
	until      time.Time
	discarded  int // of a flood, and after the last answer
	prev, next *Conn
	in         *list
	out        []byte
}

// OnOpen is gnet's.
func (s *Server) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	c := &Conn{gc: gc, srv: s, lane: s.laneOf(gc.EventLoop()), parser: http1.NewParser(http1.Request),
		opened: time.Now()}
	gc.SetContext(c)
	c.setState(fresh)
	s.clients.Add(1)
	taken := s.budget.TakeClient()
	if !taken {
		c.setState(busy) // not to be the one that is closed for itself
		taken = c.lane.evict(1) > 0
		c.setState(fresh)
	}
	if !taken {
		// A descriptor more, and neither accepting nor dialling works, for anybody.
		// This one connection is the lesser loss.
		s.log.Error("no descriptors left, closing a new connection", "open", s.budget.Used())
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnClose is gnet's.
func (s *Server) OnClose(gc gnet.Conn, _ error) gnet.Action {
	c, ok := gc.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	s.budget.Release()
	s.clients.Add(-1)
	was := c.state
	c.setState(closed)
	if was == busy && !c.detached {
		s.handler.Gone(c)
	}
	return gnet.None
}

// OnTraffic is gnet's.
func (s *Server) OnTraffic(gc gnet.Conn) gnet.Action {
	if c, ok := gc.Context().(*Conn); ok {
		c.read()
	}
	return gnet.None
}

func (c *Conn) setState(to connState) {
	if c.in != nil {
		c.in.remove(c)
	}
	c.state = to
	switch to {
	case fresh:
		c.until = c.opened.Add(c.srv.limits.First)
		c.lane.fresh.push(c)
	case idle:
		if c.srv.limits.Idle > 0 {
			c.until = time.Now().Add(c.srv.limits.Idle)
		}
		c.lane.idle.push(c)
	case reading:
		c.until = c.opened.Add(c.srv.limits.Slow) // however the bytes trickle
		if c.heard {
			c.until = time.Now().Add(c.srv.limits.Read)
		}
		c.lane.reading.push(c)
	case ending:
		c.until = time.Now().Add(lingerFor)
		c.lane.ending.push(c)
	}
}

// read takes what has come, up to one request.
func (c *Conn) read() {
	for c.state != closed {
		if c.state == ending {
			n := c.gc.InboundBuffered()
			_, _ = c.gc.Discard(n)
			if c.discarded += n; c.discarded > lingerBytes { // it had time to read; the rest is not worth ours
				c.lane.close(c)
			}
			return
		}
		if c.state == busy {
			if n := c.gc.InboundBuffered(); n > maxAhead || c.flooded {
				c.flood(n)
			}
			return
		}
		buf, _ := c.gc.Peek(-1)
		if len(buf) == 0 && c.parser.Idle() {
			return
		}
		if c.state == idle || c.state == fresh {
			c.setState(reading)
		}
		n, ev, part, err := c.parser.Next(buf)
		if ev == http1.Body {
			if len(c.body)+len(part) > MaxBody {
				if over, ok := c.srv.handler.(Overflower); ok {
					c.body = append(c.body, part...)
					c.overflow(over, buf[n:])
					return
				}
				err = &http1.Error{Status: 413, Text: "body too large"}
			} else {
				c.body = append(c.body, part...)
			}
		}
		evloop.Take(c.gc, n)
		switch {
		case err != nil:
			var wrong *http1.Error
			if !errors.As(err, &wrong) {
				wrong = &http1.Error{Status: 400, Text: err.Error()}
			}
			c.fail(wrong.Status, wrong.Text)
			return
		case ev == http1.Headed:
			c.body = nil
			if c.parser.Head.Length > MaxBody {
				if over, ok := c.srv.handler.(Overflower); ok {
					c.overflow(over, buf[n:])
					return
				}
				c.fail(413, "body too large")
				return
			}
			if len(c.parser.Head.Get("Expect")) > 0 && !c.parser.Head.Old {
				_, _ = c.gc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
		case ev == http1.Ended:
			c.setState(busy)
			c.heard = true
			head := c.parser.Head
			c.closeAfter = head.Close
			body := c.body
			c.body = nil
			c.srv.handler.Serve(c, &Request{Head: &head, Body: body, At: time.Now()})
		case ev == http1.More:
			return
		}
	}
}

// flood drops what a client sends far ahead of its turn. The request at hand still gets its
// answer, which is the last; but a client that goes on is not followed for long.
func (c *Conn) flood(n int) {
	if !c.flooded {
		c.flooded, c.closeAfter = true, true
		c.srv.log.Warn("a client sends far ahead of its turn, its answer will be the last")
	}
	_, _ = c.gc.Discard(n)
	if c.discarded += n; c.discarded > lingerBytes {
		c.lane.close(c)
	}
}

// unread reports whether something has come that the loop has yet to read.
func (c *Conn) unread() bool {
	if c.gc.InboundBuffered() > 0 {
		return true
	}
	var b [1]byte
	n, _, err := unix.Recvfrom(c.gc.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n > 0
}

// closeGracefully ends a connection on which no answer is due.
func (c *Conn) closeGracefully() {
	c.setState(ending)
	c.until = time.Now().Add(gracefulFor)
	c.shutdown()
}

// fail answers what cannot be understood and ends the connection.
func (c *Conn) fail(status int, text string) {
	c.RespondLast(status, nil, append([]byte(text), '\n'))
}

// RespondLast answers the request and ends the connection.
func (c *Conn) RespondLast(status int, fields []http1.Field, body []byte) {
	c.closeAfter = true
	c.Respond(status, fields, body)
}

// Respond answers the request.
func (c *Conn) Respond(status int, fields []http1.Field, body []byte) {
	if c.state == closed {
		return
	}
	c.begin(status, fields)
	if status == 204 {
		c.out = append(c.out, "\r\n"...)
	} else {
		c.out = http1.AppendBody(c.out, body)
	}
	_, _ = c.gc.Write(c.out)
	c.finish()
}

// BeginStream sends a head whose body goes on until EndStream.
func (c *Conn) BeginStream(fields []http1.Field) {
	if c.state == closed {
		return
	}
	c.closeAfter = true // the end of the connection ends the body
	c.begin(200, fields)
	c.out = append(c.out, "\r\n"...)
	_, _ = c.gc.Write(c.out)
}

// Write sends a part of a stream.
func (c *Conn) Write(b []byte) {
	if c.state != closed {
		_, _ = c.gc.Write(b)
	}
}

// Unsent is how much of what was written the kernel has not taken yet.
func (c *Conn) Unsent() int {
	if c.state == closed {
		return 0
	}
	return c.gc.OutboundBuffered()
}

// Closed reports whether the connection is closed. A write can find that out.
func (c *Conn) Closed() bool { return c.state == closed }

// EndStream ends a stream.
func (c *Conn) EndStream() { c.finish() }

// Abort closes the connection at once.
func (c *Conn) Abort() {
	if c.state != closed {
		c.lane.close(c)
	}
}

func (c *Conn) begin(status int, fields []http1.Field) {
	c.closeAfter = c.closeAfter || c.srv.draining.Load()
	c.out = http1.AppendStatus(c.out[:0], status)
	for _, f := range fields {
		c.out = http1.AppendField(c.out, f.Name, f.Value)
	}
	if c.closeAfter {
		c.out = http1.AppendField(c.out, "Connection", "close")
	}
}

// finish makes the connection ready for the next request, or ends it. The end
// leaves the client time to read: closing with unread bytes about would reset
// the connection under the answer.
func (c *Conn) finish() {
	if c.state == closed {
		return
	}
	if !c.closeAfter {
		c.setState(idle)
		if most := c.srv.budget.Idle(); c.lane.idle.n > most {
			c.Post(func(*Conn) { c.lane.closeIdle(c.lane.idle.n - most) })
		}
		if c.gc.InboundBuffered() > 0 {
			c.Post((*Conn).read)
		}
		return
	}
	c.setState(ending)
	c.shutdown()
}

// shutdown ends our sending once all is out; sweep closes the rest.
func (c *Conn) shutdown() {
	if c.gc.OutboundBuffered() == 0 {
		_ = unix.Shutdown(c.gc.Fd(), syscall.SHUT_WR)
	}
}

// Post calls f on the connection's event loop unless it is closed by then. It
// may be called from anywhere.
func (c *Conn) Post(f func(*Conn)) {
	c.lane.box.Put(func() {
		if c.state != closed {
			f(c)
		}
	})
}
