package httpd

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/fdlimit"
	"sedgevale/internal/resourcequota"
	"sedgevale/internal/testkit"
)

// largeResponse responds to each request with a body that no socket buffer holds.
type largeResponse struct{ echo }

const largeResponseBytes = 8 << 20

func (largeResponse) Serve(c *Conn, _ *Request) {
	c.Respond(200, nil, make([]byte, largeResponseBytes))
}

// startBounded starts a server with a quota of the given number of bytes, a quarter of which is for small requests.
func startBounded(t *testing.T, h Handler, bytes int64) (*Server, *resourcequota.Quota) {
	t.Helper()
	s := New(testkit.FreeAddr(t), 1, h, fdlimit.New(0), slog.New(slog.DiscardHandler))
	bounds := &Quota{Memory: resourcequota.New(resourcequota.Limits{RequestBytes: bytes, SmallBytes: bytes / 4}), Receive: 16 << 10, Backlog: 16}
	s.SetQuota(bounds)
	if err := s.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stop(t, s) })
	return s, bounds.Memory
}

func awaitNothingHeld(t *testing.T, b *resourcequota.Quota) {
	t.Helper()
	testkit.Eventually(t, "the quota to be empty", func() bool { return b.Usage().Bytes == 0 })
}

func headOf(length int) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// A body for which there is no room is refused at its head; small requests are served meanwhile, and large ones afterwards.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	s, quota := startBounded(t, echo{make(chan struct{}, 8)}, 256<<10)
	first, firstAnswers := dial(t, s.addr)
	send(t, first, headOf(MaxBody)+"x")
	testkit.Eventually(t, "the first body to be counted", func() bool { return quota.Usage().Bytes > 0 })
	second, answers := dial(t, s.addr)
	send(t, second, headOf(MaxBody))
	a, err := testkit.ReadResponse(answers)
	if err != nil || a.Status != 503 || a.Header.Get("Retry-After") != resourcequota.RetryAfterSeconds || !a.Last {
		t.Errorf("%+v, error %v; want 503 with Retry-After on a connection that ends", a, err)
	}
	third, answers := dial(t, s.addr)
	send(t, third, post)
	if status, body, _ := readResponse(t, answers); status != 200 || body != "hi" {
		t.Errorf("a small request: status %d, body %q", status, body)
	}
	send(t, first, strings.Repeat("x", MaxBody-1))
	if status, body, _ := readResponse(t, firstAnswers); status != 200 || len(body) != MaxBody {
		t.Errorf("the first request: status %d, %d bytes", status, len(body))
	}
	awaitNothingHeld(t, quota)
	send(t, third, headOf(MaxBody)+strings.Repeat("x", MaxBody))
	if status, body, _ := readResponse(t, answers); status != 200 || len(body) != MaxBody {
		t.Errorf("a large request afterwards: status %d, %d bytes", status, len(body))
	}
	awaitNothingHeld(t, quota)
}

// A body that stalls is refused when another one needs its room.
func TestStalledBodyYields(t *testing.T) {
	s, quota := startBounded(t, echo{make(chan struct{}, 8)}, 256<<10)
	stalled, stalledAnswers := dial(t, s.addr)
	send(t, stalled, headOf(MaxBody)+"x")
	testkit.Eventually(t, "the body to be counted", func() bool { return quota.Usage().Bytes > 0 })
	time.Sleep(1100 * time.Millisecond) // the time after which a request counts as stalled
	other, answers := dial(t, s.addr)
	send(t, other, headOf(MaxBody))
	if status, _, _ := readResponse(t, answers); status != 503 {
		t.Errorf("the other request: status %d, want 503 until the room is free", status)
	}
	if status, _, last := readResponse(t, stalledAnswers); status != 503 || !last {
		t.Errorf("the stalled request: status %d, last %v; want 503", status, last)
	}
	awaitNothingHeld(t, quota)
}

// A client that sends requests and does not read the responses cannot make the server hold them.
func TestUnreadResponsesAreBounded(t *testing.T) {
	s, quota := startBounded(t, largeResponse{echo{make(chan struct{}, 8)}}, 4<<20)
	first, _ := dial(t, s.addr)
	send(t, first, post)
	testkit.Eventually(t, "the response to be counted", func() bool { return quota.Usage().Bytes > 0 })
	second, r := dial(t, s.addr)
	send(t, second, post)
	if _, err := io.CopyN(io.Discard, r, largeResponseBytes); err == nil {
		t.Error("the server held two responses of twice the quota")
	}
	closeConn(t, first)
	awaitNothingHeld(t, quota)
	third, r := dial(t, s.addr)
	send(t, third, post)
	if status, body, _ := readResponse(t, r); status != 200 || len(body) != largeResponseBytes {
		t.Errorf("a client that reads: status %d, %d bytes", status, len(body))
	}
	awaitNothingHeld(t, quota)
}

// What a client pipelines while its request is served counts, and is discarded without room.
func TestPipelinedBytesAreBounded(t *testing.T) {
	s, quota := startBounded(t, echo{make(chan struct{}, 8)}, 64<<10)
	other := quota.Reserve(func() {})
	if err := other.Grow(resourcequota.SmallRequest + 1); err != nil {
		t.Fatal(err)
	}
	c, _ := dial(t, s.addr)
	send(t, c, "POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"+strings.Repeat("x", maxPipelined))
	time.Sleep(100 * time.Millisecond)
	if held := quota.Usage().Bytes; held > 2*resourcequota.SmallRequest+1 {
		t.Errorf("%d bytes are held, want no more than a small request beside the other", held)
	}
	closeConn(t, c)
	other.Release()
	awaitNothingHeld(t, quota)
}

// A detached connection counts until it is closed, and is refused without room.
func TestDetachedConnectionsCount(t *testing.T) {
	h := &overflowing{detached: make(chan *Detached, 1)}
	s, quota := startBounded(t, h, 512<<10)
	first, _ := dial(t, s.addr)
	send(t, first, headOf(MaxBody+1))
	d := testkit.Await(t, "the detached connection", h.detached)
	if held := quota.Usage().Bytes; held != transferBytes {
		t.Errorf("%d bytes are held, want %d", held, transferBytes)
	}
	second, answers := dial(t, s.addr)
	send(t, second, headOf(MaxBody+1))
	if status, _, last := readResponse(t, answers); status != 503 || !last {
		t.Errorf("without room: status %d, last %v; want 503", status, last)
	}
	closeConn(t, d)
	awaitNothingHeld(t, quota)
}

// overflowing is a handler that keeps detached connections.
type overflowing struct {
	echo
	detached chan *Detached
}

func (h *overflowing) Overflow(_ *Request, d *Detached) { h.detached <- d }
