package reverseproxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/testkit"
)

// TestRetries checks that a request that may have run is only retried if its method and retry_on
// allow it, and that a request whose connection failed is immediately sent to another server.
func TestRetries(t *testing.T) {
	refusing := testkit.RefusingAddr(t)
	var closed atomic.Int64                         // number of requests that the server closing has received
	closing := testkit.Accept(t, func(c net.Conn) { // reads the request and closes the connection without a response
		in := bufio.NewReader(c)
		if q, err := http.ReadRequest(in); err == nil {
			_, _ = io.Copy(io.Discard, q.Body)
			closed.Add(1)
		}
		_ = c.Close()
	})
	var served atomic.Int64
	ok := origin(t, func(w http.ResponseWriter, _ *http.Request) { served.Add(1); _, _ = io.WriteString(w, "ok") })
	statusOf := func(c *dispatchconfig.Web, method string) int {
		t.Helper()
		return requestOnce(t, c, method)
	}
	first := func(addr string) *dispatchconfig.Web { return preferredServerConfig(t, addr, ok) }
	started := time.Now()
	if got := statusOf(first(refusing), "POST"); got != 200 || time.Since(started) > 2*time.Second {
		t.Errorf("first server refuses connections: got status %d after %v, want 200 within 2 s", got, time.Since(started))
	}
	if got := statusOf(first(closing), "POST"); got != 502 || closed.Load() != 1 {
		t.Errorf("POST that may have run: got status %d, sent %d times; want 502, once", got, closed.Load())
	}
	if got := statusOf(first(closing), "GET"); got != 502 || closed.Load() != 2 {
		t.Errorf("GET without retry_on: got status %d, %d requests sent in total; want 502, 2", got, closed.Load())
	}
	c := first(closing)
	c.Backends[0].RetryOn = []string{"conn-failure", "empty-response"}
	if got := statusOf(c, "GET"); got != 200 || closed.Load() != 3 {
		t.Errorf("GET with retry_on: got status %d, %d requests sent in total; want 200, 3", got, closed.Load())
	}
	c = first(closing)
	c.Backends[0].RetryOn = []string{"conn-failure", "empty-response"}
	if got := statusOf(c, "POST"); got != 502 || closed.Load() != 4 {
		t.Errorf("POST with retry_on: got status %d, %d requests sent in total; want 502, 4", got, closed.Load())
	}
	testRetryStatus(t, ok)
	testNoResponse(t, refusing)
}

