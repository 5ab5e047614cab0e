package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func (h *fakeHost) began(d *Dispatcher, id string, n int) {
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

// Nothing is sent to a worker that fails to connect for a while, then one trial request.
func TestUnhealthyWorkerIsTriedOnce(t *testing.T) {
	set := settings()
	set.StartNotified = false
	d, h := start(t, set, fleet(1)...)
	h.submit(d, "a", 0)
	h.endAttempt(d, "a", 0, ConnectFailed)
	if len(h.sends) != 2 {
		t.Fatal("one failure is the connection's, not the worker's")
	}
	h.endAttempt(d, "a", 1, ConnectFailed)
	h.run(d, h.now+100*ms)
	if len(h.sends) != 2 {
		t.Fatal("sent again at once")
	}
	h.run(d, h.now+2*minUnhealthyBackoff)
	h.submit(d, "b", 0)
	h.submit(d, "c", 0)
	if h.attempts["b"] != 1 || h.attempts["c"] != 0 {
		t.Errorf("trial: %d and %d sends", h.attempts["b"], h.attempts["c"])
	}
	h.endAttempt(d, "b", 0, Served)
	if d.workers.byName["w0"].unhealthyUntil != 0 {
		t.Error("still doubted after a success")
	}
}

// Guards against the slots that jobs on silent connections seem to hold until
// their time-outs land, and against the exclusion of the worker, which is healthy.
// The first start of a job sent well after shows it; what may run twice is hedged,
// after the backoff.
func TestSilentConnections(t *testing.T) {
	for class, effect := range []Idempotency{Idempotent, IdempotentByKey, NotIdempotent} {
		set := settings()
		set.FIFOWorkers, set.Dispatchers = true, 2
		d, h := start(t, set, fleet(1)...)
		w := d.workers.byName["w0"]
		h.submit(d, "mute", class)
		h.now += minOvertakeGap + ms
		d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Worker: "v", Cell: 5, Weight: 1}}) // the rule on copies allows no other cell
		d.send(h.now, newRequest(d, h, "other"), w)
		h.began(d, "other", 0)
		if w.inFlight != 1 || w.notStarted != 0 {
			t.Errorf("effect %d: %v slots held, %d to start; the silent one counts", effect, w.inFlight, w.notStarted)
		}
		want := 2
		if effect == NotIdempotent {
			want = 1
		}
		if h.attempts["mute"] != want {
			t.Errorf("effect %d: %d attempts", effect, h.attempts["mute"])
		}
		h.endAttempt(d, "mute", 0, TimedOut)
		if w.unhealthyUntil != 0 || w.limit != unlimited {
			t.Errorf("effect %d: the worker is blamed: until %v, sigma %v", effect, w.unhealthyUntil, w.limit)
		}
		if w.inFlight != 1 {
			t.Errorf("effect %d: %v slots held in the end", effect, w.inFlight)
		}
	}
}

// A late start shows a silent connection also where nothing is sent after it:
// the worker is not kept out for good by a job that will never start.
func TestLateStartDoesNotBlockAWorker(t *testing.T) {
	set := settings()
	set.FIFOWorkers = true
	d, h := start(t, set, fleet(1)...)
	h.submit(d, "mute", 2)
	h.run(d, h.now+500*ms)
	if w := d.workers.byName["w0"]; w.inFlight != 0 || w.notStarted != 0 {
		t.Errorf("%v slots held, %d to start", w.inFlight, w.notStarted)
	}
	h.run(d, h.now+time.Second)
	h.submit(d, "next", 2)
	if h.attempts["next"] != 1 {
		t.Fatal("nothing goes to the worker any more")
	}
	h.began(d, "next", 0)
	h.began(d, "mute", 0) // it had only been slow
	if w := d.workers.byName["w0"]; w.inFlight != 2 || w.unhealthyUntil != 0 {
		t.Errorf("%v slots held, left alone until %v", w.inFlight, w.unhealthyUntil)
	}
}

// A job that runs for far too long without a report of progress is written off, and
// put on them again by its next report.
func TestOverdueJobsAreNotCounted(t *testing.T) {
	d, h := start(t, settings(), fleet(1)...)
	d.classes.current[2].meanRuntime = 0.1
	h.submit(d, "long", 2)
	h.began(d, "long", 0)
	w := d.workers.byName["w0"]
	h.run(d, h.now+500*ms)
	if w.inFlight != 1 {
		t.Errorf("%v slots held after 5 usual running times", w.inFlight)
	}
	h.run(d, h.now+500*ms)
	if w.inFlight != 0 {
		t.Errorf("%v slots held after 10", w.inFlight)
	}
	if err := d.AttemptProgressed(h.now, "long", 0, 0.5); err != nil || w.inFlight != 1 {
		t.Errorf("%v slots held after a report of progress, error %v", w.inFlight, err)
	}
	h.endAttempt(d, "long", 0, Served)
	if w.inFlight != 0 || w.notStarted != 0 {
		t.Errorf("%v slots held in the end, %d to start", w.inFlight, w.notStarted)
	}
}

