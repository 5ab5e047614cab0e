package httpd

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sedgevale/internal/fdlimit"
	"sedgevale/internal/testkit"
)

// TestStopWaitsForGoroutines checks that the server's goroutines have ended once Stop has returned.
func TestStopWaitsForGoroutines(t *testing.T) {
	for range 20 {
		s := New("127.0.0.1:0", 1, nil, fdlimit.New(0), slog.New(slog.DiscardHandler))
		if err := s.Start(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		if err := s.Stop(); err != nil {
			t.Fatal(err)
		}
		if running := testkit.Goroutines("httpd.(*Server).runSweeps", "httpd.(*acceptor).accept"); len(running) > 0 {
			t.Fatalf("goroutines after Stop has returned:\n%s", strings.Join(running, "\n\n"))
		}
	}
}

// TestCloseEndsAcceptBackoff checks that closing the acceptor ends the delay after a failed accept. The test makes accept
// fail by shutting the listening socket down.
func TestCloseEndsAcceptBackoff(t *testing.T) {
	l, err := listenReusePort(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newAcceptor(l)
	a.backoff = time.Hour
	failures, ended := make(chan error, 1), make(chan struct{})
	go func() {
		defer close(ended)
		a.accept(func(c *net.TCPConn) { _ = c.Close() }, func(err error) { failures <- err })
	}()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = unix.Shutdown(int(fd), unix.SHUT_RDWR) }); err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	if err := testkit.Await(t, "the accept error", failures); err == nil {
		t.Error("accept on a socket that was shut down returned no error")
	}
	a.close()
	testkit.Await(t, "the accept loop to end", ended)
}

// TestReattachAfterStop checks that Reattach closes a detached connection if the server has stopped.
func TestReattachAfterStop(t *testing.T) {
	s := New("127.0.0.1:0", 1, nil, fdlimit.New(0), slog.New(slog.DiscardHandler))
	if err := s.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	if err := s.Stop(); err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 1)
	client := testkit.Dial(t, testkit.Accept(t, func(c net.Conn) { accepted <- c }))
	server := testkit.Await(t, "a connection", accepted)
	done := make(chan struct{})
	go func() {
		defer close(done)
		(&Detached{Conn: server, server: s}).Reattach()
	}()
	testkit.Await(t, "Reattach", done)
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("reattached connection: got %v, want EOF", err)
	}
}
