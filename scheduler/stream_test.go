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

// stream is a client's connection with an event stream.
type stream struct {
	t          *testing.T
	status     int
	body       io.ReadCloser
	events     chan event // closed when the stream ends
	disconnect context.CancelFunc
}

func openStream(t *testing.T, method, addr, class string, fields ...string) *stream {
	t.Helper()
	ctx, disconnect := context.WithCancel(context.Background())
	t.Cleanup(disconnect)
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
	s := &stream{t: t, status: a.StatusCode, body: a.Body, events: make(chan event, 256), disconnect: disconnect}
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

// until reads up to the event with that name.
func (s *stream) until(name string) event {
	s.t.Helper()
	for {
		e := testkit.Await(s.t, name, s.events)
		if e.name == name {
			return e
		}
		if e.name == "" || e.final() {
			s.t.Fatalf("got event %q with data %s while waiting for %s", e.name, e.data, name)
		}
	}
}

// rest reads to the end of the stream and returns its last event, which must be its only final one,
// and the names of all events read.
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
		s.t.Errorf("%d final events in %v, want one as the last event", finals, names)
	}
	return last, names
}

// Verifies for each class that a stream has all events in order with one final event, and that a
// client that has received the final event gets 204.
func TestStreamEvents(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	for _, class := range []string{"usage-view", "plan-change", "bill-pay"} {
		s := openStream(t, "POST", c.sse, class, "Request-Id", "id-"+class)
		r := f.next()
		if r.body != "body" || r.id != "id-"+class {
			t.Errorf("the worker got body %q with id %q", r.body, r.id)
		}
		r.write(`"state":"started"`)
		r.write(`"state":"running","share":0.4`)
		r.finish("line\n\"quoted\"")
		last, names := s.rest()
		if got := strings.Join(names, " "); got != "accepted started progress result" {
			t.Errorf("events of %s: %s", class, got)
		}
		if got := last.field(t, "result"); got != "line\n\"quoted\"" {
			t.Errorf("result is %q", got)
		}
		if resumed := openStream(t, "GET", c.sse, class, "Last-Event-ID", last.id); resumed.status != 204 {
			t.Errorf("%s: resumed after the final event: status %d, want 204", class, resumed.status)
		}
		if n := f.count(class); n != 1 {
			t.Errorf("%s ran %d times", class, n)
		}
	}
}

// A worker that starts to drain in the middle of a stream finishes the stream's job, and gets no new
// jobs.
func TestStreamOfDrainingWorker(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	s := openStream(t, "POST", c.sse, "plan-change")
	r := f.next()
	r.write(`"state":"started"`)
	s.until("started")
	f.setPhase(r.worker, "draining")
	before := f.count(r.worker)
	for range 6 {
		other := openStream(t, "POST", c.sse, "usage-view")
		f.next().finish("elsewhere")
		if last, _ := other.rest(); last.name != "result" {
			t.Errorf("stream at the other worker ended with %s %s, want result", last.name, last.data)
		}
	}
	if n := f.count(r.worker); n != before {
		t.Errorf("the draining worker got %d more jobs", n-before)
	}
	r.write(`"state":"running","share":0.9`)
	r.finish("drained")
	if last, _ := s.rest(); last.name != "result" || last.field(t, "result") != "drained" {
		t.Errorf("stream at the draining worker ended with %s %s, want result", last.name, last.data)
	}
	if n := f.count("plan-change"); n != 1 {
		t.Errorf("plan-change ran %d times", n)
	}
}

// A client that loses its connection does not end the job, and gets the missed events when it
// reconnects.
func TestStreamResumes(t *testing.T) {
	f := newFleet(t, "w")
	c := startChild(t, f)
	s := openStream(t, "POST", c.sse, "plan-change")
	r := f.next()
	r.write(`"state":"started"`)
	had := s.until("started")
	s.disconnect()
	r.write(`"state":"running","share":0.5`)
	r.finish("kept")
	back := openStream(t, "GET", c.sse, "plan-change", "Last-Event-ID", had.id)
	last, names := back.rest()
	if got := strings.Join(names, " "); got != "progress result" || last.field(t, "result") != "kept" {
		t.Errorf("resumed stream has events %s and last data %s", got, last.data)
	}
	// A second client that connects with the request's ID gets all events from the start.
	all := openStream(t, "GET", c.sse, "plan-change", "Request-Id", r.id)
	if _, names := all.rest(); strings.Join(names, " ") != "accepted started progress result" {
		t.Errorf("events from the start: %v", names)
	}
	if twice := openStream(t, "POST", c.sse, "plan-change", "Request-Id", r.id); twice.status != 409 {
		t.Errorf("second job with the same ID: status %d, want 409", twice.status)
	}
	if n := f.count("plan-change"); n != 1 {
		t.Errorf("plan-change ran %d times", n)
	}
}

