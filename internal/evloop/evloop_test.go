package evloop

import (
	"log/slog"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sedgevale/internal/testkit"
)

// domainOf returns the address family of a connection's socket.
func domainOf(t *testing.T, c syscall.Conn) int {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var domain int
	var serr error
	if err := raw.Control(func(fd uintptr) { domain, serr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DOMAIN) }); err != nil {
		t.Fatal(err)
	}
	if serr != nil {
		t.Fatal(serr)
	}
	return domain
}

// The loop must start where only TCP and UDP over IPv4 are allowed, so the placeholder may be neither a Unix socket nor IPv6.
func TestPlaceholderIsIPv4(t *testing.T) {
	c, err := placeholder()
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	}()
	if d := domainOf(t, c.(syscall.Conn)); d != unix.AF_INET {
		t.Fatalf("placeholder's socket is of family %d, want AF_INET (%d)", d, unix.AF_INET)
	}
}

func TestLoopRunsFunctions(t *testing.T) {
	l, err := New(slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := l.Stop(); err != nil {
			t.Error(err)
		}
	}()
	done := make(chan struct{})
	l.Do(func() { close(done) })
	<-done
}

// Stop ends the dials in flight and waits for them, however long they might take; a later one fails.
func TestStopEndsDials(t *testing.T) {
	hung := testkit.HungAddr(t)
	l, err := New(slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for range 5 {
		l.Dial(hung, time.Hour, nil, func(error) {})
	}
	if err := l.Stop(); err != nil {
		t.Fatal(err)
	}
	if left := testkit.Goroutines("evloop.(*Loop).Dial"); len(left) > 0 {
		t.Errorf("left running:\n%s", strings.Join(left, "\n\n"))
	}
	l.Dial(hung, time.Hour, nil, func(error) {})
	if left := testkit.Goroutines("evloop.(*Loop).Dial"); len(left) > 0 {
		t.Errorf("a stopped loop dials:\n%s", strings.Join(left, "\n\n"))
	}
}
