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

// connState is where a connection stands. But for stateBusy and stateClosed there is a time
// by which something has to happen, and a queue of the connections in that state.
type connState uint8

const (
	stateFresh   connState = iota // nothing has come yet
	stateIdle                     // between two requests
	stateReading                  // part of a request has come
	stateBusy                     // the request is the handler's
	stateEnding                   // the last response is out, or the end was announced
	stateClosed
)

// Conn is a client's connection. Its methods are for its event loop, but for Post.
type Conn struct {
	State any // the handler's

	conn       gnet.Conn
	server     *Server
	loop       *eventLoop
	parser     *http1.Parser
	body       []byte // of the request that is read
	state      connState
	closeAfter bool // the next response is the connection's last
	detached   bool // its descriptor lives on elsewhere
	framing    Framing
	received   bool // a request has come whole
	flooded    bool // the client sent more than maxPipelined ahead, which is dropped
	opened     time.Time
	deadline   time.Time // of the state
	discarded  int       // bytes of a flood, and after the last response
	prev, next *Conn     // in queue
	queue      *connList
	out        []byte // a buffer for heads and chunks
}

// OnOpen is called by gnet with each new connection.
func (s *Server) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	c := &Conn{conn: gc, server: s, loop: s.eventLoopOf(gc.EventLoop()), parser: http1.NewParser(http1.Request),
		opened: time.Now()}
	gc.SetContext(c)
	c.setState(stateFresh)
	s.clients.Add(1)
	taken := s.descriptors.AcquireClient()
	if !taken {
		c.setState(stateBusy) // else it could be the connection that is evicted
		taken = c.loop.evict(1) > 0
		c.setState(stateFresh)
	}
	if !taken {
		// With one descriptor more neither accepting nor dialling would work at all. To
		// lose this one connection is better.
		s.log.Error("no descriptors left, closing a new connection", "open", s.descriptors.InUse())
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnClose is called by gnet when a connection is closed, by either side.
func (s *Server) OnClose(gc gnet.Conn, _ error) gnet.Action {
	c, ok := gc.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	s.descriptors.Release()
	s.clients.Add(-1)
	was := c.state
	c.setState(stateClosed)
	if was == stateBusy && !c.detached {
		s.handler.Disconnected(c)
	}
	return gnet.None
}

// OnTraffic is called by gnet when bytes have come.
func (s *Server) OnTraffic(gc gnet.Conn) gnet.Action {
	if c, ok := gc.Context().(*Conn); ok {
		c.read()
	}
	return gnet.None
}

func (c *Conn) setState(to connState) {
	if c.queue != nil {
		c.queue.remove(c)
	}
	c.state = to
	switch to {
	case stateFresh:
		c.deadline = c.opened.Add(c.server.limits.FirstByte)
		c.loop.fresh.push(c)
	case stateIdle:
		if c.server.limits.Idle > 0 {
			c.deadline = time.Now().Add(c.server.limits.Idle)
		}
		c.loop.idle.push(c)
	case stateReading:
		c.deadline = c.opened.Add(c.server.limits.FirstRequest) // however the bytes trickle
		if c.received {
			c.deadline = time.Now().Add(c.server.limits.Request)
		}
		c.loop.reading.push(c)
	case stateEnding:
		c.deadline = time.Now().Add(lingerTimeout)
		c.loop.ending.push(c)
	}
}

// read handles what has come, request by request, until one is the handler's or nothing
// more has come.
func (c *Conn) read() {
	for {
		switch c.state {
		case stateClosed:
			return
		case stateEnding:
			c.discard()
			return
		case stateBusy:
			if c.conn.InboundBuffered() > maxPipelined || c.flooded {
				c.flood()
			}
			return
		}
		if !c.parse() {
			return
		}
	}
}

// parse takes the parser a step on, and reports whether there may be another.
func (c *Conn) parse() bool {
	buf, _ := c.conn.Peek(-1)
	if len(buf) == 0 && c.parser.Idle() {
		return false
	}
	if c.state == stateIdle || c.state == stateFresh {
		c.setState(stateReading)
	}
	n, event, part, err := c.parser.Next(buf)
	if event == http1.Body {
		if len(c.body)+len(part) > MaxBody {
			if over, ok := c.server.handler.(BodyOverflowHandler); ok {
				c.body = append(c.body, part...)
				c.overflow(over, buf[n:])
				return false
			}
			err = &http1.Error{Status: 413, Text: "body too large"}
		} else {
			c.body = append(c.body, part...)
		}
	}
	evloop.Discard(c.conn, n)
	if err != nil {
		c.rejectFor(err)
		return false
	}
	switch event {
	case http1.HeadParsed:
		return c.onHead(buf[n:])
	case http1.Ended:
		c.onRequest()
	case http1.NeedMore:
		return false
	}
	return true
}

// onHead decides by a request's head whether its body is read. Rest is what was read behind
// the head.
func (c *Conn) onHead(rest []byte) bool {
	c.body = nil
	if c.parser.Head.Length > MaxBody {
		if over, ok := c.server.handler.(BodyOverflowHandler); ok {
			c.overflow(over, rest)
			return false
		}
		c.reject(413, "body too large")
		return false
	}
	if len(c.parser.Head.Get("Expect")) > 0 && !c.parser.Head.HTTP10 {
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return true
}

// onRequest gives a request that has come whole to the handler.
func (c *Conn) onRequest() {
	c.setState(stateBusy)
	c.received = true
	head := c.parser.Head
	c.closeAfter = head.Close
	body := c.body
	c.body = nil
	c.server.handler.Serve(c, &Request{Head: &head, Body: body, At: time.Now()})
}

// discard drops what a client sends after its last response. The connection of one that
// goes on for long is closed: it had time to read the response.
func (c *Conn) discard() {
	n := c.conn.InboundBuffered()
	_, _ = c.conn.Discard(n)
	if c.discarded += n; c.discarded > maxLingerBytes {
		c.loop.close(c)
	}
}

// flood drops what a client sends beyond maxPipelined while a request of its is served. That
// request still gets its response, the connection's last; the connection of a client
// that goes on for long is closed.
func (c *Conn) flood() {
	if !c.flooded {
		c.flooded, c.closeAfter = true, true
		c.server.log.Warn("a client pipelines too much, its response will be the last")
	}
	c.discard()
}

// hasUnread reports whether something has come that the event loop has yet to read.
func (c *Conn) hasUnread() bool {
	if c.conn.InboundBuffered() > 0 {
		return true
	}
	var b [1]byte
	n, _, err := unix.Recvfrom(c.conn.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n > 0
}

// closeGracefully ends a connection on which no response is due.
func (c *Conn) closeGracefully() {
	c.setState(stateEnding)
	c.deadline = time.Now().Add(closeTimeout)
	c.shutdown()
}

// rejectFor answers a request that the parser has rejected, and ends the connection.
func (c *Conn) rejectFor(err error) {
	var malformed *http1.Error
	if !errors.As(err, &malformed) {
		malformed = &http1.Error{Status: 400, Text: err.Error()}
	}
	c.reject(malformed.Status, malformed.Text)
}

// reject answers a malformed request and ends the connection.
func (c *Conn) reject(status int, text string) {
	c.RespondLast(status, nil, append([]byte(text), '\n'))
}

// RespondLast sends the response to the request and ends the connection.
func (c *Conn) RespondLast(status int, fields []http1.Field, body []byte) {
	c.closeAfter = true
	c.Respond(status, fields, body)
}

// Respond sends the response to the request.
func (c *Conn) Respond(status int, fields []http1.Field, body []byte) {
	if c.state == stateClosed {
		return
	}
	c.writeHead(status, fields)
	if status == 204 {
		c.out = append(c.out, "\r\n"...)
	} else {
		c.out = http1.AppendBody(c.out, body)
	}
	_, _ = c.conn.Write(c.out)
	c.endResponse()
}

// BeginStream sends a head whose body goes on until EndStream.
func (c *Conn) BeginStream(fields []http1.Field) {
	if c.state == stateClosed {
		return
	}
	c.closeAfter = true // the end of the connection ends the body
	c.writeHead(200, fields)
	c.out = append(c.out, "\r\n"...)
	_, _ = c.conn.Write(c.out)
}

// Write sends a part of a stream.
func (c *Conn) Write(b []byte) {
	if c.state != stateClosed {
		_, _ = c.conn.Write(b)
	}
}

// UnsentBytes returns how many bytes of what was written the kernel has not taken yet.
func (c *Conn) UnsentBytes() int {
	if c.state == stateClosed {
		return 0
	}
	return c.conn.OutboundBuffered()
}

// Closed reports whether the connection is closed. A write can find that out.
func (c *Conn) Closed() bool { return c.state == stateClosed }

// EndStream ends a stream.
func (c *Conn) EndStream() { c.endResponse() }

// Abort closes the connection at once.
func (c *Conn) Abort() {
	if c.state != stateClosed {
		c.loop.close(c)
	}
}

func (c *Conn) writeHead(status int, fields []http1.Field) {
	c.closeAfter = c.closeAfter || c.server.draining.Load()
	c.out = http1.AppendStatus(c.out[:0], status)
	for _, f := range fields {
		c.out = http1.AppendField(c.out, f.Name, f.Value)
	}
	if c.closeAfter {
		c.out = http1.AppendField(c.out, "Connection", "close")
	}
}

// endResponse makes the connection ready for the next request, or ends it. The end leaves
// the client time to read: closing while unread bytes are there would reset the connection
// under the response.
func (c *Conn) endResponse() {
	if c.state == stateClosed {
		return
	}
	if !c.closeAfter {
		c.setState(stateIdle)
		if maxIdle := c.server.descriptors.MaxIdleClients(); c.loop.idle.n > maxIdle {
			c.Post(func(*Conn) { c.loop.closeIdle(c.loop.idle.n - maxIdle) })
		}
		if c.conn.InboundBuffered() > 0 {
			c.Post((*Conn).read)
		}
		return
	}
	c.setState(stateEnding)
	c.shutdown()
}

// shutdown half-closes the connection once all is sent; sweep does the rest.
func (c *Conn) shutdown() {
	if c.conn.OutboundBuffered() == 0 {
		_ = unix.Shutdown(c.conn.Fd(), syscall.SHUT_WR)
	}
}

// Post calls f on the connection's event loop unless the connection is closed by then. It may
// be called from any goroutine.
func (c *Conn) Post(f func(*Conn)) {
	c.loop.tasks.Put(func() {
		if c.state != stateClosed {
			f(c)
		}
	})
}
