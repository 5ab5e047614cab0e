package dispatcher

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
)

// Guards against two processes of one scheduler that each fill a worker as if they
// were alone, and against slots that stay counted when the other, or the worker, ends.
func TestSiblingLoadCountsLikeOwn(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	if len(d.LoadByWorker()) != 0 {
		t.Errorf("nothing is out, but %v", d.LoadByWorker())
	}
	d.SetSiblingLoad(h.now, map[string]Load{"w0": {InFlight: 3, NotStarted: 1}, "stranger": {InFlight: 9}})
	for i := range 3 {
		id := fmt.Sprint("r", i)
		h.submit(d, id, 0)
		if h.last() != "w1" {
			t.Errorf("job %d went to %s, where the other has three", i, h.last())
		}
		_ = d.AttemptStarted(h.now, id, 0)
	}
	if got := d.LoadByWorker()["w1"]; got.InFlight != 3 || got.NotStarted != 0 || d.LoadByWorker()["w0"] != (Load{}) {
		t.Errorf("out is %v", d.LoadByWorker())
	}
	if d.capacity.inFlight != 6 {
		t.Errorf("%v slots are booked", d.capacity.inFlight)
	}
	d.SetSiblingLoad(h.now, map[string]Load{"w0": {InFlight: 1}})
	if w := d.workers.byName["w0"]; d.capacity.inFlight != 4 || w.inFlight != 1 || w.notStarted != 0 {
		t.Errorf("%v slots are booked, %v at w0, %d wait", d.capacity.inFlight, w.inFlight, w.notStarted)
	}
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: "w0", State: Removed}})
	d.SetSiblingLoad(h.now, nil)
	if d.capacity.inFlight != 3 || d.workers.pools[0].inFlight != 3 {
		t.Errorf("%v slots are booked once the worker and the other are gone", d.capacity.inFlight)
	}
}

// Guards against a worker that warms up and is overloaded by two processes together.
func TestSiblingLoadSpendsSlowStartCredit(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 8*time.Second, 0.3, 3, 2*time.Second
	d, h := start(t, set, WorkerInfo{Worker: "cold", Weight: 1, StartedAt: time.Hour})
	w := d.workers.byName["cold"]
	w.slowStartCredit = 1
	d.SetSiblingLoad(h.now, map[string]Load{"cold": {WorkSent: 50}}) // before it was known here
	d.SetSiblingLoad(h.now, map[string]Load{"cold": {WorkSent: 50.75}})
	if w.slowStartCredit != 0.25 {
		t.Errorf("credit is %v", w.slowStartCredit)
	}
}

// What one dispatcher has learned another goes on from, through its JSON form.
func TestLearnedStateIsRestored(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Name: "a", Share: 1, Quota: 10}, {Name: "b", Share: 2}}
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 8*time.Second, 0.3, 3, 2*time.Second
	workers := append(fleet(3), WorkerInfo{Worker: "cold", Weight: 1, StartedAt: time.Hour - time.Second})
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
			_ = d.AttemptEnded(h.now, AttemptResult{ID: id, Outcome: Served, Answered: true, Report: &LoadReport{HasFreeSlots: true, FreeSlots: 3}})
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
	other.now = h.now + time.Hour // its clock is another
	next.RestoreLearnedState(other.now, l)
	got := next.LearnedState(other.now)
	for i := range l.Workers { // the credit stays with the other
		l.Workers[i].SlowStartCredit = min(0, l.Workers[i].SlowStartCredit)
		if l.Workers[i].WarmIn == 0 {
			got.Workers[i].SlowStartCredit = l.Workers[i].SlowStartCredit
		}
		for _, v := range []*float64{&l.Workers[i].UnhealthyFor, &got.Workers[i].UnhealthyFor} { // times are whole nanoseconds
			*v = math.Round(*v*1e6) / 1e6
		}
	}
	if !reflect.DeepEqual(got, l) {
		t.Errorf("adopted %+v\nfrom %+v", got, l)
	}
	if l.Classes[0].MeanRuntime <= 0 || l.Workers[0].Limit == 0 || l.MeanWork <= 0 || l.Workers[3].WarmIn <= 0 {
		t.Errorf("nothing was learned: %+v", l)
	}
}

