package reverseproxy

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"sedgevale/dispatcher"
	"sedgevale/internal/evloop"
	"sedgevale/internal/http1"
)

// serverConn is a connection to a server. It belongs to the loop.
type serverConn struct {
	transport *transport
	loopConn  evloop.Conn
	server    *server
	attempt   *upstreamAttempt // nil: idle
	parser    *http1.Parser
	closed    bool
	writing   bool // the request is being written; set still when that has failed
	complete  bool // the response is complete
	detached  bool // a goroutine has the connection
	idleSince time.Time
	out       []byte // of the last request, kept for its capacity
}

// OnOpen is called by the loop when the connection is up.
func (sc *serverConn) OnOpen(gc evloop.Conn) bool {
	sc.loopConn = gc
	ua := sc.attempt
	if ua.done { // the server was taken out or the client left meanwhile
		sc.closed = true
		return false
	}
	delete(sc.server.dialing, ua)
	sc.send(ua)
	return true
}

// OnClose is called by the loop when the connection has ended.
func (sc *serverConn) OnClose(evloop.Conn) {
	if sc.detached {
		return
	}
	sc.transport.proxy.opt.Budget.Release()
	sc.closed = true
	sc.server.forget(sc)
	ua := sc.attempt
	if ua == nil || ua.done {
		return
	}
	switch {
	case sc.parser.UntilClose(): // the end of the connection is that of the body
		sc.finish(&responsePart{end: true})
	case ua.reported: // its response has begun
		sc.transport.end(ua, dispatcher.ConnectionLost)
		if ua.request.finish() {
			ua.request.responder.abort()
		}
	case sc.writing || sc.loopConn.OutboundBuffered() > 0:
		sc.transport.end(ua, dispatcher.ConnectFailed)
	default:
		sc.transport.end(ua, dispatcher.ConnectionLost)
	}
}