// A client that reconnects with its last event ID after the scheduler was killed and restarted gets
// one final event with an unknown outcome, and the job does not run a second time.
func TestStreamAfterRestart(t *testing.T) {
	f := newFleet(t, "w")
	c := startChild(t, f)
	had := map[string]event{}
	for _, class := range []string{"plan-change", "usage-view"} {
		s := openStream(t, "POST", c.sse, class, "Request-Id", "id-"+class)
		f.next().write(`"state":"started"`)
		had[class] = s.until("started")
	}
	c.kill()
	c.start()
	for class, safe := range map[string]bool{"plan-change": false, "usage-view": true} {
		back := openStream(t, "GET", c.sse, class, "Last-Event-ID", had[class].id)
		last, names := back.rest()
		if len(names) != 1 || last.name != "failed" || last.field(t, "outcome") != "unknown" ||
			last.field(t, "repeat_safe") != safe {
			t.Errorf("%s: events %v with last data %s", class, names, last.data)
		}
		if resumed := openStream(t, "GET", c.sse, class, "Last-Event-ID", last.id); resumed.status != 204 {
			t.Errorf("%s: resumed after the final event: status %d, want 204", class, resumed.status)
		}
	}
	// The client may submit the idempotent job again. The outcome of the first job with the same
	// ID remains unknown.
	s := openStream(t, "POST", c.sse, "usage-view", "Request-Id", "id-usage-view")
	f.next().finish("second")
	if last, _ := s.rest(); last.name != "result" {
		t.Errorf("resubmitted job ended with %s %s, want result", last.name, last.data)
	}
	back := openStream(t, "GET", c.sse, "usage-view", "Last-Event-ID", had["usage-view"].id)
	if last, _ := back.rest(); last.name != "failed" {
		t.Errorf("stream of the first job ended with %s %s, want failed", last.name, last.data)
	}
	if n := f.count("plan-change"); n != 1 {
		t.Errorf("plan-change ran %d times", n)
	}
}

// The job of a worker that stops responding ends at its deadline: the final event arrives before the
// client's timeout and says that the job may have run.
func TestStreamDeadline(t *testing.T) {
	f := newFleet(t, "w")
	c := startChild(t, f)
	sent := time.Now()
	s := openStream(t, "POST", c.sse, "plan-change", "Request-Timeout", "700m")
	r := f.next()
	r.write(`"state":"started"`)
	last, _ := s.rest()
	if elapsed := time.Since(sent); elapsed > 700*time.Millisecond || last.name != "failed" ||
		last.field(t, "repeat_safe") != false {
		t.Errorf("final event after %v: %s %s, want failed within 700ms", elapsed, last.name, last.data)
	}
	testkit.Await(t, "the worker's connection to close", r.canceled)
	if n := f.count("plan-change"); n != 1 {
		t.Errorf("plan-change ran %d times", n)
	}
}

// Without any worker the decision module rejects the job with a retry delay.
func TestStreamRejectedWithoutWorkers(t *testing.T) {
	f := newFleet(t)
	c := startChild(t, f)
	s := openStream(t, "POST", c.sse, "bill-pay", "Request-Timeout", "900m")
	if last, _ := s.rest(); last.name != "refused" || last.retry == "" {
		t.Errorf("stream ended with %s %s and retry %q, want refused with a retry delay", last.name, last.data, last.retry)
	}
}

// After a worker fails with a job, an idempotent job is retried at another worker and a plan-change
// job is not.
func TestStreamOfLostWorker(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	s := openStream(t, "POST", c.sse, "plan-change")
	r := f.next()
	r.write(`"state":"started"`)
	s.until("started")
	close(r.abort)
	if last, _ := s.rest(); last.name != "failed" || last.field(t, "outcome") != "unknown" ||
		last.field(t, "repeat_safe") != false {
		t.Errorf("plan-change ended with %s %s, want failed with an unknown outcome", last.name, last.data)
	}
	s = openStream(t, "POST", c.sse, "usage-view")
	r = f.next()
	r.write(`"state":"started"`)
	s.until("started")
	close(r.abort)
	f.next().finish("again")
	if last, _ := s.rest(); last.name != "result" || last.field(t, "result") != "again" {
		t.Errorf("usage-view ended with %s %s, want result again", last.name, last.data)
	}
	if p, u := f.count("plan-change"), f.count("usage-view"); p != 1 || u != 2 {
		t.Errorf("plan-change ran %d times and usage-view %d times, want 1 and 2", p, u)
	}
}

// Invalid stream requests are rejected immediately, and a stream without events has heartbeats.
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
		if s := openStream(t, q.method, c.sse, q.class, q.fields...); s.status != q.want {
			t.Errorf("%s /%s %v: status %d, want %d", q.method, q.class, q.fields, s.status, q.want)
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
