package httpd

import (
	"errors"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"sedgevale/internal/evloop"
	"sedgevale/internal/http1"
	"sedgevale/internal/resourcequota"
)

// connState is the state of a connection. Every state except stateServing and stateClosed has a deadline
// and a list of the connections in that state.
type connState uint8

const (
	stateNew     connState = iota // no byte has been received yet
	stateIdle                     // between two requests
	stateReading                  // part of a request has been received
	stateServing                  // the handler is serving a request
	stateClosing                  // half-closed by the server, or about to be, after the last response
	stateClosed
)

// Conn is a client connection. All methods except Post must be called on its event loop.
type Conn struct {
	State any // for use by the handler

	conn             gnet.Conn
	server           *Server
	loop             *eventLoop
	parser           *http1.Parser
	body             []byte // body of the request being read
	state            connState
	closeAfter       bool // whether to close the connection after the current response
	detached         bool // whether a Detached has taken over a duplicate of the descriptor
	framing          Framing
	received         bool // whether a complete request has been received
	pipelineOverflow bool // whether the client pipelined more than maxPipelined bytes, which are discarded
	opened           time.Time
	deadline         time.Time // deadline of the state
	discarded        int       // bytes discarded beyond maxPipelined and after the last response
	prev, next       *Conn     // neighbors in list
	list             *connList // list of connections in the same state
	out              []byte    // write buffer for heads and chunks

	reservation  *resourcequota.Reservation // the connection's part of the quota; nil while it holds less than chargeUnit
	charged      int64                      // bytes of reservation
	declared     int                        // length of the body being read if it is known, which is counted before it has come
	requestBytes int                        // capacity of the body of the request that the handler is serving
	unsent       int                        // bytes of responses that the kernel had not taken when they were last counted
	readAt       time.Time                  // when the client last read some of them
}

