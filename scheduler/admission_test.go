package scheduler_test

import (
	"testing"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/testkit"
)

// Verifies the admission queue of the platform's protocol: with a concurrency of one, a second
// job is queued until the first one is answered, and both are served.
func TestAdmissionQueue(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	c.kill()
	c.config.Admission = &dispatchconfig.Admission{Concurrency: 1}
	c.write()
	c.start()
	first := post(c.addr, "/usage-view", job("first")...)
	at := f.next()
	second := post(c.addr, "/usage-view", job("second")...)
	for range 20 { // gives the second job time to reach a worker if it is not queued
		if got := post(c.addr, "/ready"); (<-got).status == 0 {
			t.Fatal("no response to /ready")
		}
	}
	if n := f.count("usage-view"); n != 1 {
		t.Errorf("%d jobs reached workers, want 1 for a concurrency of one", n)
	}
	at.finish("first")
	if a := testkit.Await(t, "the response to the first job", first); a.status != 200 {
		t.Errorf("first job: %+v, want 200", a)
	}
	f.next().finish("second")
	if a := testkit.Await(t, "the response to the second job", second); a.status != 200 || a.body != "second" {
		t.Errorf("second job: %+v, want 200 with body second", a)
	}
}
