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

// Guards retries: a request that may have run is not sent again unless its method and retry_on
// allow it; one whose connection failed goes to another server at once.
func TestRetries(t *testing.T) {
	dead := testkit.RefusingAddr(t)
	var cut atomic.Int64
	cutting := testkit.Accept(t, func(c net.Conn) { // reads the request and closes the connection
		in := bufio.NewReader(c)
		if q, err := http.ReadRequest(in); err == nil {
			_, _ = io.Copy(io.Discard, q.Body)
			cut.Add(1)
		}
		_ = c.Close()
	})
	var good atomic.Int64
	ok := origin(t, func(w http.ResponseWriter, _ *http.Request) { good.Add(1); _, _ = io.WriteString(w, "ok") })
	statusOf := func(c *dispatchconfig.Web, method string) int {
		t.Helper()
		return requestOnce(t, c, method)
	}
	first := func(addr string) *dispatchconfig.Web { return preferredServerConfig(t, addr, ok) }
	began := time.Now()
	if got := statusOf(first(dead), "POST"); got != 200 || time.Since(began) > 2*time.Second {
		t.Errorf("a server that is not there: %d after %v", got, time.Since(began))
	}
	if got := statusOf(first(cutting), "POST"); got != 502 || cut.Load() != 1 {
		t.Errorf("a POST that may have run: %d, sent %d times", got, cut.Load())
	}
	if got := statusOf(first(cutting), "GET"); got != 502 || cut.Load() != 2 {
		t.Errorf("a GET without retry_on: %d, sent %d times in all", got, cut.Load())
	}
	c := first(cutting)
	c.Backends[0].RetryOn = []string{"conn-failure", "empty-response"}
	if got := statusOf(c, "GET"); got != 200 || cut.Load() != 3 {
		t.Errorf("a GET with retry_on: %d, sent %d times in all", got, cut.Load())
	}
	c = first(cutting)
	c.Backends[0].RetryOn = []string{"conn-failure", "empty-response"}
	if got := statusOf(c, "POST"); got != 502 || cut.Load() != 4 {
		t.Errorf("a POST with retry_on: %d, sent %d times in all", got, cut.Load())
	}
	testRetryStatus(t, ok)
	testNoResponse(t, dead)
}

// testNoResponse asks a backend whose only server is not there, and one whose only server does not respond.
func testNoResponse(t *testing.T, dead string) {
	t.Helper()
	none := singleBackendConfig(t, dispatchconfig.WebServer{Addr: dead})
	none.Backends[0].RetryAfter = 3
	if got := requestOnce(t, none, "GET"); got != 503 {
		t.Errorf("nobody there: %d", got)
	}
	slow := testkit.Accept(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	late := singleBackendConfig(t, dispatchconfig.WebServer{Addr: slow})
	late.Backends[0].ServerTimeout, late.Backends[0].ConnectTimeout = 0.3, 0.2
	if got := requestOnce(t, late, "POST"); got != 504 {
		t.Errorf("a server that does not respond: %d", got)
	}
}

// requestOnce serves a configuration, sends one request and returns the status of its answer.
func requestOnce(t *testing.T, c *dispatchconfig.Web, method string) int {
	t.Helper()
	_, front := serve(t, c)
	w := dial(t, front)
	w.send("%s / HTTP/1.1\nHost: h\nContent-Length: 1\n\nx", method)
	a, _ := w.answer(method)
	return a.StatusCode
}

// preferredServerConfig is a configuration of two servers whose weights make it certain that the one at addr
// is asked first.
func preferredServerConfig(t *testing.T, addr, other string) *dispatchconfig.Web {
	t.Helper()
	one, many := 1, 200
	return singleBackendConfig(t, dispatchconfig.WebServer{Addr: addr, Weight: &many}, dispatchconfig.WebServer{Addr: other, Weight: &one})
}

// testRetryStatus guards retries after an answer of a status that retry_on names.
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
		t.Errorf("a GET with retry_on 503: %d, %d", got, failing.Load())
	}
	if got := requestOnce(t, preferredServerConfig(t, bad, ok), "GET"); got != 503 || failing.Load() != 2 {
		t.Errorf("a 503 passes on: %d, %d", got, failing.Load())
	}
}

// countFailedGets sends so many GET requests at the same time and returns how many were not answered with 200.
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

// Guards maxconn and the queue: never more at a server than it may have, all are served,
// and one that waits too long gets 503 with Retry-After.
func TestMaxConn(t *testing.T) {
	var busy, most atomic.Int64
	addr := origin(t, func(_ http.ResponseWriter, q *http.Request) {
		n := busy.Add(1)
		defer busy.Add(-1)
		for old := most.Load(); n > old; old = most.Load() {
			if most.CompareAndSwap(old, n) {
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
	if failed := countFailedGets(t, front, 20); failed != 0 || most.Load() != 1 {
		t.Errorf("%d failed, %d at a time", failed, most.Load())
	}
	c = singleBackendConfig(t, dispatchconfig.WebServer{Addr: addr, MaxConn: 1})
	c.Backends[0].QueueTimeout, c.Backends[0].RetryAfter = 0.2, 2
	_, front = serve(t, c)
	w, late := dial(t, front), dial(t, front)
	w.send("GET /slow HTTP/1.1\nHost: h\n\n")
	testkit.Eventually(t, "the first at the server", func() bool { return busy.Load() == 1 })
	late.send("GET / HTTP/1.1\nHost: h\n\n")
	if a, _ := late.answer("GET"); a.StatusCode != 503 || a.Header.Get("Retry-After") != "2" {
		t.Errorf("one that waited too long: %d %v", a.StatusCode, a.Header)
	}
	if a, _ := w.answer("GET"); a.StatusCode != 200 {
		t.Errorf("the one before: %d", a.StatusCode)
	}
}
