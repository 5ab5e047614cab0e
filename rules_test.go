package sedgevale

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Tests of the rules that bind only where the settings state them.

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
		h.ask(d, id, 0)
		if h.last() != "w77" || h.tries[id] != 1 {
			t.Fatalf("%d sends, the last to %s", h.tries[id], h.last())
		}
		h.over(d, id, 0, Served)
	}
	h.ask(d, "zone", 1)
	for n := range 3 {
		if w := d.workersByName[h.last()]; w.Zone != 1 {
			t.Errorf("attempt %d went to zone %d", n, w.Zone)
		}
		h.over(d, "zone", n, ConnectFailed)
	}
	h.ask(d, "nowhere", 2)
	d.WorkersUpdated(h.now, ListPatch, []WorkerInfo{{Worker: "w77", Kind: 1, Zone: 1, State: Leaving, Weight: 1}})
	h.ask(d, "none", 0)
	sends := len(h.sends)
	h.ask(d, "other", 1) // is not stopped by those that find nothing
	h.run(d, h.now+6*time.Second)
	if h.tries["nowhere"]+h.tries["none"] > 0 || h.ends["none"] != "refused" || h.ends["nowhere"] != "refused" {
		t.Errorf("%q, %q, want both refused unsent", h.ends["none"], h.ends["nowhere"])
	}
	if len(h.sends) == sends {
		t.Error("a class with workers was held up")
	}
}

// Budget: in no window of the span do further attempts exceed what the requests
// of that window allow, whatever the outcomes.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 1))
		set := settings()
		set.Further = Budget{Free: 1 + int(seed%3), Ratio: 0.1, Span: 2 * time.Second}
		d, h := start(t, set, fleet(12)...)
		var taken, further []time.Duration
		seen := 0
		check := func() {
			for ; seen < len(h.sends); seen++ {
				if s := h.sends[seen]; s.n > 0 {
					further = append(further, s.at)
				}
			}
			if len(further) == 0 {
				return
			}
			last := further[len(further)-1]
			count := func(all []time.Duration) (n int) {
				for _, at := range all {
					if at >= last-set.Further.Span && at <= last {
						n++
					}
				}
				return n
			}
			if got, most := count(further), float64(set.Further.Free)+0.1*float64(count(taken)); float64(got) > most {
				t.Fatalf("seed %d: %d further attempts where %.1f are allowed", seed, got, most)
			}
		}
		for i := range 800 {
			h.run(d, h.now+time.Duration(rng.IntN(60))*ms)
			check()
			id := fmt.Sprint("r", i)
			h.ask(d, id, 0)
			taken = append(taken, h.now)
			for n := 0; n < 4 && h.tries[id] > n && h.ends[id] == ""; n++ {
				o := []Outcome{Errored, NotSent, Served}[rng.IntN(3)]
				h.over(d, id, n, o)
				check()
			}
		}
		if len(further) < 25 {
			t.Errorf("seed %d: only %d further attempts", seed, len(further))
		}
	}
}

// Just after its start a dispatcher has no requests of the last span behind it.
func TestBudgetAtTheStart(t *testing.T) {
	set := settings()
	set.Further = Budget{Free: 0, Ratio: 0.5, Span: 5 * time.Second}
	d, h := start(t, set, fleet(4)...)
	h.ask(d, "a", 2)
	h.over(d, "a", 0, Full)
	if len(h.sends) != 1 || h.ends["a"] != "refused" {
		t.Errorf("%d sends, end %q: half an attempt is none", len(h.sends), h.ends["a"])
	}
	h.ask(d, "b", 0)
	h.over(d, "b", 0, ConnectFailed)
	if h.tries["b"] != 2 {
		t.Error("two requests allow one further attempt")
	}
}

