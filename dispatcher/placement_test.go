package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Requests of a class are sent only to workers of its kinds and zones, and are rejected if
// there are none. The only allowed worker is found among many others.
func TestPlacementByKindsAndZones(t *testing.T) {
	set := settings()
	set.Classes[0].Kinds, set.Classes[1].Zones, set.Classes[2].Kinds = []int{1}, []int{1}, []int{}
	all := fleet(200)
	all[77].Kind = 1
	d, h := start(t, set, all...)
	for i := range 30 {
		id := fmt.Sprint("r", i)
		h.submit(d, id, 0)
		if h.lastWorker() != "w77" || h.attempts[id] != 1 {
			t.Fatalf("%d sends, the last to %s, want one to w77", h.attempts[id], h.lastWorker())
		}
		h.endAttempt(d, id, 0, Served)
	}
	h.submit(d, "zone", 1)
	for n := range 3 {
		if w := d.workers.byName[h.lastWorker()]; w.Zone != 1 {
			t.Errorf("attempt %d went to zone %d, want zone 1", n, w.Zone)
		}
		h.endAttempt(d, "zone", n, ConnectFailed)
	}
	h.submit(d, "nowhere", 2)
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "w77", Kind: 1, Zone: 1, State: Draining, Weight: 1}})
	h.submit(d, "none", 0)
	sends := len(h.sends)
	h.submit(d, "other", 1) // must not be blocked by requests that find no worker
	h.run(d, h.now+6*time.Second)
	if h.attempts["nowhere"]+h.attempts["none"] > 0 || h.ends["none"] != "rejected" || h.ends["nowhere"] != "rejected" {
		t.Errorf("ended as %q and %q, want both rejected without a send", h.ends["none"], h.ends["nowhere"])
	}
	if len(h.sends) == sends {
		t.Error("a class with workers was blocked by classes without")
	}
}

func TestPickIsBelowSlotThreshold(t *testing.T) {
	set := settings()
	set.StartNotified = false
	d, h := start(t, set, fleet(4)...)
	for _, w := range d.workers.all[:3] {
		w.inFlight = 3
		d.capacity.inFlight += 3
	}
	d.workers.all[2].inFlight, d.capacity.inFlight = 20, d.capacity.inFlight+17 // the mean is 6.5 and the threshold 7.5
	for range 100 {
		if w := d.pickWorker(h.now, &request{class: d.classes.current[0], Request: Request{Slots: 1}}, true); w == d.workers.all[2] {
			t.Fatal("picked a worker above the threshold")
		}
	}
}

// A worker with an outstanding start notice gets no second request while others have
// capacity, and a worker that hangs gets nothing until it is known to be alive.
func TestWorkersWithoutStartsAreAvoided(t *testing.T) {
	set := settings()
	set.AllowCancel = false
	d, h := start(t, set, fleet(2)...)
	h.submit(d, "a", 0)
	hung := h.lastWorker()
	h.submit(d, "b", 0)
	if h.lastWorker() == hung {
		t.Error("second request to a worker that has not started the first")
	}
	_ = d.AttemptStarted(h.now, "b", 0)
	h.run(d, h.now+200*ms)
	if w := d.workers.byName[hung]; w.unhealthyUntil <= h.now || w.limit == unlimited {
		t.Errorf("after an overdue start: unhealthy until %v, limit %v", w.unhealthyUntil, w.limit)
	}
	h.submit(d, "c", 0)
	h.submit(d, "e", 0)
	for _, s := range h.sends[2:] {
		if s.worker == hung {
			t.Error("request to an unhealthy worker")
		}
	}
	_ = d.AttemptStarted(h.now, "a", 0)
	if d.workers.byName[hung].unhealthyUntil != 0 {
		t.Error("still unhealthy after a start notice")
	}
}

// With few requests per worker the threshold does not distinguish sizes; the weighted draw does.
func TestPicksFollowListedSize(t *testing.T) {
	d, h := start(t, settings(), WorkerInfo{Name: "large", Weight: 3}, WorkerInfo{Name: "small", Weight: 1})
	large := 0
	for range 2000 {
		if d.pickWorker(h.now, &request{class: d.classes.current[0], Request: Request{Slots: 1}, deadline: twoSecondsFrom(h), targetAt: twoSecondsFrom(h)}, true).Name == "large" {
			large++
		}
	}
	// A draw between two workers that falls back to the smaller if both lose yields at least 3 of 4 and at most 5 of 6.
	if large < 1450 || large > 1750 {
		t.Errorf("%d of 2000 picks of the worker of three times the size, want 1450 to 1750", large)
	}
}

// All dispatchers find the same owners for an affinity key, and an owner with waiting
// work is skipped in favor of the next zone's.
func TestKeysHaveOwners(t *testing.T) {
	owners := map[string]string{}
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
			_ = d.SubmitRequest(h.now, Request{ID: id, AffinityKey: id, RemainingTimeout: 5 * time.Second})
			if seed == 2 && owners[id] != h.lastWorker() {
				t.Errorf("key %s: two dispatchers chose %s and %s", id, owners[id], h.lastWorker())
			}
			owners[id] = h.lastWorker()
			h.endAttempt(d, id, 0, Served)
		}
		_ = d.SubmitRequest(h.now, Request{ID: "x", AffinityKey: "k", RemainingTimeout: 5 * time.Second})
		_ = d.SubmitRequest(h.now, Request{ID: "y", AffinityKey: "k", RemainingTimeout: 5 * time.Second})
		x, y := h.sends[len(h.sends)-2].worker, h.lastWorker()
		if d.workers.byName[x].Zone != 0 || d.workers.byName[y].Zone != 1 {
			t.Errorf("owners %s and %s, want one in zone 0 and one in zone 1", x, y)
		}
	}
}
