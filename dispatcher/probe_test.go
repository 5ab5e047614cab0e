package dispatcher

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestLiveWeightsTellFreeSlots(t *testing.T) {
	set := settings()
	set.Weights = WeightLive
	d, h := start(t, set, WorkerInfo{Worker: "a", Weight: 4}, WorkerInfo{Worker: "b", Weight: 2})
	d.workers.maxFreeByKind[0] = 4
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: "a", Weight: 3.2}, {Worker: "b", Weight: 2}})
	if a, b := d.workers.byName["a"].freeSlots, d.workers.byName["b"].freeSlots; math.Abs(a-3) > 1e-9 || b != 0 {
		t.Errorf("free %v and %v, want 3 and 0", a, b)
	}
}

// Where reports come only on probes and change often, two workers are probed
// and the one with free slots is taken; where they hardly change none is probed.
func TestWorkersAreProbedWhereReportsAreTimely(t *testing.T) {
	set := settings()
	set.LoadByProbe = true
	for _, changes := range []bool{true, false} {
		d, h := start(t, set, fleet(30)...)
		ask := func(id string) {
			if err := d.SubmitRequest(h.now, Request{ID: id, TimeLeft: 5 * time.Second, RuntimeHint: 200 * ms}); err != nil {
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
		ask("r")
		if !changes {
			if h.attempts["r"] != 1 || len(h.probes) > 0 {
				t.Errorf("%d asked, %d sends though reports stand still", len(h.probes), h.attempts["r"])
			}
			continue
		}
		if len(h.probes) != probeFanout || h.attempts["r"] != 0 {
			t.Fatalf("%d asked, %d sends before any answer", len(h.probes), h.attempts["r"])
		}
		d.ProbeResult(h.now, h.probes[0], &LoadReport{HasFreeSlots: true, InFlight: 3})
		d.ProbeResult(h.now, h.probes[1], &LoadReport{HasFreeSlots: true, FreeSlots: 1})
		if h.last() != h.probes[1] {
			t.Errorf("sent to %q, room is at %q", h.last(), h.probes[1])
		}
		h.run(d, h.now+100*ms)
		ask("silent") // no answer comes
		h.run(d, h.now+2*probeTimeout+ms)
		if h.attempts["silent"] != 1 {
			t.Error("held up by a probe that is not answered")
		}
		d.ProbeResult(h.now, "gone", &LoadReport{HasFreeSlots: true, FreeSlots: 1})
		d.ProbeResult(h.now, h.probes[0], nil)
	}
}

// A worker that rejects a tenant's job is not among those probed first for it, one
// that served it is: one job is rejected, not every one.
func TestRecentWorkersAreProbedFirst(t *testing.T) {
	set := settings()
	set.LoadByProbe = true
	set.Tenants = []Tenant{{Share: 1}, {Share: 1}}
	d, h := start(t, set, fleet(100)...)
	d.meter.seconds, d.meter.changes, d.estimates.meanWork = 1, 100, 0.2
	tn := d.tenants.all[0]
	for _, w := range d.workers.all[:9] {
		tn.rememberWorker(w)
	}
	tn.rememberWorker(d.workers.all[4])
	if len(tn.recentWorkers) != maxRecentWorkers || tn.recentWorkers[maxRecentWorkers-1] != d.workers.all[4] {
		t.Fatalf("%d known, the last %s", len(tn.recentWorkers), tn.recentWorkers[len(tn.recentWorkers)-1].Worker)
	}
	d.learn(h.now, &request{class: d.classes.current[0], tenant: tn, Request: Request{Slots: 1}}, &attempt{worker: d.workers.all[4]}, Rejected)
	for i := range 20 {
		h.probes = nil
		_ = d.SubmitRequest(h.now, Request{ID: fmt.Sprint("r", i), TimeLeft: 5 * time.Second, RuntimeHint: 200 * ms})
		for _, name := range h.probes {
			w := d.workers.byName[name]
			if w.index == 4 || w.index > 8 {
				t.Fatalf("asked %s", name)
			}
			d.ProbeResult(h.now, name, &LoadReport{HasFreeSlots: true, FreeSlots: 1})
		}
		h.endAttempt(d, fmt.Sprint("r", i), 0, Served)
		h.run(d, h.now+60*ms)
	}
}

// Where the reports of the probed workers leave no time for a job, it is rejected at
// once, not sent to be late, nor kept pending for nothing.
func TestNoWaitInQueuesThatLeaveNoTime(t *testing.T) {
	for _, held := range []float64{0.5, 40} {
		set := settings()
		set.LoadByProbe = true
		set.Tenants = []Tenant{{Share: 1, Quota: 100}}
		d, h := start(t, set, fleet(30)...)
		d.meter.seconds, d.meter.changes = 1, 100
		d.classes.current[0].meanRuntime, d.classes.current[0].meanHint, d.classes.current[0].meanCompletion = 0.2, 0.2, 0.2
		_ = d.SubmitRequest(h.now, Request{ID: "r", TimeLeft: 5 * time.Second, RuntimeHint: 200 * ms})
		for i := 0; i < len(h.probes); i++ {
			d.ProbeResult(h.now, h.probes[i], &LoadReport{HasFreeSlots: true, HasInFlight: true, InFlight: held})
		}
		if late := held > 20; late != (h.ends["r"] == "refused") || late == (h.attempts["r"] == 1) {
			t.Errorf("%v in hand everywhere: %d sends, end %q", held, h.attempts["r"], h.ends["r"])
		}
	}
}
