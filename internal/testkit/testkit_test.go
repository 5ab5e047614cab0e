package testkit

import (
	"errors"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// TestRefusingAddr checks what tests of failing connections rely on: while the test runs, a refusing
// address refuses each connection, and nobody else can listen on it.
func TestRefusingAddr(t *testing.T) {
	addr := RefusingAddr(t)
	for range 3 {
		if c, err := new(net.Dialer).DialContext(t.Context(), "tcp", addr); !errors.Is(err, unix.ECONNREFUSED) {
			t.Errorf("dial %s: connection %v, error %v, want ECONNREFUSED", addr, c, err)
		}
	}
	if l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", addr); !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("listen on %s: listener %v, error %v, want EADDRINUSE", addr, l, err)
	}
}
