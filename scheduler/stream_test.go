package scheduler_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/testkit"
)

// event is one server-sent event.
type event struct{ id, name, data, retry string }

func (e event) final() bool { return e.name == "result" || e.name == "refused" || e.name == "failed" }

func (e event) field(t *testing.T, name string) any {
	t.Helper()
	var m map[string]any
	if err := json.Unmarshal([]byte(e.data), &m); err != nil {
		t.Fatalf("%s: %v", e.data, err)
	}
	return m[name]
}

// stream is a subscriber's connection.
type stream struct {
	t      *testing.T
	status int
	body   io.ReadCloser
	events chan event // closed at the end of the stream
	leave  context.CancelFunc
}

func subscribe(t *testing.T, method, addr, class string, fields ...string) *stream {
	t.Helper()
	ctx, leave := context.WithCancel(context.Background())
	t.Cleanup(leave)
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+class, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Accept", "text/event-stream")
	q.Header.Set("Tenant", "co-op")
	if class == "bill-pay" {
		q.Header.Set("Idempotency-Key", "key-1")
	}
	for i := 0; i < len(fields); i += 2 {
		q.Header.Set(fields[i], fields[i+1])
	}
	a, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		t.Fatal(err)
	}
	s := &stream{t: t, status: a.StatusCode, body: a.Body, events: make(chan event, 256), leave: leave}
	go s.read()
	t.Cleanup(func() { _ = a.Body.Close() })
	return s
}

func (s *stream) read() {
	defer close(s.events)
	var e event
	for lines := bufio.NewScanner(s.body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			e.id = value
		case "event":
			e.name = value
		case "data":
			e.data = value
		case "retry":
			e.retry = value
		case "":
			if e != (event{}) {
				s.events <- e
			}
			e = event{}
		}
	}
}

// until reads up to the event of that name.
func (s *stream) until(name string) event {
	s.t.Helper()
	for {
		e := testkit.Await(s.t, name, s.events)
		if e.name == name {
			return e
		}
		if e.name == "" || e.final() {
			s.t.Fatalf("%q %s came instead of %s", e.name, e.data, name)
		}
	}
}

// rest reads to the end of the stream and returns its only final event.
func (s *stream) rest() (last event, names []string) {
	s.t.Helper()
	finals := 0
	for {
		e := testkit.Await(s.t, "the end of the stream", s.events)
		if e.name == "" {
			break
		}
		if e.final() {
			finals++
		}
		last = e
		names = append(names, e.name)
	}
	if finals != 1 || !last.final() {
		s.t.Errorf("%d final events in %v", finals, names)
	}
	return last, names
}

// Each class: all events in order, one final, and 204 for a client that has it.
func TestStreamOfEachClass(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	for _, class := range []string{"usage-view", "plan-change", "bill-pay"} {
		s := subscribe(t, "POST", c.sse, class, "Request-Id", "id-"+class)
		r := f.next()
		if r.body != "body" || r.id != "id-"+class {
			t.Errorf("the worker got %q of %q", r.body, r.id)
		}
		r.write(`"state":"started"`)
		r.write(`"state":"running","share":0.4`)
		r.finish("line\n\"quoted\"")
		last, names := s.rest()
		if got := strings.Join(names, " "); got != "accepted started progress result" {
			t.Errorf("%s: %s", class, got)
		}
		if got := last.field(t, "result"); got != "line\n\"quoted\"" {
			t.Errorf("result %q", got)
		}
		if again := subscribe(t, "GET", c.sse, class, "Last-Event-ID", last.id); again.status != 204 {
			t.Errorf("%s: resumed after the final event with %d", class, again.status)
		}
		if n := f.count(class); n != 1 {
			t.Errorf("%s ran %d times", class, n)
		}
	}
}

