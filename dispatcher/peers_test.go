package dispatcher

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
)

// Guards against two processes of one scheduler that each fill a worker as if they were
// alone, and against slots that stay counted after the other process or the worker is gone.
func TestSiblingLoadCountsLikeOwn(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	if len(d.LoadByWorker()) != 0 {
		t.Errorf("load %v before the first request, want none", d.LoadByWorker())
	}
	d.SetSiblingLoad(h.now, map[string]Load{"w0": {InFlight: 3, NotStarted: 1}, "stranger": {InFlight: 9}})
	for i := range 3 {
		id := fmt.Sprint("r", i)
		h.submit(d, id, 0)
		if h.lastWorker() != "w1" {
			t.Errorf("request %d went to %s, where the sibling has three slots in flight", i, h.lastWorker())
		}
		_ = d.AttemptStarted(h.now, id, 0)
	}
	if got := d.LoadByWorker()["w1"]; got.InFlight != 3 || got.NotStarted != 0 || d.LoadByWorker()["w0"] != (Load{}) {
		t.Errorf("own load is %v", d.LoadByWorker())
	}
	if d.capacity.inFlight != 6 {
		t.Errorf("%v slots in flight, want 6", d.capacity.inFlight)
	}
	d.SetSiblingLoad(h.now, map[string]Load{"w0": {InFlight: 1}})
	if w := d.workers.byName["w0"]; d.capacity.inFlight != 4 || w.inFlight != 1 || w.notStarted != 0 {
		t.Errorf("%v slots in flight, %v at w0, %d not started", d.capacity.inFlight, w.inFlight, w.notStarted)
	}
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "w0", State: Removed}})
	d.SetSiblingLoad(h.now, nil)
	if d.capacity.inFlight != 3 || d.workers.pools[0].inFlight != 3 {
		t.Errorf("%v slots in flight after the worker and the sibling are gone, want 3", d.capacity.inFlight)
	}
}

// Guards against a worker that is overloaded during its slow start by two processes together.
func TestSiblingLoadSpendsSlowStartCredit(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 8*time.Second, 0.3, 3, 2*time.Second
	d, h := start(t, set, WorkerInfo{Name: "cold", Weight: 1, StartedAt: time.Hour})
	w := d.workers.byName["cold"]
	w.slowStartCredit = 1
	d.SetSiblingLoad(h.now, map[string]Load{"cold": {WorkSent: 50}}) // sent before this dispatcher knew of it
	d.SetSiblingLoad(h.now, map[string]Load{"cold": {WorkSent: 50.75}})
	if w.slowStartCredit != 0.25 {
		t.Errorf("credit is %v, want 0.25", w.slowStartCredit)
	}
}

// A dispatcher restores the learned state of another from its JSON form.
func TestLearnedStateIsRestored(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Name: "a", Share: 1, Quota: 10}, {Name: "b", Share: 2}}
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 8*time.Second, 0.3, 3, 2*time.Second
	workers := append(fleet(3), WorkerInfo{Name: "cold", Weight: 1, StartedAt: time.Hour - time.Second})
	d, h := start(t, set, workers...)
	for i := range 60 {
		id := fmt.Sprint("r", i)
		h.submit(d, id, i%3)
		h.run(d, h.now+10*ms)
		if h.attempts[id] == 0 {
			continue
		}
		_ = d.AttemptStarted(h.now, id, 0)
		h.run(d, h.now+30*ms)
		if i%7 == 6 {
			h.endAttempt(d, id, 0, Rejected)
		} else {
			_ = d.AttemptEnded(h.now, AttemptResult{ID: id, Outcome: Served, ClientAnswered: true, Report: &LoadReport{HasFreeSlots: true, FreeSlots: 3}})
			h.ends[id] = "served"
		}
	}
	b, err := json.Marshal(d.LearnedState(h.now))
	if err != nil {
		t.Fatal(err)
	}
	var l LearnedState
	if err := json.Unmarshal(b, &l); err != nil {
		t.Fatal(err)
	}
	next, other := start(t, set, workers...)
	other.now = h.now + time.Hour // the clocks of the two processes differ
	next.RestoreLearnedState(other.now, l)
	got := next.LearnedState(other.now)
	for i := range l.Workers { // the credit remains with the former dispatcher
		l.Workers[i].SlowStartCredit = min(0, l.Workers[i].SlowStartCredit)
		if l.Workers[i].WarmIn == 0 {
			got.Workers[i].SlowStartCredit = l.Workers[i].SlowStartCredit
		}
		for _, v := range []*float64{&l.Workers[i].UnhealthyFor, &got.Workers[i].UnhealthyFor} { // times are rounded to nanoseconds
			*v = math.Round(*v*1e6) / 1e6
		}
	}
	if !reflect.DeepEqual(got, l) {
		t.Errorf("restored %+v\nfrom %+v", got, l)
	}
	if l.Classes[0].MeanRuntime <= 0 || l.Workers[0].Limit == 0 || l.MeanWork <= 0 || l.Workers[3].WarmIn <= 0 {
		t.Errorf("learned state is incomplete: %+v", l)
	}
}