// 'Full' is no proof where that is stated: nothing more of an unsafe request,
// no rejection, and one that is idempotent by key stays with its group, and in its time.
func TestRejectionProvesNothingWhereStated(t *testing.T) {
	set := settings()
	set.FullMayHaveRun = true
	set.Classes[1].Scope = ScopeCell
	set.Classes[1].Window = 1500 * ms
	d, h := start(t, set, fleet(40)...)
	h.ask(d, "unsafe", 2)
	h.over(d, "unsafe", 0, Full)
	if h.tries["unsafe"] != 1 || h.ends["unsafe"] != "failed" {
		t.Errorf("unsafe: %d sends, end %q", h.tries["unsafe"], h.ends["unsafe"])
	}
	for i := range 20 {
		id := fmt.Sprint("k", i)
		h.ask(d, id, 1)
		cell := d.workersByName[h.last()].Cell
		h.over(d, id, 0, Full)
		if h.tries[id] != 2 || d.workersByName[h.last()].Cell != cell {
			t.Fatalf("keyed: %d sends, cell %d after %d", h.tries[id], d.workersByName[h.last()].Cell, cell)
		}
		h.over(d, id, 1, Served)
	}
	h.ask(d, "late", 1)
	h.run(d, h.now+1450*ms)
	h.over(d, "late", 0, Full)
	if h.tries["late"] != 1 || h.ends["late"] != "failed" {
		t.Errorf("after its window: %d sends, end %q", h.tries["late"], h.ends["late"])
	}
}

// Idle connections are closed at the notice, after each outcome there, also
// once the worker has left the list, and once more a while later.
func TestConnectionsAreClosedOnDrains(t *testing.T) {
	set := settings()
	set.CloseOnDrain = 1500 * ms
	d, h := start(t, set, fleet(1)...)
	h.ask(d, "r", 0)
	d.WorkersUpdated(h.now, ListPatch, []WorkerInfo{{Worker: "w0", State: Leaving, Weight: 1}})
	if len(h.closes) != 1 {
		t.Fatalf("%d closes at the notice", len(h.closes))
	}
	h.run(d, h.now+400*ms)
	d.WorkersUpdated(h.now, ListWhole, nil)
	h.run(d, h.now+3*time.Second)
	before := len(h.closes)
	outcome := h.now
	h.over(d, "r", 0, Served)
	if len(h.closes) != before+1 {
		t.Fatal("not closed after the last outcome")
	}
	h.run(d, h.now+1500*ms)
	last := h.closes[len(h.closes)-1]
	if len(h.closes) != before+2 || last.worker != "w0" || last.at < outcome+500*ms || last.at > outcome+1200*ms {
		t.Errorf("%d closes, the last %v after the outcome", len(h.closes)-before, last.at-outcome)
	}
	h.run(d, h.now+5*time.Second)
	if len(h.closes) != before+2 {
		t.Error("closed again for nothing")
	}
	d, h = start(t, settings(), fleet(1)...)
	d.WorkersUpdated(h.now, ListWhole, nil)
	if len(h.closes) != 0 {
		t.Error("closed where that is not asked for")
	}
}

// What a dispatcher finds after it stood still is read to its end before
// anything is sent: the drain of the only idle worker may be the last of it.
func TestNothingIsSentBeforeAllIsReadAfterAStall(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	h.ask(d, "old", 0)
	h.over(d, "old", 0, Served)
	h.run(d, h.now+time.Second)
	h.now += 260 * ms // no turn
	sends := len(h.sends)
	for i := range 6 {
		h.ask(d, fmt.Sprint("r", i), 0)
	}
	d.WorkersUpdated(h.now, ListPatch, []WorkerInfo{{Worker: "w0", State: Leaving, Weight: 1}})
	if len(h.sends) != sends {
		t.Fatal("sent while the batch is still being read")
	}
	h.run(d, h.now+10*ms)
	if len(h.sends) == sends {
		t.Fatal("nothing sent after the stall")
	}
	for _, s := range h.sends[sends:] {
		if s.worker == "w0" {
			t.Error("sent to the worker whose drain came in the same batch")
		}
	}
}

// A start note that came while the dispatcher stood still must not count
// against the worker because a timer was read first.
func TestAStallIsNoSignOfWorkers(t *testing.T) {
	d, h := start(t, settings(), fleet(1)...)
	h.run(d, h.now+time.Second)
	h.ask(d, "r", 0)
	due := h.timers
	h.now += 2 * time.Second // no turn
	h.timers = nil
	for _, x := range due {
		if x.at <= h.now {
			d.TimerFired(h.now, x.token)
		}
	}
	if err := d.AttemptStarted(h.now, "r", 0); err != nil {
		t.Fatal(err)
	}
	h.over(d, "r", 0, Served)
	h.run(d, h.now+20*ms)
	if w := d.workersByName["w0"]; w.limit != unlimited || w.unhealthyUntil != 0 || d.classes[0].samples > 0 {
		t.Errorf("sigma %v, doubt %v, %v jobs learned from", w.limit, w.unhealthyUntil, d.classes[0].samples)
	}
}

