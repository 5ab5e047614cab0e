package reverseproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
	"sedgevale/internal/resourcequota"
)

const (
	transferChunkSize = 64 << 10         // read buffer size in bytes
	bodyIdleTimeout   = 60 * time.Second // limit for each read and write of a body
	tunnelIdleTimeout = time.Hour        // limit for each read of a tunnel
	replyTimeout      = 10 * time.Second // limit for writing a response that the proxy generated
	lingerTimeout     = 2 * time.Second  // time to wait for the client to close its side after the last response
	maxLingerBytes    = 1 << 20          // bytes to read and discard during that time
)

// transfer forwards a request whose body is too long for an event loop. One goroutine uploads the body no faster than
// the server reads it, and another forwards the response. It is also the request's responder.
type transfer struct {
	request  *proxyRequest
	client   *httpd.Detached
	attempts chan *dispatchdriver.Attempt // attempts that the planner has sent
	replies  chan localReply              // at most one response that the proxy generated
	ctx      context.Context              // canceled by stop and when the proxy stops
	cancel   context.CancelFunc

	// mu guards the fields below.
	mu           sync.Mutex
	server       net.Conn // connection of the current attempt
	bodySent     bool     // whether any of the body may have been sent to a server
	headReadDone bool     // whether reading the response head has ended, successfully or not
	uploaded     bool     // whether sending the last bytes of the request has begun
}

// localReply is a response that the proxy generated.
type localReply struct {
	status int
	fields []http1.Field
	body   []byte
	abort  bool // close the connection without a response
}

func newTransfer(r *proxyRequest, c *httpd.Detached) *transfer {
	ctx, cancel := context.WithCancel(r.proxy.goroutines.Context())
	return &transfer{request: r, client: c, attempts: make(chan *dispatchdriver.Attempt, 1), replies: make(chan localReply, 1), ctx: ctx, cancel: cancel}
}

func (t *transfer) reply(status int, fields []http1.Field, body []byte, _ bool) {
	select {
	case t.replies <- localReply{status: status, fields: fields, body: body}:
	default:
	}
}

// deliver does nothing, because a transfer reads the response from its own server connection.
func (t *transfer) deliver(*responsePart) {}

func (t *transfer) abort() {
	select {
	case t.replies <- localReply{abort: true}:
	default:
	}
}

// hasSentBody reports whether any of the body may have been sent to a server. The body is not buffered, so it
// cannot be sent to another one.
func (t *transfer) hasSentBody() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bodySent
}

// stop cancels the current attempt after a timeout or after the client has disconnected.
func (t *transfer) stop() {
	t.cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server != nil {
		_ = t.server.SetDeadline(time.Unix(1, 0))
	}
}

// run executes one attempt after another until the client has a response or the proxy stops. begin routes the request,
// which leads to an attempt or a reply.
func (t *transfer) run(begin func()) {
	defer t.cancel()
	defer func() { _ = t.client.Close() }()
	if t.request.head.Get("Expect") != "" && !t.request.head.HTTP10 {
		_ = t.client.SetWriteDeadline(time.Now().Add(replyTimeout))
		if _, err := io.WriteString(t.client, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return
		}
	}
	begin()
	for {
		select {
		case a := <-t.replies:
			t.writeReply(a)
			return
		case attempt := <-t.attempts:
			if !t.attempt(attempt) {
				return
			}
		case <-t.request.proxy.goroutines.Done(): // the planner, which sends attempts and replies, has stopped
			return
		}
	}
}

// writeReply sends a response that the proxy generated. The rest of the request is not read, so the
// connection is closed afterwards.
func (t *transfer) writeReply(a localReply) {
	if a.abort {
		return
	}
	b := http1.AppendStatus(nil, a.status)
	for _, f := range a.fields {
		b = http1.AppendField(b, f.Name, f.Value)
	}
	b = http1.AppendField(b, "Connection", "close")
	_ = t.client.SetDeadline(time.Now().Add(replyTimeout))
	if _, err := t.client.Write(http1.AppendBody(b, a.body)); err != nil {
		return
	}
	t.linger()
}

// linger half-closes the connection and discards what the client still sends. Closing a socket with unread bytes
// would reset the connection before the client has read the response.
func (t *transfer) linger() {
	if c, ok := t.client.Conn.(*net.TCPConn); ok && c.CloseWrite() == nil {
		_ = t.client.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, t.client.Conn, maxLingerBytes)
	}
}

