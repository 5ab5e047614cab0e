package scheduler_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"sedgevale/internal/discovery"
	"sedgevale/internal/testkit"
)

// reply is the response that a client of the platform's protocol gets.
type reply struct {
	status int
	after  string
	body   string
	last   bool
	err    error
}

// post sends one job on a new connection.
func post(addr, path string, fields ...string) <-chan reply {
	got := make(chan reply, 1)
	go func() {
		q, err := http.NewRequestWithContext(context.Background(), "POST", "http://"+addr+path, strings.NewReader("body"))
		if err != nil {
			got <- reply{err: err}
			return
		}
		for i := 0; i < len(fields); i += 2 {
			q.Header.Set(fields[i], fields[i+1])
		}
		a, err := testkit.RoundTrip(&http.Transport{}, q)
		got <- reply{a.Status, a.Header.Get("Retry-After"), a.Body, a.Last, err}
	}()
	return got
}

// send writes a job without a body to a keep-alive connection.
func send(conn net.Conn, class, id string, timeout time.Duration, fields ...string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nTenant: co-op\r\nRequest-Timeout: %dm\r\n",
		class, id, timeout.Milliseconds())
	for i := 0; i < len(fields); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", fields[i], fields[i+1])
	}
	b.WriteString("Content-Length: 0\r\n\r\n")
	_, err := io.WriteString(conn, b.String())
	return err
}

func job(id string, more ...string) []string {
	return append([]string{"Request-Id", id, "Tenant", "co-op", "Request-Timeout", "9000m"}, more...)
}

// Verifies the platform's protocol end to end: the request that reaches the worker, and each response.
func TestPlatformAPIResponses(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	got := post(c.addr, "/usage-view/a?b=c", job("one")...)
	r := f.next()
	if r.id != "one" || r.body != "body" || r.target != "/usage-view/a?b=c" {
		t.Errorf("the worker got id %q, target %q, body %q", r.id, r.target, r.body)
	}
	r.write(`"state":"started"`)
	r.finish("result")
	if a := testkit.Await(t, "the response", got); a.status != 200 || a.body != "result" || a.last {
		t.Errorf("served: %+v", a)
	}
	got = post(c.addr, "/plan-change", job("two")...)
	f.next().write(`"state":"failed"`)
	if a := testkit.Await(t, "the response", got); a.status != 500 {
		t.Errorf("failed: %+v", a)
	}
	// A response line with another job's ID is rejected. The job may have run, so it is not retried.
	got = post(c.addr, "/plan-change", job("three")...)
	f.next().lines <- `{"id":"two","from":"w","state":"done","result":"not yours"}`
	if a := testkit.Await(t, "the response", got); a.status != 500 || strings.Contains(a.body, "not yours") {
		t.Errorf("after a response line of another job: %+v, want 500 without its result", a)
	}
	// An invalid response line fails only the attempt; the idempotent job is retried.
	got = post(c.addr, "/usage-view", job("four")...)
	f.next().lines <- `{"id":`
	f.next().finish("again")
	if a := testkit.Await(t, "the response", got); a.status != 200 || a.body != "again" {
		t.Errorf("after an invalid response line: %+v", a)
	}
	for _, q := range []struct {
		path   string
		fields []string
		want   int
	}{
		{"/nothing", job("x"), 404},
		{"/usage-view", job("x", "Request-Class", "nothing"), 400},
		{"/usage-view", job("x", "Request-Class", "bill-pay"), 400},
		{"/usage-view", job("x", "Tenant", "stranger"), 400},
		{"/usage-view", job("x", "Request-Timeout", "5s"), 400},
		{"/usage-view", job("x", "Request-Info", "slots=none"), 400},
		{"/usage-view", job(""), 400},
		{"/bill-pay", job("x"), 400},
	} {
		if a := testkit.Await(t, "the response", post(c.addr, q.path, q.fields...)); a.status != q.want || !a.last {
			t.Errorf("%s %v: %+v, want %d", q.path, q.fields, a, q.want)
		}
	}
}

// Without workers the decision module rejects the job with a Retry-After header.
func TestPlatformAPIRejection(t *testing.T) {
	c := startChild(t, newFleet(t))
	a := testkit.Await(t, "the response", post(c.addr, "/usage-view", job("one", "Request-Timeout", "900m")...))
	if after, err := strconv.ParseFloat(a.after, 64); a.status != 503 || err != nil || after <= 0 || after > 2 {
		t.Errorf("%+v, want 503 with a Retry-After of at most 2 s", a)
	}
}

