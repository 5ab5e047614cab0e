package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// In no window do the retries exceed what the requests of that window allow, whatever the
// outcomes.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 1))
		set := settings()
		set.RetryBudget = RetryBudget{FreeRetries: 1 + int(seed%3), RetryRatio: 0.1, Window: 2 * time.Second}
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
					if at >= last-set.RetryBudget.Window && at <= last {
						n++
					}
				}
				return n
			}
			if got, most := count(further), float64(set.RetryBudget.FreeRetries)+0.1*float64(count(taken)); float64(got) > most {
				t.Fatalf("seed %d: %d retries in a window, want at most %.1f", seed, got, most)
			}
		}
		for i := range 800 {
			h.run(d, h.now+time.Duration(rng.IntN(60))*ms)
			check()
			id := fmt.Sprint("r", i)
			h.submit(d, id, 0)
			taken = append(taken, h.now)
			for n := 0; n < 4 && h.attempts[id] > n && h.ends[id] == ""; n++ {
				o := []Outcome{Errored, NotSent, Served}[rng.IntN(3)]
				h.endAttempt(d, id, n, o)
				check()
			}
		}
		if len(further) < 25 {
			t.Errorf("seed %d: only %d retries, want at least 25", seed, len(further))
		}
	}
}

// Just after its start a dispatcher has no requests of an earlier window to count.
func TestBudgetAtTheStart(t *testing.T) {
	set := settings()
	set.RetryBudget = RetryBudget{FreeRetries: 0, RetryRatio: 0.5, Window: 5 * time.Second}
	d, h := start(t, set, fleet(4)...)
	h.submit(d, "a", 2)
	h.endAttempt(d, "a", 0, Rejected)
	if len(h.sends) != 1 || h.ends["a"] != "rejected" {
		t.Errorf("%d sends, end %q; a budget of half a retry must allow none", len(h.sends), h.ends["a"])
	}
	h.submit(d, "b", 0)
	h.endAttempt(d, "b", 0, ConnectFailed)
	if h.attempts["b"] != 2 {
		t.Error("no retry, although two requests allow one")
	}
}

// A queued retry is checked again when it is sent, since another request may have used up
// the budget.
func TestBudgetIsCheckedAtTheSend(t *testing.T) {
	set := settings()
	set.RetryBudget = RetryBudget{FreeRetries: 1, Window: 5 * time.Second}
	d, h := start(t, set, fleet(3)...)
	h.submit(d, "a", 0)
	r := d.requests.byID["a"]
	r.attempts[0].ended = true
	r.inFlight = 0
	if w := d.workers.all[1]; !d.mayAttempt(h.now, r, w) {
		t.Fatal("the free retry is not allowed")
	}
	d.budget.retries.add(h.now)
	for _, w := range d.workers.all {
		if d.mayAttempt(h.now, r, w) {
			t.Error("a second retry is allowed, want one free retry")
		}
	}
}