// attempt sends the request to a server and forwards the response. It returns true if another attempt or a reply
// follows.
func (t *transfer) attempt(attempt *dispatchdriver.Attempt) (more bool) {
	r := t.request
	addr, connect, wait := t.target()
	if !r.proxy.opt.Budget.Acquire() {
		r.proxy.opt.Budget.Release()
		t.reportOutcome(attempt, dispatcher.NotSent)
		return true
	}
	defer r.proxy.opt.Budget.Release()
	dialer := net.Dialer{Timeout: connect, Control: resourcequota.LimitReceive}
	server, err := dialer.DialContext(t.ctx, "tcp", addr)
	switch {
	case err != nil && t.ctx.Err() != nil: // stopped while connecting
		t.reportOutcome(attempt, dispatcher.NotSent)
		return true
	case err != nil:
		t.reportOutcome(attempt, dispatcher.ConnectFailed)
		return true
	}
	defer func() { _ = server.Close() }()
	if !r.proxy.transport.isReady(attempt.Worker) { // cordoned or unhealthy since the attempt was sent
		t.reportOutcome(attempt, dispatcher.NotSent)
		return true
	}
	t.setServerConn(server)
	uploadDone := make(chan bool, 1) // receives whether the complete request was forwarded
	go func() { uploadDone <- t.upload(server, wait) == nil }()
	in, head, err := t.awaitHead(server)
	if err != nil {
		t.reportOutcome(attempt, dispatcher.ConnectionLost)
		_ = server.Close()
		_ = t.client.SetReadDeadline(time.Unix(1, 0))
		<-uploadDone
		return true // the planner answers with a reply or another attempt
	}
	if !r.beginResponse() {
		t.reportOutcome(attempt, dispatcher.Cancelled)
		return false
	}
	t.reportOutcome(attempt, dispatcher.Served)
	complete := t.download(in, head)
	r.finish()
	uploaded := t.awaitUpload(uploadDone)
	if complete {
		t.release(uploaded)
	}
	return false
}

// reportOutcome reports the outcome of an attempt to the planner.
func (t *transfer) reportOutcome(attempt *dispatchdriver.Attempt, o dispatcher.Outcome) {
	if cause := retryCauses[o]; cause != "" {
		t.request.recordCause(cause)
	}
	tr := t.request.proxy.transport
	tr.loop.Do(func() { delete(tr.attempts, attempt) })
	attempt.Planner.AttemptEnded(attempt, o, nil, nil)
}

// target returns the address of the request's server, "" if a reload has removed it, and the timeouts
// for connecting and for the response head.
func (t *transfer) target() (addr string, connect, wait time.Duration) {
	r := t.request
	b := r.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	connect, wait = b.spec.Timeouts()
	if r.serverIndex < len(b.spec.Servers) {
		addr = b.spec.Servers[r.serverIndex].Addr
	}
	return addr, connect, wait
}

// setServerConn records the connection to a server so that stop can interrupt it.
func (t *transfer) setServerConn(server net.Conn) {
	t.mu.Lock()
	t.server, t.bodySent, t.headReadDone, t.uploaded = server, true, false, false
	t.mu.Unlock()
	select {
	case <-t.ctx.Done():
		_ = server.SetDeadline(time.Unix(1, 0))
	default:
	}
}

// awaitHead reads the head of a response. The returned reader then reads its body.
func (t *transfer) awaitHead(server net.Conn) (*bodyReader, *http1.Head, error) {
	parser := http1.NewParser(http1.Response)
	parser.KeepTrailer = true
	parser.NoBody = t.request.head.Method == "HEAD"
	in := &bodyReader{conn: server, parser: parser, chunk: make([]byte, transferChunkSize)}
	head, err := in.head()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.headReadDone = true; err == nil {
		_ = server.SetReadDeadline(time.Time{})
	}
	return in, head, err
}

// release returns the client's connection to the event loop after a complete response. If the request was not
// uploaded completely, or no other request may follow, it closes the connection once the client has read the response.
func (t *transfer) release(uploaded bool) {
	h := t.request.head
	if uploaded && !h.Close && !h.HTTP10 && !t.client.Draining() && len(t.client.Unparsed) == 0 {
		t.client.Reattach()
		return
	}
	_ = t.client.SetDeadline(time.Now().Add(replyTimeout))
	t.linger()
}

