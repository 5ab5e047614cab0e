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

// The ways in which a connection ends, each with the response that is outstanding then. Races
// are made by blocking the event loop while the other side acts.

// hold blocks the server's event loop until letGo is called.
func hold(t *testing.T, s *Server) (letGo func()) {
	t.Helper()
	held, let := make(chan struct{}), make(chan struct{})
	s.onEachLoop(func(*eventLoop) { close(held); <-let })
	testkit.Await(t, "the event loop to stand", held)
	return func() { close(let) }
}

// awaitUnread waits until so many bytes lie unread at the server's end of a connection.
func awaitUnread(t *testing.T, fd, n int) {
	t.Helper()
	buf := make([]byte, n)
	testkit.Eventually(t, "the bytes to arrive", func() bool {
		got, _, err := unix.Recvfrom(fd, buf, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err == nil && got == n
	})
}

// recordingEcho is an echo that records its connections and requests.
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

// Guards against a reset under a request that came in the moment in which its idle
// connection was to be closed: it is read, and answered.
func TestRequestThatCrossesTheDecisionToClose(t *testing.T) {
	s, h := startServed(t, fdlimit.New(0))
	c, r := dial(t, s.addr)
	send(t, c, post)
	answer(t, r)
	fd := testkit.Await(t, "the first request", h.fds)
	letGo := hold(t, s)
	s.CloseIdle() // waits behind what holds the loop
	send(t, c, post)
	awaitUnread(t, fd, len(post))
	letGo()
	if status, body, _ := answer(t, r); status != 200 || body != "hi" {
		t.Errorf("%d %q", status, body)
	}
}

// Guards against a request that is served after the end of the connection was announced, whose
// answer nobody can get, and against a reset by it: the client reads the end, and no more.
func TestRequestAfterTheShutdownIsNotServed(t *testing.T) {
	s, h := startServed(t, fdlimit.New(0))
	c, r := dial(t, s.addr)
	send(t, c, post)
	answer(t, r)
	testkit.Await(t, "the first request", h.conns)
	s.CloseIdle()
	if _, err := r.ReadByte(); err != io.EOF { // the shutdown has come
		t.Fatalf("the end: %v", err)
	}
	send(t, c, post)
	send(t, c, post[:10])
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after a crossing request: %v", err)
	}
	done := make(chan struct{})
	s.Ping(func() { close(done) })
	testkit.Await(t, "the event loop", done)
	if len(h.conns) > 0 {
		t.Error("a request after the shutdown was served")
	}
	// Who does not end his side is not waited for.
	testkit.Eventually(t, "the connection to be closed", func() bool { return s.Clients() == 0 })
}

// Guards against new connections that are accepted and then reset as the server stops, and
// against a half request that keeps it: the one is refused, the other gets the end of the connection.
func TestRefuse(t *testing.T) {
	s, h := startServed(t, fdlimit.New(0))
	half, halfR := dial(t, s.addr)
	send(t, half, post[:20])
	silent, silentR := dial(t, s.addr)
	busy, busyR := dial(t, s.addr)
	send(t, busy, "POST /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	conn := testkit.Await(t, "the request that waits", h.conns)
	s.Drain()
	s.Refuse()
	for _, r := range []*bufio.Reader{halfR, silentR} {
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("a connection without a complete request: %v", err)
		}
	}
	if c, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.addr); !errors.Is(err, unix.ECONNREFUSED) {
		t.Errorf("a new connection: %v, %v", c, err)
	}
	conn.Post(func(c *Conn) { c.Respond(200, nil, []byte("late")) })
	if status, body, last := answer(t, busyR); status != 200 || body != "late" || !last {
		t.Errorf("%d %q, last %v", status, body, last)
	}
	for _, c := range []net.Conn{half, silent, busy} {
		shut(t, c)
	}
	testkit.Eventually(t, "the connections' ends", func() bool { return s.Clients() == 0 })
}

// Guards against a request without an answer since its client sends much more behind it, as
// one that speaks another protocol may; and against following such a one without end.
func TestFloodBehindARequest(t *testing.T) {
	s, h := startServed(t, fdlimit.New(0))
	c, r := dial(t, s.addr)
	send(t, c, "POST /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	conn := testkit.Await(t, "the request", h.conns)
	flood := bytes.Repeat([]byte("x"), 3*maxPipelined)
	if _, err := c.Write(flood); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the flood to be read", func() bool {
		dropped := make(chan bool, 1)
		conn.Post(func(c *Conn) { dropped <- c.discarded > 0 && !c.hasUnread() })
		return testkit.Await(t, "the event loop", dropped)
	})
	conn.Post(func(c *Conn) { c.Respond(200, nil, []byte("whole")) })
	if status, body, last := answer(t, r); status != 200 || body != "whole" || !last {
		t.Errorf("%d %q, last %v", status, body, last)
	}
	endless, _ := dial(t, s.addr)
	send(t, endless, "POST /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	testkit.Await(t, "the request", h.conns)
	for sent := 0; ; sent += len(flood) {
		if _, err := endless.Write(flood); err != nil {
			break
		}
		if sent > 64<<20 {
			t.Fatal("a flood is followed without end")
		}
	}
	testkit.Await(t, "the report that its client has disconnected", h.gone)
}

// Guards against small writes that the kernel delays until the last was acknowledged: a
// reset loses them.
func TestClientsHaveNoDelay(t *testing.T) {
	s, h := startServed(t, fdlimit.New(0))
	c, r := dial(t, s.addr)
	send(t, c, post)
	answer(t, r)
	fd := testkit.Await(t, "the request", h.fds)
	if on, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY); err != nil || on == 0 {
		t.Errorf("TCP_NODELAY is %d, %v", on, err)
	}
}

// Guards against many clients that connect and send nothing, up to the last
// descriptor: one that sends a request is still served, and workers can still be reached.
func TestSilentCrowdLeavesDescriptors(t *testing.T) {
	const descriptors = fdlimit.Reserve + 40
	b := fdlimit.New(descriptors)
	s, _ := startServed(t, b)
	for range 2 * descriptors {
		testkit.Dial(t, s.addr)
	}
	testkit.Eventually(t, "silent connections to be closed", func() bool { return s.Clients() <= descriptors-fdlimit.Reserve/2 })
	if !b.Acquire() {
		t.Error("no descriptor is left for a worker")
	}
	b.Release()
	q, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+s.addr+"/a", strings.NewReader("hi"))
	if err != nil {
		t.Fatal(err)
	}
	a, err := testkit.RoundTrip(&http.Transport{}, q)
	if err != nil {
		t.Fatalf("a client that speaks: %v", err)
	}
	if a.Body != "hi" {
		t.Errorf("%q", a.Body)
	}
}
