package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// serveOne submits a request, has it served about 20 ms after it was sent, and returns the worker.
func (h *fakeHost) serveOne(d *Dispatcher) (worker string) {
	id := fmt.Sprint("job", len(h.sends), h.now)
	h.submit(d, id, 0)
	h.run(d, h.now+5*ms)
	if h.attempts[id] > 0 {
		worker = h.lastWorker()
		_ = d.AttemptStarted(h.now, id, 0)
		h.run(d, h.now+20*ms)
		h.endAttempt(d, id, 0, Served)
	}
	h.run(d, h.now+25*ms)
	return worker
}

// Guards against worker lists that end a cordon: neither a new list nor a removal and
// return of the worker ends it, and a drain by discovery continues after it.
func TestCordonSurvivesWorkerLists(t *testing.T) {
	a, b := WorkerInfo{Name: "a", Weight: 1}, WorkerInfo{Name: "b", Weight: 1}
	d, h := start(t, settings(), a, b)
	if d.Cordon(h.now, "stranger", true) || d.Cordon(h.now, "stranger", false) {
		t.Error("an unknown worker was cordoned or uncordoned")
	}
	only := func(when, want string) {
		t.Helper()
		for range 12 {
			if w := h.serveOne(d); w != want {
				t.Fatalf("%s: a request went to %q, want %q", when, w, want)
			}
		}
	}
	once := d.Cordon(h.now, "a", true)
	again := d.Cordon(h.now, "a", true)
	if !once || !again {
		t.Error("a known worker was not cordoned")
	}
	only("cordoned twice", "b")
	d.WorkersUpdated(h.now, UpdateFull, []WorkerInfo{a, b})
	only("listed again", "b")
	d.WorkersUpdated(h.now, UpdateFull, []WorkerInfo{b})
	if !d.Cordon(h.now, "a", true) {
		t.Error("a cordoned worker is unknown after its removal from the list")
	}
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "a", Weight: 1, StartedAt: h.now}})
	only("removed and listed again", "b")
	leaving := a
	leaving.State = Draining
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{leaving})
	if !d.Cordon(h.now, "a", false) {
		t.Error("the worker was not uncordoned")
	}
	only("uncordoned while it drains", "b")
	leaving = b
	leaving.State = Draining
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{a, leaving})
	only("active again", "a")
}

// A restored cordon applies to a worker that is listed after it.
func TestRestoreCordon(t *testing.T) {
	d, h := start(t, settings(), WorkerInfo{Name: "b", Weight: 1})
	d.RestoreCordon("a")
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "a", Weight: 1}})
	for range 12 {
		if w := h.serveOne(d); w != "b" {
			t.Fatalf("a request went to %q, want b", w)
		}
	}
	if !d.Cordon(h.now, "a", false) || d.workers.byName["a"].cordoned {
		t.Error("the restored cordon was not removed")
	}
}

// Guards against an uncordoned worker that is sent as much as before at once, and against
// one that gets nothing.
func TestUncordonedWorkerWarmsUp(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 20*time.Second, 0.1, 3, 2*time.Second
	d, h := start(t, set, WorkerInfo{Name: "a", Weight: 1}, WorkerInfo{Name: "b", Weight: 1})
	count := func(span time.Duration) (n int) {
		for end := h.now + span; h.now < end; {
			if h.serveOne(d) == "a" {
				n++
			}
		}
		return n
	}
	before := count(4 * time.Second)
	d.Cordon(h.now, "a", true)
	if n := count(time.Second); n != 0 {
		t.Errorf("%d requests while it was cordoned", n)
	}
	d.Cordon(h.now, "a", false)
	if n := count(4 * time.Second); n == 0 || n > before/2 {
		t.Errorf("%d requests in 4 s after it was uncordoned, %d in 4 s before", n, before)
	}
}

// The slow start of an uncordoned worker begins at a restart that the list showed during the cordon.
func TestUncordonedSlowStartBeginsAtRestart(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 20*time.Second, 0.1, 3, 2*time.Second
	a, b := WorkerInfo{Name: "a", Weight: 1}, WorkerInfo{Name: "b", Weight: 1, StartedAt: time.Hour - time.Minute}
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
		t.Errorf("slow start ends %v after its restart", got-restarted)
	}
	if got := d.workers.byName["b"].warmAt; got != h.now+set.SlowStartDuration {
		t.Errorf("slow start ends %v after it was uncordoned", got-h.now)
	}
}
