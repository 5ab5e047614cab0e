package scheduler_test

import (
	"testing"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/testkit"
)

// Guards the admission queue before the platform's protocol: with a concurrency of one, a
// second is queued until the first one's answer, and both are served.
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
	for range 20 { // time enough for it to come to a worker, if it did not wait
		if got := post(c.addr, "/ready"); (<-got).status == 0 {
			t.Fatal("no answer")
		}
	}
	if n := f.count("usage-view"); n != 1 {
		t.Errorf("%d jobs came to workers though one may be inside", n)
	}
	at.finish("first")
	if a := testkit.Await(t, "the first answer", first); a.status != 200 {
		t.Errorf("first: %+v", a)
	}
	f.next().finish("second")
	if a := testkit.Await(t, "the second answer", second); a.status != 200 || a.body != "second" {
		t.Errorf("second: %+v", a)
	}
}
