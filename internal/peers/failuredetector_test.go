package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newMemberNetwork returns a network of nodes with failure detection that have run for 4 s.
func newMemberNetwork(members int, seed uint64) *network {
	n := &network{rand: rand.New(rand.NewPCG(seed, 1)), down: map[int]bool{}, nodes: make([]*Node, members)}
	for m := range members {
		n.restart(m, 1)
	}
	n.run(4 * time.Second)
	return n
}

func (n *network) restart(m int, run uint16) {
	o := options(m, len(n.nodes))
	o.Generation, o.DetectorRand = run, rand.New(rand.NewPCG(uint64(m), uint64(run)))
	n.nodes[m], n.down[m] = New(o), false
}

// countStates counts, over all nodes that are up, the states in which they have the members for which which returns true.
func (n *network) countStates(which func(m int) bool) (c [Dead + 1]int) {
	for i, node := range n.nodes {
		if n.down[i] {
			continue
		}
		for m := range n.nodes {
			if m != i && which(m) {
				c[node.detector.views[m].state]++
			}
		}
	}
	return c
}

func (n *network) up(m int) bool { return !n.down[m] }

// Guards against failed members that count as alive, and live ones that do not: at all sizes, whether one fails or seven in ten
// at once, all detect it within 3 s, and their return within 3 s.
func TestFailuresAndRestartsAreDetected(t *testing.T) {
	for _, c := range []struct{ members, die int }{{2, 1}, {8, 1}, {30, 1}, {100, 1}, {100, 70}, {300, 1}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			n := newMemberNetwork(c.members, 3)
			if s := n.countStates(n.up); s[Alive] != c.members*(c.members-1) {
				t.Fatalf("at the start: %v, want all alive", s)
			}
			for m := range c.die {
				n.down[m] = true
			}
			n.run(3 * time.Second)
			if s := n.countStates(func(m int) bool { return n.down[m] }); s[Alive] > 0 {
				t.Errorf("3 s after their death: %v, none must count as alive", s)
			}
			if s := n.countStates(n.up); s[Alive] != (c.members-c.die)*(c.members-c.die-1) {
				t.Errorf("the others: %v, want all alive", s)
			}
			for m := range c.die {
				n.restart(m, 2)
			}
			n.run(3 * time.Second)
			if s := n.countStates(n.up); s[Alive] != c.members*(c.members-1) {
				t.Errorf("3 s after their return: %v, want all alive", s)
			}
		})
	}
}

// Guards against a member that resumes after ten seconds, considers all others dead, and is not accepted again.
func TestSuspendedMemberRejoins(t *testing.T) {
	n := newMemberNetwork(20, 5)
	n.down[4] = true
	n.run(10 * time.Second)
	if s := n.countStates(func(m int) bool { return m == 4 }); s[Dead] != 19 {
		t.Fatalf("suspended for 10 s: %v, want dead at all", s)
	}
	n.down[4] = false
	n.nodes[4].Changes(func(Change) {})
	n.run(3 * time.Second)
	n.nodes[4].Changes(func(c Change) { t.Errorf("the resumed member changed a state: %+v", c) })
	if s := n.countStates(n.up); s[Alive] != 20*19 {
		t.Errorf("3 s after it resumed: %v, want all alive", s)
	}
}

// Guards against two partitions that never merge again, and one bad link by which a live member is declared dead.
func TestPartitionsHeal(t *testing.T) {
	n := newMemberNetwork(24, 7)
	n.linkDown = func(from, to int) bool { return (from < 9) != (to < 9) }
	n.run(6 * time.Second)
	if s := n.countStates(n.up); s[Alive] != 9*8+15*14 {
		t.Errorf("partitioned for 6 s: %v, want only the own partition alive", s)
	}
	n.linkDown = nil
	n.run(3 * time.Second)
	if s := n.countStates(n.up); s[Alive] != 24*23 {
		t.Errorf("3 s after the partition: %v, want all alive", s)
	}
	n.linkDown = func(from, to int) bool { return from == 2 && to == 3 }
	for range 40 {
		n.run(500 * ms)
		if s := n.countStates(n.up); s[Dead] > 0 || s[Alive] < 24*23-2*24 {
			t.Fatalf("with one link down in one direction: %v", s)
		}
	}
}

// Guards failure detection through all faults of a network: three seconds after the last of them the membership has converged.
func TestMembershipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, 9).Draw(t, "members")
		n := newMemberNetwork(members, rapid.Uint64().Draw(t, "seed"))
		runs := make([]uint16, members)
		n.lossRate, n.duplicateRate = rapid.Float64Range(0, 0.5).Draw(t, "loss"), rapid.Float64Range(0, 0.5).Draw(t, "repeat")
		n.extraDelay = rapid.SampledFrom([]time.Duration{0, 300 * ms}).Draw(t, "late")
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			m := rapid.IntRange(0, members-1).Draw(t, "member")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				n.down[m] = true
			case 1:
				n.down[m] = false // it was suspended
			case 2:
				runs[m]++
				n.restart(m, 1+runs[m])
			case 3:
				cut := rapid.IntRange(0, members).Draw(t, "cut")
				n.linkDown = func(from, to int) bool { return from < cut && to >= cut }
			default:
				n.linkDown = nil
			}
			n.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "for")) * 50 * ms)
		}
		n.linkDown, n.lossRate, n.extraDelay, n.duplicateRate = nil, 0, 0, 0
		n.run(400*ms + 3*time.Second)
		up := 0
		for m := range members {
			up += btoi(n.up(m))
		}
		if s := n.countStates(n.up); s[Alive] != up*(up-1) {
			t.Fatalf("of %d that are up: %v", up, s)
		}
		if s := n.countStates(func(m int) bool { return n.down[m] }); s[Alive] > 0 {
			t.Fatalf("of those that are down: %v", s)
		}
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against a gossiped claim that counts as an acknowledgement: while schedulers start, every datagram claims some members to
// be alive, and dead ones would be probed again and again.
func TestOnlyAcknowledgementEndsProbe(t *testing.T) {
	n := newMemberNetwork(3, 9)
	a, now := n.nodes[0], n.now
	for _, c := range []struct {
		kind kind
		want int
	}{{kindAck, 1}, {kindIndirectAck, 0}} {
		a.detector.probes = []probe{{number: 2, at: now, indirect: true}}
		a.receiveDetectorMessage(now, 1, header{kind: c.kind, generation: 1}, appendClaim([]byte{0}, claim{2, Alive, 1, 0}))
		if len(a.detector.probes) != c.want {
			t.Errorf("kind %d: %d probes are open, want %d", c.kind, len(a.detector.probes), c.want)
		}
	}
}