// A worker that drains in the middle of a stream: the stream goes on to its one
// final event from there, and nothing new goes to that worker.
func TestStreamOverDrain(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	s := subscribe(t, "POST", c.sse, "plan-change")
	r := f.next()
	r.write(`"state":"started"`)
	s.until("started")
	f.setPhase(r.worker, "draining")
	before := f.count(r.worker)
	for range 6 {
		other := subscribe(t, "POST", c.sse, "usage-view")
		f.next().finish("elsewhere")
		if last, _ := other.rest(); last.name != "result" {
			t.Errorf("%s %s", last.name, last.data)
		}
	}
	if n := f.count(r.worker); n != before {
		t.Errorf("the draining worker got %d more jobs", n-before)
	}
	r.write(`"state":"running","share":0.9`)
	r.finish("drained")
	if last, _ := s.rest(); last.name != "result" || last.field(t, "result") != "drained" {
		t.Errorf("%s %s", last.name, last.data)
	}
	if n := f.count("plan-change"); n != 1 {
		t.Errorf("plan-change ran %d times", n)
	}
}

// A subscriber that loses its connection does not end the job, and gets what
// it has missed.
func TestStreamResumes(t *testing.T) {
	f := newFleet(t, "w")
	c := startChild(t, f)
	s := subscribe(t, "POST", c.sse, "plan-change")
	r := f.next()
	r.write(`"state":"started"`)
	had := s.until("started")
	s.leave()
	r.write(`"state":"running","share":0.5`)
	r.finish("kept")
	back := subscribe(t, "GET", c.sse, "plan-change", "Last-Event-ID", had.id)
	last, names := back.rest()
	if got := strings.Join(names, " "); got != "progress result" || last.field(t, "result") != "kept" {
		t.Errorf("resumed with %s, %s", got, last.data)
	}
	// A second device that asks by the request's id gets all from the start.
	all := subscribe(t, "GET", c.sse, "plan-change", "Request-Id", r.id)
	if _, names := all.rest(); strings.Join(names, " ") != "accepted started progress result" {
		t.Errorf("from the start: %v", names)
	}
	if twice := subscribe(t, "POST", c.sse, "plan-change", "Request-Id", r.id); twice.status != 409 {
		t.Errorf("the same id again: %d", twice.status)
	}
	if n := f.count("plan-change"); n != 1 {
		t.Errorf("plan-change ran %d times", n)
	}
}

// A client that comes back with its last event id after the scheduler was
// killed and started again: one final event that says that the outcome is unknown, and
// nothing runs a second time.
func TestStreamOverRestart(t *testing.T) {
	f := newFleet(t, "w")
	c := startChild(t, f)
	had := map[string]event{}
	for _, class := range []string{"plan-change", "usage-view"} {
		s := subscribe(t, "POST", c.sse, class, "Request-Id", "id-"+class)
		f.next().write(`"state":"started"`)
		had[class] = s.until("started")
	}
	c.kill()
	c.start()
	for class, safe := range map[string]bool{"plan-change": false, "usage-view": true} {
		back := subscribe(t, "GET", c.sse, class, "Last-Event-ID", had[class].id)
		last, names := back.rest()
		if len(names) != 1 || last.name != "failed" || last.field(t, "outcome") != "unknown" ||
			last.field(t, "repeat_safe") != safe {
			t.Errorf("%s: %v %s", class, names, last.data)
		}
		if again := subscribe(t, "GET", c.sse, class, "Last-Event-ID", last.id); again.status != 204 {
			t.Errorf("%s: came back after the final event: %d", class, again.status)
		}
	}
	// The safe one may be posted again. Its id now stands for two jobs, of which
	// the first is still not known.
	s := subscribe(t, "POST", c.sse, "usage-view", "Request-Id", "id-usage-view")
	f.next().finish("second")
	if last, _ := s.rest(); last.name != "result" {
		t.Errorf("%s %s", last.name, last.data)
	}
	back := subscribe(t, "GET", c.sse, "usage-view", "Last-Event-ID", had["usage-view"].id)
	if last, _ := back.rest(); last.name != "failed" {
		t.Errorf("the first job came back as %s %s", last.name, last.data)
	}
	if n := f.count("plan-change"); n != 1 {
		t.Errorf("plan-change ran %d times", n)
	}
}

