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

// echo responds with the body of the request. It does not respond to the path /hold.
type echo struct{ disconnected chan struct{} }

func (e echo) Serve(c *Conn, q *Request) {
	if q.Target == "/hold" {
		return
	}
	c.Respond(200, nil, q.Body)
}

func (e echo) Disconnected(*Conn) { e.disconnected <- struct{}{} }

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

func closeConn(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

func readResponse(t *testing.T, r *bufio.Reader) (status int, body string, last bool) {
	t.Helper()
	a, err := testkit.ReadResponse(r)
	if err != nil {
		t.Fatal(err)
	}
	return a.Status, a.Body, a.Last
}

const post = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"

// TestRestart guards against a server that cannot listen after a restart because connections that
// it closed before are still in TIME_WAIT.
func TestRestart(t *testing.T) {
	addr := testkit.FreeAddr(t)
	s, _ := start(t, addr, fdlimit.New(0))
	c, r := dial(t, addr)
	if _, err := io.WriteString(c, "BAD\r\n\r\n"); err != nil { // makes the server close the connection first
		t.Fatal(err)
	}
	if status, _, last := readResponse(t, r); status != 400 || !last {
		t.Errorf("got status %d, last %v", status, last)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: got %v, want EOF", err)
	}
	stop(t, s)
	s, _ = start(t, addr, fdlimit.New(0))
	stop(t, s)
}

// checkServing opens several connections, one after another, and checks that a request on each is served.
func checkServing(t *testing.T, addr string) {
	t.Helper()
	for range 20 {
		c, r := dial(t, addr)
		if _, err := io.WriteString(c, post); err != nil {
			t.Fatal(err)
		}
		if status, _, _ := readResponse(t, r); status != 200 {
			t.Errorf("got status %d, want 200", status)
		}
		closeConn(t, c)
	}
}

// passListener returns a duplicate of a server's listening socket, as another process receives it.
func passListener(t *testing.T, s *Server) *net.TCPListener {
	t.Helper()
	file, err := s.Listener().File()
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	closeConn(t, file)
	return l.(*net.TCPListener)
}

// TestListenerHandover guards against connections that are reset, refused or left unread while one
// server takes over from another. The first server passes its listening socket on and leaves new connections to
// the second, and stopping it must not reset any of them.
func TestListenerHandover(t *testing.T) {
	addr := testkit.FreeAddr(t)
	first, _ := start(t, addr, fdlimit.New(0))
	kept, keptReader := dial(t, addr)
	if _, err := io.WriteString(kept, post); err != nil {
		t.Fatal(err)
	}
	readResponse(t, keptReader)
	first.PauseAccepting()
	waiting, waitingReader := dial(t, addr) // stays in the backlog
	if _, err := io.WriteString(waiting, post); err != nil {
		t.Fatal(err)
	}
	first.ResumeAccepting()
	readResponse(t, waitingReader)
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
	readResponse(t, waitingReader)
	checkServing(t, addr)
	if n := first.Clients(); n > 2 { // kept and the first waiting connection
		t.Errorf("the first server accepted %d connections, want at most 2", n)
	}
	if _, err := io.WriteString(kept, post); err != nil {
		t.Fatal(err)
	}
	readResponse(t, keptReader)
	stop(t, first)
	checkServing(t, addr)
	stop(t, second)
}

// TestSequentialRequests guards against a message that is not handled because no further bytes follow it,
// and against losing the bytes after a message: gnet's Discard(0) discards all bytes.
func TestSequentialRequests(t *testing.T) {
	addr := testkit.FreeAddr(t)
	s, _ := start(t, addr, fdlimit.New(0))
	defer stop(t, s)
	c, r := dial(t, addr)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if status, body, _ := readResponse(t, r); status != 200 || body != "" {
		t.Errorf("got status %d, body %q", status, body)
	}
	requests := post + "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1;x\r\nd\r\n0\r\n\r\n"
	for _, part := range []string{requests[:10], requests[10:60], requests[60:]} {
		if _, err := io.WriteString(c, part); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{"hi", "abcd"} {
		if status, body, last := readResponse(t, r); status != 200 || body != want || last {
			t.Errorf("got status %d, body %q, last %v; want 200, %q and a connection that stays open", status, body, last, want)
		}
	}
}

func TestMalformedRequests(t *testing.T) {
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
		if status, _, last := readResponse(t, r); status != c.want || !last {
			t.Errorf("%.60q: got status %d, last %v; want %d and the last response", c.text, status, last, c.want)
		}
	}
}

// TestDisconnectAndDrain checks that Disconnected is called for a client that disconnects before its response, but not
// for one that has received it, and that after Drain each response is the last of its connection.
func TestDisconnectAndDrain(t *testing.T) {
	addr := testkit.FreeAddr(t)
	s, h := start(t, addr, fdlimit.New(0))
	defer stop(t, s)
	c, _ := dial(t, addr)
	if _, err := io.WriteString(c, "POST /hold HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	s.Drain()
	d, r := dial(t, addr) // the only event loop reads it after the first connection
	if _, err := io.WriteString(d, post); err != nil {
		t.Fatal(err)
	}
	if status, _, last := readResponse(t, r); status != 200 || !last {
		t.Errorf("got status %d, last %v", status, last)
	}
	closeConn(t, d)
	closeConn(t, c)
	select {
	case <-h.disconnected:
	case <-time.After(10 * time.Second):
		t.Fatal("Disconnected was not called for the client without a response")
	}
	if len(h.disconnected) > 0 {
		t.Error("Disconnected was called more than once")
	}
}

// TestRequestTimeouts guards against clients that keep a connection open without sending a complete request. A connection
// without any byte is closed and one with an incomplete request gets 408, both within 3 s of
// connecting, even if single bytes keep arriving. An idle connection between two requests stays open.
func TestRequestTimeouts(t *testing.T) {
	addr := testkit.FreeAddr(t)
	s, _ := start(t, addr, fdlimit.New(0))
	defer stop(t, s)
	kept, keptR := dial(t, addr)
	if _, err := io.WriteString(kept, post); err != nil {
		t.Fatal(err)
	}
	readResponse(t, keptR)
	started := time.Now()
	silent, silentR := dial(t, addr)
	partial, partialR := dial(t, addr)
	trickle, trickleR := dial(t, addr)
	if _, err := io.WriteString(partial, post[:len(post)-1]); err != nil {
		t.Fatal(err)
	}
	go trickleRequest(trickle)
	slow, slowR := dial(t, addr) // a legitimate client that needs 2 s to send its request
	if _, err := io.WriteString(slow, post[:20]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2200 * time.Millisecond)
	if _, err := io.WriteString(slow, post[20:]); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := readResponse(t, slowR); status != 200 {
		t.Errorf("slow request: got status %d, want 200", status)
	}
	for _, r := range []*bufio.Reader{partialR, trickleR} {
		if status, _, last := readResponse(t, r); status != 408 || !last {
			t.Errorf("incomplete request: got status %d, last %v; want 408 and the last response", status, last)
		}
	}
	if _, err := silentR.ReadByte(); err != io.EOF {
		t.Errorf("connection without any byte: got %v, want EOF", err)
	}
	if took := time.Since(started); took > 3*time.Second {
		t.Errorf("the connections were closed after %v, want at most 3 s", took)
	}
	closeConn(t, silent)
	if _, err := io.WriteString(kept, post); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := readResponse(t, keptR); status != 200 {
		t.Errorf("idle connection: got status %d, want 200", status)
	}
}

// trickleRequest sends a request late and byte by byte until the connection is closed.
func trickleRequest(c net.Conn) {
	time.Sleep(1300 * time.Millisecond) // the timeout counts from connecting, not from the first byte
	for i := 0; i < 10*len(post); i++ {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nX: "[min(i, 18):][:1]); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestOversizedBody guards against reading a body that is rejected anyway: the error response
// is sent after the head, and only a limited part of the body is read.
func TestOversizedBody(t *testing.T) {
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
	if status, _, last := readResponse(t, r); status != 413 || !last {
		t.Errorf("got status %d, last %v", status, last)
	}
	if n := testkit.Await(t, "the client to stop sending", sent); n >= 60_000_000 {
		t.Errorf("the server read all %d bytes", n)
	}
}

// TestIdleClientsAreBounded guards against too many idle connections: a load balancer counts the connections that the
// server keeps and rejects new clients when there are many. The server closes those that have been idle longest
// even if file descriptors are available.
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
		if status, _, last := readResponse(t, r); status != 200 || last {
			t.Fatalf("got status %d, last %v; want 200 and a connection that stays open", status, last)
		}
		idle = append(idle, r)
	}
	for i, r := range idle[:3] {
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("idle connection %d: got %v, want EOF", i, err)
		}
	}
	// The clients do not close their side; the server closes the connections anyway.
	testkit.Eventually(t, "excess idle connections to be closed", func() bool { return s.Clients() <= maxIdle })
	if n := s.Clients(); n != maxIdle {
		t.Errorf("%d connections kept, want %d", n, maxIdle)
	}
}

// TestDescriptorLimit guards against running out of file descriptors, which makes every accept fail.
// Idle connections are closed, but not one with a request in progress.
func TestDescriptorLimit(t *testing.T) {
	addr := testkit.FreeAddr(t)
	b := fdlimit.New(68) // 4 connections and fdlimit.Reserve
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
			readResponse(t, r)
		}
		idle = append(idle, c)
	}
	if _, err := idle[0].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("longest idle connection: got %v, want EOF", err)
	}
	_ = busy.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := busy.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Error("the connection with a request in progress was closed")
	}
}
