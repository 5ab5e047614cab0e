package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// Retries depend on the idempotency of the class and the outcome.
func TestRetriesByIdempotencyAndOutcome(t *testing.T) {
	for class, idempotency := range []Idempotency{Idempotent, IdempotentByKey, NotIdempotent} {
		for o := Errored; o <= NotSent; o++ {
			d, h := start(t, settings(), fleet(4)...)
			h.submit(d, "r", class)
			if len(h.sends) != 1 {
				t.Fatalf("not sent at once: %v", h.sends)
			}
			first := d.workers.byName[h.lastWorker()]
			h.now += ms
			h.endAttempt(d, "r", 0, o)
			again, mayRepeat := len(h.sends) > 1, d.provesNeverRan(o) || idempotency != NotIdempotent
			if again && !mayRepeat {
				t.Errorf("idempotency %d, outcome %d: sent again", idempotency, o)
			}
			if !again && mayRepeat {
				t.Errorf("idempotency %d, outcome %d: not retried", idempotency, o)
			}
			if again && idempotency == IdempotentByKey && !d.provesNeverRan(o) && d.workers.byName[h.lastWorker()].Zone != first.Zone {
				t.Errorf("idempotent by key, outcome %d: retried outside the zone that deduplicates", o)
			}
			if !mayRepeat && h.ends["r"] != "failed" {
				t.Errorf("idempotency %d, outcome %d: ended as %q, want failed", idempotency, o, h.ends["r"])
			}
		}
	}
}

// A request that is idempotent by key must not be retried after its deduplication window.
func TestDedupWindow(t *testing.T) {
	d, h := start(t, settings(), fleet(4)...)
	h.submit(d, "r", 1)
	h.now += 1950 * ms
	r := d.requests.byID["r"]
	for _, w := range d.workers.all {
		if d.mayAttempt(h.now, r, w) {
			t.Errorf("may be sent to %s at the end of the window", w.Name)
		}
	}
}

// The safety margin at the end of a deduplication window scales down with a short window.
func TestShortDedupWindow(t *testing.T) {
	set := settings()
	set.Classes[1].DedupWindow = 80 * ms
	d, h := start(t, set, fleet(6)...)
	h.submit(d, "r", 1)
	r := d.requests.byID["r"]
	sameZone := d.workers.byName[fmt.Sprint("w", (d.workers.byName[h.lastWorker()].index+2)%6)]
	if !d.mayAttempt(h.now+60*ms, r, sameZone) || d.mayAttempt(h.now+75*ms, r, sameZone) {
		t.Error("want a repeat within 70 ms of the first send, and none after")
	}
}

func TestNoHedgingWhereForbidden(t *testing.T) {
	set := settings()
	set.AllowHedging = false
	d, h := start(t, set, fleet(4)...)
	h.submit(d, "r", 0)
	for _, w := range d.workers.all {
		if d.mayAttempt(h.now, d.requests.byID["r"], w) {
			t.Error("a second attempt would be sent while the first is in flight")
		}
	}
}

// The own zone is preferred for the first attempt; a retry considers all zones.
func TestRetriesLeaveTheZone(t *testing.T) {
	d, h := start(t, settings(), fleet(20)...)
	far := func(r *request) (n int) {
		for range 1000 {
			n += d.pickWorker(h.now, r, true).Zone
		}
		return n
	}
	r := &request{class: d.classes.current[0], Request: Request{Slots: 1}, deadline: twoSecondsFrom(h), targetAt: twoSecondsFrom(h)}
	if n := far(r); n != 0 {
		t.Errorf("%d of 1000 first picks outside the own zone while it has free capacity", n)
	}
	r.attempts = []attempt{{worker: d.workers.all[0], ended: true}}
	if n := far(r); n < 400 || n > 600 {
		t.Errorf("%d of 1000 picks for a retry outside the own zone, want 400 to 600", n)
	}
}

