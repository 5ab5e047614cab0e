package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// What may follow an attempt, by effect and outcome.
func TestWhatMayFollowAnOutcome(t *testing.T) {
	for class, effect := range []Idempotency{Idempotent, IdempotentByKey, NotIdempotent} {
		for o := Errored; o <= NotSent; o++ {
			d, h := start(t, settings(), fleet(4)...)
			h.submit(d, "r", class)
			if len(h.sends) != 1 {
				t.Fatalf("not sent at once: %v", h.sends)
			}
			first := d.workers.byName[h.last()]
			h.now += ms
			h.endAttempt(d, "r", 0, o)
			again, mayRepeat := len(h.sends) > 1, d.provesNeverRan(o) || effect != NotIdempotent
			if again && !mayRepeat {
				t.Errorf("effect %d, outcome %d: sent again", effect, o)
			}
			if !again && mayRepeat {
				t.Errorf("effect %d, outcome %d: not tried again", effect, o)
			}
			if again && effect == IdempotentByKey && !d.provesNeverRan(o) && d.workers.byName[h.last()].Zone != first.Zone {
				t.Errorf("keyed, outcome %d: left the zone that drops repeats", o)
			}
			if !mayRepeat && h.ends["r"] != "failed" {
				t.Errorf("effect %d, outcome %d: ended as %q, want failed", effect, o, h.ends["r"])
			}
		}
	}
}

// A request that is idempotent by key may not be retried once its window is over.
func TestKeyedWindow(t *testing.T) {
	d, h := start(t, settings(), fleet(4)...)
	h.submit(d, "r", 1)
	h.now += 1950 * ms
	r := d.requests.byID["r"]
	for _, w := range d.workers.all {
		if d.mayAttempt(h.now, r, w) {
			t.Errorf("may go to %s at the end of the window", w.Worker)
		}
	}
}

// The margin of a window fits a short one.
func TestShortWindow(t *testing.T) {
	set := settings()
	set.Classes[1].DedupWindow = 80 * ms
	d, h := start(t, set, fleet(6)...)
	h.submit(d, "r", 1)
	r := d.requests.byID["r"]
	mate := d.workers.byName[fmt.Sprint("w", (d.workers.byName[h.last()].index+2)%6)] // of the same zone
	if !d.mayAttempt(h.now+60*ms, r, mate) || d.mayAttempt(h.now+75*ms, r, mate) {
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

// The own zone comes first; a retry looks everywhere.
func TestRetriesLeaveTheZone(t *testing.T) {
	d, h := start(t, settings(), fleet(20)...)
	far := func(r *request) (n int) {
		for range 1000 {
			n += d.pickWorker(h.now, r, true).Zone
		}
		return n
	}
	r := &request{class: d.classes.current[0], Request: Request{Slots: 1}, deadline: inTwo(h), targetAt: inTwo(h)}
	if n := far(r); n != 0 {
		t.Errorf("%d of 1000 first picks outside the own zone while it has room", n)
	}
	r.attempts = []attempt{{worker: d.workers.all[0], ended: true}}
	if n := far(r); n < 400 || n > 600 {
		t.Errorf("%d of 1000 further picks outside the own zone", n)
	}
}

// A worker's rejection is no proof where the settings say so: no retry of a request that
// is not idempotent, no rejection, and one that is idempotent by key stays with its group,
// and within its window.
func TestRejectionProvesNothingWhereStated(t *testing.T) {
	set := settings()
	set.RejectedMayHaveRun = true
	set.Classes[1].DedupScope = DedupCell
	set.Classes[1].DedupWindow = 1500 * ms
	d, h := start(t, set, fleet(40)...)
	h.submit(d, "unsafe", 2)
	h.endAttempt(d, "unsafe", 0, Rejected)
	if h.attempts["unsafe"] != 1 || h.ends["unsafe"] != "failed" {
		t.Errorf("unsafe: %d sends, end %q", h.attempts["unsafe"], h.ends["unsafe"])
	}
	for i := range 20 {
		id := fmt.Sprint("k", i)
		h.submit(d, id, 1)
		cell := d.workers.byName[h.last()].Cell
		h.endAttempt(d, id, 0, Rejected)
		if h.attempts[id] != 2 || d.workers.byName[h.last()].Cell != cell {
			t.Fatalf("keyed: %d sends, cell %d after %d", h.attempts[id], d.workers.byName[h.last()].Cell, cell)
		}
		h.endAttempt(d, id, 1, Served)
	}
	h.submit(d, "late", 1)
	h.run(d, h.now+1450*ms)
	h.endAttempt(d, "late", 0, Rejected)
	if h.attempts["late"] != 1 || h.ends["late"] != "failed" {
		t.Errorf("after its window: %d sends, end %q", h.attempts["late"], h.ends["late"])
	}
}

// A job whose start is overdue is cancelled and tried elsewhere, once it has
// ended there; not one that is not idempotent, and not while workers are full.
func TestOverdueStartsAreRescheduled(t *testing.T) {
	for class, effect := range []Idempotency{Idempotent, IdempotentByKey, NotIdempotent} {
		d, h := start(t, settings(), fleet(8)...)
		h.submit(d, "r", class)
		first := h.last()
		h.run(d, h.now+120*ms)
		if moved := len(h.cancels) == 1; moved != (effect != NotIdempotent) {
			t.Fatalf("effect %d: %d called off", effect, len(h.cancels))
		}
		if len(h.sends) != 1 {
			t.Fatalf("effect %d: sent again while the first attempt is out", effect)
		}
		if effect == NotIdempotent {
			continue
		}
		if w := d.workers.byName[first]; w.unhealthyUntil <= h.now {
			t.Errorf("doubted until %v: it can give no sign of this job any more", w.unhealthyUntil-h.now)
		}
		h.endAttempt(d, "r", 0, Cancelled)
		if len(h.sends) != 2 || h.last() == first {
			t.Errorf("effect %d: %d sends, the last to %s after %s", effect, len(h.sends), h.last(), first)
		}
	}
	for _, c := range []struct {
		why      string
		after    time.Duration // from the send to 'full'
		held     float64
		calledOf bool
	}{
		{"workers are full", 0, 0, false},
		{"a drain hands back", 150 * ms, 0, true},
		{"we hold a job a worker", 150 * ms, 8, false},
	} {
		d, h := start(t, settings(), fleet(8)...)
		d.classes.current[0].meanRuntime, d.classes.current[0].baseRuntime = 0.3, 0.3 // so that the start is waited for longer
		h.submit(d, "full", 0)
		h.now += c.after
		h.endAttempt(d, "full", 0, Rejected)
		d.addInFlight(d.workers.all[1], c.held)
		h.cancels = nil
		h.run(d, h.now+400*ms)
		if got := len(h.cancels) > 0; got != c.calledOf {
			t.Errorf("%s: called off %v", c.why, h.cancels)
		}
	}
}
