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

// startSuccessor starts another process of the same scheduler, with its own operators' address, and
// waits until it reports that it is healthy.
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
			if next.callOperatorAPI("GET", "health", "") == 200 {
				return next
			}
		}
	}
	c.t.Fatal("the new process is not healthy within startTimeout")
	return nil
}

// sendJobs sends jobs one after another, each on a new connection, until stop is called, which
// returns how many were sent and how many failed.
func sendJobs(addr string) (stop func() (sent, failed int)) {
	stopped, counts := make(chan struct{}), make(chan [2]int)
	go func() {
		sent, failed := 0, 0
		for i := 0; ; i++ {
			select {
			case <-stopped:
				counts <- [2]int{sent, failed}
				return
			default:
			}
			sent++
			if a := <-post(addr, "/usage-view", job(fmt.Sprint("upgrade-", i))...); a.err != nil || a.status != 200 {
				failed++
			}
		}
	}()
	return func() (int, int) {
		close(stopped)
		n := <-counts
		return n[0], n[1]
	}
}

// sendOnKeepAlive sends a job on a keep-alive connection and reports whether the response is the last
// of the connection.
func sendOnKeepAlive(t *testing.T, conn net.Conn, r *bufio.Reader, id string) (last bool) {
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

// awaitJobAt reads from ran, the workers at which jobs ran, until a job ran at worker.
func awaitJobAt(t *testing.T, ran <-chan string, worker string) {
	t.Helper()
	for {
		if testkit.Await(t, "a job at "+worker, ran) == worker {
			return
		}
	}
}

// checkContinuesAlone checks that the new process accepts an uncordon after the old one has exited.
func checkContinuesAlone(t *testing.T, next *child, ran <-chan string) {
	t.Helper()
	next.awaitLog("continuing alone")
	if got := next.callOperatorAPI("POST", "uncordon", "u"); got != 200 {
		t.Errorf("uncordon at the new process: status %d, want 200", got)
	}
	awaitJobAt(t, ran, "u")
}

// Guards against the failures that an upgrade can cause: connections that are refused or reset, a new
// process that fails or exits with the old one, a cordon that is lost, an ID that is accepted twice,
// and a job in flight that is not answered.
func TestUpgrade(t *testing.T) {
	f := newFleet(t, "u", "v", "w")
	c := startChild(t, f)
	conn := testkit.Dial(t, c.addr)
	reader := bufio.NewReader(conn)
	if got := c.callOperatorAPI("POST", "cordon", "u"); got != 200 {
		t.Fatalf("cordon: status %d, want 200", got)
	}
	open := post(c.addr, "/plan-change", job("open")...)
	first := f.next()
	first.write(`"state":"started"`)
	ran := make(chan string, 4096) // workers of all jobs except the open one
	go func() {
		for r := range f.attempts {
			ran <- r.worker
			r.finish("")
		}
	}()
	sendOnKeepAlive(t, conn, reader, "kept-1")
	stop := sendJobs(c.addr)
	next := c.startSuccessor()
	c.awaitLog("the new process accepts connections")
	if a := testkit.Await(t, "the response", post(c.addr, "/plan-change", job("open")...)); a.status != 500 {
		t.Errorf("second job with the ID of a job in flight at the old process: %+v, want 500", a)
	}
	// Each process applies the cordons of the other one and still accepts requests for cordons.
	if got := next.callOperatorAPI("POST", "cordon", "v"); got != 200 {
		t.Errorf("cordon at the new process: status %d, want 200", got)
	}
	if sendOnKeepAlive(t, conn, reader, "kept-2") {
		t.Error("the old process closes a keep-alive connection though it does not drain")
	}
	c.signal(syscall.SIGTERM)
	c.awaitLog("draining: answering")
	if !sendOnKeepAlive(t, conn, reader, "kept-3") {
		t.Error("the old process keeps a keep-alive connection open though it drains")
	}
	first.finish("first")
	if a := testkit.Await(t, "the response", open); a.status != 200 || a.body != "first" {
		t.Errorf("job in flight since before the upgrade: %+v, want 200 with body first", a)
	}
	c.awaitExit()
	checkContinuesAlone(t, next, ran)
	if sent, failed := stop(); failed > 0 || sent < 10 {
		t.Errorf("%d of %d jobs sent during the upgrade failed, want none of at least 10", failed, sent)
	}
	checkRunning(t, next)
}

// checkRunning checks that a process has not exited.
func checkRunning(t *testing.T, c *child) {
	t.Helper()
	select {
	case err := <-c.exited:
		t.Errorf("the new process exited with the old one: %v", err)
	default:
	}
}

// Guards against a process that uses workers which were cordoned at the other process, also after that
// one has exited.
func TestUpgradeKeepsCordons(t *testing.T) {
	f := newFleet(t, "u", "v", "w")
	c := startChild(t, f)
	for _, host := range []string{"u", "v"} {
		if got := c.callOperatorAPI("POST", "cordon", host); got != 200 {
			t.Fatalf("cordon: status %d, want 200", got)
		}
	}
	next := c.startSuccessor()
	if got := c.callOperatorAPI("POST", "uncordon", "v"); got != 200 {
		t.Fatalf("uncordon at the old process: status %d, want 200", got)
	}
	if got := c.callOperatorAPI("POST", "cordon", "w"); got != 200 {
		t.Fatalf("cordon at the old process: status %d, want 200", got)
	}
	c.kill()
	next.awaitLog("continuing alone")
	for i := range 8 {
		got := post(c.addr, "/usage-view", job(fmt.Sprint("job-", i))...)
		r := f.next()
		r.finish("")
		if testkit.Await(t, "the response", got); r.worker != "v" {
			t.Fatalf("a job went to %s, want v, the only uncordoned worker", r.worker)
		}
	}
}

// Guards against streams that an upgrade breaks: a client that has lost its connection resumes at the
// new process, with its last event ID, the stream of a job at the old process. The job's ID must not be
// accepted again, and each stream must have one final event.
func TestUpgradeKeepsStreams(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	s := openStream(t, "POST", c.sse, "plan-change", "Request-Id", "moved")
	r := f.next()
	r.write(`"state":"started"`)
	last := s.until("started")
	orphan := openStream(t, "POST", c.sse, "plan-change", "Request-Id", "orphan")
	f.next().write(`"state":"started"`)
	before := orphan.until("started")
	next := c.startSuccessor()
	c.awaitLog("the new process accepts connections")
	s.disconnect()
	duplicate := openStream(t, "POST", c.sse, "plan-change", "Request-Id", "moved")
	if duplicate.status != 409 {
		t.Errorf("second job with the same ID: status %d, want 409", duplicate.status)
	}
	s = openStream(t, "GET", c.sse, "plan-change", "Last-Event-ID", last.id)
	r.write(`"state":"running","share":0.5`)
	if e := s.until("progress"); e.field(t, "share") != 0.5 {
		t.Errorf("data of the progress event: %s, want a share of 0.5", e.data)
	}
	r.finish("moved")
	if end, names := s.rest(); end.name != "result" || end.field(t, "result") != "moved" || len(names) != 1 {
		t.Errorf("resumed stream has events %v and last data %s", names, end.data)
	}
	c.kill()
	next.awaitLog("continuing alone")
	orphan = openStream(t, "GET", c.sse, "plan-change", "Last-Event-ID", before.id)
	if end, names := orphan.rest(); end.name != "failed" || end.field(t, "outcome") != "unknown" ||
		end.field(t, "repeat_safe") != false || len(names) != 1 {
		t.Errorf("resumed stream of a job at the killed process has events %v and last data %s", names, end.data)
	}
	if n := f.count("plan-change"); n != 2 {
		t.Errorf("%d runs of two jobs, want 2", n)
	}
}

// Guards against a crash of the new process that leaves clients without a server: the old process
// resumes serving, and a process can be started after it was killed.
func TestNewProcessCrashes(t *testing.T) {
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
		if a := testkit.Await(t, "the response", got); a.status != 200 {
			t.Errorf("%s: %+v", id, a)
		}
	}
	serve("alone")
	c.kill()
	sockets, err := filepath.Glob(filepath.Join(filepath.Dir(c.file), "sedgevale-*.sock"))
	if err != nil || len(sockets) != 1 { // the next start must find the socket of a killed process
		t.Errorf("sockets left by the killed process: %v, error %v, want one", sockets, err)
	}
	c.start()
	serve("after-kill")
}

