package httpd

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"sedgevale/internal/fdlimit"
	"sedgevale/internal/testkit"
)

// The tests in this file cover the ways in which a connection ends and the response that is outstanding at that time. They
// provoke races by blocking the event loop while the client acts.

// blockLoop blocks the server's event loop until unblock is called.
func blockLoop(t *testing.T, s *Server) (unblock func()) {
	t.Helper()
	blocked, done := make(chan struct{}), make(chan struct{})
	s.onEachLoop(func(*eventLoop) { close(blocked); <-done })
	testkit.Await(t, "the event loop to block", blocked)
	return func() { close(done) }
}

// awaitUnread waits until n bytes are unread in the server's socket of a connection.
func awaitUnread(t *testing.T, fd, n int) {
	t.Helper()
	buf := make([]byte, n)
	testkit.Eventually(t, "the bytes to arrive", func() bool {
		got, _, err := unix.Recvfrom(fd, buf, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err == nil && got == n
	})
}

// recordingEcho is an echo that records the connection and the file descriptor of each request.
type recordingEcho struct {
	echo
	conns chan *Conn
	fds   chan int
}

func (h recordingEcho) Serve(c *Conn, q *Request) {
	h.fds <- c.conn.Fd()
	h.conns <- c
	h.echo.Serve(c, q)
}

func startServed(t *testing.T, b *fdlimit.Limiter) (*Server, recordingEcho) {
	t.Helper()
	h := recordingEcho{echo{make(chan struct{}, 8)}, make(chan *Conn, 512), make(chan int, 512)}
	s := New(testkit.FreeAddr(t), 1, h, b, slog.New(slog.DiscardHandler))
	if err := s.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stop(t, s) })
	return s, h
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// TestRequestDuringCloseIdle guards against a reset of an idle connection on which a request arrives just before the
// server closes it. The request must be served.
func TestRequestDuringCloseIdle(t *testing.T) {
	s, h := startServed(t, fdlimit.New(0))
	c, r := dial(t, s.addr)
	send(t, c, post)
	readResponse(t, r)
	fd := testkit.Await(t, "the first request", h.fds)
	unblock := blockLoop(t, s)
	s.CloseIdle() // runs once the loop is unblocked
	send(t, c, post)
	awaitUnread(t, fd, len(post))
	unblock()
	if status, body, _ := readResponse(t, r); status != 200 || body != "hi" {
		t.Errorf("got status %d, body %q", status, body)
	}
}

// TestRequestAfterShutdownIsNotServed guards against serving a request that arrives after the server has half-closed the
// connection, because its response cannot be sent, and against a connection reset that such a request causes. The client
// must read the end of the connection and nothing else.
func TestRequestAfterShutdownIsNotServed(t *testing.T) {
	s, h := startServed(t, fdlimit.New(0))
	c, r := dial(t, s.addr)
	send(t, c, post)
	readResponse(t, r)
	testkit.Await(t, "the first request", h.conns)
	s.CloseIdle()
	if _, err := r.ReadByte(); err != io.EOF { // the server has half-closed the connection
		t.Fatalf("idle connection: got %v, want EOF", err)
	}
	send(t, c, post)
	send(t, c, post[:10])
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after a request that follows the shutdown: got %v, want EOF", err)
	}
	done := make(chan struct{})
	s.Ping(func() { close(done) })
	testkit.Await(t, "the event loop", done)
	if len(h.conns) > 0 {
		t.Error("the server served a request after the shutdown")
	}
	// The server does not wait for a client that keeps its side open.
	testkit.Eventually(t, "the connection to be closed", func() bool { return s.Clients() == 0 })
}

