package fleetsim

import (
	"fmt"
	"testing"
	"time"
)

// Guards against cold boxes that fall under the sum of what many schedulers send, each of which keeps to its own part:
// small boxes, so that a job of each scheduler is already much; half of the schedulers die and come back with nothing
// learned in the moment of a release, and for a while half of them hold the other half for dead.
func TestColdBoxesBearTheSum(t *testing.T) {
	for _, schedulers := range []int{20, 30} {
		t.Run(fmt.Sprint(schedulers), func(t *testing.T) {
			t.Parallel()
			f := Default()
			f.Version, f.Seeds, f.LengthS = Version, 3, 14
			f.Schedulers, f.Boxes = []int{schedulers}, []int{schedulers / 2}
			f.Box.Cores = []int{1, 2, 4}
			f.Load = 0.8
			f.Variants = []Variant{{Name: "alone"}, {Name: "told", Peers: true, Hearers: 8, Least: 4}}
			f.Troubles = []Trouble{{Kind: "replace", AtS: 4, ForS: 2, Share: 0.6}, {Kind: "kill", AtS: 4.5, ForS: 0.6, Share: 0.5},
				{Kind: "split", AtS: 5, ForS: 4, Share: 1}}
			for _, r := range Run(&f, func(Result) {}) {
				t.Logf("%s, seed %d: %.2f of what cold boxes bear, worth %.3f", r.Variant, r.Seed, r.Pushed, r.Worth)
				if r.Pushed > 1 {
					t.Errorf("%s, seed %d: a cold box got %.2f times what it may", r.Variant, r.Seed, r.Pushed)
				}
				if r.Pushed == 0 {
					t.Errorf("%s, seed %d: no cold box got anything", r.Variant, r.Seed)
				}
			}
		})
	}
}

// Guards the measure itself: a burst of twice the budget counts as such, also when it comes late in the box's youth.
func TestPushed(t *testing.T) {
	set := Default().Box
	set.ColdFrom, set.ColdS = 0.5, 10
	for _, at := range []time.Duration{0, 5 * time.Second} {
		b := &box{set: &set, cores: 4, speed: 1}
		part := 0.5 + 0.5*at.Seconds()/10
		n := int(2 * fallMultiple * 4 * part * fall.Seconds() / meanWork())
		for range n {
			b.came = append(b.came, arrival{at: at, work: meanWork()})
		}
		if got := b.pushed(); got < 1.4 || got > 2 {
			t.Errorf("%d jobs at once after %v: %.2f", n, at, got)
		}
		for i := range b.came { // spread over five spans it is within the budget
			b.came[i].at += time.Duration(i) * 5 * fall / time.Duration(n)
		}
		if got := b.pushed(); got > 0.6 {
			t.Errorf("spread, after %v: %.2f", at, got)
		}
	}
}
