package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func (h *fakeHost) reportStart(d *Dispatcher, id string, n int) {
	h.t.Helper()
	if err := d.AttemptStarted(h.now, id, n); err != nil {
		h.t.Fatal(err)
	}
}

func newRequest(d *Dispatcher, h *fakeHost, id string) *request {
	d.requests.lastSerial++
	r := &request{class: d.classes.current[0], Request: Request{ID: id, Slots: 1}, serial: d.requests.lastSerial, tenant: d.tenants.all[0],
		deadline: h.now + 5*time.Second, targetAt: h.now + time.Second}
	d.requests.byID[id], d.requests.bySerial[r.serial] = r, r
	return r
}

// A worker to which connections fail gets nothing during the backoff and then one trial request.
func TestUnhealthyWorkerIsTriedOnce(t *testing.T) {
	set := settings()
	set.StartNotified = false
	d, h := start(t, set, fleet(1)...)
	h.submit(d, "a", 0)
	h.endAttempt(d, "a", 0, ConnectFailed)
	if len(h.sends) != 2 {
		t.Fatal("no retry, although one connection failure must not exclude the worker")
	}
	h.endAttempt(d, "a", 1, ConnectFailed)
	h.run(d, h.now+100*ms)
	if len(h.sends) != 2 {
		t.Fatal("sent again within the backoff")
	}
	h.run(d, h.now+2*minUnhealthyBackoff)
	h.submit(d, "b", 0)
	h.submit(d, "c", 0)
	if h.attempts["b"] != 1 || h.attempts["c"] != 0 {
		t.Errorf("after the backoff: %d and %d sends, want one trial request", h.attempts["b"], h.attempts["c"])
	}
	h.endAttempt(d, "b", 0, Served)
	if d.workers.byName["w0"].unhealthyUntil != 0 {
		t.Error("still unhealthy after it served a request")
	}
}

// Guards against slots that count as in flight until the attempts on unresponsive
// connections time out, and against excluding the worker, which is healthy. The start of
// an attempt that was sent well after them shows the failure. Requests that may run twice
// are hedged.
func TestUnresponsiveConnections(t *testing.T) {
	for class, idempotency := range []Idempotency{Idempotent, IdempotentByKey, NotIdempotent} {
		set := settings()
		set.FIFOWorkers, set.Dispatchers = true, 2
		d, h := start(t, set, fleet(1)...)
		w := d.workers.byName["w0"]
		h.submit(d, "mute", class)
		h.now += minOvertakeGap + ms
		d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "v", Cell: 5, Weight: 1}}) // gets the hedged attempt: in the same zone, which deduplicates, but another cell
		d.send(h.now, newRequest(d, h, "other"), w)
		h.reportStart(d, "other", 0)
		if w.inFlight != 1 || w.notStarted != 0 {
			t.Errorf("idempotency %d: %v slots in flight, %d not started; the unresponsive attempt is still counted", idempotency, w.inFlight, w.notStarted)
		}
		want := 2
		if idempotency == NotIdempotent {
			want = 1
		}
		if h.attempts["mute"] != want {
			t.Errorf("idempotency %d: %d attempts, want %d", idempotency, h.attempts["mute"], want)
		}
		h.endAttempt(d, "mute", 0, TimedOut)
		if w.unhealthyUntil != 0 || w.limit != unlimited {
			t.Errorf("idempotency %d: the worker is unhealthy until %v with limit %v", idempotency, w.unhealthyUntil, w.limit)
		}
		if w.inFlight != 1 {
			t.Errorf("idempotency %d: %v slots in flight after the timeout, want 1", idempotency, w.inFlight)
		}
	}
}

// Guards against a worker that is excluded forever by an attempt that will never start: an
// overdue start indicates an unresponsive connection even if nothing is sent after it.
func TestLateStartDoesNotBlockAWorker(t *testing.T) {
	set := settings()
	set.FIFOWorkers = true
	d, h := start(t, set, fleet(1)...)
	h.submit(d, "mute", 2)
	h.run(d, h.now+500*ms)
	if w := d.workers.byName["w0"]; w.inFlight != 0 || w.notStarted != 0 {
		t.Errorf("%v slots in flight, %d not started, want none", w.inFlight, w.notStarted)
	}
	h.run(d, h.now+time.Second)
	h.submit(d, "next", 2)
	if h.attempts["next"] != 1 {
		t.Fatal("the worker gets no more requests")
	}
	h.reportStart(d, "next", 0)
	h.reportStart(d, "mute", 0) // a late start: the attempt counts again
	if w := d.workers.byName["w0"]; w.inFlight != 2 || w.unhealthyUntil != 0 {
		t.Errorf("%v slots in flight, unhealthy until %v", w.inFlight, w.unhealthyUntil)
	}
}

// An attempt that runs for far too long without a progress report releases its slots, and
// counts again after its next report.
func TestOverdueAttemptsAreNotCounted(t *testing.T) {
	d, h := start(t, settings(), fleet(1)...)
	d.classes.current[2].meanRuntime = 0.1
	h.submit(d, "long", 2)
	h.reportStart(d, "long", 0)
	w := d.workers.byName["w0"]
	h.run(d, h.now+500*ms)
	if w.inFlight != 1 {
		t.Errorf("%v slots in flight after 5 mean running times, want 1", w.inFlight)
	}
	h.run(d, h.now+500*ms)
	if w.inFlight != 0 {
		t.Errorf("%v slots in flight after 10 mean running times, want 0", w.inFlight)
	}
	if err := d.AttemptProgressed(h.now, "long", 0, 0.5); err != nil || w.inFlight != 1 {
		t.Errorf("%v slots in flight after a progress report, error %v", w.inFlight, err)
	}
	h.endAttempt(d, "long", 0, Served)
	if w.inFlight != 0 || w.notStarted != 0 {
		t.Errorf("%v slots in flight after the end, %d not started", w.inFlight, w.notStarted)
	}
}