// OnOpen implements gnet.EventHandler for a new connection.
func (s *Server) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	c := &Conn{conn: gc, server: s, loop: s.eventLoopFor(gc.EventLoop()), parser: http1.NewParser(http1.Request),
		opened: time.Now()}
	gc.SetContext(c)
	c.setState(stateNew)
	s.clients.Add(1)
	acquired := s.descriptors.AcquireClient()
	if !acquired {
		c.setState(stateServing) // keeps evict from closing this connection
		acquired = c.loop.evict(1) > 0
		c.setState(stateNew)
	}
	if !acquired {
		// Losing this connection is better than using up the last descriptors, without which the process can
		// neither accept nor dial.
		s.log.Error("file descriptor limit reached; closing a new client connection", "open", s.descriptors.InUse())
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler for a connection closed by either side.
func (s *Server) OnClose(gc gnet.Conn, _ error) gnet.Action {
	c, ok := gc.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	s.descriptors.Release()
	s.clients.Add(-1)
	c.discharge()
	delete(c.loop.unread, c)
	previous := c.state
	c.setState(stateClosed)
	if previous == stateServing && !c.detached {
		s.handler.Disconnected(c)
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler for received bytes.
func (s *Server) OnTraffic(gc gnet.Conn) gnet.Action {
	if c, ok := gc.Context().(*Conn); ok {
		c.read()
	}
	return gnet.None
}

func (c *Conn) setState(to connState) {
	if c.list != nil {
		c.list.remove(c)
	}
	c.state = to
	switch to {
	case stateNew:
		c.deadline = c.opened.Add(c.server.limits.FirstByte)
		c.loop.newConns.push(c)
	case stateIdle:
		if c.server.limits.Idle > 0 {
			c.deadline = time.Now().Add(c.server.limits.Idle)
		}
		c.loop.idle.push(c)
	case stateReading:
		c.deadline = c.opened.Add(c.server.limits.FirstRequest) // even if the client keeps sending single bytes
		if c.received {
			c.deadline = time.Now().Add(c.server.limits.Request)
		}
		c.reservation.Await()
		c.loop.reading.push(c)
	case stateClosing:
		c.deadline = time.Now().Add(lingerTimeout)
		c.loop.closing.push(c)
	}
}

// read parses the received bytes, request by request, until the handler is serving a request or all
// bytes are parsed.
func (c *Conn) read() {
	for {
		switch c.state {
		case stateClosed:
			return
		case stateClosing:
			c.discard()
			return
		case stateServing:
			if c.conn.InboundBuffered() > maxPipelined || c.pipelineOverflow || !c.charge() {
				c.dropPipelined()
			}
			return
		}
		if !c.parse() {
			return
		}
	}
}

// parse handles one parser event and reports whether another may follow.
func (c *Conn) parse() bool {
	buf, _ := c.conn.Peek(-1)
	if len(buf) == 0 && c.parser.Idle() {
		return false
	}
	if c.state == stateIdle || c.state == stateNew {
		c.setState(stateReading)
	}
	n, event, part, err := c.parser.Next(buf)
	if event == http1.Body {
		if len(c.body)+len(part) > MaxBody {
			if h, ok := c.server.handler.(BodyOverflowHandler); ok {
				c.body = append(c.body, part...)
				c.overflow(h, buf[n:])
				return false
			}
			err = &http1.Error{Status: 413, Text: "body too large"}
		} else {
			c.appendBody(part)
		}
	}
	evloop.Discard(c.conn, n)
	if err != nil {
		c.rejectMalformed(err)
		return false
	}
	switch event {
	case http1.HeadParsed:
		return c.onHead(buf[n:])
	case http1.Ended:
		c.onRequest()
		return true
	}
	if !c.charge() {
		c.refuse()
		return false
	}
	return event != http1.NeedMore
}

// appendBody appends a part of the body. A body of known length is allocated at once.
func (c *Conn) appendBody(part []byte) {
	if c.body == nil && c.declared > 0 {
		c.body = make([]byte, 0, c.declared)
	}
	c.body = append(c.body, part...)
}

// onHead handles a request head and reports whether to read the body on the event loop. rest holds the bytes received
// after the head.
func (c *Conn) onHead(rest []byte) bool {
	c.body = nil
	if c.parser.Head.Length > MaxBody {
		if h, ok := c.server.handler.(BodyOverflowHandler); ok {
			c.overflow(h, rest)
			return false
		}
		c.reject(413, "body too large")
		return false
	}
	c.declared = int(max(0, c.parser.Head.Length))
	if !c.charge() {
		c.refuse()
		return false
	}
	if len(c.parser.Head.Get("Expect")) > 0 && !c.parser.Head.HTTP10 {
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return true
}

// onRequest passes a complete request to the handler.
func (c *Conn) onRequest() {
	c.setState(stateServing)
	c.received = true
	head := c.parser.Head
	c.closeAfter = head.Close
	body := c.body
	c.body, c.declared, c.requestBytes = nil, 0, cap(body)
	c.reservation.Complete()
	c.server.handler.Serve(c, &Request{Head: &head, Body: body, At: time.Now()})
}

// discard discards bytes that cannot be served any more. It closes the connection after maxLingerBytes.
func (c *Conn) discard() {
	n := c.conn.InboundBuffered()
	_, _ = c.conn.Discard(n)
	if c.discarded += n; c.discarded > maxLingerBytes {
		c.loop.close(c)
	}
}

// dropPipelined discards what a client sends beyond maxPipelined while its request is being served. The
// request still gets its response, after which the connection is closed. If the client sends more than maxLingerBytes,
// the connection is closed immediately.
func (c *Conn) dropPipelined() {
	if !c.pipelineOverflow {
		c.pipelineOverflow, c.closeAfter = true, true
		c.server.log.Warn("client pipelined too many bytes; discarding them and closing the connection after the current response")
	}
	c.discard()
}

// hasUnread reports whether received bytes are waiting in gnet's buffer or in the socket.
func (c *Conn) hasUnread() bool {
	if c.conn.InboundBuffered() > 0 {
		return true
	}
	var b [1]byte
	n, _, err := unix.Recvfrom(c.conn.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n > 0
}

// closeGracefully half-closes a connection on which no response is outstanding. Unless the client closes it first, sweep
// closes it after closeTimeout.
func (c *Conn) closeGracefully() {
	c.setState(stateClosing)
	c.deadline = time.Now().Add(closeTimeout)
	c.shutdown()
}

// rejectMalformed responds to a request that the parser rejected and closes the connection.
func (c *Conn) rejectMalformed(err error) {
	var malformed *http1.Error
	if !errors.As(err, &malformed) {
		malformed = &http1.Error{Status: 400, Text: err.Error()}
	}
	c.reject(malformed.Status, malformed.Text)
}

// reject sends an error response and closes the connection.
func (c *Conn) reject(status int, text string) {
	c.RespondLast(status, nil, append([]byte(text), '\n'))
}

// RespondLast sends the response to the request and closes the connection.
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

// BeginStream sends a response head. The caller then sends the body with Write and ends it with EndStream.
func (c *Conn) BeginStream(fields []http1.Field) {
	if c.state == stateClosed {
		return
	}
	c.closeAfter = true // closing the connection ends the body
	c.writeHead(200, fields)
	c.out = append(c.out, "\r\n"...)
	_, _ = c.conn.Write(c.out)
	c.chargeResponse()
}

// Write sends a part of the body of a stream.
func (c *Conn) Write(b []byte) {
	if c.state != stateClosed {
		_, _ = c.conn.Write(b)
		c.chargeResponse()
	}
}

// UnsentBytes returns how many written bytes are still buffered because the kernel has not accepted them.
func (c *Conn) UnsentBytes() int {
	if c.state == stateClosed {
		return 0
	}
	return c.conn.OutboundBuffered()
}

// Closed reports whether the connection is closed, which may happen during a write.
func (c *Conn) Closed() bool { return c.state == stateClosed }

// EndStream ends the body of a stream.
func (c *Conn) EndStream() { c.endResponse() }

// Abort closes the connection immediately.
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

// endResponse makes the connection ready for the next request or starts to close it. It only half-closes the
// connection, because closing a socket with unread bytes would reset the connection before the client has read the
// response.
func (c *Conn) endResponse() {
	c.requestBytes = 0
	if !c.chargeResponse() {
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
	c.setState(stateClosing)
	c.shutdown()
}

// shutdown half-closes the connection if everything has been sent; otherwise sweep tries again.
func (c *Conn) shutdown() {
	if c.conn.OutboundBuffered() == 0 {
		_ = unix.Shutdown(c.conn.Fd(), syscall.SHUT_WR)
	}
}

// Post schedules f to run on the connection's event loop, unless the connection is closed by then. It may
// be called from any goroutine.
func (c *Conn) Post(f func(*Conn)) {
	c.loop.tasks.Put(func() {
		if c.state != stateClosed {
			f(c)
		}
	})
}
