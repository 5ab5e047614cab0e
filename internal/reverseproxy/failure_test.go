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

// faultyServer is a server that can be made to fail, and notes what it began.
type faultyServer struct {
	addr string
	mode atomic.Value // "good", "unhealthy" (its checks fail), "cut" (responses are truncated), "hang"
	mu   sync.Mutex
	runs map[string]int
	last time.Time // of the last request that began
	srv  *http.Server
}

func newFaultyServer(t *testing.T) *faultyServer {
	b := &faultyServer{runs: map[string]int{}}
	b.mode.Store("good")
	l := listen(t)
	b.addr = l.Addr().String()
	b.up(l)
	t.Cleanup(func() { _ = b.srv.Close() })
	return b
}

func (b *faultyServer) up(l net.Listener) {
	b.srv = &http.Server{Handler: b}
	go func(s *http.Server) { _ = s.Serve(l) }(b.srv)
}

// kill ends the server with all its connections; revive starts it again.
func (b *faultyServer) kill() { _ = b.srv.Close() }

func (b *faultyServer) revive(t *testing.T) {
	t.Helper()
	for range 100 {
		l, err := tryListen(t, b.addr)
		if err == nil {
			b.up(l)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the address is still in use")
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

// Guards requests under load while servers are killed, fail their checks, hang and truncate
// responses: each request is answered once and in time, none that may have run is sent again
// unless its method is idempotent, and a failing server gets no new request after fall x inter.
func TestFailuresUnderLoad(t *testing.T) {
	const inter, fall = 50 * time.Millisecond, 2
	faulty := make([]*faultyServer, 4)
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
	for i, how := range []string{"unhealthy", "hang", "cut", "kill"} {
		report = append(report, failAndRecover(t, s, faulty[i], i, how, fall*inter*3/2+100*time.Millisecond)...)
	}
	time.Sleep(200 * time.Millisecond)
	stop()
	wg.Wait()
	repeats := countRepeats(t, faulty)
	sent, good, refused, failed, lost, slow := &load.sent, &load.good, &load.refused, &load.failed, &load.lost, &load.slow
	if slow.Load() > 0 || good.Load() < sent.Load()*8/10 {
		t.Errorf("of %d: %d good, %d slow", sent.Load(), good.Load(), slow.Load())
	}
	if lost.Load() > 0 {
		t.Errorf("%d requests got no answer", lost.Load())
	}
	testkit.Eventually(t, "all capacity released", func() bool {
		for _, x := range s.Status() {
			if x.Busy != 0 {
				return false
			}
		}
		return true
	})
	t.Logf("%d sent: %d good, %d refused, %d failed, %d lost; %d GETs and no POST ran again; %s", sent.Load(), good.Load(), refused.Load(),
		failed.Load(), lost.Load(), repeats, strings.Join(report, "; "))
}

// load sends requests and counts their results.
type load struct {
	t     *testing.T
	front string

	sent, good, refused, failed, lost, slow atomic.Int64
}

// run is the n-th client, until the context ends.
func (l *load) run(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(uint64(n), 5))
	h := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer h.CloseIdleConnections()
	for k := 0; ctx.Err() == nil; k++ {
		method, size := "GET", 0
		if r.IntN(2) == 0 {
			method, size = "POST", r.IntN(3000)
			if r.IntN(20) == 0 {
				size = 100_000 // on a goroutine of its own
			}
		}
		l.request(context.WithoutCancel(ctx), h, method, size, fmt.Sprintf("%d-%d", n, k))
	}
}

// request sends one request.
func (l *load) request(ctx context.Context, h *http.Client, method string, size int, id string) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+l.front+"/x", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		l.t.Error(err)
		return
	}
	q.GetBody = nil // else the library repeats it by itself
	q.Header.Set("X-Id", id)
	began := time.Now()
	l.sent.Add(1)
	a, err := h.Do(q)
	if time.Since(began) > 3*time.Second {
		l.slow.Add(1)
	}
	if err != nil {
		l.lost.Add(1)
		return
	}
	body, err := io.ReadAll(a.Body)
	_ = a.Body.Close()
	switch {
	case err != nil: // it was truncated, as the server's was
		l.failed.Add(1)
	case a.StatusCode == 200 && string(body) == fmt.Sprintf("%s %d", id, size):
		l.good.Add(1)
	case a.StatusCode == 503:
		l.refused.Add(1)
	case a.StatusCode == 502 || a.StatusCode == 504:
		l.failed.Add(1)
	default:
		l.t.Errorf("%d %q", a.StatusCode, body)
	}
}

// failAndRecover has the i-th server fail in a way and recover. Its last new request may come at most
// most after it has failed.
func failAndRecover(t *testing.T, s *Proxy, b *faultyServer, i int, how string, most time.Duration) (report []string) {
	t.Helper()
	began := time.Now()
	if how == "kill" {
		b.kill()
	} else {
		b.mode.Store(how)
	}
	if how == "cut" { // its checks pass while its responses are truncated, which the clients see
		time.Sleep(200 * time.Millisecond)
	} else {
		took := awaitState(t, s, i, "down")
		time.Sleep(50 * time.Millisecond)
		last := max(0, b.lastRequest().Sub(began))
		report = append(report, fmt.Sprintf("%s: down after %v, last new request %v after", how, took.Round(time.Millisecond), last.Round(time.Millisecond)))
		if how != "kill" && last > most {
			t.Errorf("%s: a new request %v after, %v at most", how, last, most)
		}
	}
	if how == "kill" {
		b.revive(t)
	} else {
		b.mode.Store("good")
	}
	awaitState(t, s, i, "up")
	return report
}

// awaitState waits for a state of the i-th server and returns how long that took.
func awaitState(t *testing.T, s *Proxy, i int, want string) time.Duration {
	t.Helper()
	began := time.Now()
	testkit.Eventually(t, fmt.Sprintf("server %d %s", i, want), func() bool { return s.Status()[i].State == want })
	return time.Since(began)
}

// countRepeats returns how many requests ran more than once. None may whose method forbids it.
func countRepeats(t *testing.T, boxes []*faultyServer) (repeats int) {
	t.Helper()
	again := map[string]int{}
	for _, b := range boxes {
		b.mu.Lock()
		for id, n := range b.runs {
			again[id] += n
		}
		b.mu.Unlock()
	}
	for id, n := range again {
		if n > 1 && strings.HasPrefix(id, "POST") {
			t.Errorf("%s ran %d times", id, n)
		}
		if n > 1 {
			repeats++
		}
	}
	return repeats
}
