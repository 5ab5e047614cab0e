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

// checkLags checks that each member reports exactly one lag, for which matches returns true.
func (n *network) checkLags(t *testing.T, want string, matches func(Lag) bool) {
	t.Helper()
	for i := range n.nodes {
		if lags := n.lagsOf(i); len(lags) != 1 || !matches(lags[0]) {
			t.Errorf("member %d reports lags %+v, want one: %s", i, lags, want)
		}
	}
}

// missThreeChanges makes three changes, two seconds apart, at all members except lagging.
func (n *network) missThreeChanges(lagging int) {
	for number := uint32(42); number <= 44; number++ {
		for m := range n.nodes {
			if m != lagging {
				n.setRevision(m, Revision{number, number})
			}
		}
		n.run(2 * time.Second)
	}
}

// Guards against a scheduler that missed reloads and is not reported as behind. Its lag starts when the first change that it lacks came
// into force; the lag is reported once, and so is that it has caught up.
func TestLagAfterThreeMissedChanges(t *testing.T) {
	n := newRevisionNetwork(14, 5)
	firstChange := n.now
	n.missThreeChanges(5)
	if w := n.wrongStatus(); w != "" {
		t.Fatal(w)
	}
	for i, node := range n.nodes {
		b := node.Status(n.now).Members[5].BehindMS
		if deviation := n.now - firstChange - time.Duration(b)*ms; !slices.Equal(n.behindMembers(i), []int{5}) || deviation < 0 || deviation > 500*ms {
			t.Errorf("member %d reports %v as behind, member 5 by %d ms, %v after the first change", i, n.behindMembers(i), b, n.now-firstChange)
		}
		if lags := n.lagsOf(i); len(lags) > 0 {
			t.Errorf("reported before the lag exceeded %v: %+v", LagThreshold, lags)
		}
	}
	n.run(LagThreshold - 5*time.Second)
	n.checkLags(t, "member 5 is behind", func(l Lag) bool {
		return l.Number == 5 && l.Revision == 41 && l.Newest == 44 && l.BehindFor > LagThreshold
	})
	n.setRevision(5, Revision{43, 43})
	n.run(2 * time.Second)
	if b := n.nodes[0].Status(n.now).Members[5].BehindMS; time.Duration(b)*ms > n.now-firstChange-3500*ms {
		t.Errorf("with revision 43 in force, member 5 is %d ms behind, though revision 44 came into force %v ago", b, n.now-firstChange-4*time.Second)
	}
	n.setRevision(5, Revision{44, 44})
	n.run(2 * time.Second)
	n.checkLags(t, "member 5 has caught up", func(l Lag) bool { return l.CaughtUp && l.Number == 5 })
	for i := range n.nodes {
		if len(n.behindMembers(i)) > 0 {
			t.Errorf("member %d reports %v as behind, though member 5 has caught up", i, n.behindMembers(i))
		}
	}
}