// A job whose start is overdue is cancelled and tried elsewhere, once it is
// over there; not an unsafe one, and not while workers are full.
func TestOverdueStartsAreRescheduled(t *testing.T) {
	for class, effect := range []Effect{Safe, Keyed, Unsafe} {
		d, h := start(t, settings(), fleet(8)...)
		h.ask(d, "r", class)
		first := h.last()
		h.run(d, h.now+120*ms)
		if moved := len(h.cancels) == 1; moved != (effect != Unsafe) {
			t.Fatalf("effect %d: %d called off", effect, len(h.cancels))
		}
		if len(h.sends) != 1 {
			t.Fatalf("effect %d: sent again while the first attempt is out", effect)
		}
		if effect == Unsafe {
			continue
		}
		if w := d.workersByName[first]; w.unhealthyUntil <= h.now {
			t.Errorf("doubted until %v: it can give no sign of this job any more", w.unhealthyUntil-h.now)
		}
		h.over(d, "r", 0, Cancelled)
		if len(h.sends) != 2 || h.last() == first {
			t.Errorf("effect %d: %d sends, the last to %s after %s", effect, len(h.sends), h.last(), first)
		}
	}
	for _, c := range []struct {
		why      string
		after    time.Duration // from the send to 'full'
		held     float64
		calledOf bool
	}{
		{"workers are full", 0, 0, false},
		{"a drain hands back", 150 * ms, 0, true},
		{"we hold a job a worker", 150 * ms, 8, false},
	} {
		d, h := start(t, settings(), fleet(8)...)
		d.classes[0].meanRuntime, d.classes[0].baseRuntime = 0.3, 0.3 // so that the start is waited for longer
		h.ask(d, "full", 0)
		h.now += c.after
		h.over(d, "full", 0, Full)
		d.addInFlight(d.workers[1], c.held)
		h.cancels = nil
		h.run(d, h.now+400*ms)
		if got := len(h.cancels) > 0; got != c.calledOf {
			t.Errorf("%s: called off %v", c.why, h.cancels)
		}
	}
}

// Where reports come only on probes and change often, two workers are asked
// and the one with free slots is taken; where they hardly change none is probed.
func TestWorkersAreProbedWhereReportsAreTimely(t *testing.T) {
	set := settings()
	set.MustProbe = true
	for _, changes := range []bool{true, false} {
		d, h := start(t, set, fleet(30)...)
		ask := func(id string) {
			if err := d.SubmitRequest(h.now, Request{ID: id, Left: 5 * time.Second, Hint: 200 * ms}); err != nil {
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
				d.ProbeResult(h.now, w, &Report{HasFree: true, Free: free})
			}
			h.probes = nil
		}
		h.run(d, h.now+150*ms)
		h.probes = nil
		ask("r")
		if !changes {
			if h.tries["r"] != 1 || len(h.probes) > 0 {
				t.Errorf("%d asked, %d sends though reports stand still", len(h.probes), h.tries["r"])
			}
			continue
		}
		if len(h.probes) != probeFanout || h.tries["r"] != 0 {
			t.Fatalf("%d asked, %d sends before any answer", len(h.probes), h.tries["r"])
		}
		d.ProbeResult(h.now, h.probes[0], &Report{HasFree: true, Held: 3})
		d.ProbeResult(h.now, h.probes[1], &Report{HasFree: true, Free: 1})
		if h.last() != h.probes[1] {
			t.Errorf("sent to %q, room is at %q", h.last(), h.probes[1])
		}
		h.run(d, h.now+100*ms)
		ask("silent") // no answer comes
		h.run(d, h.now+2*probeTimeout+ms)
		if h.tries["silent"] != 1 {
			t.Error("held up by a probe that is not answered")
		}
		d.ProbeResult(h.now, "gone", &Report{HasFree: true, Free: 1})
		d.ProbeResult(h.now, h.probes[0], nil)
	}
}