// The deadline: a worker that sends nothing more. The final event is there before the
// client's timeout, and says that the job may have run.
func TestStreamDeadline(t *testing.T) {
	f := newFleet(t, "w")
	c := startChild(t, f)
	sent := time.Now()
	s := subscribe(t, "POST", c.sse, "plan-change", "Request-Timeout", "700m")
	r := f.next()
	r.write(`"state":"started"`)
	last, _ := s.rest()
	if took := time.Since(sent); took > 700*time.Millisecond || last.name != "failed" ||
		last.field(t, "repeat_safe") != false {
		t.Errorf("after %v: %s %s", took, last.name, last.data)
	}
	testkit.Await(t, "the worker's connection to close", r.canceled)
	if n := f.count("plan-change"); n != 1 {
		t.Errorf("plan-change ran %d times", n)
	}
}

// Without any worker the module rejects, when it sees fit, and with a retry delay.
func TestStreamRefused(t *testing.T) {
	f := newFleet(t)
	c := startChild(t, f)
	s := subscribe(t, "POST", c.sse, "bill-pay", "Request-Timeout", "900m")
	if last, _ := s.rest(); last.name != "refused" || last.retry == "" {
		t.Errorf("%s %s, retry %q", last.name, last.data, last.retry)
	}
}

// A worker that dies with a job: the idempotent job runs again elsewhere, plan-change
// does not.
func TestStreamOfLostWorker(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	s := subscribe(t, "POST", c.sse, "plan-change")
	r := f.next()
	r.write(`"state":"started"`)
	s.until("started")
	close(r.abort)
	if last, _ := s.rest(); last.name != "failed" || last.field(t, "outcome") != "unknown" ||
		last.field(t, "repeat_safe") != false {
		t.Errorf("%s %s", last.name, last.data)
	}
	s = subscribe(t, "POST", c.sse, "usage-view")
	r = f.next()
	r.write(`"state":"started"`)
	s.until("started")
	close(r.abort)
	f.next().finish("again")
	if last, _ := s.rest(); last.name != "result" || last.field(t, "result") != "again" {
		t.Errorf("%s %s", last.name, last.data)
	}
	if p, u := f.count("plan-change"), f.count("usage-view"); p != 1 || u != 2 {
		t.Errorf("plan-change ran %d times, usage-view %d", p, u)
	}
}

// What is no stream is answered at once; a silent stream has heartbeats.
func TestStreamRejectsAndHeartbeats(t *testing.T) {
	f := newFleet(t, "w")
	c := startChild(t, f)
	for _, q := range []struct {
		method, class string
		fields        []string
		want          int
	}{
		{"POST", "nothing", nil, 404},
		{"PUT", "usage-view", nil, 405},
		{"POST", "usage-view", []string{"Accept", "application/json"}, 406},
		{"POST", "usage-view", []string{"Tenant", "stranger"}, 400},
		{"POST", "bill-pay", []string{"Idempotency-Key", ""}, 400},
		{"GET", "usage-view", nil, 400},
		{"GET", "usage-view", []string{"Last-Event-ID", "garbage"}, 400},
	} {
		if s := subscribe(t, q.method, c.sse, q.class, q.fields...); s.status != q.want {
			t.Errorf("%s /%s %v: %d, want %d", q.method, q.class, q.fields, s.status, q.want)
		}
	}
	q, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+c.sse+"/usage-view", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Header = http.Header{"Accept": {"text/event-stream"}, "Tenant": {"co-op"}}
	a, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	r := f.next()
	heartbeat := make(chan bool, 1)
	go func() {
		for lines := bufio.NewScanner(a.Body); lines.Scan(); {
			if lines.Text() == ":" {
				heartbeat <- true
				return
			}
		}
	}()
	testkit.Await(t, "a heartbeat", heartbeat)
	r.finish("")
}