// Guards against a worker that another scheduler has filled and that is sent to nevertheless, and against
// others' jobs that are taken for our own, by which waits here would be estimated far too short.
func TestPeerLoadCountsAtTheWorkerOnly(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	d.TrackLoadChanges()
	d.UpdatePeerLoad(h.now, []WorkerLoad{{Worker: "w0", Load: Load{InFlight: 3, NotStarted: 1}}, {Worker: "stranger", Load: Load{InFlight: 9}}})
	for i := range 2 {
		id := fmt.Sprint("r", i)
		h.submit(d, id, 0)
		if h.last() != "w1" {
			t.Errorf("job %d went to %s, where others have three", i, h.last())
		}
		_ = d.AttemptStarted(h.now, id, 0)
	}
	if w := d.workers.byName["w0"]; d.capacity.inFlight != 2 || w.inFlight != 3 || w.notStarted != 1 || d.workers.pools[0].inFlight != 5 {
		t.Errorf("booked %v in all, %v of 5 at workers, %v and %d at w0", d.capacity.inFlight, d.workers.pools[0].inFlight, w.inFlight, w.notStarted)
	}
	reported := d.AppendLoadChanges(nil)
	if len(reported) != 1 || reported[0].Worker != "w1" || reported[0].InFlight != 2 || reported[0].NotStarted != 0 {
		t.Errorf("reported %v, want ours at w1 alone", reported)
	}
	if again := d.AppendLoadChanges(nil); len(again) != 0 {
		t.Errorf("reported again %v", again)
	}
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: "w0", State: Removed}})
	d.UpdatePeerLoad(h.now, []WorkerLoad{{Worker: "w1"}})
	if d.capacity.inFlight != 2 || d.workers.pools[0].inFlight != 2 {
		t.Errorf("booked %v, %v at workers once the others are gone", d.capacity.inFlight, d.workers.pools[0].inFlight)
	}
}

// Guards against a wait at a saturated worker that peers learn of too late, and one reported where it will soon be over.
func TestSaturationIsReported(t *testing.T) {
	d, h := start(t, settings(), fleet(1)...)
	d.TrackLoadChanges()
	full := func(id string) bool {
		h.submit(d, id, 0)
		reported := d.AppendLoadChanges(nil)
		if len(reported) != 1 || reported[0].Worker != "w0" {
			t.Fatalf("reported %v, want w0 alone", reported)
		}
		_ = d.AttemptStarted(h.now, id, 0)
		return reported[0].Saturated
	}
	if full("r0") {
		t.Error("reported as full, of which no report has come")
	}
	_ = d.AttemptEnded(h.now, AttemptResult{ID: "r0", Outcome: Served, Answered: true, Report: &LoadReport{HasFreeSlots: true, FreeSlots: 2}})
	if full("r1") {
		t.Error("reported as full with one job on two slots")
	}
	d.UpdatePeerLoad(h.now, []WorkerLoad{{Worker: "w0", Load: Load{InFlight: 3}}})
	_ = d.AttemptEnded(h.now, AttemptResult{ID: "r1", Outcome: Served, Answered: true})
	if reported := d.AppendLoadChanges(nil); len(reported) != 1 || !reported[0].Saturated || reported[0].InFlight != 0 {
		t.Errorf("reported %v with three of others' jobs on two slots, want that it is full", reported)
	}
}

