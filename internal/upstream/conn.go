package upstream

import (
	"errors"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"sedgevale/dispatcher"
	"sedgevale/internal/evloop"
	"sedgevale/internal/http1"
)

// conn is a connection to a worker. It implements evloop.Handler and is accessed on the loop only.
type conn struct {
	pool          *Pool
	raw           evloop.Conn
	worker        *worker
	call          *call // the current call, or nil if the connection is idle
	parser        *http1.Parser
	lines         lineSplitter
	closed        bool
	writeFailed   bool // set during a Write, and after one that failed
	outcomeKnown  bool // the outcome of the last call is known; stays set while the connection is idle
	uses          int  // number of calls sent
	responseBytes int  // size of the received part of the response
	idleSince     time.Time
	buffer        []byte // write buffer, kept for the next request
}

// OnOpen implements evloop.Handler: it sends the call for which the connection was dialed.
func (c *conn) OnOpen(raw evloop.Conn) bool {
	c.raw = raw
	cl := c.call
	c.worker, c.call = cl.worker, nil
	if cl.done { // cancelled during the dial: the worker drains or is cordoned, or the client has disconnected
		c.closed = true
		return false
	}
	delete(cl.worker.dialing, cl)
	c.send(cl)
	return true
}

// OnClose implements evloop.Handler: it fails the current call.
func (c *conn) OnClose(evloop.Conn) {
	p := c.pool
	p.opt.Descriptors.Release()
	c.closed = true
	c.worker.removeIdle(c)
	delete(p.awaitingEnd, c)
	cl := c.call
	if cl == nil || cl.done {
		return
	}
	if c.requestWritten() {
		if c.parser.Idle() {
			c.stats().broken++
		}
		p.finishCall(cl, dispatcher.ConnectionLost, nil, nil)
	} else {
		c.shutdownWrite()
		p.finishCall(cl, dispatcher.ConnectFailed, nil, nil)
	}
}

// shutdownWrite shuts down the write side if a request is partly written. Otherwise gnet would flush its buffer as it closes
// the connection, and the worker would serve a request that was reported as not sent.
func (c *conn) shutdownWrite() {
	if c.raw.OutboundBuffered() > 0 {
		_ = unix.Shutdown(c.raw.Fd(), unix.SHUT_WR)
	}
}

// stats returns the counters of reused connections if the connection has carried an earlier call, and otherwise those of new
// ones.
func (c *conn) stats() *connStats {
	if c.uses > 1 {
		return &c.pool.reusedConns
	}
	return &c.pool.newConns
}

