package dispatcher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// All dispatchers together stay within what a worker can take while it warms up.
func TestSlowStartBoundsLoad(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow, set.Dispatchers = 8*time.Second, 0.3, 2.5, 1500*ms, 10
	d, h := start(t, set, fleet(9)...)
	serve := func(from, n int) { // a job each 20 ms that takes 100 ms
		for i := from; i < from+n; i++ {
			h.submit(d, fmt.Sprint("r", i), 0)
			h.run(d, h.now+20*ms)
			for _, s := range h.sends {
				if r := d.requests.byID[s.id]; r != nil && !r.attempts[s.n].ended {
					if a := &r.attempts[s.n]; a.startedAt == 0 {
						_ = d.AttemptStarted(h.now, s.id, s.n)
					} else if h.now >= s.at+100*ms {
						h.endAttempt(d, s.id, s.n, Served)
					}
				}
			}
			h.sends = slices.DeleteFunc(h.sends, func(s sent) bool {
				return d.requests.byID[s.id] == nil && s.worker != "cold"
			})
		}
	}
	serve(0, 500)
	h.sends = h.sends[:0]
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: "cold", Weight: 1, StartedAt: h.now}})
	began := h.now
	serve(500, 75) // 1.5 s
	got := 0
	for _, s := range h.sends {
		if s.worker == "cold" {
			got++
		}
	}
	// A warm worker carries a tenth of 75 jobs; a third of that is its part.
	if got > 5 {
		t.Errorf("%d jobs to a cold worker in %v", got, h.now-began)
	}
	serve(575, 500)
	got = 0
	for _, s := range h.sends {
		if s.worker == "cold" && s.at > began+8*time.Second {
			got++
		}
	}
	if got < 5 {
		t.Errorf("%d jobs once it is warm", got)
	}
}

func TestRestartedWorkerWarmsUp(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 8*time.Second, 0.3, 2.5, 1500*ms
	d, h := start(t, set, fleet(1)...)
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: "w0", Weight: 1, StartedAt: h.now - time.Second}})
	if w := d.workers.byName["w0"]; w.warmAt != h.now+7*time.Second || w.slowStartCredit > 0 {
		t.Errorf("cold until %v with credit %v", w.warmAt-h.now, w.slowStartCredit)
	}
}

// However small the overload multiple is, half of it is the most.
func TestSmallOverloadMultipleIsRespected(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow, set.Dispatchers = 8*time.Second, 0.5, 0.5, 2*time.Second, 1
	d, h := start(t, set, fleet(1)...)
	d.estimates.meanKnownWork, d.estimates.knownRequests, d.estimates.workRate = 0.1, 1, 1
	w := d.workers.byName["w0"]
	w.warmAt, w.slowStartCredit, w.slowStartCreditAt = h.now+8*time.Second, -1, h.now-time.Second
	d.slowStart.admits(h.now, w, &request{class: d.classes.current[0]}, &d.estimates)
	if want := -1 + 0.5*0.5/2; math.Abs(w.slowStartCredit-want) > 1e-9 {
		t.Errorf("credit %v after a second, want %v", w.slowStartCredit, want)
	}
}

// A cell whose workers break connections one after the other is taken for
// restarted before the list says so; not if one of it serves in between, not
// for long without an update, and not if most of the fleet is affected.
func TestCellsThatBreakArePresumedRestarted(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 20*time.Second, 0.1, 1.5, 2*time.Second
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
	failEnough(d, h, 5, ConnectionLost)
	if n := warmingUp(d, h); n != 4 {
		t.Errorf("%d of a cell of 4 where two broke", n)
	}
	began := h.now - time.Second
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: "w10", Weight: 1, StartedAt: began}})
	if w := d.workers.byName["w10"]; w.warmAt != began+set.SlowStartDuration || w.presumedRestartAt != 0 {
		t.Error("the list's news does not replace the presumption")
	}
	h.run(d, h.now+presumedRestartTTL+ms)
	for _, w := range d.workers.all {
		d.usable(h.now, w, &request{class: d.classes.current[0], Request: Request{Slots: 1}}, true)
	}
	if n := warmingUp(d, h); n != 1 || d.slowStart.presumed != 0 {
		t.Errorf("%d cold without news, %d presumed", n, d.slowStart.presumed)
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
func warmingUp(d *Dispatcher, h *fakeHost) (n int) {
	for _, w := range d.workers.all {
		if w.warmAt > h.now {
			n++
		}
	}
	return n
}

// failEnough ends as many attempts at a worker as it takes to presume a restart: fewer may be single connections.
func failEnough(d *Dispatcher, h *fakeHost, worker int, o Outcome) {
	r := &request{class: d.classes.current[0], tenant: d.tenants.all[0], Request: Request{Slots: 1}}
	for range minConnFailuresForRestart {
		d.learn(h.now, r, &attempt{worker: d.workers.all[worker]}, o)
	}
}

// The overload multiple of 1.5, summed over dispatchers that know nothing of each other:
// uneven traffic, heavy jobs, half of them just restarted, a third of the
// fleet warming up at once. Warm workers are at 70% of their capacity.
func TestSlowStartBoundsTheSumOfDispatchers(t *testing.T) {
	const peers, workers, colds, cores = 40, 24, 8, 4
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 20*time.Second, 0.15, 1.5, time.Second
	set.Dispatchers, set.StartNotified = peers, false
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
					d.WorkersUpdated(now, UpdateStale, fleet(workers))
				}
				d.WorkersUpdated(now, UpdateDelta, restartedFleet(colds, began))
			}
			rate := 0.7 * workers * cores / 0.4 / peers * float64(i%4) / 1.5 // jobs a second
			if rng.Float64() < rate*tick.Seconds() {
				run := 0.4 * []float64{0.4, 0.4, 0.4, 0.4, 3.4}[rng.IntN(5)]
				id := fmt.Sprint(i, "-", now)
				work[id] = run
				_ = d.SubmitRequest(now, Request{ID: id, TimeLeft: 5 * time.Second, RuntimeHint: time.Duration(run * float64(time.Second))})
			}
			for _, s := range h.sends {
				open[i] = append(open[i], timedJob{s.at + time.Duration(work[s.id]*float64(time.Second)), s.id})
				if k := d.workers.byName[s.worker]; k.StartedAt > 0 {
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
func serveDone(d *Dispatcher, h *fakeHost, open []timedJob, now time.Duration) []timedJob {
	keep := open[:0]
	for _, j := range open {
		if j.done > now || d.requests.byID[j.id] == nil {
			keep = append(keep, j)
			continue
		}
		h.endAttempt(d, j.id, 0, Served)
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
func startAlike(t *testing.T, set Settings, peers, workers int) (all []*Dispatcher, hosts []*fakeHost) {
	t.Helper()
	for i := range peers {
		h := &fakeHost{t: t, now: time.Hour, attempts: map[string]int{}, ends: map[string]string{}}
		d, err := New(set, uint64(i), h)
		if err != nil {
			t.Fatal(err)
		}
		d.WorkersUpdated(h.now, UpdateStale, fleet(workers))
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
				if s.at > last.at-set.OverloadWindow {
					sum += work[s.id]
				}
			}
			part := 0.15 + 0.85*(last.at-began).Seconds()/20
			if most := set.OverloadMultiple * part * cores * set.OverloadWindow.Seconds(); sum > 1.1*most && sum > work[last.id]+0.01 {
				over++
			}
		}
	}
	return sends, over
}
