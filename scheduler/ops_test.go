package scheduler_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"sedgevale/internal/testkit"
)

// callOperatorAPI sends a request to the operators' address and returns the status.
func (c *child) callOperatorAPI(method, call, host string) int {
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

// serveOne sends a job, finishes it, and returns its worker.
func serveOne(t *testing.T, f *fleet, c *child, id string) (worker string) {
	t.Helper()
	got := post(c.addr, "/usage-view", job(id)...)
	r := f.next()
	r.finish("")
	testkit.Await(t, "the response", got)
	return r.worker
}

// Guards against a cordon that is confirmed and not in force: no further job may go to the worker,
// also after a restart, and one uncordon ends the cordon.
func TestCordon(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	serve := func(id string) (worker string) { return serveOne(t, f, c, id) }
	if got := c.callOperatorAPI("GET", "health", ""); got != 200 {
		t.Errorf("health: status %d, want 200", got)
	}
	before := post(c.addr, "/plan-change", job("before")...)
	first := f.next()
	first.write(`"state":"started"`)
	host := first.worker
	for _, call := range []string{"cordon", "cordon"} {
		if got := c.callOperatorAPI("POST", call, host); got != 200 {
			t.Errorf("%s of a known worker: status %d, want 200", call, got)
		}
	}
	if got := c.callOperatorAPI("POST", "cordon", "stranger"); got != 404 {
		t.Errorf("cordon of an unknown worker: status %d, want 404", got)
	}
	checkNotUsed := func(prefix, when string) {
		t.Helper()
		for i := range 6 {
			if w := serve(fmt.Sprint(prefix, i)); w == host {
				t.Fatalf("%s a job went to %s, which is cordoned", when, w)
			}
		}
	}
	checkNotUsed("out-", "after the cordon")
	f.setPhase(host, "ready") // discovery lists the worker again
	if w := serve("listed"); w == host {
		t.Errorf("a job went to %s, which is cordoned, after discovery listed it again", w)
	}
	first.finish("first")
	if a := testkit.Await(t, "the response", before); a.status != 200 || a.body != "first" {
		t.Errorf("job that ran at the worker before the cordon: %+v", a)
	}
	c.kill()
	c.start()
	checkNotUsed("again-", "after a restart")
	if got := c.callOperatorAPI("POST", "uncordon", host); got != 200 {
		t.Errorf("uncordon: status %d, want 200", got)
	}
	for i := 0; serve(fmt.Sprint("back-", i)) != host; i++ {
		if i == 50 {
			t.Fatalf("%s got none of 50 jobs after the uncordon", host)
		}
	}
	checkUnhealthyInDrain(t, c)
}

// checkUnhealthyInDrain sends SIGTERM and checks that the scheduler is not healthy while it drains.
func checkUnhealthyInDrain(t *testing.T, c *child) {
	t.Helper()
	c.signal(syscall.SIGTERM)
	c.awaitLog("draining: answering")
	if got := c.callOperatorAPI("GET", "health", ""); got != 503 {
		t.Errorf("health while draining: status %d, want 503", got)
	}
}
