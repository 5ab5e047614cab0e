package httpd

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/fdlimit"
	"sedgevale/internal/http1"
	"sedgevale/internal/testkit"
)

// echo answers with the body, and holds back what asks for it.
type echo struct{ gone chan struct{} }

func (e echo) Serve(c *Conn, q *Request) {
	if q.Target == "/hold" {
		return
	}
	c.Respond(200, nil, q.Body)
}

func (e echo) Disconnected(*Conn) { e.gone <- struct{}{} }

func start(t *testing.T, addr string, b *fdlimit.Limiter) (*Server, echo) {
	t.Helper()
	h := echo{make(chan struct{}, 8)}
	s := New(addr, 1, h, b, slog.New(slog.DiscardHandler))
	if err := s.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	return s, h
}

func stop(t *testing.T, s *Server) {
	t.Helper()
	if err := s.Stop(); err != nil {
		t.Error(err)
	}
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c := testkit.Dial(t, addr)
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

func shut(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

func answer(t *testing.T, r *bufio.Reader) (status int, body string, last bool) {
	t.Helper()
	a, err := testkit.ReadResponse(r)
	if err != nil {
		t.Fatal(err)
	}
	return a.Status, a.Body, a.Last
}

const post = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"

// Guards against a scheduler that cannot start again because connections which
// its last run closed are still in TIME_WAIT.
func TestStartsAgain(t *testing.T) {
	addr := testkit.FreeAddr(t)
	s, _ := start(t, addr, fdlimit.New(0))
	c, r := dial(t, addr)
	if _, err := io.WriteString(c, "BAD\r\n\r\n"); err != nil { // the server is the one that closes
		t.Fatal(err)
	}
	if status, _, last := answer(t, r); status != 400 || !last {
		t.Errorf("answered %d, last %v", status, last)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v", err)
	}
	stop(t, s)
	s, _ = start(t, addr, fdlimit.New(0))
	stop(t, s)
}

// serveSome makes connections, each with a request that must be served.
func serveSome(t *testing.T, addr string) {
	t.Helper()
	for range 20 {
		c, r := dial(t, addr)
		if _, err := io.WriteString(c, post); err != nil {
			t.Fatal(err)
		}
		if status, _, _ := answer(t, r); status != 200 {
			t.Errorf("answered %d", status)
		}
		shut(t, c)
	}
}

// passListener returns a server's listening socket as another process gets it.
func passListener(t *testing.T, s *Server) *net.TCPListener {
	t.Helper()
	passed, err := s.Listener().File()
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(passed)
	if err != nil {
		t.Fatal(err)
	}
	shut(t, passed)
	return l.(*net.TCPListener)
}

// Guards against connections that are reset, refused or left unread while one
// server takes over from another: the listening socket is passed on, the first
// leaves new connections to the second, and its end resets none of them.
func TestListenerIsPassedOn(t *testing.T) {
	addr := testkit.FreeAddr(t)
	first, _ := start(t, addr, fdlimit.New(0))
	kept, keptReader := dial(t, addr)
	if _, err := io.WriteString(kept, post); err != nil {
		t.Fatal(err)
	}
	answer(t, keptReader)
	first.PauseAccepting()
	waiting, waitingReader := dial(t, addr) // in the queue, nobody accepts
	if _, err := io.WriteString(waiting, post); err != nil {
		t.Fatal(err)
	}
	first.ResumeAccepting()
	answer(t, waitingReader)
	first.PauseAccepting()
	waiting, waitingReader = dial(t, addr)
	if _, err := io.WriteString(waiting, post); err != nil {
		t.Fatal(err)
	}
	l := passListener(t, first)
	second := New(addr, 1, echo{make(chan struct{}, 8)}, fdlimit.New(0), slog.New(slog.DiscardHandler))
	if err := second.Start(t.Context(), l); err != nil {
		t.Fatal(err)
	}
	answer(t, waitingReader)
	serveSome(t, addr)
	if n := first.Clients(); n > 2 { // kept, and the one that waited first
		t.Errorf("the first server has taken %d connections", n)
	}
	if _, err := io.WriteString(kept, post); err != nil {
		t.Fatal(err)
	}
	answer(t, keptReader)
	stop(t, first)
	serveSome(t, addr)
	stop(t, second)
}

// Guards against a message that ends without further bytes being left unread,
// and against the bytes after it being dropped: gnet's Discard(0) drops all.
func TestRequestsOneAfterAnother(t *testing.T) {
	addr := testkit.FreeAddr(t)
	s, _ := start(t, addr, fdlimit.New(0))
	defer stop(t, s)
	c, r := dial(t, addr)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if status, body, _ := answer(t, r); status != 200 || body != "" {
		t.Errorf("%d %q", status, body)
	}
	whole := post + "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1;x\r\nd\r\n0\r\n\r\n"
	for _, part := range []string{whole[:10], whole[10:60], whole[60:]} {
		if _, err := io.WriteString(c, part); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{"hi", "abcd"} {
		if status, body, last := answer(t, r); status != 200 || body != want || last {
			t.Errorf("%d %q, last %v; want %q", status, body, last, want)
		}
	}
}

func TestMalformedRequestsAreAnswered(t *testing.T) {
	addr := testkit.FreeAddr(t)
	s, _ := start(t, addr, fdlimit.New(0))
	defer stop(t, s)
	for _, c := range []struct {
		text string
		want int
	}{
		{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		{"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
		{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65537\r\n\r\n", 413},
		{"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", 0x10001), 413},
		{"POST /a HTTP/2.0\r\nHost: h\r\n\r\n", 505},
		{"POST /a HTTP/1.1\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", http1.MaxHeadBytes) + "\r\n\r\n", 431},
	} {
		conn, r := dial(t, addr)
		go func() { _, _ = io.WriteString(conn, c.text) }()
		if status, _, last := answer(t, r); status != c.want || !last {
			t.Errorf("%.60q: answered %d, last %v; want %d", c.text, status, last, c.want)
		}
	}
}

// A client that disconnects before its answer is reported; one that had its answer is
// not. After Drain each answer is the last of its connection.
func TestDisconnectAndDrain(t *testing.T) {
	addr := testkit.FreeAddr(t)
	s, h := start(t, addr, fdlimit.New(0))
	defer stop(t, s)
	c, _ := dial(t, addr)
	if _, err := io.WriteString(c, "POST /hold HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	s.Drain()
	d, r := dial(t, addr) // read after the first, on the same event loop
	if _, err := io.WriteString(d, post); err != nil {
		t.Fatal(err)
	}
	if status, _, last := answer(t, r); status != 200 || !last {
		t.Errorf("answered %d, last %v", status, last)
	}
	shut(t, d)
	shut(t, c)
	select {
	case <-h.gone:
	case <-time.After(10 * time.Second):
		t.Fatal("the disconnect is not reported")
	}
	if len(h.gone) > 0 {
		t.Error("reported twice")
	}
}

// Guards against clients that hold a connection and send no complete request: one that sends
// nothing is closed, one that sends half a request gets 408, both within 3 s of
// connecting, also when bytes trickle in. An idle connection between two requests stays open.
func TestClientsThatKeepSilent(t *testing.T) {
	addr := testkit.FreeAddr(t)
	s, _ := start(t, addr, fdlimit.New(0))
	defer stop(t, s)
	kept, keptR := dial(t, addr)
	if _, err := io.WriteString(kept, post); err != nil {
		t.Fatal(err)
	}
	answer(t, keptR)
	began := time.Now()
	silent, silentR := dial(t, addr)
	half, halfR := dial(t, addr)
	trickle, trickleR := dial(t, addr)
	if _, err := io.WriteString(half, post[:len(post)-1]); err != nil {
		t.Fatal(err)
	}
	go trickleRequest(trickle)
	slow, slowR := dial(t, addr) // a usual client that needs 2 s to write; it may
	if _, err := io.WriteString(slow, post[:20]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2200 * time.Millisecond)
	if _, err := io.WriteString(slow, post[20:]); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := answer(t, slowR); status != 200 {
		t.Errorf("a slow request: %d", status)
	}
	for _, r := range []*bufio.Reader{halfR, trickleR} {
		if status, _, last := answer(t, r); status != 408 || !last {
			t.Errorf("half a request: %d, last %v", status, last)
		}
	}
	if _, err := silentR.ReadByte(); err != io.EOF {
		t.Errorf("nothing sent: %v", err)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("it took %v", took)
	}
	shut(t, silent)
	if _, err := io.WriteString(kept, post); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := answer(t, keptR); status != 200 {
		t.Errorf("on the kept connection: %d", status)
	}
}

// trickleRequest begins a request late, and sends it byte by byte until the connection is closed.
func trickleRequest(c net.Conn) {
	time.Sleep(1300 * time.Millisecond) // the time runs since connecting, not since the first byte
	for i := 0; i < 10*len(post); i++ {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nX: "[min(i, 18):][:1]); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against the time that it takes to read what is rejected anyway: the error
// is sent at the head, and a body without end is not followed for long.
func TestHugeBody(t *testing.T) {
	addr := testkit.FreeAddr(t)
	s, _ := start(t, addr, fdlimit.New(0))
	defer stop(t, s)
	c, r := dial(t, addr)
	sent := make(chan int, 1)
	go func() {
		n, _ := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n")
		for part := make([]byte, 64<<10); n < 60_000_000; {
			m, err := c.Write(part)
			if n += m; err != nil {
				break
			}
		}
		sent <- n
	}()
	if status, _, last := answer(t, r); status != 413 || !last {
		t.Errorf("answered %d, last %v", status, last)
	}
	if n := testkit.Await(t, "the end of the body", sent); n >= 60_000_000 {
		t.Errorf("all %d bytes were read", n)
	}
}

// Guards against many clients that send one request and keep their connection: a load
// balancer counts those that we keep, and rejects others where they are many. The
// longest idle ones are closed, though descriptors are not short.
func TestIdleClientsAreBounded(t *testing.T) {
	addr := testkit.FreeAddr(t)
	b := fdlimit.New(1024)
	s, _ := start(t, addr, b)
	defer stop(t, s)
	maxIdle := b.MaxIdleClients()
	var idle []*bufio.Reader
	for range maxIdle + 3 {
		c, r := dial(t, addr)
		if _, err := io.WriteString(c, post); err != nil {
			t.Fatal(err)
		}
		if status, _, last := answer(t, r); status != 200 || last {
			t.Fatalf("%d, last %v", status, last)
		}
		idle = append(idle, r)
	}
	for i, r := range idle[:3] {
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("idle connection %d: %v", i, err)
		}
	}
	// They have read the end and stay: they are closed all the same.
	testkit.Eventually(t, "the idle ones to be bounded", func() bool { return s.Clients() <= maxIdle })
	if n := s.Clients(); n != maxIdle {
		t.Errorf("%d connections kept, want %d", n, maxIdle)
	}
}

// Guards against running out of descriptors, on which accepting fails for good:
// idle connections are closed, the busy one stays.
func TestShortOfDescriptors(t *testing.T) {
	addr := testkit.FreeAddr(t)
	b := fdlimit.New(68) // 4 connections and the reserve
	s, _ := start(t, addr, b)
	defer stop(t, s)
	busy, _ := dial(t, addr)
	if _, err := io.WriteString(busy, "POST /hold HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	var idle []net.Conn
	for range 4 {
		c, r := dial(t, addr)
		if _, err := io.WriteString(c, post); err != nil {
			t.Fatal(err)
		}
		if len(idle) < 3 {
			answer(t, r)
		}
		idle = append(idle, c)
	}
	if _, err := idle[0].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the longest idle connection: %v", err)
	}
	_ = busy.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := busy.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Error("the busy connection was closed")
	}
}
