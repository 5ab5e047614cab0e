package dispatcher

import (
	"slices"
	"testing"
	"time"
)

// Guards against requests in flight that change their class with the settings, against
// attempts beyond a lowered maximum, and against pending work that remains counted for a
// removed class.
func TestUpdateSettings(t *testing.T) {
	set := settings()
	d, h := start(t, set, fleet(3)...)
	h.submit(d, "once", 2)
	h.submit(d, "free", 0)
	h.submit(d, "many", 0)
	learned := 0.25
	d.classes.current[0].meanRuntime = learned
	next := set
	next.MaxAttempts = 1
	next.Classes = []Class{{Name: "new", LatencyTarget: 200 * ms, ClientTimeout: 5 * time.Second, Kinds: []int{7}}, set.Classes[0]}
	next.Classes[1].Idempotency, next.Classes[1].TargetStretch = NotIdempotent, 9 // a stricter class
	if err := d.UpdateSettings(Settings{}); err == nil || len(d.classes.current) != 3 {
		t.Error("settings without a class were applied")
	}
	if err := d.UpdateSettings(next); err != nil {
		t.Fatal(err)
	}
	if k := d.classes.current[1]; k.meanRuntime != learned || k.Idempotency != NotIdempotent || len(d.classes.inUse) != 4 {
		t.Errorf("the class is %+v after the change, %d classes in use", k, len(d.classes.inUse))
	}
	h.endAttempt(d, "once", 0, ConnectionLost)
	if h.ends["once"] != "failed" {
		t.Errorf("a request that is not idempotent, of a removed class, ended as %q, want failed", h.ends["once"])
	}
	h.endAttempt(d, "free", 0, ConnectionLost)
	if h.ends["free"] != "rejected" || h.attempts["free"] != 1 { // 1 attempt is allowed now; by its former class it may be retried by the client
		t.Errorf("ended as %q after %d attempts", h.ends["free"], h.attempts["free"])
	}
	checkRequestsOfFormerClasses(t, d, h, next)
}

// checkRequestsOfFormerClasses checks a request that was submitted before the change of settings, and new requests.
func checkRequestsOfFormerClasses(t *testing.T, d *Dispatcher, h *fakeHost, next Settings) {
	t.Helper()
	next.MaxAttempts = 4
	if err := d.UpdateSettings(next); err != nil {
		t.Fatal(err)
	}
	h.endAttempt(d, "many", 0, ConnectionLost)
	if h.attempts["many"] != 2 {
		t.Errorf("a request that was submitted as idempotent had %d attempts, want 2", h.attempts["many"])
	}
	h.submit(d, "strict", 1)
	h.endAttempt(d, "strict", 0, ConnectionLost)
	if h.ends["strict"] != "failed" || h.attempts["strict"] != 1 {
		t.Errorf("a request of the stricter class ended as %q after %d attempts", h.ends["strict"], h.attempts["strict"])
	}
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "special", Kind: 7, Weight: 1}})
	h.submit(d, "new", 0)
	if h.lastWorker() != "special" {
		t.Errorf("a request of the new class went to %s", h.lastWorker())
	}
	h.endAttempt(d, "new", 0, Served)
	h.endAttempt(d, "many", 1, Served)
	h.run(d, h.now+10*time.Second)
	if err := d.UpdateSettings(next); err != nil {
		t.Fatal(err)
	}
	if len(d.classes.inUse) != 2 || d.capacity.inFlight != 0 || len(d.requests.byID) != 0 {
		t.Errorf("%d classes in use, %v slots in flight, %d requests open", len(d.classes.inUse), d.capacity.inFlight, len(d.requests.byID))
	}
	for _, tn := range d.tenants.all {
		if len(tn.pendingWork) != 2 || slices.Max(tn.pendingWork) > 1e-9 {
			t.Errorf("pending work %v, want none for 2 classes", tn.pendingWork)
		}
	}
}

// Queued requests remain queued, with their work counted for their former class.
func TestUpdateSettingsWithPendingRequests(t *testing.T) {
	set := settings()
	d, h := start(t, set)
	for i := range 3 {
		h.submit(d, string(rune('a'+i)), i)
	}
	d.classes.current[1].meanRuntime = 0.5
	set.Classes = slices.Clone(set.Classes[:1])
	set.Classes[0].LatencyTarget = time.Second
	if err := d.UpdateSettings(set); err != nil {
		t.Fatal(err)
	}
	if len(d.classes.inUse) != 4 || d.requests.pending != 3 {
		t.Errorf("%d classes in use for %d queued requests", len(d.classes.inUse), d.requests.pending)
	}
	d.WorkersUpdated(h.now, UpdateFull, fleet(3))
	for _, id := range []string{"a", "b", "c"} {
		if h.attempts[id] != 1 {
			t.Errorf("request %s was sent %d times, want once", id, h.attempts[id])
		}
	}
}

// Guards against a panic when an attempt ends at a removed worker after a change of settings: the worker has no positions for
// the pools that the change has created.
func TestSettingsChangeWhileARemovedWorkerIsBusy(t *testing.T) {
	set := settings()
	d, h := start(t, set, WorkerInfo{Name: "a", Weight: 1})
	h.submit(d, "r", 0)
	if h.lastWorker() != "a" {
		t.Fatalf("sent to %q", h.lastWorker())
	}
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "a", State: Removed}})
	set.Classes = append(set.Classes, Class{Name: "other", LatencyTarget: 200 * ms, ClientTimeout: time.Second, Kinds: []int{3}})
	if err := d.UpdateSettings(set); err != nil {
		t.Fatal(err)
	}
	h.endAttempt(d, "r", 0, Served)
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "a", Kind: 3, Weight: 1}})
	h.submit(d, "next", 3)
	if h.lastWorker() != "a" {
		t.Errorf("the worker gets nothing after it is listed again: sent to %q", h.lastWorker())
	}
}
