package scheduler_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"sedgevale/internal/testkit"
)

// startSuccessor starts another process of the same scheduler, with a second address of
// its own, and waits until it says that it is healthy.
func (c *child) startSuccessor() *child {
	c.t.Helper()
	next := &child{t: c.t, file: filepath.Join(filepath.Dir(c.file), testkit.FreeAddr(c.t)+".toml"),
		addr: c.addr, sse: c.sse, config: c.config}
	next.config.Ops = testkit.FreeAddr(c.t)
	next.write()
	next.launch()
	c.t.Cleanup(next.kill)
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if conn, err := new(net.Dialer).DialContext(c.t.Context(), "tcp", next.config.Ops); err == nil {
			_ = conn.Close()
			if next.callOps("GET", "health", "") == 200 {
				return next
			}
		}
	}
	c.t.Fatal("the new process is not healthy")
	return nil
}

// clients send jobs, each on a new connection, until they are stopped, and return
// how many failed.
func clients(addr string) (stop func() (sent, failed int)) {
	end, counts := make(chan struct{}), make(chan [2]int)
	go func() {
		sent, failed := 0, 0
		for i := 0; ; i++ {
			select {
			case <-end:
				counts <- [2]int{sent, failed}
				return
			default:
			}
			sent++
			if a := <-post(addr, "/usage-view", job(fmt.Sprint("door-", i))...); a.err != nil || a.status != 200 {
				failed++
			}
		}
	}()
	return func() (int, int) {
		close(end)
		n := <-counts
		return n[0], n[1]
	}
}

// serveKept sends a job on a kept connection and reports whether its response is the last.
func serveKept(t *testing.T, conn net.Conn, r *bufio.Reader, id string) (last bool) {
	t.Helper()
	if err := send(conn, "bill-pay", id, 9*time.Second, "Idempotency-Key", "k"); err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	a, err := testkit.ReadResponse(r)
	if err != nil || a.Status != 200 {
		t.Fatalf("%s: %+v, error %v", id, a, err)
	}
	return a.Last
}

// awaitWorker reads where jobs ran until one ran at a worker.
func awaitWorker(t *testing.T, ran <-chan string, worker string) {
	t.Helper()
	for {
		if testkit.Await(t, "a job at "+worker, ran) == worker {
			return
		}
	}
}

// checkContinuesAlone checks that the new process takes orders once the old one has ended.
func checkContinuesAlone(t *testing.T, next *child, ran <-chan string) {
	t.Helper()
	next.awaitLog("continuing alone")
	if got := next.callOps("POST", "uncordon", "u"); got != 200 {
		t.Errorf("uncordon at the new process: %d", got)
	}
	awaitWorker(t, ran, "u")
}

// Guards against all that an upgrade can break: connections that are refused or
// reset, a new process that fails or ends with the old one, a cordon that is lost,
// an id that is taken twice, and an open job without its answer.
func TestUpgrade(t *testing.T) {
	f := newFleet(t, "u", "v", "w")
	c := startChild(t, f)
	conn := testkit.Dial(t, c.addr)
	kept := bufio.NewReader(conn)
	if got := c.callOps("POST", "cordon", "u"); got != 200 {
		t.Fatalf("cordon: %d", got)
	}
	open := post(c.addr, "/plan-change", job("open")...)
	first := f.next()
	first.write(`"state":"started"`)
	ran := make(chan string, 4096) // where, of all but the open job
	go func() {
		for r := range f.attempts {
			ran <- r.worker
			r.finish("")
		}
	}()
	serveKept(t, conn, kept, "kept-1")
	stop := clients(c.addr)
	next := c.startSuccessor()
	c.awaitLog("the new process accepts connections")
	if a := testkit.Await(t, "the answer", post(c.addr, "/plan-change", job("open")...)); a.status != 500 {
		t.Errorf("the id of a job that the old process has open: %+v", a)
	}
	// Each process carries out the other's orders, and still takes any.
	if got := next.callOps("POST", "cordon", "v"); got != 200 {
		t.Errorf("cordon at the new process: %d", got)
	}
	if serveKept(t, conn, kept, "kept-2") {
		t.Error("the old process closes a kept connection though it does not drain")
	}
	c.signal(syscall.SIGTERM)
	c.awaitLog("draining: answering")
	if !serveKept(t, conn, kept, "kept-3") {
		t.Error("the old process keeps a connection open though it drains")
	}
	first.finish("first")
	if a := testkit.Await(t, "the answer", open); a.status != 200 || a.body != "first" {
		t.Errorf("open since before: %+v", a)
	}
	c.awaitExit()
	checkContinuesAlone(t, next, ran)
	if sent, failed := stop(); failed > 0 || sent < 10 {
		t.Errorf("%d of %d jobs failed of those sent meanwhile", failed, sent)
	}
	checkRuns(t, next)
}

// checkRuns checks that a process has not ended.
func checkRuns(t *testing.T, c *child) {
	t.Helper()
	select {
	case err := <-c.exited:
		t.Errorf("the new process ended with the old one: %v", err)
	default:
	}
}

