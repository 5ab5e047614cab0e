package reverseproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

const (
	transferChunk     = 64 << 10         // bytes of one read
	bodyIdleTimeout   = 60 * time.Second // for the next byte of a body, and for a write
	tunnelIdleTimeout = time.Hour        // for the next byte of a tunnel
	replyTimeout      = 10 * time.Second // for a client to take a response of our own
	lingerTimeout     = 2 * time.Second
	maxLingerBytes    = 1 << 20
)

// transfer carries a request whose body is too long for an event loop: a goroutine reads it
// no faster than the server takes it, another passes the response on. It is the request's responder.
type transfer struct {
	request  *proxyRequest
	client   *httpd.Detached
	attempts chan *dispatch.Attempt // that the module has sent
	replies  chan localReply        // of ours, one at most
	ctx      context.Context        // ends with stop, and with the proxy
	cancel   context.CancelFunc

	// mu guards the fields below.
	mu           sync.Mutex
	server       net.Conn // of the current attempt
	bodySent     bool     // something of the body may have been passed on
	headReceived bool     // the head of the response has come, or none comes
	uploaded     bool     // the server has been sent, or is being sent, the last of the request
}

// localReply is a response of our own.
type localReply struct {
	status int
	fields []http1.Field
	body   []byte
	abort  bool // there is none: the connection ends
}

func newTransfer(r *proxyRequest, c *httpd.Detached) *transfer {
	ctx, cancel := context.WithCancel(r.proxy.goroutines.Context())
	return &transfer{request: r, client: c, attempts: make(chan *dispatch.Attempt, 1), replies: make(chan localReply, 1), ctx: ctx, cancel: cancel}
}

func (t *transfer) reply(status int, fields []http1.Field, body []byte, _ bool) {
	select {
	case t.replies <- localReply{status: status, fields: fields, body: body}:
	default:
	}
}

// deliver does nothing: responses to a transfer come by its own connection.
func (t *transfer) deliver(*responsePart) {}

func (t *transfer) abort() {
	select {
	case t.replies <- localReply{abort: true}:
	default:
	}
}

// hasSentBody reports whether something of the body has gone to a server, so that it cannot go
// to another.
func (t *transfer) hasSentBody() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bodySent
}

// stop ends the current attempt, after a time-out or when the client has disconnected.
func (t *transfer) stop() {
	t.cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server != nil {
		_ = t.server.SetDeadline(time.Unix(1, 0))
	}
}

// run carries the request out, by one attempt after another, until it has a response or the proxy ends. Begin routes
// the request, so that attempts or a reply come.
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
		case <-t.request.proxy.goroutines.Done(): // the planner, from which these come, has ended
			return
		}
	}
}

// writeReply gives the client a response of ours. The rest of the request is not read, so the
// connection ends.
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

// linger leaves the client time to read: closing with unread bytes would reset the connection
// before the client has read the response.
func (t *transfer) linger() {
	if c, ok := t.client.Conn.(*net.TCPConn); ok && c.CloseWrite() == nil {
		_ = t.client.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, t.client.Conn, maxLingerBytes)
	}
}

// attempt carries the request to a server. It returns true if another may be tried.
func (t *transfer) attempt(attempt *dispatch.Attempt) (again bool) {
	r := t.request
	addr, connect, wait := t.target()
	if !r.proxy.opt.Budget.Acquire() {
		r.proxy.opt.Budget.Release()
		t.ended(attempt, dispatcher.NotSent)
		return true
	}
	defer r.proxy.opt.Budget.Release()
	dialer := net.Dialer{Timeout: connect}
	server, err := dialer.DialContext(t.ctx, "tcp", addr)
	switch {
	case err != nil && t.ctx.Err() != nil: // stopped meanwhile
		t.ended(attempt, dispatcher.NotSent)
		return true
	case err != nil:
		t.ended(attempt, dispatcher.ConnectFailed)
		return true
	}
	defer func() { _ = server.Close() }()
	if !r.proxy.transport.isReady(attempt.Worker) { // it was cordoned or became unhealthy meanwhile
		t.ended(attempt, dispatcher.NotSent)
		return true
	}
	t.connected(server)
	up := make(chan bool, 1) // whether the complete request has been forwarded
	go func() { up <- t.upload(server, wait) == nil }()
	in, head, err := t.awaitHead(server)
	if err != nil {
		t.ended(attempt, dispatcher.ConnectionLost)
		_ = server.Close()
		_ = t.client.SetReadDeadline(time.Unix(1, 0))
		<-up
		return true // the module ends the attempt, and a reply or another attempt follows
	}
	if !r.beginResponse() {
		t.ended(attempt, dispatcher.Cancelled)
		return false
	}
	t.ended(attempt, dispatcher.Served)
	complete := t.download(in, head)
	r.finish()
	uploaded := t.awaitUpload(up)
	if complete {
		t.release(uploaded)
	}
	return false
}

// ended reports the outcome of an attempt to the planner.
func (t *transfer) ended(attempt *dispatch.Attempt, o dispatcher.Outcome) {
	if cause := retryCauses[o]; cause != "" {
		t.request.recordCause(cause)
	}
	tr := t.request.proxy.transport
	tr.loop.Do(func() { delete(tr.attempts, attempt) })
	attempt.Planner.AttemptEnded(attempt, o, nil, nil)
}

