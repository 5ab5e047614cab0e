package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/evloop"
	"sedgevale/internal/fdlimit"
	"sedgevale/internal/testkit"
)

// client receives the answer to a request.
type client chan dispatchdriver.Response

func (client) Started()                            {}
func (client) Progress(float64)                    {}
func (c client) Respond(a dispatchdriver.Response) { c <- a }

var classes = []dispatcher.Class{
	{Name: "once", Idempotency: dispatcher.NotIdempotent, LatencyTarget: 3 * time.Second, ClientTimeout: 3 * time.Second},
	{Name: "free", LatencyTarget: 3 * time.Second, ClientTimeout: 3 * time.Second},
}

// mustClose closes a listener or connection and fails the test on an error.
func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// writeDone writes the response of a worker that has served a request, with the result "r".
func writeDone(t *testing.T, w io.Writer, id string) {
	t.Helper()
	line := fmt.Sprintf(`{"id":%q,"state":"done","result":"r"}`, id)
	if _, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line); err != nil {
		t.Error(err)
	}
}

// newTestPool runs a pool and a planner with one worker, "w", at addr.
func newTestPool(t *testing.T, addr string, idle time.Duration) (*Pool, *dispatchdriver.Planner, dispatchdriver.Clock) {
	t.Helper()
	return newTestPoolWithSettings(t, addr, idle, func(*dispatcher.Settings) {})
}

// newTestPoolWithSettings is like newTestPool, with settings that set changes.
func newTestPoolWithSettings(t *testing.T, addr string, idle time.Duration, set func(*dispatcher.Settings)) (*Pool, *dispatchdriver.Planner, dispatchdriver.Clock) {
	t.Helper()
	settings := dispatcher.Settings{MaxAttempts: 3, AllowCancel: true, Classes: classes}
	set(&settings)
	log := slog.New(slog.DiscardHandler)
	loop, err := evloop.New(log)
	if err != nil {
		t.Fatal(err)
	}
	clock := dispatchdriver.NewClock()
	pool := New(Options{DialTimeout: time.Minute, IdleTimeout: idle, Host: "h", Clock: clock, Loop: loop,
		Descriptors: fdlimit.New(0), Log: log})
	planner, err := dispatchdriver.NewPlanner(settings, 1, clock, pool, func() {}, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go planner.Run(ctx)
	go pool.Run(ctx)
	t.Cleanup(func() {
		stop()
		if err := loop.Stop(); err != nil {
			t.Error(err)
		}
	})
	pool.UpdateMembers(true, []Member{{ID: "w", Addr: addr, Ready: true}})
	planner.WorkersUpdated(dispatcher.UpdateFull, []dispatcher.WorkerInfo{{Name: "w"}})
	return pool, planner, clock
}

// Guards against a request that is sent long after its worker is known to drain, over a connection that was established late.
// The request was never sent, so it must be rejected. The same holds for a cordoned worker.
func TestDrainCancelsDials(t *testing.T) {
	t.Run("drain", func(t *testing.T) {
		checkDialsAreCancelled(t, func(pool *Pool, planner *dispatchdriver.Planner, addr string) {
			pool.UpdateMembers(false, []Member{{ID: "w", Addr: addr}})
			planner.WorkersUpdated(dispatcher.UpdateDelta, []dispatcher.WorkerInfo{{Name: "w", State: dispatcher.Draining}})
		})
	})
	t.Run("cordon", func(t *testing.T) {
		checkDialsAreCancelled(t, func(pool *Pool, planner *dispatchdriver.Planner, addr string) {
			planner.Cordon("w", true, func(bool) {})
			pool.Cordon("w", true, func() {})
			pool.UpdateMembers(true, []Member{{ID: "w", Addr: addr, Ready: true}})
		})
	})
}

// checkDialsAreCancelled checks that a request is rejected if makeUnavailable is called during the dial.
func checkDialsAreCancelled(t *testing.T, makeUnavailable func(*Pool, *dispatchdriver.Planner, string)) {
	t.Helper()
	addr, _ := listenWithFullBacklog(t)
	pool, planner, clock := newTestPool(t, addr, 0)
	answers := make(client, 1)
	planner.SubmitRequest(dispatchdriver.NewExchange(dispatchdriver.Job{ID: "a", Class: &classes[0], Tenant: -1, Method: "POST", Target: "/once"},
		clock.Now()+3*time.Second, answers))
	awaitDial(t, pool, "w")
	makeUnavailable(pool, planner, addr)
	if a := testkit.Await(t, "the answer", answers); a.Kind != dispatchdriver.Rejected {
		t.Errorf("%+v", a)
	}
}

// Guards against requests that are lost on reused connections whose state the worker has lost. After such connections have
// broken, a request that is not idempotent gets a new connection; others are still sent over reused ones.
func TestNonIdempotentRequestsAvoidBreakingConnections(t *testing.T) {
	type arrival struct {
		id  string
		nth int // on its connection
	}
	arrivals := make(chan arrival, 16)
	addr := testkit.Accept(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for n := 1; ; n++ {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := q.Header.Get("Request-Id")
			arrivals <- arrival{id, n}
			if n > 1 {
				_ = c.(*net.TCPConn).SetLinger(0) // a reset
				mustClose(t, c)
				return
			}
			writeDone(t, c, id)
		}
	})
	_, planner, clock := newTestPool(t, addr, 0)
	for _, job := range []struct {
		id    string
		class int
		want  []int
	}{{"a", 1, []int{1}}, {"b", 1, []int{2, 1}}, {"c", 1, []int{2, 1}}, {"d", 0, []int{1}}, {"e", 1, []int{2, 2, 1}}} {
		answers := make(client, 1)
		planner.SubmitRequest(dispatchdriver.NewExchange(dispatchdriver.Job{ID: job.id, Class: &classes[job.class], Tenant: -1, Method: "POST", Target: "/x"},
			clock.Now()+3*time.Second, answers))
		if a := testkit.Await(t, "the answer", answers); a.Kind != dispatchdriver.Served {
			t.Errorf("%s: %+v", job.id, a)
		}
		for _, want := range job.want {
			if got := testkit.Await(t, "an attempt", arrivals); got != (arrival{job.id, want}) {
				t.Errorf("arrival %+v, want %s as request %d on its connection", got, job.id, want)
			}
		}
	}
}