// Guards against sending to a worker that another scheduler has filled, and against counting the load of peers as this
// dispatcher's own, which would make estimated waits far too short.
func TestPeerLoadCountsAtTheWorkerOnly(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	d.TrackLoadChanges()
	d.UpdatePeerLoad(h.now, []WorkerLoad{{Worker: "w0", Load: Load{InFlight: 3, NotStarted: 1}}, {Worker: "stranger", Load: Load{InFlight: 9}}})
	for i := range 2 {
		id := fmt.Sprint("r", i)
		h.submit(d, id, 0)
		if h.lastWorker() != "w1" {
			t.Errorf("request %d went to %s, where peers have three slots in flight", i, h.lastWorker())
		}
		_ = d.AttemptStarted(h.now, id, 0)
	}
	if w := d.workers.byName["w0"]; d.capacity.inFlight != 2 || w.inFlight != 3 || w.notStarted != 1 || d.workers.pools[0].inFlight != 5 {
		t.Errorf("own slots in flight %v, %v of 5 at workers, %v and %d not started at w0", d.capacity.inFlight, d.workers.pools[0].inFlight, w.inFlight, w.notStarted)
	}
	reported := d.AppendLoadChanges(nil)
	if len(reported) != 1 || reported[0].Worker != "w1" || reported[0].InFlight != 2 || reported[0].NotStarted != 0 {
		t.Errorf("load changes %v, want only the own load at w1", reported)
	}
	if again := d.AppendLoadChanges(nil); len(again) != 0 {
		t.Errorf("load changes %v without a change", again)
	}
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "w0", State: Removed}})
	d.UpdatePeerLoad(h.now, []WorkerLoad{{Worker: "w1"}})
	if d.capacity.inFlight != 2 || d.workers.pools[0].inFlight != 2 {
		t.Errorf("own slots in flight %v, %v at workers after the load of peers is gone, want 2", d.capacity.inFlight, d.workers.pools[0].inFlight)
	}
}

// Guards against peers that learn too late that a worker is saturated, and against reporting it for a worker with free slots.
func TestSaturationIsReported(t *testing.T) {
	d, h := start(t, settings(), fleet(1)...)
	d.TrackLoadChanges()
	full := func(id string) bool {
		h.submit(d, id, 0)
		reported := d.AppendLoadChanges(nil)
		if len(reported) != 1 || reported[0].Worker != "w0" {
			t.Fatalf("load changes %v, want only w0", reported)
		}
		_ = d.AttemptStarted(h.now, id, 0)
		return reported[0].Saturated
	}
	if full("r0") {
		t.Error("reported as saturated before any load report arrived")
	}
	_ = d.AttemptEnded(h.now, AttemptResult{ID: "r0", Outcome: Served, ClientAnswered: true, Report: &LoadReport{HasFreeSlots: true, FreeSlots: 2}})
	if full("r1") {
		t.Error("reported as saturated with one request on two slots")
	}
	d.UpdatePeerLoad(h.now, []WorkerLoad{{Worker: "w0", Load: Load{InFlight: 3}}})
	_ = d.AttemptEnded(h.now, AttemptResult{ID: "r1", Outcome: Served, ClientAnswered: true})
	if reported := d.AppendLoadChanges(nil); len(reported) != 1 || !reported[0].Saturated || reported[0].InFlight != 0 {
		t.Errorf("load changes %v with three slots of peers in flight on two slots, want w0 saturated", reported)
	}
}

