package dispatcher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A dispatcher sends a worker in slow start no more than its part of what the worker can take.
func TestSlowStartBoundsLoad(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow, set.Dispatchers = 8*time.Second, 0.3, 2.5, 1500*ms, 10
	d, h := start(t, set, fleet(9)...)
	serve := func(from, n int) { // one request every 20 ms, each of which runs for 100 ms
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
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "cold", Weight: 1, StartedAt: h.now}})
	began := h.now
	serve(500, 75) // 1.5 s
	got := 0
	for _, s := range h.sends {
		if s.worker == "cold" {
			got++
		}
	}
	// A warm worker serves a tenth of 75 requests; a worker in slow start may serve a third of that.
	if got > 5 {
		t.Errorf("%d requests to a worker in slow start in %v, want at most 5", got, h.now-began)
	}
	serve(575, 500)
	got = 0
	for _, s := range h.sends {
		if s.worker == "cold" && s.at > began+8*time.Second {
			got++
		}
	}
	if got < 5 {
		t.Errorf("%d requests after the end of its slow start, want at least 5", got)
	}
}

func TestRestartedWorkerWarmsUp(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 8*time.Second, 0.3, 2.5, 1500*ms
	d, h := start(t, set, fleet(1)...)
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "w0", Weight: 1, StartedAt: h.now - time.Second}})
	if w := d.workers.byName["w0"]; w.warmAt != h.now+7*time.Second || w.slowStartCredit > 0 {
		t.Errorf("slow start ends in %v, with credit %v", w.warmAt-h.now, w.slowStartCredit)
	}
}

// The rate of slow start credit is bounded by half of the overload multiple, however small that is.
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

// A cell whose workers break connections one after the other is presumed restarted before
// the worker list shows it, unless one of its workers serves in between or most workers are
// affected. The presumption expires without an update of the list.
func TestFailingCellsArePresumedRestarted(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 20*time.Second, 0.1, 1.5, 2*time.Second
	const cells = 5
	var all []WorkerInfo
	for i := range 20 {
		all = append(all, WorkerInfo{Name: fmt.Sprint("w", i), Cell: i % cells, Weight: 1})
	}
	d, h := start(t, set, all...)
	failRepeatedly(d, h, 0, ConnectFailed)
	if n := warmingUp(d, h); n != 1 {
		t.Errorf("%d workers in slow start after one refuses connections, want 1", n)
	}
	failRepeatedly(d, h, 5, ConnectionLost)
	if n := warmingUp(d, h); n != 4 {
		t.Errorf("%d workers in slow start after two of a cell of 4 failed, want 4", n)
	}
	began := h.now - time.Second
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "w10", Weight: 1, StartedAt: began}})
	if w := d.workers.byName["w10"]; w.warmAt != began+set.SlowStartDuration || w.presumedRestartAt != 0 {
		t.Error("a restart in the worker list does not replace the presumed restart")
	}
	h.run(d, h.now+presumedRestartTTL+ms)
	for _, w := range d.workers.all {
		d.usable(h.now, w, &request{class: d.classes.current[0], Request: Request{Slots: 1}}, true)
	}
	if n := warmingUp(d, h); n != 1 || d.slowStart.presumedRestarts != 0 {
		t.Errorf("%d workers in slow start after the presumption expired, %d presumed restarted", n, d.slowStart.presumedRestarts)
	}
	d, h = start(t, set, all...)
	failRepeatedly(d, h, 0, ConnectFailed)
	failRepeatedly(d, h, 10, Served)
	failRepeatedly(d, h, 5, ConnectFailed)
	if n := warmingUp(d, h); n != 2 {
		t.Errorf("%d workers in slow start although the cell served in between, want 2", n)
	}
	for i := range 20 {
		failRepeatedly(d, h, i, ConnectFailed)
	}
	if n := warmingUp(d, h); n > 10 {
		t.Errorf("%d of 20 workers presumed restarted; a failure of most workers is not theirs", n)
	}
}

// warmingUp returns the number of workers in slow start.
func warmingUp(d *Dispatcher, h *fakeHost) (n int) {
	for _, w := range d.workers.all {
		if w.warmAt > h.now {
			n++
		}
	}
	return n
}

