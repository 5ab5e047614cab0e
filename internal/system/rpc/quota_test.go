package rpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/resourcequota"
	"sedgevale/internal/system/result"
	"sedgevale/internal/testkit"
)

// startBounded serves a method that echoes its message, with a quota of the given number of bytes.
func startBounded(t *testing.T, bytes, limit int64) (address string, calls *int) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls = new(int)
	server := NewServerWithLimit(limit)
	Handle(server, "echo", func(_ context.Context, m *message) (*message, error) {
		*calls++
		return m, nil
	})
	quota := resourcequota.New(resourcequota.Limits{RequestBytes: bytes, SmallBytes: bytes / 4, ConnectionBytes: 1 << 20, Connections: 100})
	reservation := quota.Reserve(func() {}) // leaves no room for another large message
	if err := reservation.Grow(bytes / 2); err != nil {
		t.Fatal(err)
	}
	reservation.Complete()
	httpServer := &http.Server{Handler: server.Handler(), ReadHeaderTimeout: time.Second}
	listener = quota.Serve(httpServer, listener, &resourcequota.Port{Receive: 64 << 10})
	testkit.Serve(t, httpServer, listener)
	return listener.Addr().String(), calls
}

// A message for which there is no room is refused with a code that tells the caller that nothing was applied; small ones are served.
func TestMessagesWithoutRoomAreNotApplied(t *testing.T) {
	address, calls := startBounded(t, 1<<20, 1<<20)
	client := NewClient(DialTCP())
	defer client.Close()
	err := client.Call(t.Context(), address, "echo", &message{strings.Repeat("x", 400<<10)}, &message{})
	if result.CodeOf(err) != result.Unavailable || !result.NotApplied(err) || *calls != 0 {
		t.Errorf("a large message: %v after %d calls, want code %d", err, *calls, result.Unavailable)
	}
	var small message
	if err := client.Call(t.Context(), address, "echo", &message{"x"}, &small); err != nil || small.Text != "x" || *calls != 1 {
		t.Errorf("a small message: %v after %d calls", err, *calls)
	}
	if err := client.Call(t.Context(), address, "echo", &message{strings.Repeat("x", 1<<20)}, &message{}); result.CodeOf(err) != result.BadRequest {
		t.Errorf("a message above the limit: %v, want code %d", err, result.BadRequest)
	}
}

// Schedulers send the length of each message; a message without one is refused.
func TestMessageWithoutLengthIsRefused(t *testing.T) {
	address, calls := startBounded(t, 1<<20, 1<<20)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+pathPrefix+"echo", io.MultiReader(strings.NewReader("x")))
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get(resultHeader) != "1001" || *calls != 0 {
		t.Errorf("status %d, result %s after %d calls; want result 1001", response.StatusCode, response.Header.Get(resultHeader), *calls)
	}
}
