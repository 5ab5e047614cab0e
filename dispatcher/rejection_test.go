package dispatcher

import (
	"math"
	"testing"
	"time"
)

// A request is rejected, rather than failed, only if no attempt that must not be repeated may have run.
func TestRejectedOnlyWhenNothingRan(t *testing.T) {
	for class, idempotency := range []Idempotency{Idempotent, IdempotentByKey, NotIdempotent} {
		d, h := start(t, settings(), fleet(1)...)
		h.submit(d, "r", class)
		h.run(d, h.now+6*time.Second) // past the client's timeout, without an outcome
		want := "failed"
		if idempotency == Idempotent {
			want = "rejected"
		}
		if h.ends["r"] != want {
			t.Errorf("idempotency %d: ended as %q at the deadline, want %q", idempotency, h.ends["r"], want)
		}
	}
	d, h := start(t, settings())
	h.submit(d, "r", 2)
	h.run(d, h.now+time.Second)
	if h.ends["r"] != "rejected" {
		t.Errorf("a request that was never sent ended as %q, want rejected", h.ends["r"])
	}
}

func TestRejectedEarlyIfTargetCannotBeMet(t *testing.T) {
	d, h := start(t, settings(), fleet(1)...)
	*d.classes.current[0] = class{Class: d.classes.current[0].Class, pool: d.workers.pools[0], meanRuntime: 0.1, meanCompletion: 0.1, samples: 10, inFlight: 1}
	d.tenants.all[0].pendingWork[0], d.capacity.slots, d.workers.pools[0].noCapacity = 10, 1, true
	h.submit(d, "late", 0)
	if h.ends["late"] != "rejected" {
		t.Errorf("behind 10 s of work: ended as %q, want rejected", h.ends["late"])
	}
	d.tenants.all[0].pendingWork[0] = 0
	h.submit(d, "fine", 0)
	if h.ends["fine"] != "" {
		t.Errorf("without pending work: ended as %q, want it sent", h.ends["fine"])
	}
}

// Incident ie69b0c: a mean completion time over the latency target caused a class to be
// rejected forever, since no outcome arrived to lower it.
func TestClassRecoversFromRejections(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	*d.classes.current[0] = class{Class: d.classes.current[0].Class, pool: d.workers.pools[0], meanRuntime: 0.1, meanCompletion: 3, samples: 1000}
	h.submit(d, "trial", 0)
	if h.attempts["trial"] != 1 {
		t.Fatal("no request is admitted to update the mean")
	}
	for range 200 {
		d.endRound(h.now)
	}
	if c := d.classes.current[0].meanCompletion; c > 0.2 {
		t.Errorf("mean completion time still %v after 20 s without requests", c)
	}
}

// Incident ie55aff: a request may arrive with no time left and must be rejected.
func TestNoTimeLeft(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	if err := d.SubmitRequest(h.now, Request{ID: "r", Class: 2}); err != nil || h.ends["r"] != "rejected" || len(d.requests.byID) > 0 {
		t.Errorf("error %v, ended as %q, want rejected", err, h.ends["r"])
	}
}

// Guards against rejecting short requests because others of their class are long: the
// runtime hint counts, not the mean.
func TestHintedRequestIsJudgedByItsHint(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	*d.classes.current[0] = class{Class: d.classes.current[0].Class, pool: d.workers.pools[0], meanRuntime: 1, meanHint: 1, meanCompletion: 1.05, samples: 1000, inFlight: 1}
	_ = d.SubmitRequest(h.now, Request{ID: "short", RemainingTimeout: 5 * time.Second, RuntimeHint: 10 * ms})
	if h.attempts["short"] != 1 {
		t.Errorf("the short request was not sent: ended as %q", h.ends["short"])
	}
}

func TestOneLongWaitCountsForTwoLatencyTargets(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	*d.classes.current[0] = class{Class: d.classes.current[0].Class, pool: d.workers.pools[0], meanRuntime: 0.1, meanCompletion: 0.1, samples: 1000}
	h.submit(d, "r", 0)
	h.run(d, h.now+4*time.Second)
	_ = d.AttemptStarted(h.now, "r", 0)
	h.now += 100 * ms
	h.endAttempt(d, "r", 0, Served)
	if want := 0.1 + meanGain*maxWaitTargets*0.2; math.Abs(d.classes.current[0].meanCompletion-want) > 1e-6 {
		t.Errorf("mean completion time %v, want %v", d.classes.current[0].meanCompletion, want)
	}
}

// A request that has not started and can no longer meet its target is cancelled and ended
// if a late response has little value, since it would only delay others.
func TestRequestsThatMissTheirTargetAreEnded(t *testing.T) {
	for _, late := range []float64{0, 0.5} {
		set := settings()
		set.MaxAttempts, set.Classes[2].LateValue = 1, late
		d, h := start(t, set, fleet(2)...)
		h.submit(d, "r", 2)
		h.run(d, h.now+250*ms)
		if ended := h.ends["r"] == "failed" && len(h.cancels) == 1; ended != (late == 0) {
			t.Errorf("late value %v: ended as %q, %d cancelled", late, h.ends["r"], len(h.cancels))
		}
	}
}

// A rejected client gets a random retry delay of at most MaxRetryAfter.
func TestRejectedClientsGetRetryAfter(t *testing.T) {
	set := settings()
	set.MaxRetryAfter = 150 * ms
	d, h := start(t, set)
	d.estimates.meanWork = 0.1
	seen := map[time.Duration]bool{}
	for range 50 {
		for _, remaining := range []time.Duration{time.Second, 0, 0} {
			r := &request{class: d.classes.current[0], deadline: h.now + remaining, targetAt: h.now + remaining}
			after := d.retryAfter(h.now, r)
			if after <= 0 || after > set.MaxRetryAfter {
				t.Fatalf("retry after %v, want at most %v", after, set.MaxRetryAfter)
			}
			seen[after] = true
		}
	}
	if len(seen) < 100 {
		t.Errorf("%d different delays of 150", len(seen))
	}
	d.settings.MaxRetryAfter = 0
	if after := d.retryAfter(h.now, &request{class: d.classes.current[0]}); after != 0 {
		t.Errorf("retry after %v although clients observe none", after)
	}
}
