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
	raw     evloop.Conn
	worker      *worker
	call      *call // what it carries; nil: it is idle, or only the end of an answer is to come
	parser *http1.Parser
	lines  lineSplitter
	closed   bool
	writeFailed bool // writing fails
	answered  bool // the whole answer has come
	uses   int  // attempts carried
	answerBytes    int  // bytes of the answer at hand
	idleSince  time.Time
	buffer    []byte
}

// Opened is the loop's: a dialled connection is up.
func (c *conn) Opened(gc evloop.Conn) bool {
	c.raw = gc
	f := c.call
	c.worker, c.call = f.worker, nil
	if f.done { // the worker has begun to drain or was taken out, or nobody waits any more
		c.closed = true
		return false
	}
	delete(f.worker.dialling, f)
	c.send(f)
	return true
}

// Closed is the loop's.
func (c *conn) Closed(evloop.Conn) {
	p := c.pool
	p.opt.Budget.Release()
	c.closed = true
	c.worker.removeIdle(c)
	delete(p.draining, c)
	f := c.call
	if f == nil || f.done {
		return
	}
	if c.requestWritten() {
		if c.parser.Idle() {
			c.stats().broken++
		}
		p.finish(f, sedgevale.Lost, nil, nil)
	} else {
		c.shutdownWrite()
		p.finish(f, sedgevale.ConnectFailed, nil, nil)
	}
}

// shutdownWrite sees to it that a request of which a part is still to be written stays a part: gnet
// writes the rest as it closes the connection, and then the request may run that was told not
// to have been sent.
func (c *conn) shutdownWrite() {
	if c.raw.OutboundBuffered() > 0 {
		_ = unix.Shutdown(c.raw.Fd(), unix.SHUT_WR)
	}
}

func (c *conn) stats() *connStats {
	if c.uses > 1 {
		return &c.pool.reusedConns
	}
	return &c.pool.newConns
}