// awaitUpload waits for the uploading goroutine after the response has been forwarded, and reports
// whether the complete request was forwarded. A server may respond to the last bytes of the request before the
// goroutine has reported success; the client's connection can still be reused then. If the request is incomplete
// at this point, the rest of it is not read.
func (t *transfer) awaitUpload(uploadDone <-chan bool) bool {
	t.mu.Lock()
	complete := t.uploaded
	t.mu.Unlock()
	if complete {
		return <-uploadDone
	}
	select {
	case uploaded := <-uploadDone:
		return uploaded
	default:
		_ = t.client.SetReadDeadline(time.Unix(1, 0))
		<-uploadDone
		return false
	}
}

// markUploaded records that the last bytes of the request are about to be sent to the server.
func (t *transfer) markUploaded() {
	t.mu.Lock()
	t.uploaded = true
	t.mu.Unlock()
}

// upload forwards the request to the server. wait is the time that the server has for the response head after the end of
// the request.
func (t *transfer) upload(server net.Conn, wait time.Duration) error {
	length, chunked := t.request.head.Length, t.request.head.Chunked
	sent, err := t.startUpload(server)
	if err != nil {
		return err
	}
	in := &bodyReader{conn: t.client.Conn, parser: t.client.Parser, buf: t.client.Unparsed, chunk: make([]byte, transferChunkSize)}
	t.client.Parser.KeepTrailer = true
	var out []byte
	for {
		_ = t.client.SetReadDeadline(time.Now().Add(bodyIdleTimeout))
		part, end, err := in.next()
		if err != nil {
			_ = server.Close() // the server must not treat the truncated body as complete
			return err
		}
		if end {
			t.client.Unparsed = in.buf
			t.client.Complete()
			return t.finishUpload(server, wait)
		}
		t.client.Progressed()
		_ = server.SetWriteDeadline(time.Now().Add(bodyIdleTimeout))
		sent += int64(len(part))
		if !chunked && sent >= length {
			t.markUploaded()
		}
		if chunked {
			out = http1.AppendChunk(out[:0], part)
			part = out
		}
		if _, err := server.Write(part); err != nil {
			return err
		}
	}
}

// startUpload sends the head of the request and the buffered beginning of the body. It returns
// the number of body bytes sent.
func (t *transfer) startUpload(server net.Conn) (sent int64, err error) {
	r := t.request
	body := r.body
	r.body = nil
	sent = int64(len(body))
	out := r.appendWire(nil, r.head.Length)
	if r.head.Chunked {
		out = http1.AppendChunk(out, body)
	} else {
		out = append(out, body...)
	}
	if !r.head.Chunked && sent >= r.head.Length {
		t.markUploaded()
	}
	_, err = server.Write(out)
	return sent, err
}

// finishUpload sends the end of a chunked body and starts the timeout for the response head.
func (t *transfer) finishUpload(server net.Conn, wait time.Duration) (err error) {
	t.markUploaded()
	if t.request.head.Chunked {
		_, err = server.Write(http1.AppendLastChunk(nil, t.client.Parser.Head.Trailer))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.headReadDone {
		_ = server.SetReadDeadline(time.Now().Add(wait))
	}
	return err
}

// download forwards a response to the client. It reports whether the response was complete and the client's connection
// may be reused.
func (t *transfer) download(in *bodyReader, h *http1.Head) bool {
	r := t.request
	status, fields, framing, replacement := r.prepareResponse(h)
	if replacement != nil {
		t.writeReply(localReply{status: replacement.Status, fields: replacement.Fields, body: replacement.Body})
		return false
	}
	b := http1.AppendStatus(nil, status)
	for _, f := range fields {
		b = http1.AppendField(b, f.Name, f.Value)
	}
	switch framing {
	case httpd.FramingChunked:
		b = http1.AppendField(b, "Transfer-Encoding", "chunked")
	case httpd.FramingClose:
		b = http1.AppendField(b, "Connection", "close")
	}
	b = append(b, "\r\n"...)
	for {
		_ = t.client.SetWriteDeadline(time.Now().Add(bodyIdleTimeout))
		t.client.Progressed()
		if _, err := t.client.Write(b); err != nil {
			return false
		}
		t.client.Complete()
		part, end, err := in.next()
		if err != nil {
			return false
		}
		if end {
			if framing == httpd.FramingChunked {
				_, err = t.client.Write(http1.AppendLastChunk(b[:0], in.parser.Head.Trailer))
			}
			return err == nil && framing != httpd.FramingClose
		}
		if framing == httpd.FramingChunked {
			b = http1.AppendChunk(b[:0], part)
		} else {
			b = append(b[:0], part...)
		}
	}
}