// Guards against jobs that queue at a worker of the subset whose slots are known to be taken, since by our own few jobs and the
// mean of the subset it looks as empty as others.
func TestKnownSlotsAreNotOversold(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	d.SetSubset(h.now, []string{"w0", "w1"}, 4)
	d.workers.maxFreeByKind[0] = 4
	d.UpdatePeerLoad(h.now, []WorkerLoad{{Worker: "w0", Load: Load{InFlight: 4}}, {Worker: "w1", Load: Load{InFlight: 4}}})
	r := &request{Request: Request{Slots: 1}, class: d.classes.current[0], tenant: d.tenants.all[0]}
	if d.belowSlotThreshold(h.now, d.workers.byName["w0"], r, true) {
		t.Error("there is room at a worker whose four slots are taken")
	}
	d.UpdatePeerLoad(h.now, []WorkerLoad{{Worker: "w0", Load: Load{InFlight: 3}}})
	if !d.belowSlotThreshold(h.now, d.workers.byName["w0"], r, true) {
		t.Error("there is no room with one of four slots free")
	}
	if r.Slots = 2; d.belowSlotThreshold(h.now, d.workers.byName["w0"], r, true) {
		t.Error("there is room for a job of two slots with one free")
	}
	d.UpdatePeerLoad(h.now, []WorkerLoad{{Worker: "w0", Load: Load{InFlight: 4}}})
	d.SetSubset(h.now, nil, 0) // then what others have out is not all known
	if r.Slots = 1; !d.belowSlotThreshold(h.now, d.workers.byName["w1"], r, true) {
		t.Error("there is no room though the worker holds no more than the mean")
	}
}

// Guards against jobs that spill over into the subsets of others, where nothing is known, while our
// own subset only waits; and against jobs rejected where the whole subset is out of service.
func TestSubsetIsPreferred(t *testing.T) {
	d, h := start(t, settings(), fleet(20)...)
	d.SetSubset(h.now, []string{"w3", "w7", "stranger"}, 4)
	for i := range 8 {
		h.submit(d, fmt.Sprint("r", i), 0)
	}
	ours := map[string]bool{"w3": true, "w7": true}
	for _, w := range d.workers.all {
		if w.inFlight > 0 && !ours[w.Worker] {
			t.Errorf("%v slots at %s, which is not of the part", w.inFlight, w.Worker)
		}
	}
	for name := range ours {
		d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: name, State: Draining}})
	}
	if h.submit(d, "out", 0); ours[h.last()] {
		t.Errorf("the job went to %s, which leaves", h.last())
	}
	if d.workers.byName[h.last()] == nil || d.workers.byName[h.last()].inFlight == 0 {
		t.Error("no job went out though 18 workers are free")
	}
	d.SetSubset(h.now, nil, 0)
	if p := d.workers.pools[0]; d.workers.subsetSize != 0 || d.workers.subsetZones(p) != nil || p.targetWeight() != p.weight {
		t.Errorf("%d workers are ours still, weight %v of %v", d.workers.subsetSize, p.targetWeight(), p.weight)
	}
}

// Guards against a worker of another subset that warms up and is overloaded by what spills from all, and against one of our
// subset that is warmed as slowly as if the whole fleet sent to it.
func TestWarmingWorkersBelongToTheirSubsets(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow, set.Dispatchers = 8*time.Second, 0.3, 3, 2*time.Second, 300
	d, h := start(t, set, WorkerInfo{Worker: "mine", Weight: 1}, WorkerInfo{Worker: "cold", Weight: 1, StartedAt: time.Hour})
	d.estimates.meanWork = 0.1
	cold := d.workers.byName["cold"]
	r := &request{class: d.classes.current[0], work: 0.1, Request: Request{Slots: 1}}
	usable := func() bool {
		cold.slowStartCredit, cold.slowStartCreditAt = 1, h.now
		return d.usable(h.now, cold, r, true)
	}
	if !usable() {
		t.Error("without a part a cold worker with credit is not usable")
	}
	if d.SetSubset(h.now, []string{"mine"}, 12); usable() {
		t.Error("a cold worker of another part is usable")
	}
	if d.SetSubset(h.now, []string{"mine", "cold"}, 12); !usable() {
		t.Error("a cold worker of our part is not usable")
	}
}
