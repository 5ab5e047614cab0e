package scheduler_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"sedgevale/internal/testkit"
)

// callOps makes a call at the operators' address and returns the status.
func (c *child) callOps(method, call, host string) int {
	c.t.Helper()
	body := ""
	if host != "" {
		body = fmt.Sprintf(`{"host":%q}`, host)
	}
	q, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+c.config.Ops+"/admin/"+call, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	a, err := testkit.RoundTrip(&http.Transport{DisableKeepAlives: true}, q)
	if err != nil {
		c.t.Errorf("%s: %v", call, err)
		return 0
	}
	return a.Status
}

// serveOne has a job served, and returns the worker.
func serveOne(t *testing.T, f *fleet, c *child, id string) (worker string) {
	t.Helper()
	got := post(c.addr, "/usage-view", job(id)...)
	r := f.next()
	r.finish("")
	testkit.Await(t, "the answer", got)
	return r.worker
}

// Guards against a cordon that is confirmed and not in force: nothing more goes to the
// worker, also not in the next run, and one uncordon ends it.
func TestCordon(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	serve := func(id string) (worker string) { return serveOne(t, f, c, id) }
	if got := c.callOps("GET", "health", ""); got != 200 {
		t.Errorf("health is %d", got)
	}
	before := post(c.addr, "/plan-change", job("before")...)
	first := f.next()
	first.write(`"state":"started"`)
	host := first.worker
	for _, call := range []string{"cordon", "cordon"} {
		if got := c.callOps("POST", call, host); got != 200 {
			t.Errorf("%s of a known worker: %d", call, got)
		}
	}
	if got := c.callOps("POST", "cordon", "stranger"); got != 404 {
		t.Errorf("cordon of an unknown worker: %d", got)
	}
	passedOver := func(prefix, when string) {
		t.Helper()
		for i := range 6 {
			if w := serve(fmt.Sprint(prefix, i)); w == host {
				t.Fatalf("%s a job went to %s, which is cordoned", when, w)
			}
		}
	}
	passedOver("out-", "after the call")
	f.setPhase(host, "ready") // discovery lists it anew
	if w := serve("listed"); w == host {
		t.Errorf("a job went to %s after it was listed anew", w)
	}
	first.finish("first")
	if a := testkit.Await(t, "the answer", before); a.status != 200 || a.body != "first" {
		t.Errorf("a job that ran there already: %+v", a)
	}
	c.kill()
	c.start()
	passedOver("again-", "after a new start")
	if got := c.callOps("POST", "uncordon", host); got != 200 {
		t.Errorf("uncordon: %d", got)
	}
	for i := 0; serve(fmt.Sprint("back-", i)) != host; i++ {
		if i == 50 {
			t.Fatalf("%s is not used again", host)
		}
	}
	checkUnhealthyInDrain(t, c)
}

// checkUnhealthyInDrain ends a scheduler and checks that it is not healthy while it drains.
func checkUnhealthyInDrain(t *testing.T, c *child) {
	t.Helper()
	c.signal(syscall.SIGTERM)
	c.awaitLog("draining: answering")
	if got := c.callOps("GET", "health", ""); got != 503 {
		t.Errorf("stopping, but health is %d", got)
	}
}
