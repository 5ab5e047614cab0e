package resourcequota

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/testkit"
)

// startServer serves a handler that reads bodies and answers with their length.
func startServer(t *testing.T, b *Quota, limits BodyLimits) (address string) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, reservation, err := ReadBody(r, limits)
		defer reservation.Release()
		if err != nil {
			WriteRefusal(w, err)
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	})
	listener = b.Serve(server, listener, &Port{Receive: 32 << 10})
	testkit.Serve(t, server, listener)
	return listener.Addr().String()
}

// send sends the text of a request and returns the response.
func send(t *testing.T, address, text string) testkit.Response {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := testkit.ReadResponse(bufio.NewReader(conn))
	if err != nil {
		t.Fatal(err)
	}
	return response
}

const chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

func withLength(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

func TestReadBody(t *testing.T) {
	const limit = 100 << 10
	long := strings.Repeat("x", limit)
	tests := []struct {
		name, request string
		needsLength   bool
		status        int
		body          string
	}{
		{"empty", withLength(0), false, 200, "0"},
		{"at the limit", withLength(limit) + long, false, 200, "102400"},
		{"above the limit", withLength(limit + 1), false, 413, "body: more than 102400 bytes"},
		{"broken off", withLength(10) + "abc", false, 400, "body: unexpected EOF"},
		{"chunked", chunkedHead + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", false, 200, "5"},
		{"chunked at the limit", chunkedHead + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", limit, long), false, 200, "102400"},
		{"chunked above the limit", chunkedHead + fmt.Sprintf("%x\r\n%sy\r\n0\r\n\r\n", limit+1, long), false, 413, "body: more than 102400 bytes"},
		{"chunked, broken off in a chunk", chunkedHead + "5\r\nabc", false, 400, "body: unexpected EOF"},
		{"chunked, broken off between chunks", chunkedHead + "3\r\nabc\r\n", false, 400, "body: unexpected EOF"},
		{"chunked without need", chunkedHead + "3\r\nabc\r\n0\r\n\r\n", true, 411, "body: a Content-Length is required"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(testLimits())
			address := startServer(t, b, BodyLimits{MaxBytes: limit, Copies: 3, NeedsLength: test.needsLength})
			if a := send(t, address, test.request); a.Status != test.status || strings.TrimSpace(a.Body) != test.body {
				t.Errorf("%+v, want %d %q", a, test.status, test.body)
			}
			if bytes := b.Usage().Bytes; bytes != 0 {
				t.Errorf("%d bytes are held after the answer", bytes)
			}
		})
	}
}

// A body for which there is no room is refused before it is read, whether its length is known or not.
func TestReadBodyRefusesWithoutRoom(t *testing.T) {
	b := New(Limits{RequestBytes: mib, SmallBytes: mib / 4, ConnectionBytes: mib, Connections: 100})
	address := startServer(t, b, BodyLimits{MaxBytes: 4 * mib, Copies: 3})
	other, _ := reservation(b)
	grow(t, other, mib/2, nil)
	other.Complete()
	for _, request := range []string{
		withLength(mib / 4), chunkedHead + fmt.Sprintf("%x\r\n%s", mib/4, strings.Repeat("x", mib/4)),
	} {
		if a := send(t, address, request); a.Status != 503 || a.Header.Get("Retry-After") != RetryAfterSeconds || !a.Last {
			t.Errorf("%+v, want 503 with Retry-After on a connection that ends", a)
		}
	}
	if a := send(t, address, withLength(3)+"abc"); a.Status != 200 {
		t.Errorf("a small body: %+v", a)
	}
	other.Release()
	if a := send(t, address, withLength(mib/4)+strings.Repeat("x", mib/4)); a.Status != 200 {
		t.Errorf("after the release: %+v", a)
	}
	if bytes := b.Usage().Bytes; bytes != 0 {
		t.Errorf("%d bytes are held after all answers", bytes)
	}
}

// A body that stalls while another needs the room is answered with 503, and its room goes to the other.
func TestReadBodyInterruptsStalledBody(t *testing.T) {
	b := New(Limits{RequestBytes: mib, SmallBytes: mib / 4, ConnectionBytes: mib, Connections: 100})
	address := startServer(t, b, BodyLimits{MaxBytes: mib, Copies: 1})
	var dialer net.Dialer
	stalled, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stalled.Close() }()
	if _, err := io.WriteString(stalled, withLength(mib/2)+"x"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(stallTimeout + 200*time.Millisecond)
	if a := send(t, address, withLength(mib/2)+strings.Repeat("x", mib/2)); a.Status != 200 {
		t.Errorf("the other body: %+v", a)
	}
	if a, err := testkit.ReadResponse(bufio.NewReader(stalled)); err != nil || a.Status != 503 || a.Header.Get("Retry-After") != RetryAfterSeconds {
		t.Errorf("the stalled body: %+v, error %v", a, err)
	}
}