// The attempt of a client that disconnects is cancelled.
func TestPlatformAPIClientDisconnects(t *testing.T) {
	f := newFleet(t, "w")
	c := startChild(t, f)
	conn := testkit.Dial(t, c.addr)
	if err := send(conn, "plan-change", "a", time.Minute); err != nil {
		t.Fatal(err)
	}
	r := f.next()
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	testkit.Await(t, "the cancellation of the attempt", r.canceled)
}

// Guards against requests that are lost at a planned restart: requests accepted before SIGTERM and
// those that arrive afterwards are answered, each response is the last of its connection, and the
// process exits by itself with status 0.
func TestTermination(t *testing.T) {
	f := newFleet(t, "w")
	c := startChild(t, f)
	conn := testkit.Dial(t, c.addr) // opened before SIGTERM
	late := testkit.Dial(t, c.addr) // opened before SIGTERM, used after the scheduler has stopped accepting
	r := bufio.NewReader(late)
	serve := func(conn net.Conn, r *bufio.Reader, id string, last bool) {
		t.Helper()
		if err := send(conn, "usage-view", id, 9*time.Second); err != nil {
			t.Errorf("%s: %v", id, err)
		}
		f.next().finish("third")
		if a, err := testkit.ReadResponse(r); err != nil || a.Status != 200 || a.Last != last {
			t.Errorf("%s: %+v, error %v", id, a, err)
		}
	}
	serve(late, r, "early", false)
	before := post(c.addr, "/plan-change", job("before")...)
	first := f.next()
	first.write(`"state":"started"`) // otherwise the worker is considered busy and gets no further job
	c.signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond) // clients still open new connections
	after := post(c.addr, "/usage-view", job("after")...)
	f.next().finish("second")
	serve(conn, bufio.NewReader(conn), "kept", true)
	var timeout net.Error
	_ = late.SetReadDeadline(time.Now().Add(800 * time.Millisecond))
	if _, err := r.ReadByte(); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("keep-alive connection during the idle grace period: %v, want a read timeout", err)
	}
	_ = late.SetReadDeadline(time.Time{})
	serve(late, r, "late", true)
	first.finish("first")
	for want, got := range map[string]<-chan reply{"first": before, "second": after} {
		if a := testkit.Await(t, "the response", got); a.status != 200 || a.body != want || !a.last {
			t.Errorf("%s: %+v", want, a)
		}
	}
	c.awaitExit()
}

// A plan-change job, which must not run twice, is retried only after a failure that proves that it
// never ran; otherwise it fails.
func TestPlatformAPIWorkerFailures(t *testing.T) {
	f := newFleet(t, "v", "w")
	f.list.Members = append(f.list.Members, discovery.Member{ID: "dead", HostPort: testkit.RefusingAddr(t), Locality: "hut",
		Flavor: "box", Phase: "ready", Size: 1})
	c := startChild(t, f)
	for i := range 8 { // some of the jobs try the worker that refuses connections first
		got := post(c.addr, "/plan-change", job(fmt.Sprint("connect-", i))...)
		f.next().finish("ran")
		if a := testkit.Await(t, "the response", got); a.status != 200 {
			t.Errorf("with a worker that refuses connections: %+v, want 200", a)
		}
	}
	f.respondNext(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Started", "1")
		w.Header().Set("Server-Load", "lat_ms=1,q=9,x0=0")
		w.WriteHeader(503)
	})
	got := post(c.addr, "/plan-change", job("full")...)
	f.next().finish("elsewhere")
	if a := testkit.Await(t, "the response", got); a.status != 200 || a.body != "elsewhere" {
		t.Errorf("after a rejection with Not-Started: %+v, want 200 from the other worker", a)
	}
	for _, status := range []int{500, 503, 418} { // without Not-Started the job may have run
		f.respondNext(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		if a := testkit.Await(t, "the response", post(c.addr, "/plan-change", job(fmt.Sprint("s", status))...)); a.status != 500 {
			t.Errorf("after a worker's status %d: %+v, want 500", status, a)
		}
	}
	f.respondNext(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }) // the response ends without a final line
	if a := testkit.Await(t, "the response", post(c.addr, "/plan-change", job("short")...)); a.status != 500 {
		t.Errorf("after a response without a final line: %+v, want 500", a)
	}
}
