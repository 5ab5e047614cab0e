package dispatcher

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestLiveWeightsTellFreeSlots(t *testing.T) {
	set := settings()
	set.WeightMeaning = WeightLive
	d, h := start(t, set, WorkerInfo{Name: "a", Weight: 4}, WorkerInfo{Name: "b", Weight: 2})
	d.workers.maxFreeByKind[0] = 4
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "a", Weight: 3.2}, {Name: "b", Weight: 2}})
	if a, b := d.workers.byName["a"].freeSlots, d.workers.byName["b"].freeSlots; math.Abs(a-3) > 1e-9 || b != 0 {
		t.Errorf("free slots %v and %v, want 3 and 0", a, b)
	}
}

// If load reports arrive only as probe results and change often, two workers are probed
// and the one with free slots is picked; if reports hardly change, no worker is probed.
func TestWorkersAreProbedWhereReportsAreTimely(t *testing.T) {
	set := settings()
	set.LoadByProbe = true
	for _, changes := range []bool{true, false} {
		d, h := start(t, set, fleet(30)...)
		submit := func(id string) {
			if err := d.SubmitRequest(h.now, Request{ID: id, RemainingTimeout: 5 * time.Second, RuntimeHint: 200 * ms}); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 40 {
			h.run(d, h.now+100*ms)
			for _, w := range h.probes {
				free := 1.0
				if changes {
					free += float64(i) / 100
				}
				d.ProbeResult(h.now, w, &LoadReport{HasFreeSlots: true, FreeSlots: free})
			}
			h.probes = nil
		}
		h.run(d, h.now+150*ms)
		h.probes = nil
		submit("r")
		if !changes {
			if h.attempts["r"] != 1 || len(h.probes) > 0 {
				t.Errorf("%d probes, %d sends although reports do not change", len(h.probes), h.attempts["r"])
			}
			continue
		}
		if len(h.probes) != probeFanout || h.attempts["r"] != 0 {
			t.Fatalf("%d probes, %d sends before any probe result", len(h.probes), h.attempts["r"])
		}
		d.ProbeResult(h.now, h.probes[0], &LoadReport{HasFreeSlots: true, InFlight: 3})
		d.ProbeResult(h.now, h.probes[1], &LoadReport{HasFreeSlots: true, FreeSlots: 1})
		if h.lastWorker() != h.probes[1] {
			t.Errorf("sent to %q, the free slot is at %q", h.lastWorker(), h.probes[1])
		}
		h.run(d, h.now+100*ms)
		submit("silent") // its probes get no result
		h.run(d, h.now+2*probeTimeout+ms)
		if h.attempts["silent"] != 1 {
			t.Error("blocked by a probe without a result")
		}
		d.ProbeResult(h.now, "gone", &LoadReport{HasFreeSlots: true, FreeSlots: 1})
		d.ProbeResult(h.now, h.probes[0], nil)
	}
}

// Workers that served a tenant are probed first for it, and a worker that rejected a request
// of the tenant is not among them. Otherwise the tenant's requests would keep going to a
// worker that rejects them.
func TestRecentWorkersAreProbedFirst(t *testing.T) {
	set := settings()
	set.LoadByProbe = true
	set.Tenants = []Tenant{{Share: 1}, {Share: 1}}
	d, h := start(t, set, fleet(100)...)
	d.meter.seconds, d.meter.changes, d.estimates.meanWork = 1, 100, 0.2
	tn := d.tenants.all[0]
	for _, w := range d.workers.all[:9] {
		tn.addRecentWorker(w)
	}
	tn.addRecentWorker(d.workers.all[4])
	if len(tn.recentWorkers) != maxRecentWorkers || tn.recentWorkers[maxRecentWorkers-1] != d.workers.all[4] {
		t.Fatalf("%d recent workers, the last %s", len(tn.recentWorkers), tn.recentWorkers[len(tn.recentWorkers)-1].Name)
	}
	d.learn(h.now, &request{class: d.classes.current[0], tenant: tn, Request: Request{Slots: 1}}, &attempt{worker: d.workers.all[4]}, Rejected)
	for i := range 20 {
		h.probes = nil
		_ = d.SubmitRequest(h.now, Request{ID: fmt.Sprint("r", i), RemainingTimeout: 5 * time.Second, RuntimeHint: 200 * ms})
		for _, name := range h.probes {
			w := d.workers.byName[name]
			if w.index == 4 || w.index > 8 {
				t.Fatalf("probed %s, want only recent workers", name)
			}
			d.ProbeResult(h.now, name, &LoadReport{HasFreeSlots: true, FreeSlots: 1})
		}
		h.endAttempt(d, fmt.Sprint("r", i), 0, Served)
		h.run(d, h.now+60*ms)
	}
}

// A request that cannot meet its target by the reports of the probed workers is rejected at
// once, and neither sent nor kept in the queue.
func TestInfeasibleReportedWaitIsRejected(t *testing.T) {
	for _, inFlight := range []float64{0.5, 40} {
		set := settings()
		set.LoadByProbe = true
		set.Tenants = []Tenant{{Share: 1, Quota: 100}}
		d, h := start(t, set, fleet(30)...)
		d.meter.seconds, d.meter.changes = 1, 100
		d.classes.current[0].meanRuntime, d.classes.current[0].meanHint, d.classes.current[0].meanCompletion = 0.2, 0.2, 0.2
		_ = d.SubmitRequest(h.now, Request{ID: "r", RemainingTimeout: 5 * time.Second, RuntimeHint: 200 * ms})
		for i := 0; i < len(h.probes); i++ {
			d.ProbeResult(h.now, h.probes[i], &LoadReport{HasFreeSlots: true, HasInFlight: true, InFlight: inFlight})
		}
		if late := inFlight > 20; late != (h.ends["r"] == "rejected") || late == (h.attempts["r"] == 1) {
			t.Errorf("%v requests in flight at each worker: %d sends, ended as %q", inFlight, h.attempts["r"], h.ends["r"])
		}
	}
}
