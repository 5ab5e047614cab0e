package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sedgevale"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/evloop"
	"sedgevale/internal/fdlimit"
	"sedgevale/internal/testkit"
)

type client chan dispatch.Answer

func (client) Started()                   {}
func (client) Progress(float64)           {}
func (c client) Answer(a dispatch.Answer) { c <- a }

var classes = []sedgevale.Class{
	{Name: "once", Effect: sedgevale.Unsafe, Aim: 3 * time.Second, Limit: 3 * time.Second},
	{Name: "free", Aim: 3 * time.Second, Limit: 3 * time.Second},
}

// begin runs a pool and a planner that know one worker.
func begin(t *testing.T, addr string, idle time.Duration) (*Pool, *dispatch.Planner, dispatch.Clock) {
	t.Helper()
	return beginWith(t, addr, idle, func(*sedgevale.Settings) {})
}

// beginWith is begin with other settings.
func beginWith(t *testing.T, addr string, idle time.Duration, set func(*sedgevale.Settings)) (*Pool, *dispatch.Planner, dispatch.Clock) {
	t.Helper()
	settings := sedgevale.Settings{MaxAttempts: 3, MayCancel: true, Classes: classes}
	set(&settings)
	log := slog.New(slog.DiscardHandler)
	loop, err := evloop.New(log)
	if err != nil {
		t.Fatal(err)
	}
	clock := dispatch.NewClock()
	pool := New(Options{DialTimeout: time.Minute, IdleClose: idle, Host: "h", Clock: clock, Loop: loop,
		Budget: fdlimit.New(0), Log: log})
	planner, err := dispatch.NewPlanner(settings, 1, clock, pool, func() {}, log)
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
	pool.Members(true, []Member{{ID: "w", Addr: addr, Ready: true}})
	planner.Members(sedgevale.ListWhole, []sedgevale.WorkerInfo{{Worker: "w"}})
	return pool, planner, clock
}

// Guards against a first byte long after the drain was told: a connection that
// comes up late is no reason to send. The job never ran, so it is refused. What
// an operator takes out is no other.
func TestDrainEndsWhatIsBeingDialled(t *testing.T) {
	t.Run("drain", func(t *testing.T) {
		endsWhatIsBeingDialled(t, func(pool *Pool, planner *dispatch.Planner, addr string) {
			pool.Members(false, []Member{{ID: "w", Addr: addr}})
			planner.Members(sedgevale.ListPatch, []sedgevale.WorkerInfo{{Worker: "w", State: sedgevale.Leaving}})
		})
	})
	t.Run("cordon", func(t *testing.T) {
		endsWhatIsBeingDialled(t, func(pool *Pool, planner *dispatch.Planner, addr string) {
			planner.Cordon("w", true, func(bool) {})
			pool.Cordon("w", true, func() {})
			pool.Members(true, []Member{{ID: "w", Addr: addr, Ready: true}})
		})
	})
}

func endsWhatIsBeingDialled(t *testing.T, leave func(*Pool, *dispatch.Planner, string)) {
	t.Helper()
	addr, _ := late(t)
	pool, planner, clock := begin(t, addr, 0)
	answers := make(client, 1)
	planner.Request(dispatch.NewExchange(dispatch.Job{ID: "a", Class: &classes[0], Tenant: -1, Method: "POST", Target: "/once"},
		clock.Now()+3*time.Second, answers))
	dialling(t, pool, "w")
	leave(pool, planner, addr)
	if a := testkit.Await(t, "the answer", answers); a.Kind != dispatch.Refused {
		t.Errorf("%+v", a)
	}
}

// Guards against plan changes that are lost for good because they were written to
// kept connections which the other side has forgotten: once those are seen to
// break, what must not run twice goes on a new one. What may is still sent on them.
func TestSingleJobsAvoidConnectionsThatBreak(t *testing.T) {
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
				c.Close()
				return
			}
			line := fmt.Sprintf(`{"id":%q,"state":"done","result":"r"}`, id)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
		}
	})
	_, planner, clock := begin(t, addr, 0)
	for _, job := range []struct {
		id    string
		class int
		want  []int
	}{{"a", 1, []int{1}}, {"b", 1, []int{2, 1}}, {"c", 1, []int{2, 1}}, {"d", 0, []int{1}}, {"e", 1, []int{2, 2, 1}}} {
		answers := make(client, 1)
		planner.Request(dispatch.NewExchange(dispatch.Job{ID: job.id, Class: &classes[job.class], Tenant: -1, Method: "POST", Target: "/x"},
			clock.Now()+3*time.Second, answers))
		if a := testkit.Await(t, "the answer", answers); a.Kind != dispatch.Served {
			t.Errorf("%s: %+v", job.id, a)
		}
		for _, want := range job.want {
			if got := testkit.Await(t, "an attempt", arrivals); got != (arrival{job.id, want}) {
				t.Errorf("%+v, want %s as number %d", got, job.id, want)
			}
		}
	}
}

// Guards against requests that cross a worker's closing of an idle connection:
// this side closes first.
func TestIdleConnectionsAreClosedFirst(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const idle = 3 * time.Second
	_, planner, clock := begin(t, l.Addr().String(), idle)
	answers := make(client, 1)
	planner.Request(dispatch.NewExchange(dispatch.Job{ID: "a", Class: &classes[0], Tenant: -1, Method: "POST", Target: "/once"},
		clock.Now()+3*time.Second, answers))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	buf := make([]byte, 4096)
	if n, err := c.Read(buf); err != nil || !strings.HasPrefix(string(buf[:n]), "POST /once HTTP/1.1\r\n") {
		t.Errorf("%q, error %v", buf[:n], err)
	}
	const line = `{"id":"a","state":"done","result":"r"}`
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n"+line); err != nil || len(line) != 38 {
		t.Fatal(len(line), err)
	}
	if a := testkit.Await(t, "the answer", answers); a.Kind != dispatch.Served || string(a.Result) != "r" {
		t.Errorf("%+v", a)
	}
	_ = c.SetReadDeadline(time.Now().Add(idle))
	if _, err := c.Read(buf); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
}