// TestRefuse guards against new connections that are accepted and then reset when the server stops, and
// against an incomplete request that delays the stop. The former must be refused, the latter closed.
func TestRefuse(t *testing.T) {
	s, h := startServed(t, fdlimit.New(0))
	partial, partialR := dial(t, s.addr)
	send(t, partial, post[:20])
	silent, silentR := dial(t, s.addr)
	busy, busyR := dial(t, s.addr)
	send(t, busy, "POST /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	conn := testkit.Await(t, "the held request", h.conns)
	s.Drain()
	s.Refuse()
	for _, r := range []*bufio.Reader{partialR, silentR} {
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("connection without a complete request: got %v, want EOF", err)
		}
	}
	if c, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.addr); !errors.Is(err, unix.ECONNREFUSED) {
		t.Errorf("new connection: got %v, error %v; want ECONNREFUSED", c, err)
	}
	conn.Post(func(c *Conn) { c.Respond(200, nil, []byte("late")) })
	if status, body, last := readResponse(t, busyR); status != 200 || body != "late" || !last {
		t.Errorf("got status %d, body %q, last %v", status, body, last)
	}
	for _, c := range []net.Conn{partial, silent, busy} {
		closeConn(t, c)
	}
	testkit.Eventually(t, "all connections to be closed", func() bool { return s.Clients() == 0 })
}

// TestPipelineOverflow guards against a request that gets no response because its client sends many more bytes after it,
// for example in another protocol, and against reading from such a client without limit.
func TestPipelineOverflow(t *testing.T) {
	s, h := startServed(t, fdlimit.New(0))
	c, r := dial(t, s.addr)
	send(t, c, "POST /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	conn := testkit.Await(t, "the request", h.conns)
	excess := bytes.Repeat([]byte("x"), 3*maxPipelined)
	if _, err := c.Write(excess); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the excess bytes to be read", func() bool {
		dropped := make(chan bool, 1)
		conn.Post(func(c *Conn) { dropped <- c.discarded > 0 && !c.hasUnread() })
		return testkit.Await(t, "the event loop", dropped)
	})
	conn.Post(func(c *Conn) { c.Respond(200, nil, []byte("whole")) })
	if status, body, last := readResponse(t, r); status != 200 || body != "whole" || !last {
		t.Errorf("got status %d, body %q, last %v", status, body, last)
	}
	endless, _ := dial(t, s.addr)
	send(t, endless, "POST /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	testkit.Await(t, "the request", h.conns)
	for sent := 0; ; sent += len(excess) {
		if _, err := endless.Write(excess); err != nil {
			break
		}
		if sent > 64<<20 {
			t.Fatal("the server reads from a flooding client without limit")
		}
	}
	testkit.Await(t, "the call of Disconnected", h.disconnected)
}

// TestNoDelay guards against small writes that the kernel delays until the previous one is acknowledged (Nagle's
// algorithm), because a connection reset loses them.
func TestNoDelay(t *testing.T) {
	s, h := startServed(t, fdlimit.New(0))
	c, r := dial(t, s.addr)
	send(t, c, post)
	readResponse(t, r)
	fd := testkit.Await(t, "the request", h.fds)
	if on, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY); err != nil || on == 0 {
		t.Errorf("TCP_NODELAY is %d, error %v; want it set", on, err)
	}
}

// TestSilentClientsLeaveDescriptors guards against clients that use up all file descriptors by connecting without
// sending anything. A client that sends a request must still be served, and workers must still be reachable.
func TestSilentClientsLeaveDescriptors(t *testing.T) {
	const descriptors = fdlimit.Reserve + 40
	b := fdlimit.New(descriptors)
	s, _ := startServed(t, b)
	for range 2 * descriptors {
		testkit.Dial(t, s.addr)
	}
	testkit.Eventually(t, "silent connections to be closed", func() bool { return s.Clients() <= descriptors-fdlimit.Reserve/2 })
	if !b.Acquire() {
		t.Error("no file descriptor is left for a worker connection")
	}
	b.Release()
	q, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+s.addr+"/a", strings.NewReader("hi"))
	if err != nil {
		t.Fatal(err)
	}
	a, err := testkit.RoundTrip(&http.Transport{}, q)
	if err != nil {
		t.Fatalf("client that sends a request: %v", err)
	}
	if a.Body != "hi" {
		t.Errorf("got body %q, want hi", a.Body)
	}
}