// Guards against a worker that counts as unhealthy because one connection broke while
// other attempts continue there. Once all connections have broken it is unhealthy.
func TestOneBrokenConnection(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 20*time.Second, 0.1, 3, 2*time.Second
	d, h := start(t, set, fleet(2)...)
	w := d.workers.byName["w0"]
	for _, id := range []string{"a", "b", "c"} {
		d.send(h.now, newRequest(d, h, id), w)
		h.reportStart(d, id, 0)
	}
	h.endAttempt(d, "a", 0, ConnectionLost)
	if w.unhealthyUntil != 0 || w.limit != unlimited || w.warmAt != 0 {
		t.Errorf("after one of three broke: unhealthy until %v, limit %v, slow start until %v", w.unhealthyUntil, w.limit, w.warmAt)
	}
	h.endAttempt(d, "b", 0, ConnectionLost)
	h.endAttempt(d, "c", 0, ConnectionLost)
	if w.unhealthyUntil <= h.now || w.warmAt <= h.now {
		t.Errorf("after all broke: unhealthy until %v, slow start until %v", w.unhealthyUntil, w.warmAt)
	}
}

// Guards against a worker that fails or rejects each request at once: it always has the
// fewest slots in flight and would attract all requests.
func TestFailingWorkersAreEjected(t *testing.T) {
	for _, o := range []Outcome{Errored, Rejected} {
		set := settings()
		set.Tenants = []Tenant{{Share: 1, Quota: 1e6}} // within its quota the limit does not apply
		d, h := start(t, set, fleet(3)...)
		failed := 0
		for i := range 200 {
			id := fmt.Sprint("r", i)
			h.submit(d, id, 0)
			for n := 0; h.ends[id] == "" && n < h.attempts[id]; n++ {
				at := slices.IndexFunc(h.sends, func(s sent) bool { return s.id == id && s.n == n })
				if h.sends[at].worker == "w0" {
					failed++
					h.endAttempt(d, id, n, o)
					continue
				}
				h.reportStart(d, id, n)
				h.run(d, h.now+5*ms)
				h.endAttempt(d, id, n, Served)
			}
			h.run(d, h.now+5*ms)
		}
		if failed == 0 || failed > 20 { // an even share would be a third of 200
			t.Errorf("outcome %d: %d of 200 requests went to the failing worker", o, failed)
		}
		w := d.workers.byName["w0"]
		w.ejectedUntil = 0
		for range 8 {
			d.learn(h.now, newRequest(d, h, "x"), &attempt{worker: w, sentAt: h.now}, Served)
		}
		if w.errorRate >= maxErrorRate || w.ejectionBackoff != 0 {
			t.Errorf("outcome %d: after 8 served requests error rate %v, ejection backoff %v", o, w.errorRate, w.ejectionBackoff)
		}
	}
}

// Guards against requests that miss their target at a worker that has become slow while
// others have capacity, and against latency targets that grow as workers get slower.
func TestSlowWorkersGetFeasibleRequests(t *testing.T) {
	d, h := start(t, settings(), fleet(3)...)
	slow, quick := d.workers.byName["w0"], d.workers.byName["w2"]
	served := func(w *worker, run time.Duration) {
		d.learn(h.now, newRequest(d, h, "served"), &attempt{worker: w, sentAt: h.now - run, startedAt: h.now - run}, Served)
	}
	for range 1000 {
		served(quick, 100*ms)
	}
	for range 20 {
		served(slow, time.Second)
		served(quick, 100*ms)
	}
	if slow.runtimeRatio < 3 || quick.runtimeRatio > 1.1 {
		t.Errorf("runtime ratios %v of a worker ten times as slow, %v of the other", slow.runtimeRatio, quick.runtimeRatio)
	}
	if c := d.classes.current[0]; c.meanRuntime < 0.12 || c.baseRuntime > 0.12 {
		t.Errorf("mean running time %v, base running time %v", c.meanRuntime, c.baseRuntime)
	}
	slow.runtimeRatio, d.estimates.meanWork = 8, 0.1 // no request was submitted yet
	for i := range 50 {
		id := fmt.Sprint("r", i)
		h.submit(d, id, 0)
		if h.lastWorker() == "w0" {
			t.Fatal("a request went to a worker where it must miss its target")
		}
		h.reportStart(d, id, 0)
		h.run(d, h.now+100*ms)
		h.endAttempt(d, id, 0, Served)
		slow.runtimeRatio = 8
	}
	h.run(d, h.now+time.Minute)
	if slow.runtimeRatio > 1.1 {
		t.Errorf("runtime ratio %v after a minute without requests; the worker would never be tried again", slow.runtimeRatio)
	}
}

// A request may be shorter than the mean and its latency target earlier: without a hint it
// gets the slack of a short request.
func TestSlackAssumesShortRequest(t *testing.T) {
	d, _ := start(t, settings(), fleet(1)...)
	r := &request{class: d.classes.current[0], Request: Request{Slots: 1}, runtime: 0.2, work: 0.2, deadline: time.Hour, targetAt: 600 * ms}
	// The target is 200 ms plus 2 running times, and the slack is one running time less, with a running time of 0.4 of 200 ms.
	if got, want := r.slackAt(0, 1), 0.2+shortRequestFraction*0.2; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("slack %v, want %v", got, want)
	}
	r.RuntimeHint = 200 * ms
	if got := r.slackAt(0, 1); got < 0.4-1e-9 || got > 0.4+1e-9 {
		t.Errorf("slack %v of a request with a hint, want 0.4", got)
	}
}