// isReusable reports whether there is nothing to read on an idle connection. It detects data or an end of stream that the event
// loop has not reported yet.
func (c *conn) isReusable() bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(c.raw.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// send sends the request of a call.
func (c *conn) send(cl *call) {
	if cl.attempt != nil && cl.attempt.Expired(c.pool.opt.Clock.Now()) { // the deadline has passed during the dial
		c.putIdle()
		c.pool.finishCall(cl, dispatcher.NotSent, nil, nil)
		return
	}
	c.call, cl.conn = cl, c
	c.uses++
	c.stats().used++
	c.outcomeKnown, c.responseBytes = false, 0
	c.lines.partial = nil
	c.buffer = c.appendRequest(c.buffer[:0], cl)
	c.writeFailed = true // set before Write, because a failing Write calls OnClose
	if _, err := c.raw.Write(c.buffer); err != nil {
		c.pool.finishCall(cl, dispatcher.ConnectFailed, nil, nil)
		return
	}
	c.writeFailed = false
	if cl.attempt != nil && cl.attempt.InJournal() {
		cl.attempt.Planner.AttemptSent(cl.attempt)
	}
	if cap(c.buffer) > maxRetainedBuffer {
		c.buffer = nil
	}
}

// maxRetainedBuffer is the capacity in bytes up to which a write buffer is kept for the next request.
const maxRetainedBuffer = 8 << 10

// appendRequest appends the request of a call to b.
func (c *conn) appendRequest(b []byte, cl *call) []byte {
	a := cl.attempt
	if a == nil {
		b = http1.AppendRequest(b, "GET", "/status/load")
		b = http1.AppendField(b, "Host", c.pool.opt.Host)
		return append(b, "\r\n"...)
	}
	b = http1.AppendRequest(b, a.Method, a.Target)
	b = http1.AppendField(b, "Host", c.pool.opt.Host)
	b = http1.AppendField(b, "Request-Id", a.ID)
	if a.IdempotencyKey != "" {
		b = http1.AppendField(b, "Idempotency-Key", a.IdempotencyKey)
	}
	remaining := max(0, a.Deadline-c.pool.opt.Clock.Now())
	b = http1.AppendField(b, "Request-Timeout", strconv.FormatInt(remaining.Milliseconds(), 10)+"m")
	return http1.AppendBody(b, a.Body)
}

// requestWritten reports whether the entire request has been written to the socket.
func (c *conn) requestWritten() bool { return !c.writeFailed && c.raw.OutboundBuffered() == 0 }

// OnTraffic implements evloop.Handler: it parses a response incrementally. A malformed response ends the call and the
// connection.
func (c *conn) OnTraffic(evloop.Conn) bool {
	for !c.closed {
		buf, _ := c.raw.Peek(-1)
		n, ev, body, err := c.parser.Next(buf)
		if err == nil {
			err = c.handleEvent(ev, body)
		}
		if c.closed {
			return true
		}
		evloop.Discard(c.raw, n)
		if c.responseBytes += n; c.responseBytes > maxResponseBytes && err == nil {
			err = errResponseTooLong
		}
		if err != nil {
			c.handleMalformed(err)
			return true
		}
		if ev == http1.NeedMore {
			return true
		}
		if ev == http1.Ended && !c.isInformational() {
			if !c.handleEnd() {
				return true
			}
		}
	}
	return true
}

// isInformational reports whether the response that is being parsed is informational (1xx).
func (c *conn) isInformational() bool { return c.parser.Head.Status < 200 }

// handleMalformed handles a malformed response: it ends the call, if any, and closes the connection.
func (c *conn) handleMalformed(err error) {
	if cl := c.call; cl != nil && !cl.done {
		c.pool.opt.Log.Warn("malformed response from worker, closing the connection", "worker", c.worker.id, "err", err)
		c.pool.finishCall(cl, dispatcher.ConnectionLost, nil, nil)
	}
	c.pool.closeConn(c)
}

// handleEvent handles an event of the parser.
func (c *conn) handleEvent(ev http1.Event, body []byte) error {
	switch ev {
	case http1.HeadParsed:
		return c.handleHead()
	case http1.Body:
		return c.handleBody(body)
	case http1.Ended:
		if len(c.lines.partial) > 0 && !c.isInformational() { // the last line may have no line feed
			last := c.lines.partial
			c.lines.partial = nil
			return c.handleLine(last)
		}
	}
	return nil
}

// handleHead handles the head of a response.
func (c *conn) handleHead() error {
	h := &c.parser.Head
	if c.call == nil && c.outcomeKnown {
		return errUnsolicited
	}
	if c.call == nil || c.call.done || c.isInformational() {
		return nil
	}
	if c.call.attempt == nil || h.Status != 200 {
		c.handleHeadOnly(h)
	}
	return nil
}

// handleBody handles a part of the body. Only responses with status 200 to an attempt have lines that are used.
func (c *conn) handleBody(body []byte) error {
	if c.parser.Head.Status != 200 || c.call != nil && c.call.attempt == nil {
		return nil
	}
	for len(body) > 0 {
		line, rest, err := c.lines.next(body)
		if err != nil {
			return err
		}
		body = rest
		if line != nil {
			if err := c.handleLine(line); err != nil || c.closed {
				return err
			}
		}
	}
	return nil
}

// handleHeadOnly handles a response whose head determines the outcome: that of a health check, or one with a status other than
// 200. The connection can be reused when the response has ended.
func (c *conn) handleHeadOnly(h *http1.Head) {
	cl := c.call
	report := parseLoadHeader(h.Get("Server-Load"))
	o := dispatcher.Errored
	if (h.Status == 503 || h.Status == 504) && h.Get("Not-Started") == "1" {
		o = dispatcher.Rejected
		h.Close = true // the response names no request, so a duplicate could be taken for the response to the next request
	}
	c.awaitEnd()
	c.pool.finishCall(cl, o, nil, report)
}

// handleLine handles a line of the response body, which is a JSON object. Lines after the outcome are ignored.
func (c *conn) handleLine(text []byte) error {
	cl := c.call
	if cl == nil || cl.done || len(text) == 0 || len(text) == 1 && text[0] == '\r' {
		return nil
	}
	l, err := parseLine(text)
	if err != nil {
		return err
	}
	if l.ID != cl.attempt.ID {
		return errOtherRequest
	}
	switch l.State {
	case "started":
		cl.attempt.Planner.AttemptStarted(cl.attempt)
	case "running":
		cl.attempt.Planner.AttemptProgressed(cl.attempt, min(max(l.Share, 0), 1))
	case "done":
		if l.Result == nil {
			return errNoResult
		}
		c.handleOutcome(dispatcher.Served, []byte(*l.Result), l)
	case "failed":
		c.handleOutcome(dispatcher.Errored, nil, l)
	case "returned":
		c.handleOutcome(dispatcher.Rejected, nil, l)
	case "lost":
		c.handleOutcome(dispatcher.ConnectionLost, nil, l)
	}
	return nil
}

// handleOutcome ends the attempt with the outcome of its last line. The connection is not reused before the response has ended.
func (c *conn) handleOutcome(o dispatcher.Outcome, result []byte, l responseLine) {
	c.awaitEnd()
	c.pool.finishCall(c.call, o, result, loadReport(l.Load))
}

// awaitEnd records that only the end of the response is outstanding.
func (c *conn) awaitEnd() {
	c.outcomeKnown, c.idleSince = true, time.Now()
	c.pool.awaitingEnd[c] = struct{}{}
}

// handleEnd handles the end of a response: it makes the connection idle or closes it. It reports whether the connection is
// still open.
func (c *conn) handleEnd() bool {
	delete(c.pool.awaitingEnd, c)
	if cl := c.call; cl != nil && !cl.done { // the response has no line with an outcome
		c.pool.finishCall(cl, dispatcher.ConnectionLost, nil, nil)
	}
	if c.closed {
		return false
	}
	c.call = nil
	if c.parser.Head.Close || !c.pool.acceptsAttempts(c.worker) {
		c.pool.closeConn(c)
		return false
	}
	c.putIdle()
	if len(c.worker.idle) > maxIdleWhileAvoided && c.pool.reusedConnsBreak() { // each request that avoids reused connections adds an idle one
		c.pool.closeConn(c.worker.idle[0])
	}
	return true
}

// putIdle adds the connection to the idle connections of its worker.
func (c *conn) putIdle() {
	c.outcomeKnown, c.idleSince = true, time.Now()
	c.worker.idle = append(c.worker.idle, c)
}

// Errors of a malformed response.
var (
	errUnsolicited     = errors.New("unsolicited response")
	errOtherRequest    = errors.New("response to another request")
	errNoResult        = errors.New("state \"done\" without a result")
	errResponseTooLong = errors.New("response too long")
)
