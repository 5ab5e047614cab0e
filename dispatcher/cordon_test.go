package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// one has a job served, 20 ms after it was sent, and returns where.
func (h *fakeHost) one(d *Dispatcher) (worker string) {
	id := fmt.Sprint("job", len(h.sends), h.now)
	h.submit(d, id, 0)
	h.run(d, h.now+5*ms)
	if h.attempts[id] > 0 {
		worker = h.last()
		_ = d.AttemptStarted(h.now, id, 0)
		h.run(d, h.now+20*ms)
		h.endAttempt(d, id, 0, Served)
	}
	h.run(d, h.now+25*ms)
	return worker
}

// Guards against a cordon that a list undoes: neither a new list nor a worker that
// vanishes and returns ends it, and a drain by discovery goes on after it.
func TestCordonOverLists(t *testing.T) {
	a, b := WorkerInfo{Worker: "a", Weight: 1}, WorkerInfo{Worker: "b", Weight: 1}
	d, h := start(t, settings(), a, b)
	if d.Cordon(h.now, "stranger", true) || d.Cordon(h.now, "stranger", false) {
		t.Error("a worker that nobody has named was taken out")
	}
	only := func(when, want string) {
		t.Helper()
		for range 12 {
			if w := h.one(d); w != want {
				t.Fatalf("%s, a job went to %q, want %q", when, w, want)
			}
		}
	}
	once := d.Cordon(h.now, "a", true)
	again := d.Cordon(h.now, "a", true)
	if !once || !again {
		t.Error("a known worker was not taken out")
	}
	only("cordoned twice", "b")
	d.WorkersUpdated(h.now, UpdateFull, []WorkerInfo{a, b})
	only("listed anew", "b")
	d.WorkersUpdated(h.now, UpdateFull, []WorkerInfo{b})
	if !d.Cordon(h.now, "a", true) {
		t.Error("vanished, the worker is still one that was taken out")
	}
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: "a", Weight: 1, StartedAt: h.now}})
	only("vanished and returned", "b")
	leaving := a
	leaving.State = Draining
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{leaving})
	if !d.Cordon(h.now, "a", false) {
		t.Error("the call back was refused")
	}
	only("called back while it drains", "b")
	leaving = b
	leaving.State = Draining
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{a, leaving})
	only("back", "a")
}

// A worker cordoned in an earlier run is cordoned before any list names it.
func TestRestoreCordon(t *testing.T) {
	d, h := start(t, settings(), WorkerInfo{Worker: "b", Weight: 1})
	d.RestoreCordon("a")
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: "a", Weight: 1}})
	for range 12 {
		if w := h.one(d); w != "b" {
			t.Fatalf("a job went to %q", w)
		}
	}
	if !d.Cordon(h.now, "a", false) || d.workers.byName["a"].cordoned {
		t.Error("it was not put back")
	}
}

// Guards against an uncordoned worker that is sent as much as before, and
// against one that is left unused though it is back.
func TestUncordonedWorkerWarmsUp(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 20*time.Second, 0.1, 3, 2*time.Second
	d, h := start(t, set, WorkerInfo{Worker: "a", Weight: 1}, WorkerInfo{Worker: "b", Weight: 1})
	count := func(span time.Duration) (n int) {
		for end := h.now + span; h.now < end; {
			if h.one(d) == "a" {
				n++
			}
		}
		return n
	}
	before := count(4 * time.Second)
	d.Cordon(h.now, "a", true)
	if n := count(time.Second); n != 0 {
		t.Errorf("%d jobs while it was out", n)
	}
	d.Cordon(h.now, "a", false)
	if n := count(4 * time.Second); n == 0 || n > before/2 {
		t.Errorf("%d jobs in 4 s after it came back cold, %d in 4 s before", n, before)
	}
}

// A restart that the list showed while the worker was cordoned says since when it warms up.
func TestCordonedWarmsFromItsRestart(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 20*time.Second, 0.1, 3, 2*time.Second
	a, b := WorkerInfo{Worker: "a", Weight: 1}, WorkerInfo{Worker: "b", Weight: 1, StartedAt: time.Hour - time.Minute}
	d, h := start(t, set, a, b)
	for _, w := range []string{"a", "b"} {
		d.Cordon(h.now, w, true)
	}
	restarted := h.now + time.Second
	a.StartedAt = restarted
	h.run(d, h.now+5*time.Second)
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{a})
	for _, w := range []string{"a", "b"} {
		d.Cordon(h.now, w, false)
	}
	if got := d.workers.byName["a"].warmAt; got != restarted+set.SlowStartDuration {
		t.Errorf("cold until %v after its restart", got-restarted)
	}
	if got := d.workers.byName["b"].warmAt; got != h.now+set.SlowStartDuration {
		t.Errorf("cold until %v after it came back", got-h.now)
	}
}