// Guards against requests that are sent while the worker closes the idle connection: the pool must close idle connections
// before the worker's idle timeout.
func TestIdleConnectionsAreClosedFirst(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, l)
	const idle = 3 * time.Second
	_, planner, clock := newTestPool(t, l.Addr().String(), idle)
	answers := make(client, 1)
	planner.SubmitRequest(dispatchdriver.NewExchange(dispatchdriver.Job{ID: "a", Class: &classes[0], Tenant: -1, Method: "POST", Target: "/once"},
		clock.Now()+3*time.Second, answers))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, c)
	buf := make([]byte, 4096)
	if n, err := c.Read(buf); err != nil || !strings.HasPrefix(string(buf[:n]), "POST /once HTTP/1.1\r\n") {
		t.Errorf("%q, error %v", buf[:n], err)
	}
	const line = `{"id":"a","state":"done","result":"r"}`
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n"+line); err != nil || len(line) != 38 {
		t.Fatal(len(line), err)
	}
	if a := testkit.Await(t, "the answer", answers); a.Kind != dispatchdriver.Served || string(a.Result) != "r" {
		t.Errorf("%+v", a)
	}
	_ = c.SetReadDeadline(time.Now().Add(idle))
	if _, err := c.Read(buf); !errors.Is(err, io.EOF) {
		t.Errorf("the pool has not closed the idle connection: read error %v", err)
	}
}
