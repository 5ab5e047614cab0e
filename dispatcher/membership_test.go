package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// Draining and removed workers get nothing from the time of the update on.
func TestDrainingWorkersGetNothing(t *testing.T) {
	d, h := start(t, settings(), fleet(3)...)
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "w0", State: Draining, Weight: 1}})
	d.WorkersUpdated(h.now, UpdateFull, []WorkerInfo{{Name: "w0", State: Draining, Weight: 1}, {Name: "w1", Zone: 1, Weight: 1}})
	for i := range 20 {
		h.submit(d, fmt.Sprint("r", i), i%3)
		h.now += 10 * ms
		if h.attempts[fmt.Sprint("r", i)] > 0 {
			h.endAttempt(d, fmt.Sprint("r", i), 0, Served)
		}
	}
	for _, s := range h.sends {
		if s.worker != "w1" {
			t.Errorf("sent to %s, want only w1", s.worker)
		}
	}
	if len(h.sends) == 0 {
		t.Error("nothing sent")
	}
}

// A worker list on demand is watched from the start, and again whenever the watch fails.
func TestWatchIsRetriedAfterFailure(t *testing.T) {
	set := settings()
	set.WatchOnDemand = true
	d, h := start(t, set, fleet(2)...)
	if h.watches != 1 {
		t.Fatalf("%d watches at the start", h.watches)
	}
	for i := 2; i < 9; i++ {
		d.WorkersUpdated(h.now, UpdateFailed, nil)
		h.run(d, h.now+2*maxWatchBackoff)
		if h.watches != i {
			t.Fatalf("%d watches after %d failures", h.watches, i-1)
		}
	}
	h.submit(d, "r", 0)
	if len(h.sends) != 1 {
		t.Error("the last list is not used after the watch failed")
	}
}

// Guards against a watch that is retried too late: the list must be current 6 s after discovery can be reached again, and
// the connection, a failed call and its response take 4 s of these (internal/discovery).
func TestWatchIsRetriedSoon(t *testing.T) {
	set := settings()
	set.WatchOnDemand = true
	d, h := start(t, set, fleet(2)...)
	for i := range 40 { // the delays are jittered
		began, before := h.now, h.watches
		d.WorkersUpdated(h.now, UpdateFailed, nil)
		for h.watches == before {
			if h.run(d, h.now+ms); h.now > began+10*time.Second {
				t.Fatal("the watch was not retried")
			}
		}
		if waited := h.now - began; waited > 1500*ms || waited < 100*ms || i == 0 && waited > 300*ms {
			t.Errorf("the watch was retried after %v, at failure %d in a row", waited, i+1)
		}
	}
}

// Idle connections to a worker are closed when it begins to drain, after each outcome
// there, also after the worker was removed from the list, and once more later.
func TestConnectionsAreClosedOnDrains(t *testing.T) {
	set := settings()
	set.DrainCloseTimeout = 1500 * ms
	d, h := start(t, set, fleet(1)...)
	h.submit(d, "r", 0)
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "w0", State: Draining, Weight: 1}})
	if len(h.closes) != 1 {
		t.Fatalf("%d closes when the drain begins, want 1", len(h.closes))
	}
	h.run(d, h.now+400*ms)
	d.WorkersUpdated(h.now, UpdateFull, nil)
	h.run(d, h.now+3*time.Second)
	before := len(h.closes)
	outcome := h.now
	h.endAttempt(d, "r", 0, Served)
	if len(h.closes) != before+1 {
		t.Fatal("not closed after the last outcome")
	}
	h.run(d, h.now+1500*ms)
	last := h.closes[len(h.closes)-1]
	if len(h.closes) != before+2 || last.worker != "w0" || last.at < outcome+500*ms || last.at > outcome+1200*ms {
		t.Errorf("%d closes, the last %v after the outcome", len(h.closes)-before, last.at-outcome)
	}
	h.run(d, h.now+5*time.Second)
	if len(h.closes) != before+2 {
		t.Error("closed again without a reason")
	}
	d, h = start(t, settings(), fleet(1)...)
	d.WorkersUpdated(h.now, UpdateFull, nil)
	if len(h.closes) != 0 {
		t.Error("closed although the settings have no DrainCloseTimeout")
	}
}