// If the settings state that a rejected attempt may have run, a request that is not
// idempotent is neither retried nor rejected, and one that is idempotent by key is retried
// only in its group of workers and within its window.
func TestRejectedMayHaveRun(t *testing.T) {
	set := settings()
	set.RejectedMayHaveRun = true
	set.Classes[1].DedupScope = DedupCell
	set.Classes[1].DedupWindow = 1500 * ms
	d, h := start(t, set, fleet(40)...)
	h.submit(d, "unsafe", 2)
	h.endAttempt(d, "unsafe", 0, Rejected)
	if h.attempts["unsafe"] != 1 || h.ends["unsafe"] != "failed" {
		t.Errorf("not idempotent: %d sends, ended as %q", h.attempts["unsafe"], h.ends["unsafe"])
	}
	for i := range 20 {
		id := fmt.Sprint("k", i)
		h.submit(d, id, 1)
		cell := d.workers.byName[h.lastWorker()].Cell
		h.endAttempt(d, id, 0, Rejected)
		if h.attempts[id] != 2 || d.workers.byName[h.lastWorker()].Cell != cell {
			t.Fatalf("idempotent by key: %d sends, cell %d after %d", h.attempts[id], d.workers.byName[h.lastWorker()].Cell, cell)
		}
		h.endAttempt(d, id, 1, Served)
	}
	h.submit(d, "late", 1)
	h.run(d, h.now+1450*ms)
	h.endAttempt(d, "late", 0, Rejected)
	if h.attempts["late"] != 1 || h.ends["late"] != "failed" {
		t.Errorf("after its window: %d sends, ended as %q", h.attempts["late"], h.ends["late"])
	}
}

// An attempt whose start is overdue is cancelled and, after it has ended, retried at another
// worker, unless the request is not idempotent or workers are full.
func TestOverdueStartsAreRescheduled(t *testing.T) {
	for class, idempotency := range []Idempotency{Idempotent, IdempotentByKey, NotIdempotent} {
		d, h := start(t, settings(), fleet(8)...)
		h.submit(d, "r", class)
		first := h.lastWorker()
		h.run(d, h.now+120*ms)
		if moved := len(h.cancels) == 1; moved != (idempotency != NotIdempotent) {
			t.Fatalf("idempotency %d: %d attempts cancelled", idempotency, len(h.cancels))
		}
		if len(h.sends) != 1 {
			t.Fatalf("idempotency %d: sent again while the first attempt is in flight", idempotency)
		}
		if idempotency == NotIdempotent {
			continue
		}
		if w := d.workers.byName[first]; w.unhealthyUntil <= h.now {
			t.Errorf("unhealthy for another %v, want more than 0: the cancelled attempt cannot show that the worker is alive", w.unhealthyUntil-h.now)
		}
		h.endAttempt(d, "r", 0, Cancelled)
		if len(h.sends) != 2 || h.lastWorker() == first {
			t.Errorf("idempotency %d: %d sends, the last to %s after %s", idempotency, len(h.sends), h.lastWorker(), first)
		}
	}
	for _, c := range []struct {
		why       string
		after     time.Duration // time from the send to the rejection
		inFlight  float64
		cancelled bool
	}{
		{"workers are full", 0, 0, false},
		{"a draining worker returns an attempt", 150 * ms, 0, true},
		{"one slot per worker is in flight", 150 * ms, 8, false},
	} {
		d, h := start(t, settings(), fleet(8)...)
		d.classes.current[0].meanRuntime, d.classes.current[0].baseRuntime = 0.3, 0.3 // so that the timeout for the start notice is longer
		h.submit(d, "full", 0)
		h.now += c.after
		h.endAttempt(d, "full", 0, Rejected)
		d.addInFlight(d.workers.all[1], c.inFlight)
		h.cancels = nil
		h.run(d, h.now+400*ms)
		if got := len(h.cancels) > 0; got != c.cancelled {
			t.Errorf("%s: cancelled %v", c.why, h.cancels)
		}
	}
}
