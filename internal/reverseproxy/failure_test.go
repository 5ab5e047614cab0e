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
)

// box is a server that can be made to fail, and notes what it began.
type box struct {
	addr string
	mode atomic.Value // "good", "sick" (its checks fail), "cut" (answers break off), "hang"
	mu   sync.Mutex
	runs map[string]int
	last time.Time // of the last request that began
	srv  *http.Server
}

func newBox(t *testing.T) *box {
	b := &box{runs: map[string]int{}}
	b.mode.Store("good")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.addr = l.Addr().String()
	b.up(l)
	t.Cleanup(func() { b.srv.Close() })
	return b
}

func (b *box) up(l net.Listener) {
	b.srv = &http.Server{Handler: b}
	go func(s *http.Server) { _ = s.Serve(l) }(b.srv)
}

// kill ends the box with all its connections; revive brings it back.
func (b *box) kill() { b.srv.Close() }

func (b *box) revive(t *testing.T) {
	t.Helper()
	for range 100 {
		l, err := net.Listen("tcp", b.addr)
		if err == nil {
			b.up(l)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the address is not given back")
}

func (b *box) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	mode := b.mode.Load().(string)
	if q.URL.Path == "/up" {
		if mode == "sick" || mode == "hang" {
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
	fmt.Fprintf(w, "%s %d", id, len(body))
}

func (b *box) since() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// Guards requests under load while servers are killed, fall sick, hang and break off
// half-way: each is answered once and in time, none that may have run goes out again
// unless its method allows it, and a server that fails gets nothing new after fall x inter.
func TestFailuresUnderLoad(t *testing.T) {
	const inter, fall = 50 * time.Millisecond, 2
	boxes := make([]*box, 4)
	var servers []dispatchconfig.WebServer
	for i := range boxes {
		boxes[i] = newBox(t)
		servers = append(servers, dispatchconfig.WebServer{Addr: boxes[i].addr})
	}
	c := site(t, servers...)
	c.Backends[0].ServerTimeout, c.Backends[0].ConnectTimeout = 0.8, 0.3
	c.Backends[0].RetryOn = []string{"conn-failure", "empty-response"}
	c.Backends[0].Check = &dispatchconfig.WebCheck{Kind: "http", Method: "GET", URI: "/up", Every: inter.Seconds(), Rise: 2, Fall: fall}
	s, front := serve(t, c)

	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var sent, good, refused, failed, lost, slow atomic.Int64
	for n := range 24 {
		wg.Go(func() {
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
				q, _ := http.NewRequest(method, "http://"+front+"/x", strings.NewReader(strings.Repeat("x", size)))
				q.GetBody = nil // else the library repeats it by itself
				q.Header.Set("X-Id", fmt.Sprintf("%d-%d", n, k))
				began := time.Now()
				sent.Add(1)
				a, err := h.Do(q)
				if time.Since(began) > 3*time.Second {
					slow.Add(1)
				}
				if err != nil {
					lost.Add(1)
					continue
				}
				body, err := io.ReadAll(a.Body)
				a.Body.Close()
				switch {
				case err != nil: // it broke off, as the server did
					failed.Add(1)
				case a.StatusCode == 200 && string(body) == fmt.Sprintf("%s %d", q.Header.Get("X-Id"), size):
					good.Add(1)
				case a.StatusCode == 503:
					refused.Add(1)
				case a.StatusCode == 502 || a.StatusCode == 504:
					failed.Add(1)
				default:
					t.Errorf("%d %q", a.StatusCode, body)
				}
			}
		})
	}
	state := func(i int, want string) time.Duration {
		t.Helper()
		began := time.Now()
		until(t, fmt.Sprintf("server %d %s", i, want), func() bool { return s.Status()[i].State == want })
		return time.Since(began)
	}
	time.Sleep(200 * time.Millisecond)
	var report []string
	for i, how := range []string{"sick", "hang", "cut", "kill"} {
		b := boxes[i]
		began := time.Now()
		if how == "kill" {
			b.kill()
		} else {
			b.mode.Store(how)
		}
		if how == "cut" { // its checks pass while its answers break off: told to the clients, not hidden
			time.Sleep(200 * time.Millisecond)
		} else {
			took := state(i, "down")
			time.Sleep(50 * time.Millisecond)
			last := max(0, b.since().Sub(began))
			report = append(report, fmt.Sprintf("%s: down after %v, last new request %v after", how, took.Round(time.Millisecond), last.Round(time.Millisecond)))
			if most := fall*inter*3/2 + 100*time.Millisecond; how != "kill" && last > most {
				t.Errorf("%s: a new request %v after, %v at most", how, last, most)
			}
		}
		if how == "kill" {
			b.revive(t)
		} else {
			b.mode.Store("good")
		}
		state(i, "up")
	}
	time.Sleep(200 * time.Millisecond)
	stop()
	wg.Wait()
	again := map[string]int{}
	for _, b := range boxes {
		b.mu.Lock()
		for id, n := range b.runs {
			again[id] += n
		}
		b.mu.Unlock()
	}
	repeats := 0
	for id, n := range again {
		if n > 1 && strings.HasPrefix(id, "POST") {
			t.Errorf("%s ran %d times", id, n)
		}
		if n > 1 {
			repeats++
		}
	}
	if slow.Load() > 0 || good.Load() < sent.Load()*8/10 {
		t.Errorf("of %d: %d good, %d slow", sent.Load(), good.Load(), slow.Load())
	}
	if lost.Load() > 0 {
		t.Errorf("%d requests got no answer", lost.Load())
	}
	until(t, "all rooms", func() bool {
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
