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

// serveOnKept has a job served on a connection that is kept, and returns the worker.
func serveOnKept(t *testing.T, f *fleet, conn net.Conn, kept *bufio.Reader, id string) (worker string) {
	t.Helper()
	if err := send(conn, "usage-view", id, 9*time.Second); err != nil {
		t.Errorf("%s: %v", id, err)
	}
	r := f.next()
	r.finish("")
	if a, err := testkit.ReadResponse(kept); err != nil || a.Status != 200 {
		t.Errorf("%s: %+v, error %v", id, a, err)
	}
	return r.worker
}

// Guards against a process that SIGHUP ends; against a watch that stays at the discovery
// of the former file; and against an invalid file that is applied.
func TestReload(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	conn := testkit.Dial(t, c.addr)
	kept := bufio.NewReader(conn)
	serveOnKept(t, f, conn, kept, "kept-0")
	before := post(c.addr, "/plan-change", job("before")...)
	first := f.next()

	if err := os.WriteFile(c.file, []byte("listen = "), 0o600); err != nil {
		t.Fatal(err)
	}
	c.signal(syscall.SIGHUP)
	c.awaitLog("the new configuration is bad")

	asked := make(chan string, 64)
	c.config.Discovery = f.serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked <- q.RequestURI
		f.discover(w, q)
	}))
	c.config.Name = "other"
	c.write()
	c.signal(syscall.SIGHUP)
	if got := testkit.Await(t, "a call at the new address", asked); got != "/v1/endpoints" {
		t.Errorf("first asked %s", got)
	}
	c.awaitLog("needs a restart")
	testkit.Await(t, "the watch at the new address", asked)
	f.setPhase("v", "draining")
	for i := range 6 {
		if worker := serveOnKept(t, f, conn, kept, fmt.Sprint("kept-", i+1)); worker != "w" {
			t.Errorf("job %d went to %s, which drains", i+1, worker)
		}
	}

	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	checkReloadInDrain(t, c, before, first)
}

// checkReloadInDrain ends a scheduler, has it reload while it drains, and checks that a job in
// flight, with its attempt, is answered.
func checkReloadInDrain(t *testing.T, c *child, answer <-chan reply, r *attempt) {
	t.Helper()
	c.signal(syscall.SIGTERM)
	c.awaitLog("draining: answering")
	c.signal(syscall.SIGHUP)
	c.awaitLog("configuration reloaded")
	r.finish("first")
	if a := testkit.Await(t, "the answer", answer); a.status != 200 || a.body != "first" {
		t.Errorf("open since before: %+v", a)
	}
	c.awaitExit()
}

// Reloads with jobs in flight: classes appear, become stricter and vanish, fewer attempts
// are allowed, jobs that came before keep their class, also of event streams, and an
// invalid file changes nothing.
func TestReloadOfClasses(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	s := subscribe(t, "POST", c.sse, "usage-view", "Request-Id", "stream")
	streamed := f.next()
	streamed.write(`"state":"started"`)
	old := post(c.addr, "/usage-view", job("old")...)
	first := f.next()
	first.write(`"state":"started"`)

	classes := c.config.Settings.Classes
	strict := classes[0]
	strict.Effect = "single_shot"
	added := classes[0]
	added.Name = "usage-view-ii"
	c.config.Settings.Classes = append([]scheduler.Class{added, strict}, classes[2]) // plan-change is gone
	c.config.Settings.Bounds.MaxAttempts = 2
	c.write()
	c.signal(syscall.SIGHUP)
	c.awaitLog("configuration reloaded")
	if a := testkit.Await(t, "the answer", post(c.addr, "/plan-change", job("gone")...)); a.status != 404 {
		t.Errorf("a class that is gone: %+v", a)
	}
	checkNewClasses(t, f, c, old, first)
	checkBadFileIsRejected(t, f, c)

	s.leave()
	c.config.Settings.Classes = classes[1:]
	c.write()
	c.signal(syscall.SIGHUP)
	c.awaitLog("configuration reloaded")
	s = subscribe(t, "GET", c.sse, "usage-view", "Request-Id", "stream")
	streamed.finish("streamed")
	if last, _ := s.rest(); last.name != "result" {
		t.Errorf("a stream whose class is gone ended in %+v", last)
	}
}

// checkNewClasses checks jobs of classes that a new file has added and made stricter, and a
// job of the latter that came before: old is its answer, first its attempt.
func checkNewClasses(t *testing.T, f *fleet, c *child, old <-chan reply, first *attempt) {
	t.Helper()
	got := post(c.addr, "/usage-view-ii", job("new")...)
	f.next().finish("new")
	if a := testkit.Await(t, "the answer", got); a.status != 200 || a.body != "new" {
		t.Errorf("a new class: %+v", a)
	}
	got = post(c.addr, "/usage-view", job("strict")...)
	close(f.next().abort)
	if a := testkit.Await(t, "the answer", got); a.status != 500 {
		t.Errorf("a class that must not run twice any more: %+v", a)
	}
	close(first.abort)
	f.next().finish("again") // it came when it might
	if a := testkit.Await(t, "the answer", old); a.status != 200 || a.body != "again" {
		t.Errorf("a job that came before: %+v", a)
	}
	// Of what its attempts allow, a job of the class that is new has two.
	got = post(c.addr, "/usage-view-ii", job("twice")...)
	close(f.next().abort)
	close(f.next().abort)
	if a := testkit.Await(t, "the answer", got); a.status != 503 {
		t.Errorf("a third attempt: %+v", a)
	}
}

// checkBadFileIsRejected checks that a file with an invalid class and another discovery changes
// neither.
func checkBadFileIsRejected(t *testing.T, f *fleet, c *child) {
	t.Helper()
	c.config.Settings.Classes = append([]scheduler.Class(nil), c.config.Settings.Classes...)
	c.config.Settings.Classes[0].Name, c.config.Settings.Classes[0].HardLimit = "other", -5
	good := c.config.Discovery
	c.config.Discovery = testkit.RefusingAddr(t)
	c.write()
	c.signal(syscall.SIGHUP)
	c.awaitLog("the new configuration is bad")
	c.config.Discovery = good
	f.setPhase("w", "ready") // still asked
	got := post(c.addr, "/usage-view-ii", job("kept")...)
	f.next().finish("kept")
	if a := testkit.Await(t, "the answer", got); a.status != 200 {
		t.Errorf("after a bad file: %+v", a)
	}
}