// isQuiet reports whether nothing has come on an idle connection, not even its end,
// that the loop has yet to read.
func (c *conn) isQuiet() bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(c.raw.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// send sends a flight's request.
func (c *conn) send(f *call) {
	if f.attempt != nil && f.attempt.Expired(c.pool.opt.Clock.Now()) { // by the time that it took to connect
		c.putIdle()
		c.pool.finish(f, sedgevale.NotSent, nil, nil)
		return
	}
	c.call, f.conn = f, c
	c.uses++
	c.stats().used++
	c.answered, c.answerBytes = false, 0
	c.lines.partial = nil
	c.buffer = c.appendRequest(c.buffer[:0], f)
	c.writeFailed = true // a failure closes the connection within Write, and OnClose tells
	if _, err := c.raw.Write(c.buffer); err != nil {
		c.pool.finish(f, sedgevale.ConnectFailed, nil, nil)
		return
	}
	c.writeFailed = false
	if f.attempt != nil && f.attempt.Recorded() {
		f.attempt.Planner.Sent(f.attempt)
	}
	if cap(c.buffer) > 8<<10 {
		c.buffer = nil
	}
}

func (c *conn) appendRequest(b []byte, f *call) []byte {
	a := f.attempt
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

// requestWritten reports whether the request's last byte has been written.
func (c *conn) requestWritten() bool { return !c.writeFailed && c.raw.OutboundBuffered() == 0 }

// Traffic is the loop's. It takes an answer apart as it comes. What is malformed ends the attempt
// and the connection, nothing else.
func (c *conn) Traffic(evloop.Conn) bool {
	for !c.closed {
		buf, _ := c.raw.Peek(-1)
		n, ev, body, err := c.parser.Next(buf)
		if err == nil {
			err = c.handleEvent(ev, body)
		}
		if c.closed {
			return true
		}
		evloop.Take(c.raw, n)
		if c.answerBytes += n; c.answerBytes > maxAnswerBytes && err == nil {
			err = errAnswerTooLong
		}
		if err != nil {
			c.malformed(err)
			return true
		}
		if ev == http1.More {
			return true
		}
		if ev == http1.Ended && !c.interim() {
			if !c.handleEnd() {
				return true
			}
		}
	}
	return true
}

func (c *conn) interim() bool { return c.parser.Head.Status < 200 }

func (c *conn) malformed(err error) {
	if f := c.call; f != nil && !f.done {
		c.pool.opt.Log.Warn("a worker's answer is malformed", "worker", c.worker.id, "err", err)
		c.pool.finish(f, sedgevale.Lost, nil, nil)
	}
	c.pool.closeConn(c)
}

func (c *conn) handleEvent(ev http1.Event, body []byte) error {
	h := &c.parser.Head
	switch ev {
	case http1.Headed:
		if c.call == nil && c.answered {
			return errUnsolicited
		}
		if c.call == nil || c.call.done || c.interim() {
			return nil
		}
		if c.call.attempt == nil || h.Status != 200 {
			c.headOnly(h)
		}
	case http1.Body:
		if h.Status != 200 || c.call != nil && c.call.attempt == nil {
			return nil
		}
		for len(body) > 0 {
			var whole []byte
			var err error
			if whole, body, err = c.lines.next(body); err != nil {
				return err
			}
			if whole != nil {
				if err := c.handleLine(whole); err != nil || c.closed {
					return err
				}
			}
		}
	case http1.Ended:
		if len(c.lines.partial) > 0 && !c.interim() { // the last line may lack its end
			last := c.lines.partial
			c.lines.partial = nil
			return c.handleLine(last)
		}
	}
	return nil
}

// headOnly deals with an answer that tells all in its head. What it means is
// kept until its end, so that the connection can be used again.
func (c *conn) headOnly(h *http1.Head) {
	f := c.call
	report := parseLoadHeader(h.Get("Server-Load"))
	o := sedgevale.Errored
	if (h.Status == 503 || h.Status == 504) && h.Get("Not-Started") == "1" {
		o = sedgevale.Full
		h.Close = true // it names no job: come twice, it would prove of the next that it never ran
	}
	c.awaitEnd()
	c.pool.finish(f, o, nil, report)
}

// handleLine deals with one object of a job's answer.
func (c *conn) handleLine(text []byte) error {
	f := c.call
	if f == nil || f.done || len(text) == 0 || len(text) == 1 && text[0] == '\r' {
		return nil
	}
	l, err := parseLine(text)
	if err != nil {
		return err
	}
	if l.ID != f.attempt.ID {
		return errOtherJob
	}
	switch l.State {
	case "started":
		f.attempt.Planner.Started(f.attempt)
	case "running":
		f.attempt.Planner.Progress(f.attempt, min(max(l.Share, 0), 1))
	case "done":
		if l.Result == nil {
			return errNoResult
		}
		c.handleOutcome(sedgevale.Served, []byte(*l.Result), l)
	case "failed":
		c.handleOutcome(sedgevale.Errored, nil, l)
	case "returned":
		c.handleOutcome(sedgevale.Full, nil, l)
	case "lost":
		c.handleOutcome(sedgevale.Lost, nil, l)
	}
	return nil
}

// handleOutcome ends the attempt by its last line. The end of the chunks is still to
// come; until then the connection is not used again.
func (c *conn) handleOutcome(o sedgevale.Outcome, result []byte, l answerLine) {
	c.awaitEnd()
	c.pool.finish(c.call, o, result, loadReport(l.Load))
}

// awaitEnd notes that only the end of the answer is still to come.
func (c *conn) awaitEnd() {
	c.answered, c.idleSince = true, time.Now()
	c.pool.draining[c] = struct{}{}
}

// handleEnd is called at the end of an answer. It makes the connection ready for
// the next request, or closes it.
func (c *conn) handleEnd() bool {
	delete(c.pool.draining, c)
	if f := c.call; f != nil && !f.done { // it ended without a last line
		c.pool.finish(f, sedgevale.Lost, nil, nil)
	}
	if c.closed {
		return false
	}
	c.call = nil
	if c.parser.Head.Close || !c.pool.accepts(c.worker) {
		c.pool.closeConn(c)
		return false
	}
	c.putIdle()
	if len(c.worker.idle) > maxIdleWhileAvoided && c.pool.reusedConnsBreak() { // each job that avoids them adds one
		c.pool.closeConn(c.worker.idle[0])
	}
	return true
}

// putIdle puts a connection that carries nothing beside the others.
func (c *conn) putIdle() {
	c.answered, c.idleSince = true, time.Now()
	c.worker.idle = append(c.worker.idle, c)
}

type fault string

func (f fault) Error() string { return string(f) }

const (
	errUnsolicited    = fault("an answer that nothing was asked for")
	errOtherJob   = fault("an answer to another job")
	errNoResult   = fault("a job is done without a result")
	errAnswerTooLong = fault("an answer without end")
)
