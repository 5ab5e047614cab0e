package dispatcher

import (
	"math"
	"testing"
	"time"
)

// Rejections promise that nothing ran.
func TestRejectedOnlyWhenNothingRan(t *testing.T) {
	for class, effect := range []Idempotency{Idempotent, IdempotentByKey, NotIdempotent} {
		d, h := start(t, settings(), fleet(1)...)
		h.submit(d, "r", class)
		h.run(d, h.now+6*time.Second) // no outcome until the client's time is up
		want := "failed"
		if effect == Idempotent {
			want = "refused"
		}
		if h.ends["r"] != want {
			t.Errorf("effect %d: %q at the deadline, want %q", effect, h.ends["r"], want)
		}
	}
	d, h := start(t, settings())
	h.submit(d, "r", 2)
	h.run(d, h.now+time.Second)
	if h.ends["r"] != "refused" {
		t.Errorf("never sent: %q, want refused", h.ends["r"])
	}
}

func TestRejectedEarlyWhenItCannotBeInTime(t *testing.T) {
	d, h := start(t, settings(), fleet(1)...)
	*d.classes.current[0] = class{Class: d.classes.current[0].Class, pool: d.workers.pools[0], meanRuntime: 0.1, meanCompletion: 0.1, samples: 10, inFlight: 1}
	d.tenants.all[0].pendingWork[0], d.capacity.slots, d.workers.pools[0].noCapacity = 10, 1, true
	h.submit(d, "late", 0)
	if h.ends["late"] != "refused" {
		t.Errorf("behind 10 s of work: %q", h.ends["late"])
	}
	d.tenants.all[0].pendingWork[0] = 0
	h.submit(d, "fine", 0)
	if h.ends["fine"] != "" {
		t.Errorf("behind nothing: %q", h.ends["fine"])
	}
}

// Incident ie69b0c: a mean completion over the latency target had a class rejected for good,
// since no outcome came to lower it.
func TestRejectionsEndByThemselves(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	*d.classes.current[0] = class{Class: d.classes.current[0].Class, pool: d.workers.pools[0], meanRuntime: 0.1, meanCompletion: 3, samples: 1000}
	h.submit(d, "trial", 0)
	if h.attempts["trial"] != 1 {
		t.Fatal("no job is let through to renew the mean")
	}
	for range 200 {
		d.endRound(h.now)
	}
	if c := d.classes.current[0].meanCompletion; c > 0.2 {
		t.Errorf("mean completion still %v after 20 s without jobs", c)
	}
}

// Incident ie55aff: a request may arrive with no time left.
func TestNoTimeLeft(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	if err := d.SubmitRequest(h.now, Request{ID: "r", Class: 2}); err != nil || h.ends["r"] != "refused" || len(d.requests.byID) > 0 {
		t.Errorf("error %v, end %q", err, h.ends["r"])
	}
}

// Short jobs of a class are not rejected for the length of its others: what
// counts is the hint.
func TestHintedJobIsJudgedByItsOwnTime(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	*d.classes.current[0] = class{Class: d.classes.current[0].Class, pool: d.workers.pools[0], meanRuntime: 1, meanHint: 1, meanCompletion: 1.05, samples: 1000, inFlight: 1}
	_ = d.SubmitRequest(h.now, Request{ID: "short", TimeLeft: 5 * time.Second, RuntimeHint: 10 * ms})
	if h.attempts["short"] != 1 {
		t.Errorf("short job: %q", h.ends["short"])
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
		t.Errorf("mean completion %v, want %v", d.classes.current[0].meanCompletion, want)
	}
}

// A job that has not started when it must be late is cancelled and answered,
// where a late answer earns little: it would only delay others.
func TestHopelessJobsAreEnded(t *testing.T) {
	for _, late := range []float64{0, 0.5} {
		set := settings()
		set.MaxAttempts, set.Classes[2].LateValue = 1, late
		d, h := start(t, set, fleet(2)...)
		h.submit(d, "r", 2)
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
	d.estimates.meanWork = 0.1
	seen := map[time.Duration]bool{}
	for range 50 {
		for _, left := range []time.Duration{time.Second, 0, 0} {
			r := &request{class: d.classes.current[0], deadline: h.now + left, targetAt: h.now + left}
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
	if after := d.retryAfter(h.now, &request{class: d.classes.current[0]}); after != 0 {
		t.Errorf("advice of %v where none is heeded", after)
	}
}