// A worker that turns a tenant away is not among those asked first for it, one
// that served it is: a rejection is met once, not by every job.
func TestRecentWorkersAreProbedFirst(t *testing.T) {
	set := settings()
	set.MustProbe = true
	set.Tenants = []Tenant{{Share: 1}, {Share: 1}}
	d, h := start(t, set, fleet(100)...)
	d.meteredSeconds, d.reportChanges, d.meanWork = 1, 100, 0.2
	tn := d.tenants[0]
	for _, w := range d.workers[:9] {
		tn.rememberWorker(w)
	}
	tn.rememberWorker(d.workers[4])
	if len(tn.recentWorkers) != maxRecentWorkers || tn.recentWorkers[maxRecentWorkers-1] != d.workers[4] {
		t.Fatalf("%d known, the last %s", len(tn.recentWorkers), tn.recentWorkers[len(tn.recentWorkers)-1].Worker)
	}
	d.learn(h.now, &request{class: d.classes[0], tenant: tn, Request: Request{Slots: 1}}, &attempt{worker: d.workers[4]}, Full)
	for i := range 20 {
		h.probes = nil
		_ = d.SubmitRequest(h.now, Request{ID: fmt.Sprint("r", i), Left: 5 * time.Second, Hint: 200 * ms})
		for _, name := range h.probes {
			w := d.workersByName[name]
			if w.index == 4 || w.index > 8 {
				t.Fatalf("asked %s", name)
			}
			d.ProbeResult(h.now, name, &Report{HasFree: true, Free: 1})
		}
		h.over(d, fmt.Sprint("r", i), 0, Served)
		h.run(d, h.now+60*ms)
	}
}

// Where the reports of the probed workers leave no time for a job, it is rejected at
// once, not sent to be late, nor kept pending for nothing.
func TestNoWaitInQueuesThatLeaveNoTime(t *testing.T) {
	for _, held := range []float64{0.5, 40} {
		set := settings()
		set.MustProbe = true
		set.Tenants = []Tenant{{Share: 1, Quota: 100}}
		d, h := start(t, set, fleet(30)...)
		d.meteredSeconds, d.reportChanges = 1, 100
		d.classes[0].meanRuntime, d.classes[0].meanHint, d.classes[0].meanCompletion = 0.2, 0.2, 0.2
		_ = d.SubmitRequest(h.now, Request{ID: "r", Left: 5 * time.Second, Hint: 200 * ms})
		for i := 0; i < len(h.probes); i++ {
			d.ProbeResult(h.now, h.probes[i], &Report{HasFree: true, HasHeld: true, Held: held})
		}
		if late := held > 20; late != (h.ends["r"] == "refused") || late == (h.tries["r"] == 1) {
			t.Errorf("%v in hand everywhere: %d sends, end %q", held, h.tries["r"], h.ends["r"])
		}
	}
}

// A cell whose workers break connections one after the other is taken for
// restarted before the list says so; not if one of it serves in between, not
// for long without an update, and not if most of the fleet is affected.
func TestCellsThatBreakArePresumedRestarted(t *testing.T) {
	set := settings()
	set.WarmUp, set.StartCapacity, set.FallMultiple, set.Fall = 20*time.Second, 0.1, 1.5, 2*time.Second
	const cells = 5
	var all []WorkerInfo
	for i := range 20 {
		all = append(all, WorkerInfo{Worker: fmt.Sprint("w", i), Cell: i % cells, Weight: 1})
	}
	d, h := start(t, set, all...)
	failEnough(d, h, 0, ConnectFailed)
	if n := warmingUp(d, h); n != 1 {
		t.Errorf("%d of one worker that refuses connections", n)
	}
	failEnough(d, h, 5, Lost)
	if n := warmingUp(d, h); n != 4 {
		t.Errorf("%d of a cell of 4 where two broke", n)
	}
	began := h.now - time.Second
	d.WorkersUpdated(h.now, ListPatch, []WorkerInfo{{Worker: "w10", Weight: 1, StartedAt: began}})
	if w := d.workersByName["w10"]; w.warmAt != began+set.WarmUp || w.presumedRestartAt != 0 {
		t.Error("the list's news does not replace the presumption")
	}
	h.run(d, h.now+presumedRestartTTL+ms)
	for _, w := range d.workers {
		d.usable(h.now, w, &request{class: d.classes[0], Request: Request{Slots: 1}}, true)
	}
	if n := warmingUp(d, h); n != 1 || d.presumedRestarts != 0 {
		t.Errorf("%d cold without news, %d presumed", n, d.presumedRestarts)
	}
	d, h = start(t, set, all...)
	failEnough(d, h, 0, ConnectFailed)
	failEnough(d, h, 10, Served)
	failEnough(d, h, 5, ConnectFailed)
	if n := warmingUp(d, h); n != 2 {
		t.Errorf("%d though the cell served in between", n)
	}
	for i := range 20 {
		failEnough(d, h, i, ConnectFailed)
	}
	if n := warmingUp(d, h); n > 10 {
		t.Errorf("%d of 20 taken for restarted: then it is no worker's fault", n)
	}
}

