package scheduler_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"sedgevale/internal/testkit"
	"sedgevale/scheduler"
)

// serveOnKeepAlive sends a job on a keep-alive connection, finishes it, and returns its worker.
func serveOnKeepAlive(t *testing.T, f *fleet, conn net.Conn, reader *bufio.Reader, id string) (worker string) {
	t.Helper()
	if err := send(conn, "usage-view", id, 9*time.Second); err != nil {
		t.Errorf("%s: %v", id, err)
	}
	r := f.next()
	r.finish("")
	if a, err := testkit.ReadResponse(reader); err != nil || a.Status != 200 {
		t.Errorf("%s: %+v, error %v", id, a, err)
	}
	return r.worker
}

// Guards against SIGHUP ending the process, against a watch that stays at the old discovery address,
// and against an invalid file that is applied.
func TestReload(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	conn := testkit.Dial(t, c.addr)
	reader := bufio.NewReader(conn)
	serveOnKeepAlive(t, f, conn, reader, "kept-0")
	before := post(c.addr, "/plan-change", job("before")...)
	first := f.next()

	if err := os.WriteFile(c.file, []byte("listen = "), 0o600); err != nil {
		t.Fatal(err)
	}
	c.signal(syscall.SIGHUP)
	c.awaitLog("the new configuration is bad")

	requests := make(chan string, 64)
	c.config.Discovery = f.serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		requests <- q.RequestURI
		f.discover(w, q)
	}))
	c.config.Name = "other"
	c.write()
	c.signal(syscall.SIGHUP)
	if got := testkit.Await(t, "a request at the new discovery address", requests); got != "/v1/endpoints" {
		t.Errorf("first request at the new discovery address is for %s", got)
	}
	c.awaitLog("needs a restart")
	testkit.Await(t, "the watch at the new discovery address", requests)
	f.setPhase("v", "draining")
	for i := range 6 {
		if worker := serveOnKeepAlive(t, f, conn, reader, fmt.Sprint("kept-", i+1)); worker != "w" {
			t.Errorf("job %d went to %s, which is draining", i+1, worker)
		}
	}

	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	checkReloadInDrain(t, c, before, first)
}

// checkReloadInDrain sends SIGTERM and, while the scheduler drains, SIGHUP, and checks that a job in
// flight is answered.
func checkReloadInDrain(t *testing.T, c *child, answer <-chan reply, r *attempt) {
	t.Helper()
	c.signal(syscall.SIGTERM)
	c.awaitLog("draining: answering")
	c.signal(syscall.SIGHUP)
	c.awaitLog("configuration reloaded")
	r.finish("first")
	if a := testkit.Await(t, "the response", answer); a.status != 200 || a.body != "first" {
		t.Errorf("job in flight before the drain: %+v, want 200 with body first", a)
	}
	c.awaitExit()
}

// Verifies reloads with jobs in flight: classes are added, made stricter and removed, and fewer
// attempts are allowed. Jobs accepted before keep their class, also those of event streams, and an
// invalid file changes nothing.
func TestReloadClasses(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	s := openStream(t, "POST", c.sse, "usage-view", "Request-Id", "stream")
	streamed := f.next()
	streamed.write(`"state":"started"`)
	old := post(c.addr, "/usage-view", job("old")...)
	first := f.next()
	first.write(`"state":"started"`)

	classes := c.config.Settings.Classes
	strict := classes[0]
	strict.Idempotency = "single_shot"
	added := classes[0]
	added.Name = "usage-view-ii"
	c.config.Settings.Classes = append([]scheduler.Class{added, strict}, classes[2]) // plan-change is removed
	c.config.Settings.Bounds.MaxAttempts = 2
	c.write()
	c.signal(syscall.SIGHUP)
	c.awaitLog("configuration reloaded")
	if a := testkit.Await(t, "the response", post(c.addr, "/plan-change", job("gone")...)); a.status != 404 {
		t.Errorf("job of a removed class: %+v, want 404", a)
	}
	checkNewClasses(t, f, c, old, first)
	checkInvalidFileRejected(t, f, c)

	s.disconnect()
	c.config.Settings.Classes = classes[1:]
	c.write()
	c.signal(syscall.SIGHUP)
	c.awaitLog("configuration reloaded")
	s = openStream(t, "GET", c.sse, "usage-view", "Request-Id", "stream")
	streamed.finish("streamed")
	if last, _ := s.rest(); last.name != "result" {
		t.Errorf("final event of a stream whose class is removed: %+v, want result", last)
	}
}

// checkNewClasses checks jobs of a class that a reload has added and of one that it has made
// stricter, and a job of the latter that was accepted before: old is its response, first its
// attempt.
func checkNewClasses(t *testing.T, f *fleet, c *child, old <-chan reply, first *attempt) {
	t.Helper()
	got := post(c.addr, "/usage-view-ii", job("new")...)
	f.next().finish("new")
	if a := testkit.Await(t, "the response", got); a.status != 200 || a.body != "new" {
		t.Errorf("job of a new class: %+v, want 200", a)
	}
	got = post(c.addr, "/usage-view", job("strict")...)
	close(f.next().abort)
	if a := testkit.Await(t, "the response", got); a.status != 500 {
		t.Errorf("failed attempt of a class that must no longer run twice: %+v, want 500", a)
	}
	close(first.abort)
	f.next().finish("again") // the class allowed a retry when the job was accepted
	if a := testkit.Await(t, "the response", old); a.status != 200 || a.body != "again" {
		t.Errorf("job accepted before the reload: %+v, want 200 with body again", a)
	}
	// The new limit allows a job of the new class two attempts.
	got = post(c.addr, "/usage-view-ii", job("twice")...)
	close(f.next().abort)
	close(f.next().abort)
	if a := testkit.Await(t, "the response", got); a.status != 503 {
		t.Errorf("after two failed attempts: %+v, want 503", a)
	}
}

// checkInvalidFileRejected checks that a file with an invalid class and another discovery address
// changes neither classes nor discovery.
func checkInvalidFileRejected(t *testing.T, f *fleet, c *child) {
	t.Helper()
	c.config.Settings.Classes = append([]scheduler.Class(nil), c.config.Settings.Classes...)
	c.config.Settings.Classes[0].Name, c.config.Settings.Classes[0].ClientTimeout = "other", -5
	previous := c.config.Discovery
	c.config.Discovery = testkit.RefusingAddr(t)
	c.write()
	c.signal(syscall.SIGHUP)
	c.awaitLog("the new configuration is bad")
	c.config.Discovery = previous
	f.setPhase("w", "ready") // the old discovery is still watched
	got := post(c.addr, "/usage-view-ii", job("kept")...)
	f.next().finish("kept")
	if a := testkit.Await(t, "the response", got); a.status != 200 {
		t.Errorf("after an invalid file: %+v, want 200", a)
	}
}
