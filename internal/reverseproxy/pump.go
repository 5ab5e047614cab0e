package reverseproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"sedgevale"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

const (
	pumpChunk   = 64 << 10
	pumpIdle    = 60 * time.Second // without a byte, a body or tunnel ends
	tunnelIdle  = time.Hour
	answerWait  = 10 * time.Second // for a client to take an answer of our own
	lingerBytes = 1 << 20
)

func isEOF(err error) bool { return errors.Is(err, io.EOF) }

// pump carries a request whose body is too long for an event loop: a goroutine reads it
// no faster than the server takes it, another passes the answer on. It is a call's out.
type pump struct {
	call   *call
	client *httpd.Detached
	sent   chan *dispatch.Attempt // the module has sent it
	told   chan ownAnswer         // an answer of ours
	end    chan struct{}
	once   sync.Once

	mu     sync.Mutex
	server net.Conn
	began  bool // something of the body was passed on
	headed bool // the head of the answer has come
	whole  bool // the server has been sent, or is being sent, the last of the request
}

type ownAnswer struct {
	status int
	fields []http1.Field
	body   []byte
	broken bool
}

func newPump(k *call, c *httpd.Detached) *pump {
	return &pump{call: k, client: c, sent: make(chan *dispatch.Attempt, 1), told: make(chan ownAnswer, 1), end: make(chan struct{})}
}

func (p *pump) answer(status int, fields []http1.Field, body []byte, _ bool) {
	select {
	case p.told <- ownAnswer{status: status, fields: fields, body: body}:
	default:
	}
}

func (p *pump) deliver(*delivery) {} // answers to a pump come by its own connection

func (p *pump) broken() {
	select {
	case p.told <- ownAnswer{broken: true}:
	default:
	}
}

// passed reports whether something of the body has gone to a server, so that it cannot go
// to another.
func (p *pump) passed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.began
}

// stop ends the pump, as when time is up.
func (p *pump) stop() {
	p.once.Do(func() { close(p.end) })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server != nil {
		_ = p.server.SetDeadline(time.Unix(1, 0))
	}
}

// run carries the request out. Begin routes it.
func (p *pump) run(begin func()) {
	defer func() { _ = p.client.Close() }()
	if p.call.head.Get("Expect") != "" && !p.call.head.Old {
		_ = p.client.SetWriteDeadline(time.Now().Add(answerWait))
		if _, err := io.WriteString(p.client, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return
		}
	}
	begin()
	for {
		select {
		case a := <-p.told:
			p.tell(a)
			return
		case a := <-p.sent:
			if !p.attempt(a) {
				return
			}
		}
	}
}

// tell gives the client an answer of ours. The rest of its body is not read to the end, so
// the connection ends.
func (p *pump) tell(a ownAnswer) {
	if a.broken {
		return
	}
	b := http1.AppendStatus(nil, a.status)
	for _, f := range a.fields {
		b = http1.AppendField(b, f.Name, f.Value)
	}
	b = http1.AppendField(b, "Connection", "close")
	_ = p.client.SetDeadline(time.Now().Add(answerWait))
	if _, err := p.client.Write(http1.AppendBody(b, a.body)); err != nil {
		return
	}
	p.linger()
}

// linger leaves the client time to read: closing with unread bytes about would reset the
// connection under the answer.
func (p *pump) linger() {
	if c, ok := p.client.Conn.(*net.TCPConn); ok && c.CloseWrite() == nil {
		_ = p.client.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, _ = io.CopyN(io.Discard, p.client.Conn, lingerBytes)
	}
}

// attempt carries the request to a server. It returns true if another may be tried.
func (p *pump) attempt(a *dispatch.Attempt) (again bool) {
	k := p.call
	addr, connect, wait := p.target()
	if !k.site.opt.Budget.Take() {
		k.site.opt.Budget.Release()
		p.ended(a, sedgevale.NotSent)
		return true
	}
	defer k.site.opt.Budget.Release()
	dialer := net.Dialer{Timeout: connect}
	server, err := dialer.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		p.ended(a, sedgevale.ConnectFailed)
		return true
	}
	defer func() { _ = server.Close() }()
	if !k.site.relay.isReady(a.Worker) { // it was taken out meanwhile
		p.ended(a, sedgevale.NotSent)
		return true
	}
	p.connected(server)
	up := make(chan bool, 1) // whether the request has been passed on whole
	go func() { up <- p.upload(server, wait) == nil }()
	in, head, err := p.awaitHead(server)
	if err != nil {
		p.ended(a, sedgevale.Lost)
		_ = server.Close()
		_ = p.client.SetReadDeadline(time.Unix(1, 0))
		<-up
		return true // the module gives it up, and an answer comes by told
	}
	if !k.begin() {
		p.ended(a, sedgevale.Cancelled)
		return false
	}
	p.ended(a, sedgevale.Served)
	whole := p.download(in, head)
	k.finish()
	uploaded := p.endUpload(up)
	if whole {
		p.release(uploaded)
	}
	return false
}

// ended tells the planner how an attempt ended.
func (p *pump) ended(a *dispatch.Attempt, o sedgevale.Outcome) {
	if cause := causes[o]; cause != "" {
		p.call.failedBy(cause)
	}
	r := p.call.site.relay
	r.loop.Do(func() { delete(r.flights, a) })
	a.Planner.Ended(a, o, nil, nil)
}