// Guards against workers that are taken for dead because one connection broke
// while others go on there. When all have broken, the worker is unhealthy.
func TestOneBrokenConnection(t *testing.T) {
	set := settings()
	set.SlowStartDuration, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 20*time.Second, 0.1, 3, 2*time.Second
	d, h := start(t, set, fleet(2)...)
	w := d.workers.byName["w0"]
	for _, id := range []string{"a", "b", "c"} {
		d.send(h.now, newRequest(d, h, id), w)
		h.began(d, id, 0)
	}
	h.endAttempt(d, "a", 0, ConnectionLost)
	if w.unhealthyUntil != 0 || w.limit != unlimited || w.warmAt != 0 {
		t.Errorf("one of three: left alone until %v, sigma %v, cold until %v", w.unhealthyUntil, w.limit, w.warmAt)
	}
	h.endAttempt(d, "b", 0, ConnectionLost)
	h.endAttempt(d, "c", 0, ConnectionLost)
	if w.unhealthyUntil <= h.now || w.warmAt <= h.now {
		t.Errorf("all: left alone until %v, cold until %v", w.unhealthyUntil, w.warmAt)
	}
}

// Guards against a worker that fails each job at once, or rejects it, and so
// always holds the fewest: it would draw all jobs.
func TestBadAnswersEject(t *testing.T) {
	for _, o := range []Outcome{Errored, Rejected} {
		set := settings()
		set.Tenants = []Tenant{{Share: 1, Quota: 1e6}} // within it, sigma does not bind
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
				h.began(d, id, n)
				h.run(d, h.now+5*ms)
				h.endAttempt(d, id, n, Served)
			}
			h.run(d, h.now+5*ms)
		}
		if failed == 0 || failed > 20 { // a third of 200 would be even
			t.Errorf("outcome %d: %d of 200 jobs went to the bad worker", o, failed)
		}
		w := d.workers.byName["w0"]
		w.ejectedUntil = 0
		for range 8 {
			d.learn(h.now, newRequest(d, h, "x"), &attempt{worker: w, sentAt: h.now}, Served)
		}
		if w.errorRate >= maxErrorRate || w.ejectionBackoff != 0 {
			t.Errorf("outcome %d: after 8 good answers share of errors %v, rests for %v", o, w.errorRate, w.ejectionBackoff)
		}
	}
}

// Guards against jobs that all get late at a worker which has become slow, while
// others have capacity, and against latency targets that grow as workers get slower.
func TestSlowWorkersGetWhatTheyCanDoInTime(t *testing.T) {
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
		t.Errorf("paces %v of a worker ten times as slow, %v of the others", slow.runtimeRatio, quick.runtimeRatio)
	}
	if c := d.classes.current[0]; c.meanRuntime < 0.12 || c.baseRuntime > 0.12 {
		t.Errorf("mean running time %v, of the jobs' own %v", c.meanRuntime, c.baseRuntime)
	}
	slow.runtimeRatio, d.estimates.meanWork = 8, 0.1 // no request has come yet
	for i := range 50 {
		id := fmt.Sprint("r", i)
		h.submit(d, id, 0)
		if h.last() == "w0" {
			t.Fatal("a job went where it must be late")
		}
		h.began(d, id, 0)
		h.run(d, h.now+100*ms)
		h.endAttempt(d, id, 0, Served)
		slow.runtimeRatio = 8
	}
	h.run(d, h.now+time.Minute)
	if slow.runtimeRatio > 1.1 {
		t.Errorf("runtime ratio %v after a minute without jobs: it would never be tried again", slow.runtimeRatio)
	}
}

// A job may be shorter than the mean, and its latency target nearer: without a hint, the
// wait that it is given is that of a short one.
func TestWaitIsThatOfAShortJob(t *testing.T) {
	d, _ := start(t, settings(), fleet(1)...)
	r := &request{class: d.classes.current[0], Request: Request{Slots: 1}, runtime: 0.2, work: 0.2, deadline: time.Hour, targetAt: 600 * ms}
	// 200 ms + 2 times its own time, less its own time, for one of 0.4 of 200 ms.
	if got, want := r.slackAt(0, 1), 0.2+shortJobFraction*0.2; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("slack %v, want %v", got, want)
	}
	r.RuntimeHint = 200 * ms
	if got := r.slackAt(0, 1); got < 0.4-1e-9 || got > 0.4+1e-9 {
		t.Errorf("slack %v of a job whose time is known, want 0.4", got)
	}
}
