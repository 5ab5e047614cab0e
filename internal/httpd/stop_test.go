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

// Once Stop has returned the server's goroutines have ended.
func TestStopWaitsForItsGoroutines(t *testing.T) {
	for range 20 {
		s := New("127.0.0.1:0", 1, nil, fdlimit.New(0), slog.New(slog.DiscardHandler))
		if err := s.Start(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		if err := s.Stop(); err != nil {
			t.Fatal(err)
		}
		if left := testkit.Goroutines("httpd.(*Server).runSweeps", "httpd.(*acceptor).accept"); len(left) > 0 {
			t.Fatalf("left running:\n%s", strings.Join(left, "\n\n"))
		}
	}
}

// The pause after a failed accept ends with the acceptor. A listening socket that was shut down can be accepted on no more.
func TestBackoffOfAcceptHearsClose(t *testing.T) {
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
	if err := testkit.Await(t, "a failed accept", failures); err == nil {
		t.Error("no error")
	}
	a.close()
	testkit.Await(t, "the end of the acceptor", ended)
}

// A connection that was taken off its event loop is closed where the server is stopped when it would go back.
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
		t.Errorf("the connection is not closed: %v", err)
	}
}