// Guards against a new process that cannot start because the file was replaced by an invalid one,
// which the old process has rejected: the new process must use the old one's configuration.
func TestUpgradeWithInvalidFile(t *testing.T) {
	f := newFleet(t, "w")
	c := &child{t: t, file: filepath.Join(t.TempDir(), "config.json"), addr: testkit.FreeAddr(t)}
	c.sse = c.addr // start requests /ready there
	config := settings(t)
	config.Classes[0].Name = "served-by"
	c.config.Name, c.config.Listen, c.config.Ops = "test", c.addr, testkit.FreeAddr(t)
	c.config.Discovery, c.config.Settings, c.config.Workers = f.addr, config, f.list.Members
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
	if a := testkit.Await(t, "the response", got); a.status != 200 {
		t.Errorf("job of the inherited class: %+v, want 200", a)
	}
	if got := next.callOperatorAPI("GET", "health", ""); got != 200 {
		t.Errorf("health: status %d, want 200", got)
	}
}

// Guards against a process that cannot start because the serving process hangs.
func TestUpgradeFromHungProcess(t *testing.T) {
	f := newFleet(t, "w")
	c := startChild(t, f)
	c.signal(syscall.SIGSTOP)
	defer c.signal(syscall.SIGCONT)
	start := time.Now()
	next := c.startSuccessor()
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("healthy after %v, want at most 5 s", elapsed)
	}
	next.awaitLog("takeover failed")
}