// failRepeatedly ends as many attempts at a worker as it takes to presume a restart; fewer may be failures of single connections.
func failRepeatedly(d *Dispatcher, h *fakeHost, worker int, o Outcome) {
	r := &request{class: d.classes.current[0], tenant: d.tenants.all[0], Request: Request{Slots: 1}}
	for range minConnFailuresForRestart {
		d.learn(h.now, r, &attempt{worker: d.workers.all[worker]}, o)
	}
}

// Guards against exceeding the overload multiple of 1.5 in the sum over dispatchers that do
// not know each other's load: traffic is uneven, some requests are heavy, half of the
// dispatchers have just restarted, a third of the workers are in slow start at once, and
// warm workers are at 70% of their capacity.
func TestSlowStartBoundsTheSumOfDispatchers(t *testing.T) {
	const peers, workers, cold, cores = 40, 24, 8, 4
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 20*time.Second, 0.15, 1.5, time.Second
	set.Dispatchers, set.StartNotified = peers, false
	set.Tenants = []Tenant{{Share: 1, Quota: 1e6}}
	rng := rand.New(rand.NewPCG(5, 5))
	all, hosts := startDispatchers(t, set, peers, workers)
	began := time.Hour + 10*time.Second
	got := map[string][]sent{} // sends by worker in slow start
	work := map[string]float64{}
	open := make([][]timedRequest, peers)
	const tick = 10 * ms
	for now := time.Hour; now < began+15*time.Second; now += tick {
		for i := range peers {
			d, h := all[i], hosts[i]
			h.run(d, now)
			if now == began {
				if i%2 == 0 { // a restarted dispatcher has no state but the worker list
					h.timers = nil
					d, _ = New(set, uint64(i), h)
					all[i], open[i] = d, nil
					d.WorkersUpdated(now, UpdateStale, fleet(workers))
				}
				d.WorkersUpdated(now, UpdateDelta, restartedFleet(cold, began))
			}
			rate := 0.7 * workers * cores / 0.4 / peers * float64(i%4) / 1.5 // requests per second
			if rng.Float64() < rate*tick.Seconds() {
				run := 0.4 * []float64{0.4, 0.4, 0.4, 0.4, 3.4}[rng.IntN(5)]
				id := fmt.Sprint(i, "-", now)
				work[id] = run
				_ = d.SubmitRequest(now, Request{ID: id, RemainingTimeout: 5 * time.Second, RuntimeHint: time.Duration(run * float64(time.Second))})
			}
			for _, s := range h.sends {
				open[i] = append(open[i], timedRequest{s.at + time.Duration(work[s.id]*float64(time.Second)), s.id})
				if k := d.workers.byName[s.worker]; k.StartedAt > 0 {
					got[s.worker] = append(got[s.worker], s)
				}
			}
			h.sends = h.sends[:0]
			open[i] = serveDue(d, h, open[i], now)
		}
	}
	sends, over := overloads(got, work, set, cores, began)
	if sends < 100 || over > 0 {
		t.Errorf("%d of %d sends to workers in slow start exceed the limit", over, sends)
	}
}

// timedRequest is a request that a worker serves at a given time.
type timedRequest struct {
	done time.Duration
	id   string
}

// serveDue ends the requests that are due and returns the others.
func serveDue(d *Dispatcher, h *fakeHost, open []timedRequest, now time.Duration) []timedRequest {
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

// restartedFleet returns the first n workers of a fleet, all started at the given time.
func restartedFleet(n int, started time.Duration) []WorkerInfo {
	workers := fleet(n)
	for k := range workers {
		workers[k].StartedAt = started
	}
	return workers
}

// startDispatchers starts dispatchers with the same worker list.
func startDispatchers(t *testing.T, set Settings, peers, workers int) (all []*Dispatcher, hosts []*fakeHost) {
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

// overloads returns the number of sends to workers in slow start, and the number of these that overload a worker: it gets
// more than one request within the window, and more work than the limit plus a tenth for random variation.
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