// Guards against queueing requests at a worker of the subset whose slots are known to be in flight: judged by this
// dispatcher's few requests and the mean of the subset, it seems to have as much free capacity as the other workers.
func TestKnownSlotsAreNotOvercommitted(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	d.SetSubset(h.now, []string{"w0", "w1"}, 4)
	d.workers.maxFreeByKind[0] = 4
	d.UpdatePeerLoad(h.now, []WorkerLoad{{Worker: "w0", Load: Load{InFlight: 4}}, {Worker: "w1", Load: Load{InFlight: 4}}})
	r := &request{Request: Request{Slots: 1}, class: d.classes.current[0], tenant: d.tenants.all[0]}
	if d.belowSlotThreshold(h.now, d.workers.byName["w0"], r, true) {
		t.Error("a worker with all four slots in flight is below the threshold")
	}
	d.UpdatePeerLoad(h.now, []WorkerLoad{{Worker: "w0", Load: Load{InFlight: 3}}})
	if !d.belowSlotThreshold(h.now, d.workers.byName["w0"], r, true) {
		t.Error("a worker with one of four slots free is not below the threshold")
	}
	if r.Slots = 2; d.belowSlotThreshold(h.now, d.workers.byName["w0"], r, true) {
		t.Error("a worker with one slot free is below the threshold for a request of two slots")
	}
	d.UpdatePeerLoad(h.now, []WorkerLoad{{Worker: "w0", Load: Load{InFlight: 4}}})
	d.SetSubset(h.now, nil, 0) // without a subset the load of all dispatchers is not known
	if r.Slots = 1; !d.belowSlotThreshold(h.now, d.workers.byName["w1"], r, true) {
		t.Error("a worker with the mean load is not below the threshold")
	}
}

// Guards against requests that spill over into the subsets of other dispatchers, where the load is not known, while the
// workers of the own subset only have outstanding start notices, and against requests that are rejected because the whole
// subset is out of service.
func TestSubsetIsPreferred(t *testing.T) {
	d, h := start(t, settings(), fleet(20)...)
	d.SetSubset(h.now, []string{"w3", "w7", "stranger"}, 4)
	for i := range 8 {
		h.submit(d, fmt.Sprint("r", i), 0)
	}
	own := map[string]bool{"w3": true, "w7": true}
	for _, w := range d.workers.all {
		if w.inFlight > 0 && !own[w.Name] {
			t.Errorf("%v slots in flight at %s, which is not in the subset", w.inFlight, w.Name)
		}
	}
	for name := range own {
		d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: name, State: Draining}})
	}
	if h.submit(d, "out", 0); own[h.lastWorker()] {
		t.Errorf("the request went to %s, which drains", h.lastWorker())
	}
	if d.workers.byName[h.lastWorker()] == nil || d.workers.byName[h.lastWorker()].inFlight == 0 {
		t.Error("the request was not sent although 18 workers are free")
	}
	d.SetSubset(h.now, nil, 0)
	if p := d.workers.pools[0]; d.workers.subsetSize != 0 || d.workers.subsetZones(p) != nil || p.targetWeight() != p.weight {
		t.Errorf("%d workers remain in the subset, target weight %v of %v", d.workers.subsetSize, p.targetWeight(), p.weight)
	}
}

// Guards against overloading a worker in slow start by requests that spill over from all subsets, and against warming a worker
// of the own subset as slowly as if all dispatchers sent to it.
func TestSlowStartOutsideSubset(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow, set.Dispatchers = 8*time.Second, 0.3, 3, 2*time.Second, 300
	d, h := start(t, set, WorkerInfo{Name: "mine", Weight: 1}, WorkerInfo{Name: "cold", Weight: 1, StartedAt: time.Hour})
	d.estimates.meanWork = 0.1
	cold := d.workers.byName["cold"]
	r := &request{class: d.classes.current[0], work: 0.1, Request: Request{Slots: 1}}
	usable := func() bool {
		cold.slowStartCredit, cold.slowStartCreditAt = 1, h.now
		return d.usable(h.now, cold, r, true)
	}
	if !usable() {
		t.Error("without a subset a worker in slow start with credit is not usable")
	}
	if d.SetSubset(h.now, []string{"mine"}, 12); usable() {
		t.Error("a worker in slow start outside the subset is usable")
	}
	if d.SetSubset(h.now, []string{"mine", "cold"}, 12); !usable() {
		t.Error("a worker in slow start of the subset is not usable")
	}
}
