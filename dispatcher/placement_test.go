package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Placement: a class goes to its kinds and zones only, also when none of those
// is there, and finds the one that is among many others.
func TestPlacementByKindsAndZones(t *testing.T) {
	set := settings()
	set.Classes[0].Kinds, set.Classes[1].Zones, set.Classes[2].Kinds = []int{1}, []int{1}, []int{}
	all := fleet(200)
	all[77].Kind = 1
	d, h := start(t, set, all...)
	for i := range 30 {
		id := fmt.Sprint("r", i)
		h.submit(d, id, 0)
		if h.last() != "w77" || h.attempts[id] != 1 {
			t.Fatalf("%d sends, the last to %s", h.attempts[id], h.last())
		}
		h.endAttempt(d, id, 0, Served)
	}
	h.submit(d, "zone", 1)
	for n := range 3 {
		if w := d.workers.byName[h.last()]; w.Zone != 1 {
			t.Errorf("attempt %d went to zone %d", n, w.Zone)
		}
		h.endAttempt(d, "zone", n, ConnectFailed)
	}
	h.submit(d, "nowhere", 2)
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: "w77", Kind: 1, Zone: 1, State: Draining, Weight: 1}})
	h.submit(d, "none", 0)
	sends := len(h.sends)
	h.submit(d, "other", 1) // is not stopped by those that find nothing
	h.run(d, h.now+6*time.Second)
	if h.attempts["nowhere"]+h.attempts["none"] > 0 || h.ends["none"] != "refused" || h.ends["nowhere"] != "refused" {
		t.Errorf("%q, %q, want both refused unsent", h.ends["none"], h.ends["nowhere"])
	}
	if len(h.sends) == sends {
		t.Error("a class with workers was held up")
	}
}

func TestPickIsBelowTheThreshold(t *testing.T) {
	set := settings()
	set.StartNotified = false
	d, h := start(t, set, fleet(4)...)
	for _, w := range d.workers.all[:3] {
		w.inFlight = 3
		d.capacity.inFlight += 3
	}
	d.workers.all[2].inFlight, d.capacity.inFlight = 20, d.capacity.inFlight+17 // mean 6.5: threshold 7.5
	for range 100 {
		if w := d.pickWorker(h.now, &request{class: d.classes.current[0], Request: Request{Slots: 1}}, true); w == d.workers.all[2] {
			t.Fatal("picked a worker above the threshold")
		}
	}
}

// A worker that owes a start notice gets no second job while others have capacity,
// and one that hangs gets nothing until it is known to be alive.
func TestWorkersWithoutStartsAreAvoided(t *testing.T) {
	set := settings()
	set.AllowCancel = false
	d, h := start(t, set, fleet(2)...)
	h.submit(d, "a", 0)
	hung := h.last()
	h.submit(d, "b", 0)
	if h.last() == hung {
		t.Error("second job to a worker that has not started the first")
	}
	_ = d.AttemptStarted(h.now, "b", 0)
	h.run(d, h.now+200*ms)
	if w := d.workers.byName[hung]; w.unhealthyUntil <= h.now || w.limit == unlimited {
		t.Errorf("overdue start: left alone until %v, sigma %v", w.unhealthyUntil, w.limit)
	}
	h.submit(d, "c", 0)
	h.submit(d, "e", 0)
	for _, s := range h.sends[2:] {
		if s.worker == hung {
			t.Error("job to a stuck worker")
		}
	}
	_ = d.AttemptStarted(h.now, "a", 0)
	if d.workers.byName[hung].unhealthyUntil != 0 {
		t.Error("still left alone after a sign")
	}
}

// With few jobs a worker the threshold does not tell sizes apart: the draw does.
func TestPicksFollowListedSize(t *testing.T) {
	d, h := start(t, settings(), WorkerInfo{Worker: "large", Weight: 3}, WorkerInfo{Worker: "small", Weight: 1})
	large := 0
	for range 2000 {
		if d.pickWorker(h.now, &request{class: d.classes.current[0], Request: Request{Slots: 1}, deadline: inTwo(h), targetAt: inTwo(h)}, true).Worker == "large" {
			large++
		}
	}
	// A draw among two that ends with the loser where both lose: at least 3 of 4, at most 5 of 6.
	if large < 1450 || large > 1750 {
		t.Errorf("%d of 2000 picks on the worker of three times the size", large)
	}
}

// All dispatchers find the same homes for a key, and a home with work waiting
// is passed over for the next zone's.
func TestKeysHaveHomes(t *testing.T) {
	homes := map[string]string{}
	for _, seed := range []uint64{1, 2} {
		h := &fakeHost{t: t, now: time.Hour, attempts: map[string]int{}, ends: map[string]string{}}
		d, _ := New(settings(), seed, h)
		ws := fleet(20)
		if seed == 2 {
			slices.Reverse(ws)
		}
		d.WorkersUpdated(h.now, UpdateStale, ws)
		for i := range 30 {
			id := fmt.Sprint("r", i)
			_ = d.SubmitRequest(h.now, Request{ID: id, AffinityKey: id, TimeLeft: 5 * time.Second})
			if seed == 2 && homes[id] != h.last() {
				t.Errorf("key %s: %s and %s", id, homes[id], h.last())
			}
			homes[id] = h.last()
			h.endAttempt(d, id, 0, Served)
		}
		_ = d.SubmitRequest(h.now, Request{ID: "x", AffinityKey: "k", TimeLeft: 5 * time.Second})
		_ = d.SubmitRequest(h.now, Request{ID: "y", AffinityKey: "k", TimeLeft: 5 * time.Second})
		x, y := h.sends[len(h.sends)-2].worker, h.last()
		if d.workers.byName[x].Zone != 0 || d.workers.byName[y].Zone != 1 {
			t.Errorf("homes %s and %s", x, y)
		}
	}
}
