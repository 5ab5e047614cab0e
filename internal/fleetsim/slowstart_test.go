package fleetsim

import (
	"fmt"
	"testing"
	"time"
)

// Guards against workers that warm up and are overloaded by the sum of what many schedulers send, each of which keeps to
// its own share: small workers, so that a job of each scheduler is already much; half of the schedulers die and come back with nothing
// learned in the moment of a release, and for a while half of them take the other half for dead.
func TestSlowStartBoundsTheSumOfSchedulers(t *testing.T) {
	for _, schedulers := range []int{20, 30} {
		t.Run(fmt.Sprint(schedulers), func(t *testing.T) {
			t.Parallel()
			e := DefaultExperiment()
			e.Version, e.Seeds, e.LengthSeconds = Version, 3, 14
			e.Schedulers, e.Workers = []int{schedulers}, []int{schedulers / 2}
			e.Worker.Cores = []int{1, 2, 4}
			e.Load = 0.8
			e.Variants = []Variant{{Name: "alone"}, {Name: "told", Peers: true, MinSubscribers: 8, MinSubset: 4}}
			e.Faults = []Fault{{Kind: "replace", AtSeconds: 4, ForSeconds: 2, Share: 0.6}, {Kind: "kill", AtSeconds: 4.5, ForSeconds: 0.6, Share: 0.5},
				{Kind: "split", AtSeconds: 5, ForSeconds: 4, Share: 1}}
			for _, r := range Run(&e, func(Result) {}) {
				t.Logf("%s, seed %d: %.2f of what cold boxes bear, worth %.3f", r.Variant, r.Seed, r.MaxOverload, r.Value)
				if r.MaxOverload > 1 {
					t.Errorf("%s, seed %d: a worker that warms up got %.2f times what it may", r.Variant, r.Seed, r.MaxOverload)
				}
				if r.MaxOverload == 0 {
					t.Errorf("%s, seed %d: no worker that warms up got anything", r.Variant, r.Seed)
				}
			}
		})
	}
}

// Guards the measure itself: a burst of twice the budget counts as such, also when it comes late in the slow start.
func TestMaxOverload(t *testing.T) {
	set := DefaultExperiment().Worker
	set.SlowStartCapacity, set.SlowStartSeconds = 0.5, 10
	for _, at := range []time.Duration{0, 5 * time.Second} {
		w := &worker{model: &set, cores: 4, speed: 1}
		part := 0.5 + 0.5*at.Seconds()/10
		n := int(2 * overloadMultiple * 4 * part * overloadWindow.Seconds() / meanWorkSeconds())
		for range n {
			w.slowStartArrivals = append(w.slowStartArrivals, arrival{at: at, work: meanWorkSeconds()})
		}
		if got := w.maxOverload(); got < 1.4 || got > 2 {
			t.Errorf("%d jobs at once after %v: %.2f", n, at, got)
		}
		for i := range w.slowStartArrivals { // spread over five spans it is within the budget
			w.slowStartArrivals[i].at += time.Duration(i) * 5 * overloadWindow / time.Duration(n)
		}
		if got := w.maxOverload(); got > 0.6 {
			t.Errorf("spread, after %v: %.2f", at, got)
		}
	}
}
