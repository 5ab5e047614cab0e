package dispatcher

import (
	"slices"
	"testing"
	"time"
)

// Guards against jobs in flight that change their class with the settings, against
// attempts beyond a lower number, and against pending work that stays counted for a class
// which is removed.
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
	next.Classes[1].Idempotency, next.Classes[1].TargetStretch = NotIdempotent, 9 // stricter
	if err := d.UpdateSettings(Settings{}); err == nil || len(d.classes.current) != 3 {
		t.Error("settings without a class were taken")
	}
	if err := d.UpdateSettings(next); err != nil {
		t.Fatal(err)
	}
	if k := d.classes.current[1]; k.meanRuntime != learned || k.Idempotency != NotIdempotent || len(d.classes.inUse) != 4 {
		t.Errorf("the class goes on as %+v, %d are kept", k, len(d.classes.inUse))
	}
	h.endAttempt(d, "once", 0, ConnectionLost)
	if h.ends["once"] != "failed" {
		t.Errorf("what must not run twice, and whose class is gone, was %q", h.ends["once"])
	}
	h.endAttempt(d, "free", 0, ConnectionLost)
	if h.ends["free"] != "refused" || h.attempts["free"] != 1 { // 1 attempt now; by its class it is harmless to try again
		t.Errorf("was %q after %d attempts", h.ends["free"], h.attempts["free"])
	}
	checkRequestsOfFormerClasses(t, d, h, next)
}

// checkRequestsOfFormerClasses goes on with a request that is older than the settings, and with new ones.
func checkRequestsOfFormerClasses(t *testing.T, d *Dispatcher, h *fakeHost, next Settings) {
	t.Helper()
	next.MaxAttempts = 4
	if err := d.UpdateSettings(next); err != nil {
		t.Fatal(err)
	}
	h.endAttempt(d, "many", 0, ConnectionLost)
	if h.attempts["many"] != 2 {
		t.Errorf("a job that came as harmless to repeat had %d attempts", h.attempts["many"])
	}
	h.submit(d, "strict", 1)
	h.endAttempt(d, "strict", 0, ConnectionLost)
	if h.ends["strict"] != "failed" || h.attempts["strict"] != 1 {
		t.Errorf("a job of the stricter class was %q after %d attempts", h.ends["strict"], h.attempts["strict"])
	}
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: "special", Kind: 7, Weight: 1}})
	h.submit(d, "new", 0)
	if h.last() != "special" {
		t.Errorf("the new class went to %s", h.last())
	}
	h.endAttempt(d, "new", 0, Served)
	h.endAttempt(d, "many", 1, Served)
	h.run(d, h.now+10*time.Second)
	if err := d.UpdateSettings(next); err != nil {
		t.Fatal(err)
	}
	if len(d.classes.inUse) != 2 || d.capacity.inFlight != 0 || len(d.requests.byID) != 0 {
		t.Errorf("%d classes are kept, %v slots booked, %d requests open", len(d.classes.inUse), d.capacity.inFlight, len(d.requests.byID))
	}
	for _, tn := range d.tenants.all {
		if len(tn.pendingWork) != 2 || slices.Max(tn.pendingWork) > 1e-9 {
			t.Errorf("work held: %v", tn.pendingWork)
		}
	}
}

// Pending jobs stay pending, with their work counted for their former class.
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
		t.Errorf("%d classes are kept for %d held jobs", len(d.classes.inUse), d.requests.pending)
	}
	d.WorkersUpdated(h.now, UpdateFull, fleet(3))
	for _, id := range []string{"a", "b", "c"} {
		if h.attempts[id] != 1 {
			t.Errorf("%s was sent %d times", id, h.attempts[id])
		}
	}
}

// A worker that has left the list, and still has an attempt, knows none of the pools that a change of settings makes. Its attempt
// ends as any other.
func TestSettingsChangeWhileARemovedWorkerIsBusy(t *testing.T) {
	set := settings()
	d, h := start(t, set, WorkerInfo{Worker: "a", Weight: 1})
	h.submit(d, "r", 0)
	if h.last() != "a" {
		t.Fatalf("sent to %q", h.last())
	}
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: "a", State: Removed}})
	set.Classes = append(set.Classes, Class{Name: "other", LatencyTarget: 200 * ms, ClientTimeout: time.Second, Kinds: []int{3}})
	if err := d.UpdateSettings(set); err != nil {
		t.Fatal(err)
	}
	h.endAttempt(d, "r", 0, Served)
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: "a", Kind: 3, Weight: 1}})
	h.submit(d, "next", 3)
	if h.last() != "a" {
		t.Errorf("after its return it gets nothing: %q", h.last())
	}
}