// testNoResponse sends requests to a backend whose only server refuses connections, and to one whose only server does
// not respond.
func testNoResponse(t *testing.T, refusing string) {
	t.Helper()
	none := singleBackendConfig(t, dispatchconfig.WebServer{Addr: refusing})
	none.Backends[0].RetryAfter = 3
	if got := requestOnce(t, none, "GET"); got != 503 {
		t.Errorf("only server refuses connections: got status %d, want 503", got)
	}
	slow := testkit.Accept(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	late := singleBackendConfig(t, dispatchconfig.WebServer{Addr: slow})
	late.Backends[0].ServerTimeout, late.Backends[0].ConnectTimeout = 0.3, 0.2
	if got := requestOnce(t, late, "POST"); got != 504 {
		t.Errorf("only server does not respond: got status %d, want 504", got)
	}
}

// requestOnce runs a proxy, sends one request and returns the status code of the response.
func requestOnce(t *testing.T, c *dispatchconfig.Web, method string) int {
	t.Helper()
	_, front := serve(t, c)
	w := dial(t, front)
	w.send("%s / HTTP/1.1\nHost: h\nContent-Length: 1\n\nx", method)
	a, _ := w.readResponse(method)
	return a.StatusCode
}

// preferredServerConfig returns a configuration of two servers whose weights ensure that the first request goes to the
// one at addr.
func preferredServerConfig(t *testing.T, addr, other string) *dispatchconfig.Web {
	t.Helper()
	one, many := 1, 200
	return singleBackendConfig(t, dispatchconfig.WebServer{Addr: addr, Weight: &many}, dispatchconfig.WebServer{Addr: other, Weight: &one})
}

// testRetryStatus checks the retry after a response whose status code is listed in retry_on.
func testRetryStatus(t *testing.T, ok string) {
	t.Helper()
	var failing atomic.Int64
	bad := origin(t, func(w http.ResponseWriter, _ *http.Request) {
		failing.Add(1)
		http.Error(w, "no", http.StatusServiceUnavailable)
	})
	c := preferredServerConfig(t, bad, ok)
	c.Backends[0].RetryOn = []string{"503"}
	if got := requestOnce(t, c, "GET"); got != 200 || failing.Load() != 1 {
		t.Errorf("GET with retry_on 503: got status %d, %d requests to the failing server; want 200, 1", got, failing.Load())
	}
	if got := requestOnce(t, preferredServerConfig(t, bad, ok), "GET"); got != 503 || failing.Load() != 2 {
		t.Errorf("GET without retry_on: got status %d, %d requests to the failing server; want 503, 2", got, failing.Load())
	}
}

// countFailedGets sends n concurrent GET requests and returns how many did not get a 200 response.
func countFailedGets(t *testing.T, front string, n int) (failed int64) {
	t.Helper()
	var wg sync.WaitGroup
	var bad atomic.Int64
	for range n {
		wg.Go(func() {
			q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+front+"/", nil)
			if err != nil {
				t.Error(err)
				return
			}
			a, err := http.DefaultClient.Do(q)
			if err != nil {
				bad.Add(1)
				return
			}
			_ = a.Body.Close()
			if a.StatusCode != 200 {
				bad.Add(1)
			}
		})
	}
	wg.Wait()
	return bad.Load()
}

// TestMaxConn checks maxconn and the queue: a server never has more concurrent requests than allowed, queued requests
// are served, and a request whose queue timeout expires gets 503 with Retry-After.
func TestMaxConn(t *testing.T) {
	var busy, maxBusy atomic.Int64
	addr := origin(t, func(_ http.ResponseWriter, q *http.Request) {
		n := busy.Add(1)
		defer busy.Add(-1)
		for old := maxBusy.Load(); n > old; old = maxBusy.Load() {
			if maxBusy.CompareAndSwap(old, n) {
				break
			}
		}
		time.Sleep(5 * time.Millisecond)
		if q.URL.Path == "/slow" {
			time.Sleep(600 * time.Millisecond)
		}
	})
	c := singleBackendConfig(t, dispatchconfig.WebServer{Addr: addr, MaxConn: 1})
	_, front := serve(t, c)
	if failed := countFailedGets(t, front, 20); failed != 0 || maxBusy.Load() != 1 {
		t.Errorf("%d requests failed, %d concurrent requests; want 0, 1", failed, maxBusy.Load())
	}
	c = singleBackendConfig(t, dispatchconfig.WebServer{Addr: addr, MaxConn: 1})
	c.Backends[0].QueueTimeout, c.Backends[0].RetryAfter = 0.2, 2
	_, front = serve(t, c)
	w, late := dial(t, front), dial(t, front)
	w.send("GET /slow HTTP/1.1\nHost: h\n\n")
	testkit.Eventually(t, "the first request to reach the server", func() bool { return busy.Load() == 1 })
	late.send("GET / HTTP/1.1\nHost: h\n\n")
	if a, _ := late.readResponse("GET"); a.StatusCode != 503 || a.Header.Get("Retry-After") != "2" {
		t.Errorf("request with expired queue timeout: got %d %v, want 503 with Retry-After 2", a.StatusCode, a.Header)
	}
	if a, _ := w.readResponse("GET"); a.StatusCode != 200 {
		t.Errorf("request in flight: got status %d, want 200", a.StatusCode)
	}
}