// target returns the address of the request's server, "" if new settings have taken it away, and how
// long to wait for a connection and for the head of a response.
func (t *transfer) target() (addr string, connect, wait time.Duration) {
	r := t.request
	b := r.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	connect, wait = b.spec.Timeouts()
	if r.member < len(b.spec.Servers) {
		addr = b.spec.Servers[r.member].Addr
	}
	return addr, connect, wait
}

// connected notes the connection to a server, so that stop ends it.
func (t *transfer) connected(server net.Conn) {
	t.mu.Lock()
	t.server, t.bodySent, t.headReceived, t.uploaded = server, true, false, false
	t.mu.Unlock()
	select {
	case <-t.ctx.Done():
		_ = server.SetDeadline(time.Unix(1, 0))
	default:
	}
}

// awaitHead reads the head of a response. The reader goes on with its body.
func (t *transfer) awaitHead(server net.Conn) (*bodyReader, *http1.Head, error) {
	parser := http1.NewParser(http1.Response)
	parser.KeepTrailer = true
	parser.NoBody = t.request.head.Method == "HEAD"
	in := &bodyReader{conn: server, parser: parser, chunk: make([]byte, transferChunk)}
	head, err := in.head()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.headReceived = true; err == nil {
		_ = server.SetReadDeadline(time.Time{})
	}
	return in, head, err
}

// release gives the client's connection back to the event loop after a complete response. Where the
// request was not uploaded, or no other may follow, the connection ends once the client has read it.
func (t *transfer) release(uploaded bool) {
	h := t.request.head
	if uploaded && !h.Close && !h.HTTP10 && !t.client.Draining() && len(t.client.Unparsed) == 0 {
		t.client.Reattach()
		return
	}
	_ = t.client.SetDeadline(time.Now().Add(replyTimeout))
	t.linger()
}

// awaitUpload waits for the uploading goroutine once the response has been passed on, and reports
// whether the complete request was forwarded. A server that was sent the last of the request may respond
// before that goroutine has said so; the connection to the client is good all the same. Of a request
// that is not complete by now the rest is not read.
func (t *transfer) awaitUpload(up <-chan bool) bool {
	t.mu.Lock()
	complete := t.uploaded
	t.mu.Unlock()
	if complete {
		return <-up
	}
	select {
	case uploaded := <-up:
		return uploaded
	default:
		_ = t.client.SetReadDeadline(time.Unix(1, 0))
		<-up
		return false
	}
}

// markUploaded notes, before it is sent, that the last of the request goes to the server.
func (t *transfer) markUploaded() {
	t.mu.Lock()
	t.uploaded = true
	t.mu.Unlock()
}

// upload passes the request on. From its end on, the server has the given time until the head of its
// response.
func (t *transfer) upload(server net.Conn, wait time.Duration) error {
	length, chunked := t.request.head.Length, t.request.head.Chunked
	sent, err := t.uploadBeginning(server)
	if err != nil {
		return err
	}
	in := &bodyReader{conn: t.client.Conn, parser: t.client.Parser, buf: t.client.Unparsed, chunk: make([]byte, transferChunk)}
	t.client.Parser.KeepTrailer = true
	var out []byte
	for {
		_ = t.client.SetReadDeadline(time.Now().Add(bodyIdleTimeout))
		part, end, err := in.next()
		if err != nil {
			_ = server.Close() // the client left midway: the server must not take the part for a complete body
			return err
		}
		if end {
			t.client.Unparsed = in.buf
			return t.uploadEnd(server, wait)
		}
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

// uploadBeginning sends the head of the request and what of its body has come with it. It returns
// how many bytes of the body that is.
func (t *transfer) uploadBeginning(server net.Conn) (sent int64, err error) {
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

// uploadEnd sends the end of a chunked body. From here on the server has the given time.
func (t *transfer) uploadEnd(server net.Conn, wait time.Duration) (err error) {
	t.markUploaded()
	if t.request.head.Chunked {
		_, err = server.Write(http1.AppendLastChunk(nil, t.client.Parser.Head.Trailer))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.headReceived {
		_ = server.SetReadDeadline(time.Now().Add(wait))
	}
	return err
}

// download passes a response on. It reports whether it was complete and the client's connection may
// go on.
func (t *transfer) download(in *bodyReader, h *http1.Head) bool {
	r := t.request
	status, fields, framing, own := r.respond(h)
	if own != nil {
		t.writeReply(localReply{status: own.Status, fields: own.Fields, body: own.Body})
		return false
	}
	b := http1.AppendStatus(nil, status)
	for _, f := range fields {
		b = http1.AppendField(b, f.Name, f.Value)
	}
	switch framing {
	case httpd.ByChunks:
		b = http1.AppendField(b, "Transfer-Encoding", "chunked")
	case httpd.ByClose:
		b = http1.AppendField(b, "Connection", "close")
	}
	b = append(b, "\r\n"...)
	for {
		_ = t.client.SetWriteDeadline(time.Now().Add(bodyIdleTimeout))
		if _, err := t.client.Write(b); err != nil {
			return false
		}
		part, end, err := in.next()
		if err != nil {
			return false
		}
		if end {
			if framing == httpd.ByChunks {
				_, err = t.client.Write(http1.AppendLastChunk(b[:0], in.parser.Head.Trailer))
			}
			return err == nil && framing != httpd.ByClose
		}
		if framing == httpd.ByChunks {
			b = http1.AppendChunk(b[:0], part)
		} else {
			b = append(b[:0], part...)
		}
	}
}