// warmingUp counts the workers that warm up.
func warmingUp(d *Dispatcher, h *fake) (n int) {
	for _, w := range d.workers {
		if w.warmAt > h.now {
			n++
		}
	}
	return n
}

// failEnough ends as many attempts at a worker as it takes to presume a restart: fewer may be single connections.
func failEnough(d *Dispatcher, h *fake, worker int, o Outcome) {
	r := &request{class: d.classes[0], tenant: d.tenants[0], Request: Request{Slots: 1}}
	for range minConnFailuresForRestart {
		d.learn(h.now, r, &attempt{worker: d.workers[worker]}, o)
	}
}

// A job that has not started when it must be late is cancelled and answered,
// where a late answer earns little: it would only delay others.
func TestHopelessJobsAreEnded(t *testing.T) {
	for _, late := range []float64{0, 0.5} {
		set := settings()
		set.MaxAttempts, set.Classes[2].LateShare = 1, late
		d, h := start(t, set, fleet(2)...)
		h.ask(d, "r", 2)
		h.run(d, h.now+250*ms)
		if ended := h.ends["r"] == "failed" && len(h.cancels) == 1; ended != (late == 0) {
			t.Errorf("late share %v: end %q, %d called off", late, h.ends["r"], len(h.cancels))
		}
	}
}

// A rejected client gets a retry-after, spread at random; no longer than it follows.
func TestRejectedClientsGetRetryAfter(t *testing.T) {
	set := settings()
	set.MaxRetryAfter = 150 * ms
	d, h := start(t, set)
	d.meanWork = 0.1
	seen := map[time.Duration]bool{}
	for range 50 {
		for _, left := range []time.Duration{time.Second, 0, 0} {
			r := &request{class: d.classes[0], deadline: h.now + left, targetAt: h.now + left}
			after := d.retryAfter(h.now, r)
			if after <= 0 || after > set.MaxRetryAfter {
				t.Fatalf("come back after %v", after)
			}
			seen[after] = true
		}
	}
	if len(seen) < 100 {
		t.Errorf("%d different times of 150", len(seen))
	}
	d.settings.MaxRetryAfter = 0
	if after := d.retryAfter(h.now, &request{class: d.classes[0]}); after != 0 {
		t.Errorf("advice of %v where none is heeded", after)
	}
}

// Rule 4 at 1.5 times, summed over dispatchers that know nothing of each other:
// uneven traffic, heavy jobs, half of them just restarted, a third of the
// fleet warming up at once. Warm workers are at 70% of their capacity.
func TestSlowStartBoundsTheSumOfDispatchers(t *testing.T) {
	const peers, workers, colds, cores = 40, 24, 8, 4
	set := settings()
	set.WarmUp, set.StartCapacity, set.FallMultiple, set.Fall = 20*time.Second, 0.15, 1.5, time.Second
	set.Peers, set.TellsStart = peers, false
	set.Tenants = []Tenant{{Share: 1, Quota: 1e6}}
	rng := rand.New(rand.NewPCG(5, 5))
	all, hosts := startAlike(t, set, peers, workers)
	began := time.Hour + 10*time.Second
	got := map[string][]sent{} // by cold worker
	work := map[string]float64{}
	open := make([][]timedJob, peers)
	const tick = 10 * ms
	for now := time.Hour; now < began+15*time.Second; now += tick {
		for i := range peers {
			d, h := all[i], hosts[i]
			h.run(d, now)
			if now == began {
				if i%2 == 0 { // restarted: it knows nothing but the list
					h.timers = nil
					d, _ = New(set, uint64(i), h)
					all[i], open[i] = d, nil
					d.WorkersUpdated(now, ListStale, fleet(workers))
				}
				d.WorkersUpdated(now, ListPatch, restartedFleet(colds, began))
			}
			rate := 0.7 * workers * cores / 0.4 / peers * float64(i%4) / 1.5 // jobs a second
			if rng.Float64() < rate*tick.Seconds() {
				run := 0.4 * []float64{0.4, 0.4, 0.4, 0.4, 3.4}[rng.IntN(5)]
				id := fmt.Sprint(i, "-", now)
				work[id] = run
				_ = d.SubmitRequest(now, Request{ID: id, Left: 5 * time.Second, Hint: time.Duration(run * float64(time.Second))})
			}
			for _, s := range h.sends {
				open[i] = append(open[i], timedJob{s.at + time.Duration(work[s.id]*float64(time.Second)), s.id})
				if k := d.workersByName[s.worker]; k.StartedAt > 0 {
					got[s.worker] = append(got[s.worker], s)
				}
			}
			h.sends = h.sends[:0]
			open[i] = serveDone(d, h, open[i], now)
		}
	}
	sends, over := overloads(got, work, set, cores, began)
	if sends < 100 || over > 0 {
		t.Errorf("%d of %d sends to cold workers over the limit", over, sends)
	}
}