// Guards against workers that either process uses though they were cordoned at the
// other, or by one that is gone.
func TestCordonsGoOver(t *testing.T) {
	f := newFleet(t, "u", "v", "w")
	c := startChild(t, f)
	for _, host := range []string{"u", "v"} {
		if got := c.callOps("POST", "cordon", host); got != 200 {
			t.Fatalf("cordon: %d", got)
		}
	}
	next := c.startSuccessor()
	if got := c.callOps("POST", "uncordon", "v"); got != 200 {
		t.Fatalf("uncordon at the old process: %d", got)
	}
	if got := c.callOps("POST", "cordon", "w"); got != 200 {
		t.Fatalf("cordon at the old process: %d", got)
	}
	c.kill()
	next.awaitLog("continuing alone")
	for i := range 8 {
		got := post(c.addr, "/usage-view", job(fmt.Sprint("job-", i))...)
		r := f.next()
		r.finish("")
		if testkit.Await(t, "the answer", got); r.worker != "v" {
			t.Fatalf("a job went to %s", r.worker)
		}
	}
}

// Guards against streams that an upgrade breaks: a client that has lost its connection
// goes on at the new process, by its last event's id, with a job that the old one has;
// the id cannot be had again, and each stream has one final event.
func TestStreamsGoOver(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	s := subscribe(t, "POST", c.sse, "plan-change", "Request-Id", "moved")
	r := f.next()
	r.write(`"state":"started"`)
	last := s.until("started")
	orphan := subscribe(t, "POST", c.sse, "plan-change", "Request-Id", "orphan")
	f.next().write(`"state":"started"`)
	before := orphan.until("started")
	next := c.startSuccessor()
	c.awaitLog("the new process accepts connections")
	s.leave()
	again := subscribe(t, "POST", c.sse, "plan-change", "Request-Id", "moved")
	if again.status != 409 {
		t.Errorf("posted again: %d", again.status)
	}
	s = subscribe(t, "GET", c.sse, "plan-change", "Last-Event-ID", last.id)
	r.write(`"state":"running","share":0.5`)
	if e := s.until("progress"); e.field(t, "share") != 0.5 {
		t.Errorf("progress is %s", e.data)
	}
	r.finish("moved")
	if end, names := s.rest(); end.name != "result" || end.field(t, "result") != "moved" || len(names) != 1 {
		t.Errorf("the stream went on with %v and %s", names, end.data)
	}
	c.kill()
	next.awaitLog("continuing alone")
	orphan = subscribe(t, "GET", c.sse, "plan-change", "Last-Event-ID", before.id)
	if end, names := orphan.rest(); end.name != "failed" || end.field(t, "outcome") != "unknown" ||
		end.field(t, "repeat_safe") != false || len(names) != 1 {
		t.Errorf("the stream of a job that the old process had went on with %v and %s", names, end.data)
	}
	if n := f.count("plan-change"); n != 2 {
		t.Errorf("%d runs of two jobs", n)
	}
}

// Guards against a crash of the new process that loses its clients: the old one
// goes on, and hands over to the next that is started.
func TestNewProcessDies(t *testing.T) {
	f := newFleet(t, "w")
	c := startChild(t, f)
	next := c.startSuccessor()
	c.awaitLog("the new process accepts connections")
	next.kill()
	c.awaitLog("continuing alone")
	serve := func(id string) {
		t.Helper()
		got := post(c.addr, "/usage-view", job(id)...)
		f.next().finish("")
		if a := testkit.Await(t, "the answer", got); a.status != 200 {
			t.Errorf("%s: %+v", id, a)
		}
	}
	serve("alone")
	c.kill()
	left, err := filepath.Glob(filepath.Join(filepath.Dir(c.file), "sedgevale-*.sock"))
	if err != nil || len(left) != 1 { // else the next start has no leftover to deal with
		t.Errorf("left are %v, error %v", left, err)
	}
	c.start()
	serve("after-the-dead")
}

// Guards against a new process that cannot start since the file was replaced by an invalid
// one, which the old process has rejected: it goes on by the old one's settings.
func TestUpgradeByABadFile(t *testing.T) {
	f := newFleet(t, "w")
	c := &child{t: t, file: filepath.Join(t.TempDir(), "config.json"), addr: testkit.FreeAddr(t)}
	c.sse = c.addr // asked for /ready
	set := settings(t)
	set.Classes[0].Name = "served-by"
	c.config.Name, c.config.Listen, c.config.Ops = "test", c.addr, testkit.FreeAddr(t)
	c.config.Discovery, c.config.Settings, c.config.Workers = f.addr, set, f.list.Members
	c.write()
	c.start()
	t.Cleanup(c.kill)
	if err := os.WriteFile(c.file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	c.signal(syscall.SIGHUP)
	c.awaitLog("the new configuration is bad")
	next := &child{t: t, file: c.file, addr: c.addr, config: c.config}
	next.config.Ops = testkit.FreeAddr(t)
	next.launch()
	t.Cleanup(next.kill)
	next.awaitLog("using that of the serving process")
	c.awaitLog("the new process accepts connections")
	c.kill()
	got := post(c.addr, "/served-by", job("one")...)
	f.next().finish("")
	if a := testkit.Await(t, "the answer", got); a.status != 200 {
		t.Errorf("%+v", a)
	}
	if got := next.callOps("GET", "health", ""); got != 200 {
		t.Errorf("health is %d", got)
	}
}

// Guards against a start that a hung predecessor prevents.
func TestPredecessorHangs(t *testing.T) {
	f := newFleet(t, "w")
	c := startChild(t, f)
	c.signal(syscall.SIGSTOP)
	defer c.signal(syscall.SIGCONT)
	began := time.Now()
	next := c.startSuccessor()
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("healthy after %v", took)
	}
	next.awaitLog("takeover failed")
}