// target returns the address of the call's server, "" if new settings have taken it away, and how
// long to wait for a connection and for the head of an answer.
func (p *pump) target() (addr string, connect, wait time.Duration) {
	k := p.call
	b := k.back
	b.mu.Lock()
	defer b.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	connect, wait = b.spec.Times()
	if k.member < len(b.spec.Servers) {
		addr = b.spec.Servers[k.member].Addr
	}
	return addr, connect, wait
}

// connected notes the connection to a server, so that stop ends it.
func (p *pump) connected(server net.Conn) {
	p.mu.Lock()
	p.server, p.began, p.headed, p.whole = server, true, false, false
	p.mu.Unlock()
	select {
	case <-p.end:
		_ = server.SetDeadline(time.Unix(1, 0))
	default:
	}
}

// awaitHead reads the head of an answer. The reader goes on with its body.
func (p *pump) awaitHead(server net.Conn) (*reader, *http1.Head, error) {
	parser := http1.NewParser(http1.Response)
	parser.KeepTrailer = true
	parser.NoBody = p.call.head.Method == "HEAD"
	in := &reader{conn: server, parser: parser, chunk: make([]byte, pumpChunk)}
	head, err := in.head()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.headed = true; err == nil {
		_ = server.SetReadDeadline(time.Time{})
	}
	return in, head, err
}

// release gives the client's connection back to the event loop after a whole answer, or lets the
// client read it and ends the connection where the request was not uploaded or nothing may follow.
func (p *pump) release(uploaded bool) {
	h := p.call.head
	if uploaded && !h.Close && !h.Old && !p.client.Draining() && len(p.client.Rest) == 0 {
		p.client.GiveBack()
		return
	}
	_ = p.client.SetDeadline(time.Now().Add(answerWait))
	p.linger()
}

// endUpload reports whether the request was passed on whole, once the answer has been passed on. A server that was sent the last of the
// request may answer before the uploading goroutine has said so; the connection to the client is good all the same.
// Of a request that is not whole by now the rest is not wanted.
func (p *pump) endUpload(up <-chan bool) bool {
	p.mu.Lock()
	whole := p.whole
	p.mu.Unlock()
	if whole {
		return <-up
	}
	select {
	case uploaded := <-up:
		return uploaded
	default:
		_ = p.client.SetReadDeadline(time.Unix(1, 0))
		<-up
		return false
	}
}

// sendsLast notes, before it is sent, that the last of the request goes to the server.
func (p *pump) sendsLast() {
	p.mu.Lock()
	p.whole = true
	p.mu.Unlock()
}

// head reads the head of an answer; those before the final one say nothing here.
func (r *reader) head() (*http1.Head, error) {
	for {
		n, ev, _, err := r.parser.Next(r.buf)
		if err != nil {
			return nil, err
		}
		r.buf = r.buf[n:]
		if ev == http1.Headed && r.parser.Head.Status >= 200 {
			h := r.parser.Head
			return &h, nil
		}
		if ev != http1.More {
			continue
		}
		left := copy(r.chunk, r.buf)
		k, err := r.conn.Read(r.chunk[left:])
		r.buf = r.chunk[:left+k]
		if k == 0 && err != nil {
			return nil, err
		}
	}
}

// upload passes the request on.
func (p *pump) upload(server net.Conn, wait time.Duration) error {
	k := p.call
	length := k.head.Length
	body := k.body
	k.body = nil
	sent := int64(len(body))
	out := k.wire(nil, length)
	chunked := k.head.Chunked
	if chunked {
		out = http1.AppendChunk(out, body)
	} else {
		out = append(out, body...)
	}
	if !chunked && sent >= length {
		p.sendsLast()
	}
	if _, err := server.Write(out); err != nil {
		return err
	}
	in := &reader{conn: p.client.Conn, parser: p.client.Parser, buf: p.client.Rest, chunk: make([]byte, pumpChunk)}
	p.client.Parser.KeepTrailer = true
	out = nil
	for {
		_ = p.client.SetReadDeadline(time.Now().Add(pumpIdle))
		part, end, err := in.next()
		if err != nil {
			_ = server.Close() // the client has gone half-way: the server must not take this for the whole
			return err
		}
		if end {
			p.client.Rest = in.buf
			p.sendsLast()
			if chunked {
				_, err = server.Write(http1.AppendLastChunk(nil, p.client.Parser.Head.Trailer))
			}
			p.mu.Lock()
			if !p.headed { // from here on the server has its time
				_ = server.SetReadDeadline(time.Now().Add(wait))
			}
			p.mu.Unlock()
			return err
		}
		_ = server.SetWriteDeadline(time.Now().Add(pumpIdle))
		sent += int64(len(part))
		if !chunked && sent >= length {
			p.sendsLast()
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

// download passes an answer on and reports whether it was whole.
func (p *pump) download(in *reader, h *http1.Head) bool {
	k := p.call
	status, fields, framing, own := k.respond(h)
	if own != nil {
		p.tell(ownAnswer{status: own.Status, fields: own.Fields, body: own.Body})
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
		_ = p.client.SetWriteDeadline(time.Now().Add(pumpIdle))
		if _, err := p.client.Write(b); err != nil {
			return false
		}
		part, end, err := in.next()
		if err != nil {
			return false
		}
		if end {
			if framing == httpd.ByChunks {
				_, err = p.client.Write(http1.AppendLastChunk(b[:0], in.parser.Head.Trailer))
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