// timedJob is a job that a worker answers at a time.
type timedJob struct {
	done time.Duration
	id   string
}

// serveDone serves the jobs that are done and returns the others.
func serveDone(d *Dispatcher, h *fake, open []timedJob, now time.Duration) []timedJob {
	keep := open[:0]
	for _, j := range open {
		if j.done > now || d.requests[j.id] == nil {
			keep = append(keep, j)
			continue
		}
		h.over(d, j.id, 0, Served)
	}
	return keep
}

// restartedFleet returns the first workers of a fleet, all started at a time.
func restartedFleet(n int, started time.Duration) []WorkerInfo {
	workers := fleet(n)
	for k := range workers {
		workers[k].StartedAt = started
	}
	return workers
}

// startAlike starts dispatchers that know the same workers.
func startAlike(t *testing.T, set Settings, peers, workers int) (all []*Dispatcher, hosts []*fake) {
	t.Helper()
	for i := range peers {
		h := &fake{t: t, now: time.Hour, tries: map[string]int{}, ends: map[string]string{}}
		d, err := New(set, uint64(i), h)
		if err != nil {
			t.Fatal(err)
		}
		d.WorkersUpdated(h.now, ListStale, fleet(workers))
		all, hosts = append(all, d), append(hosts, h)
	}
	return all, hosts
}

// overloads counts the sends to workers that warm up, and of them those by which a worker got more within the window
// than it may: more than one job, and over the limit and a tenth for chance.
func overloads(got map[string][]sent, work map[string]float64, set Settings, cores float64, began time.Duration) (sends, over int) {
	for _, all := range got {
		sends += len(all)
		for k, last := range all {
			sum := 0.0
			for _, s := range all[:k+1] {
				if s.at > last.at-set.Fall {
					sum += work[s.id]
				}
			}
			part := 0.15 + 0.85*(last.at-began).Seconds()/20
			if most := set.FallMultiple * part * cores * set.Fall.Seconds(); sum > 1.1*most && sum > work[last.id]+0.01 {
				over++
			}
		}
	}
	return sends, over
}

// A retry that was queued is checked when it is sent: what was left of the budget
// may have been used by another.
func TestBudgetIsCheckedAtTheSend(t *testing.T) {
	set := settings()
	set.Further = Budget{Free: 1, Span: 5 * time.Second}
	d, h := start(t, set, fleet(3)...)
	h.ask(d, "a", 0)
	r := d.requests["a"]
	r.attempts[0].ended = true
	r.inFlight = 0
	if w := d.workers[1]; !d.mayAttempt(h.now, r, w) {
		t.Fatal("the free attempt is not allowed")
	}
	d.retryCounter.add(h.now)
	for _, w := range d.workers {
		if d.mayAttempt(h.now, r, w) {
			t.Error("one free attempt, and it is used up")
		}
	}
}

// The margin of a window fits a short one.
func TestShortWindow(t *testing.T) {
	set := settings()
	set.Classes[1].Window = 80 * ms
	d, h := start(t, set, fleet(6)...)
	h.ask(d, "r", 1)
	r := d.requests["r"]
	mate := d.workersByName[fmt.Sprint("w", (d.workersByName[h.last()].index+2)%6)] // of the same zone
	if !d.mayAttempt(h.now+60*ms, r, mate) || d.mayAttempt(h.now+75*ms, r, mate) {
		t.Error("want a repeat within 70 ms of the first send, and none after")
	}
}