// isQuiet reports whether the idle connection is still up and has nothing to read.
func (sc *serverConn) isQuiet() bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(sc.loopConn.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// send writes an attempt's request.
func (sc *serverConn) send(ua *upstreamAttempt) {
	sc.attempt, ua.conn = ua, sc
	sc.complete = false
	sc.parser.NoBody = ua.request.head.Method == "HEAD"
	ua.request.recordSent()
	sc.out = ua.request.appendWire(sc.out[:0], ua.request.bodyLength())
	sc.writing = true
	if _, err := sc.loopConn.Write(sc.out); err != nil {
		sc.transport.end(ua, dispatcher.ConnectFailed)
		return
	}
	sc.writing = false
	if cap(sc.out) > maxKeptBuffer {
		sc.out = nil
	}
}

// maxKeptBuffer bounds a buffer that is kept for the next request, in bytes.
const maxKeptBuffer = 16 << 10

var errUnsolicited = errors.New("unsolicited response")

// OnTraffic is called by the loop when there is something to read. What one call reads goes to the
// client in one part.
func (sc *serverConn) OnTraffic(evloop.Conn) bool {
	part := &responsePart{}
	more := true
	for more && !sc.closed && !sc.detached {
		more = sc.read(part)
	}
	return true
}

// read handles one event of the response, and reports whether to go on reading.
func (sc *serverConn) read(part *responsePart) (more bool) {
	buf, _ := sc.loopConn.Peek(-1)
	n, ev, body, err := sc.parser.Next(buf)
	if err == nil && sc.attempt == nil {
		err = errUnsolicited
	}
	if err == nil && ev == http1.Body && !sc.attempt.done {
		part.parts = append(part.parts, append([]byte(nil), body...))
		part.size += len(body)
	}
	evloop.Discard(sc.loopConn, n)
	switch {
	case err != nil:
		sc.failMalformed(err)
		return false
	case ev == http1.NeedMore:
		sc.deliver(part)
		return false
	case ev == http1.HeadParsed && !sc.takeHead(part):
		return false
	case ev == http1.Ended && sc.parser.Head.Status >= 200:
		part.end, part.trailer = true, sc.parser.Head.Trailer
		sc.finish(part)
		return false
	}
	if sc.isClientSlow(part) {
		sc.detachToGoroutine(part)
		return false
	}
	return true
}

// takeHead handles the head of a response. It returns false if the loop is to read no more of it.
func (sc *serverConn) takeHead(part *responsePart) bool {
	ua := sc.attempt
	h := sc.parser.Head
	if h.Status == 101 {
		sc.tunnel()
		return false
	}
	if h.Status < 200 {
		return true
	}
	if ua.done {
		sc.transport.closeConn(sc)
		return false
	}
	if ua.request.mayRetryStatus(h.Status) {
		ua.request.recordCause(statusText(h.Status))
		ua.done, ua.reported = true, true
		delete(sc.transport.attempts, ua.attempt)
		delete(sc.transport.byRequest, ua.request)
		sc.transport.closeConn(sc)
		ua.attempt.Planner.AttemptEnded(ua.attempt, dispatcher.ConnectionLost, nil, nil)
		return false
	}
	if !ua.request.beginResponse() {
		sc.transport.end(ua, dispatcher.Cancelled)
		return false
	}
	part.head = &h
	// To the module the head is the response: how long a body takes depends on the client.
	sc.transport.report(ua, dispatcher.Served)
	return true
}

// statusText returns a status in digits.
func statusText(s int) string {
	return string([]byte{byte('0' + s/100), byte('0' + s/10%10), byte('0' + s%10)})
}

// deliver passes a part of the response on to the client, unless the attempt has ended.
func (sc *serverConn) deliver(part *responsePart) {
	if sc.attempt != nil && !sc.attempt.done && (part.head != nil || len(part.parts) > 0) {
		sc.attempt.request.responder.deliver(part)
	}
}

// isClientSlow reports whether the client does not keep up with this response, or is not expected to since it is long.
func (sc *serverConn) isClientSlow(part *responsePart) bool {
	ua := sc.attempt
	if ua == nil || ua.done || !ua.reported {
		return false
	}
	if sc.parser.Head.Length > maxBufferedBody && part.head != nil && !sc.parser.NoBody && sc.attempt.request.head.Method != "HEAD" {
		return true
	}
	lr, ok := ua.request.responder.(*loopResponder)
	if !ok {
		return false
	}
	lr.mu.Lock()
	defer lr.mu.Unlock()
	return lr.pending+part.size > maxBufferedBody
}

// finish ends a complete response. The connection is kept for the next request if it may be.
func (sc *serverConn) finish(part *responsePart) {
	ua := sc.attempt
	sc.complete = true
	if ua != nil && !ua.done {
		ua.done = true
		delete(sc.transport.byRequest, ua.request)
		ua.request.responder.deliver(part)
	}
	sc.attempt = nil
	if sc.closed {
		return
	}
	if sc.parser.Head.Close || !sc.server.ready || len(sc.server.idle) >= maxIdleConns {
		sc.transport.closeConn(sc)
		return
	}
	sc.idleSince = time.Now()
	sc.server.idle = append(sc.server.idle, sc)
}

// failMalformed ends the attempt and the connection after a malformed response.
func (sc *serverConn) failMalformed(err error) {
	ua := sc.attempt
	sc.transport.proxy.opt.Log.Warn("server response malformed", "server", sc.server.id, "err", err)
	sc.transport.closeConn(sc)
	if ua == nil || ua.done {
		return
	}
	begun := ua.reported
	sc.transport.end(ua, dispatcher.Errored)
	if begun && ua.request.finish() {
		ua.request.responder.abort()
	}
}

// detachToGoroutine has a goroutine read the rest of a response, no faster than the client takes it.
func (sc *serverConn) detachToGoroutine(part *responsePart) {
	ua := sc.attempt
	lr, ok := ua.request.responder.(*loopResponder)
	if !ok {
		return
	}
	sc.deliver(part)
	sc.detached = true
	nc, rest, err := sc.transport.loop.Detach(sc.loopConn)
	if err != nil {
		sc.detached = false
		sc.failMalformed(err)
		return
	}
	go func() {
		defer sc.transport.proxy.opt.Budget.Release()
		defer func() { _ = nc.Close() }()
		sc.streamRest(ua, lr, nc, rest)
		sc.transport.loop.Do(func() {
			ua.done, sc.closed = true, true
			if sc.transport.byRequest[ua.request] == ua {
				delete(sc.transport.byRequest, ua.request)
			}
		})
	}()
}

// streamRest passes a response on to its end.
func (sc *serverConn) streamRest(ua *upstreamAttempt, lr *loopResponder, nc net.Conn, buf []byte) {
	r := &bodyReader{conn: nc, parser: sc.parser, buf: buf, chunk: make([]byte, 64<<10)}
	for {
		if !lr.awaitDrained() {
			return
		}
		body, end, err := r.next()
		if err != nil {
			if ua.request.finish() {
				ua.request.responder.abort()
			}
			return
		}
		part := &responsePart{size: len(body), end: end}
		if len(body) > 0 {
			part.parts = [][]byte{append([]byte(nil), body...)}
		}
		if end {
			part.trailer = sc.parser.Head.Trailer
		}
		lr.deliver(part)
		if end {
			return
		}
	}
}
