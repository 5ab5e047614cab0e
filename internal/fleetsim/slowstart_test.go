package fleetsim

import (
	"fmt"
	"testing"
	"time"
)

// TestSlowStartBoundsTheSumOfSchedulers guards against workers in slow start that are overloaded by the combined load of many
// schedulers, although each scheduler stays within its own share. The workers are small, so that one job per scheduler is already a
// high load. During a rollout that replaces workers, half of the schedulers crash and restart without learned state, and for a
// while the two halves of the schedulers are partitioned and consider each other dead.
func TestSlowStartBoundsTheSumOfSchedulers(t *testing.T) {
	for _, schedulers := range []int{20, 30} {
		t.Run(fmt.Sprint(schedulers), func(t *testing.T) {
			t.Parallel()
			e := DefaultExperiment()
			e.Version, e.Seeds, e.LengthSeconds = Version, 3, 14
			e.Schedulers, e.Workers = []int{schedulers}, []int{schedulers / 2}
			e.Worker.Cores = []int{1, 2, 4}
			e.Load = 0.8
			e.Variants = []Variant{{Name: "isolated"}, {Name: "with-peers", Peers: true, MinSubscribers: 8, MinSubset: 4}}
			e.Faults = []Fault{{Kind: "replace", AtSeconds: 4, ForSeconds: 2, Share: 0.6}, {Kind: "kill", AtSeconds: 4.5, ForSeconds: 0.6, Share: 0.5},
				{Kind: "split", AtSeconds: 5, ForSeconds: 4, Share: 1}}
			for _, r := range Run(&e, func(Result) {}) {
				t.Logf("%s, seed %d: maximum overload ratio %.2f, value %.3f", r.Variant, r.Seed, r.MaxOverload, r.Value)
				if r.MaxOverload > 1 {
					t.Errorf("%s, seed %d: a worker in slow start received %.2f times its limit", r.Variant, r.Seed, r.MaxOverload)
				}
				if r.MaxOverload == 0 {
					t.Errorf("%s, seed %d: no worker in slow start received any work", r.Variant, r.Seed)
				}
			}
		})
	}
}

// TestMaxOverload checks the metric itself: a burst of twice the limit must be reported as such, also late in the slow start.
func TestMaxOverload(t *testing.T) {
	model := DefaultExperiment().Worker
	model.SlowStartCapacity, model.SlowStartSeconds = 0.5, 10
	for _, at := range []time.Duration{0, 5 * time.Second} {
		w := &worker{model: &model, cores: 4, speed: 1}
		speedShare := 0.5 + 0.5*at.Seconds()/10
		n := int(2 * overloadMultiple * 4 * speedShare * overloadWindow.Seconds() / meanWorkSeconds())
		for range n {
			w.slowStartArrivals = append(w.slowStartArrivals, arrival{at: at, work: meanWorkSeconds()})
		}
		if got := w.maxOverload(); got < 1.4 || got > 2 {
			t.Errorf("burst of %d jobs after %v: overload %.2f, want 1.4 to 2", n, at, got)
		}
		for i := range w.slowStartArrivals { // spread over five windows, the work is within the limit
			w.slowStartArrivals[i].at += time.Duration(i) * 5 * overloadWindow / time.Duration(n)
		}
		if got := w.maxOverload(); got > 0.6 {
			t.Errorf("jobs spread over five windows after %v: overload %.2f, want at most 0.6", at, got)
		}
	}
}
