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

// serverConn is a connection to a server. It must be used on the transport's event loop only.
type serverConn struct {
	transport *transport
	loopConn  evloop.Conn
	server    *server
	attempt   *upstreamAttempt // nil if the connection is idle
	parser    *http1.Parser
	closed    bool
	writing   bool // whether the request is being written; stays set if the write failed
	complete  bool // whether the response is complete
	detached  bool // whether a goroutine has taken over the connection
	idleSince time.Time
	out       []byte // write buffer, kept for the next request
}

// OnOpen sends the request on a connection that has been established.
func (sc *serverConn) OnOpen(gc evloop.Conn) bool {
	sc.loopConn = gc
	ua := sc.attempt
	if ua.done { // the server was removed or the client disconnected while connecting
		sc.closed = true
		return false
	}
	delete(sc.server.dialing, ua)
	sc.send(ua)
	return true
}

// OnClose ends the attempt whose connection was closed.
func (sc *serverConn) OnClose(evloop.Conn) {
	if sc.detached {
		return
	}
	sc.transport.proxy.opt.Budget.Release()
	sc.closed = true
	sc.server.removeIdle(sc)
	ua := sc.attempt
	if ua == nil || ua.done {
		return
	}
	switch {
	case sc.parser.UntilClose(): // closing the connection ends the body
		sc.finish(&responsePart{end: true})
	case ua.reported: // the response has begun
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

// isReusable reports whether an idle connection is still open and has no unread data.
func (sc *serverConn) isReusable() bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(sc.loopConn.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// send writes the request of an attempt to the connection.
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
	if cap(sc.out) > maxRetainedBuffer {
		sc.out = nil
	}
}

const (
	streamChunkSize = 64 << 10            // read buffer of a response that a goroutine forwards, in bytes
	streamBytes     = 4 * streamChunkSize // memory of such a response: buffer, part on its way to the client, and what the kernel holds
)

// maxRetainedBuffer is the capacity in bytes up to which a write buffer is kept for the next request.
const maxRetainedBuffer = 16 << 10

var errUnsolicited = errors.New("unsolicited response")

// OnTraffic parses received bytes. Everything that one call reads is delivered to the client as one
// part.
func (sc *serverConn) OnTraffic(evloop.Conn) bool {
	part := &responsePart{}
	more := true
	for more && !sc.closed && !sc.detached {
		more = sc.read(part)
	}
	return true
}

// read handles one parser event of the response and reports whether to continue reading.
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
		sc.failResponse(err)
		return false
	case ev == http1.NeedMore:
		sc.deliver(part)
		return false
	case ev == http1.HeadParsed && !sc.handleHead(part):
		return false
	case ev == http1.Ended && sc.parser.Head.Status >= 200:
		part.end, part.trailer = true, sc.parser.Head.Trailer
		sc.finish(part)
		return false
	}
	if sc.needsBackpressure(part) {
		sc.detachToGoroutine(part)
		return false
	}
	return true
}

// handleHead handles the head of a response. It returns false if the event loop must not read the rest of the response.
func (sc *serverConn) handleHead(part *responsePart) bool {
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
		ua.request.recordCause(statusDigits(h.Status))
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
	// The decision module counts the head as the response, because the duration of the body depends on the client.
	sc.transport.report(ua, dispatcher.Served)
	return true
}

// statusDigits returns the three digits of a status code.
func statusDigits(s int) string {
	return string([]byte{byte('0' + s/100), byte('0' + s/10%10), byte('0' + s%10)})
}

// deliver forwards a part of the response to the client unless the attempt has ended.
func (sc *serverConn) deliver(part *responsePart) {
	if sc.attempt != nil && !sc.attempt.done && (part.head != nil || len(part.parts) > 0) {
		sc.attempt.request.responder.deliver(part)
	}
}

// needsBackpressure reports whether a goroutine must take over the response: because the client reads it too slowly, or
// because it is longer than maxBufferedBody.
func (sc *serverConn) needsBackpressure(part *responsePart) bool {
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

// finish ends the attempt after a complete response and keeps the connection for the next request if possible.
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

// failResponse ends the attempt and closes the connection after a malformed or unsolicited response, or if the
// connection cannot be detached from the event loop.
func (sc *serverConn) failResponse(err error) {
	ua := sc.attempt
	sc.transport.proxy.opt.Log.Warn("cannot use the response of a server; closing the connection", "server", sc.server.id, "err", err)
	sc.transport.closeConn(sc)
	if ua == nil || ua.done {
		return
	}
	responding := ua.reported
	sc.transport.end(ua, dispatcher.Errored)
	if responding && ua.request.finish() {
		ua.request.responder.abort()
	}
}

// detachToGoroutine detaches the connection from the event loop and starts a goroutine that forwards the rest of the
// response no faster than the client reads it.
func (sc *serverConn) detachToGoroutine(part *responsePart) {
	ua := sc.attempt
	lr, ok := ua.request.responder.(*loopResponder)
	if !ok {
		return
	}
	reservation, err := sc.transport.proxy.opt.Quota.Reserve(streamBytes, func() {})
	if err != nil {
		sc.failResponse(err)
		return
	}
	reservation.Complete() // what the client does not read counts at its own connection
	sc.deliver(part)
	sc.detached = true
	nc, rest, err := sc.transport.loop.Detach(sc.loopConn)
	if err != nil {
		sc.detached = false
		reservation.Release()
		sc.failResponse(err)
		return
	}
	go func() {
		defer reservation.Release()
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

// streamRest forwards the rest of a response to the client.
func (sc *serverConn) streamRest(ua *upstreamAttempt, lr *loopResponder, nc net.Conn, buf []byte) {
	r := &bodyReader{conn: nc, parser: sc.parser, buf: buf, chunk: make([]byte, streamChunkSize)}
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
			part.parts = [][]byte{body} // the buffer is used again only after awaitDrained, which comes after it on the client's loop
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
