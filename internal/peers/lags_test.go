package peers

import (
	"slices"
	"testing"
	"time"
)

// lagsOf returns the lags that a member has reported since the last call.
func (n *network) lagsOf(i int) (lags []Lag) {
	n.nodes[i].Lags(func(l Lag) { lags = append(lags, l) })
	return lags
}

// checkLags checks that each member reports one lag, and the right one.
func (n *network) checkLags(t *testing.T, want string, right func(Lag) bool) {
	t.Helper()
	for i := range n.nodes {
		if lags := n.lagsOf(i); len(lags) != 1 || !right(lags[0]) {
			t.Errorf("%d reports %+v, want that %s", i, lags, want)
		}
	}
}

// missThreeChanges has a member miss three changes, two seconds apart.
func (n *network) missThreeChanges(misses int) {
	for number := uint32(42); number <= 44; number++ {
		for m := range n.nodes {
			if m != misses {
				n.setRevision(m, Revision{number, number})
			}
		}
		n.run(2 * time.Second)
	}
}

// Guards against a scheduler that missed reloads and does not count as behind: it does since the first change that it lacks came in
// force, and that is reported once, as is that it has caught up.
func TestLagAfterThreeMissedChanges(t *testing.T) {
	n := newRevisionNetwork(14, 5)
	from := n.now
	n.missThreeChanges(5)
	if w := n.wrongStatus(); w != "" {
		t.Fatal(w)
	}
	for i, node := range n.nodes {
		b := node.Status(n.now).Members[5].BehindMS
		if late := n.now - from - time.Duration(b)*ms; !slices.Equal(n.behindMembers(i), []int{5}) || late < 0 || late > 500*ms {
			t.Errorf("%d reports %v as behind; 5 by %d ms, %v after the first change", i, n.behindMembers(i), b, n.now-from)
		}
		if lags := n.lagsOf(i); len(lags) > 0 {
			t.Errorf("reported before it was behind for %v: %+v", LagThreshold, lags)
		}
	}
	n.run(LagThreshold - 5*time.Second)
	n.checkLags(t, "5 is behind", func(l Lag) bool {
		return l.Number == 5 && l.Revision == 41 && l.Newest == 44 && l.BehindFor > LagThreshold
	})
	n.setRevision(5, Revision{43, 43})
	n.run(2 * time.Second)
	if b := n.nodes[0].Status(n.now).Members[5].BehindMS; time.Duration(b)*ms > n.now-from-3500*ms {
		t.Errorf("with 43 in force it is %d ms behind, though 44 came in force %v ago", b, n.now-from-4*time.Second)
	}
	n.setRevision(5, Revision{44, 44})
	n.run(2 * time.Second)
	n.checkLags(t, "5 has caught up", func(l Lag) bool { return l.CaughtUp && l.Number == 5 })
	for i := range n.nodes {
		if len(n.behindMembers(i)) > 0 {
			t.Errorf("%d reports %v as behind, though 5 has caught up", i, n.behindMembers(i))
		}
	}
}
