package reverseproxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/testkit"
)

// faultyServer is a server with injectable faults that records the requests it receives.
type faultyServer struct {
	addr string
	mode atomic.Value   // "good", "unhealthy" (health checks fail), "cut" (responses are truncated) or "hang"
	mu   sync.Mutex     // guards runs and last
	runs map[string]int // number of executions by method and request id
	last time.Time      // start of the last request
	srv  *http.Server
}

func newFaultyServer(t *testing.T) *faultyServer {
	b := &faultyServer{runs: map[string]int{}}
	b.mode.Store("good")
	l := listen(t)
	b.addr = l.Addr().String()
	b.serveOn(l)
	t.Cleanup(func() { _ = b.srv.Close() })
	return b
}

func (b *faultyServer) serveOn(l net.Listener) {
	b.srv = &http.Server{Handler: b}
	go func(s *http.Server) { _ = s.Serve(l) }(b.srv)
}

// kill closes the server and all its connections; restart starts it again on the same address.
func (b *faultyServer) kill() { _ = b.srv.Close() }

func (b *faultyServer) restart(t *testing.T) {
	t.Helper()
	for range 100 {
		l, err := tryListen(t, b.addr)
		if err == nil {
			b.serveOn(l)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("cannot listen on %s again: the address is still in use", b.addr)
}

func (b *faultyServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	mode := b.mode.Load().(string)
	if q.URL.Path == "/up" {
		if mode == "unhealthy" || mode == "hang" {
			http.Error(w, "no", 500)
		}
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("X-Id")
	b.mu.Lock()
	b.runs[q.Method+" "+id]++
	b.last = time.Now()
	b.mu.Unlock()
	switch mode {
	case "hang":
		<-q.Context().Done()
		return
	case "cut":
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s %d", id, len(body))
}

func (b *faultyServer) lastRequest() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// TestFailuresUnderLoad checks requests under load while servers are killed, fail their health checks, hang and
// truncate responses. Each request gets one response in time, a request that may have run is only sent again if its
// method is idempotent, and a failing server gets no new request after fall x inter.
func TestFailuresUnderLoad(t *testing.T) {
	const inter, fall = 50 * time.Millisecond, 2
	faulty := make([]*faultyServer, 4) // one for each fault
	var servers []dispatchconfig.WebServer
	for i := range faulty {
		faulty[i] = newFaultyServer(t)
		servers = append(servers, dispatchconfig.WebServer{Addr: faulty[i].addr})
	}
	c := singleBackendConfig(t, servers...)
	c.Backends[0].ServerTimeout, c.Backends[0].ConnectTimeout = 0.8, 0.3
	c.Backends[0].RetryOn = []string{"conn-failure", "empty-response"}
	c.Backends[0].Check = &dispatchconfig.WebCheck{Kind: "http", Method: "GET", URI: "/up", Interval: inter.Seconds(), Rise: 2, Fall: fall}
	s, front := serve(t, c)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	load := &load{t: t, front: front}
	for n := range 24 {
		wg.Go(func() { load.run(ctx, n) })
	}
	time.Sleep(200 * time.Millisecond)
	var report []string
	for i, fault := range []string{"unhealthy", "hang", "cut", "kill"} {
		report = append(report, failAndRecover(t, s, faulty[i], i, fault, fall*inter*3/2+100*time.Millisecond)...)
	}
	time.Sleep(200 * time.Millisecond)
	stop()
	wg.Wait()
	repeats := countRepeats(t, faulty)
	sent, good, rejected, failed, lost, slow := &load.sent, &load.good, &load.rejected, &load.failed, &load.lost, &load.slow
	if slow.Load() > 0 || good.Load() < sent.Load()*8/10 {
		t.Errorf("%d requests: %d succeeded, want at least 80%%; %d slower than 3 s, want 0", sent.Load(), good.Load(), slow.Load())
	}
	if lost.Load() > 0 {
		t.Errorf("%d requests got no response", lost.Load())
	}
	testkit.Eventually(t, "all connection slots to be released", func() bool {
		for _, x := range s.Status() {
			if x.Busy != 0 {
				return false
			}
		}
		return true
	})
	t.Logf("%d sent: %d succeeded, %d rejected with 503, %d failed, %d without response; %d requests ran more than once; %s", sent.Load(), good.Load(), rejected.Load(),
		failed.Load(), lost.Load(), repeats, strings.Join(report, "; "))
}

// load is a load generator that counts the results of its requests.
type load struct {
	t     *testing.T
	front string

	sent, good, rejected, failed, lost, slow atomic.Int64
}

// run runs the n-th client until ctx is done.
func (l *load) run(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(uint64(n), 5))
	h := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer h.CloseIdleConnections()
	for k := 0; ctx.Err() == nil; k++ {
		method, size := "GET", 0
		if r.IntN(2) == 0 {
			method, size = "POST", r.IntN(3000)
			if r.IntN(20) == 0 {
				size = 100_000 // longer than httpd.MaxBody, so that a transfer forwards it
			}
		}
		l.request(context.WithoutCancel(ctx), h, method, size, fmt.Sprintf("%d-%d", n, k))
	}
}

// request sends one request and counts its result.
func (l *load) request(ctx context.Context, h *http.Client, method string, size int, id string) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+l.front+"/x", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		l.t.Error(err)
		return
	}
	q.GetBody = nil // keeps net/http from retrying the request itself
	q.Header.Set("X-Id", id)
	started := time.Now()
	l.sent.Add(1)
	a, err := h.Do(q)
	if time.Since(started) > 3*time.Second {
		l.slow.Add(1)
	}
	if err != nil {
		l.lost.Add(1)
		return
	}
	body, err := io.ReadAll(a.Body)
	_ = a.Body.Close()
	switch {
	case err != nil: // the proxy forwarded a truncated response as truncated
		l.failed.Add(1)
	case a.StatusCode == 200 && string(body) == fmt.Sprintf("%s %d", id, size):
		l.good.Add(1)
	case a.StatusCode == 503:
		l.rejected.Add(1)
	case a.StatusCode == 502 || a.StatusCode == 504:
		l.failed.Add(1)
	default:
		l.t.Errorf("request %s: unexpected response %d %q", id, a.StatusCode, body)
	}
}

// failAndRecover injects a fault into the i-th server and removes it again. The server must not receive a new request
// later than maxDelay after the fault began.
func failAndRecover(t *testing.T, s *Proxy, b *faultyServer, i int, fault string, maxDelay time.Duration) (report []string) {
	t.Helper()
	started := time.Now()
	if fault == "kill" {
		b.kill()
	} else {
		b.mode.Store(fault)
	}
	if fault == "cut" { // truncated responses do not fail health checks, so the server stays up
		time.Sleep(200 * time.Millisecond)
	} else {
		took := awaitState(t, s, i, "down")
		time.Sleep(50 * time.Millisecond)
		last := max(0, b.lastRequest().Sub(started))
		report = append(report, fmt.Sprintf("%s: down after %v, last new request after %v", fault, took.Round(time.Millisecond), last.Round(time.Millisecond)))
		if fault != "kill" && last > maxDelay {
			t.Errorf("%s: the server got a new request %v after the fault began, want at most %v", fault, last, maxDelay)
		}
	}
	if fault == "kill" {
		b.restart(t)
	} else {
		b.mode.Store("good")
	}
	awaitState(t, s, i, "up")
	return report
}

// awaitState waits until the i-th server is in the given state and returns how long that took.
func awaitState(t *testing.T, s *Proxy, i int, want string) time.Duration {
	t.Helper()
	started := time.Now()
	testkit.Eventually(t, fmt.Sprintf("server %d to be %s", i, want), func() bool { return s.Status()[i].State == want })
	return time.Since(started)
}

// countRepeats returns how many requests ran more than once. It fails the test if one of them is a POST.
func countRepeats(t *testing.T, servers []*faultyServer) (repeats int) {
	t.Helper()
	runs := map[string]int{}
	for _, b := range servers {
		b.mu.Lock()
		for id, n := range b.runs {
			runs[id] += n
		}
		b.mu.Unlock()
	}
	for id, n := range runs {
		if n > 1 && strings.HasPrefix(id, "POST") {
			t.Errorf("request %s ran %d times, want at most 1", id, n)
		}
		if n > 1 {
			repeats++
		}
	}
	return repeats
}
