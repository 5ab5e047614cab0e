package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newMemberNetwork returns a network of nodes with failure detection that has run for 4 s.
func newMemberNetwork(members int, seed uint64) *network {
	n := &network{rand: rand.New(rand.NewPCG(seed, 1)), down: map[int]bool{}, nodes: make([]*Node, members)}
	for m := range members {
		n.restart(m, 1)
	}
	n.run(4 * time.Second)
	return n
}

func (n *network) restart(m int, generation uint16) {
	o := options(m, len(n.nodes))
	o.Generation, o.DetectorRand = generation, rand.New(rand.NewPCG(uint64(m), uint64(generation)))
	n.nodes[m], n.down[m] = New(o), false
}

// countStates counts the states in which the nodes that are up have those other members for which include returns true.
func (n *network) countStates(include func(m int) bool) (c [Dead + 1]int) {
	for i, node := range n.nodes {
		if n.down[i] {
			continue
		}
		for m := range n.nodes {
			if m != i && include(m) {
				c[node.detector.views[m].state]++
			}
		}
	}
	return c
}

func (n *network) up(m int) bool { return !n.down[m] }

// Guards against failed members that are considered alive and live members that are not: at every size, whether one member fails or
// 70 of 100 at once, all members detect the failure within 3 s and the restart within 3 s.
func TestFailuresAndRestartsAreDetected(t *testing.T) {
	for _, c := range []struct{ members, failures int }{{2, 1}, {8, 1}, {30, 1}, {100, 1}, {100, 70}, {300, 1}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			n := newMemberNetwork(c.members, 3)
			if s := n.countStates(n.up); s[Alive] != c.members*(c.members-1) {
				t.Fatalf("states at the start: %v, want all alive", s)
			}
			for m := range c.failures {
				n.down[m] = true
			}
			n.run(3 * time.Second)
			if s := n.countStates(func(m int) bool { return n.down[m] }); s[Alive] > 0 {
				t.Errorf("states of the failed members after 3 s: %v, want none alive", s)
			}
			if s := n.countStates(n.up); s[Alive] != (c.members-c.failures)*(c.members-c.failures-1) {
				t.Errorf("states of the other members: %v, want all alive", s)
			}
			for m := range c.failures {
				n.restart(m, 2)
			}
			n.run(3 * time.Second)
			if s := n.countStates(n.up); s[Alive] != c.members*(c.members-1) {
				t.Errorf("states 3 s after the restart: %v, want all alive", s)
			}
		})
	}
}

// Guards against a member that is suspended for ten seconds and then considers all others dead, or is not accepted again.
func TestSuspendedMemberRejoins(t *testing.T) {
	n := newMemberNetwork(20, 5)
	n.down[4] = true
	n.run(10 * time.Second)
	if s := n.countStates(func(m int) bool { return m == 4 }); s[Dead] != 19 {
		t.Fatalf("states of the suspended member after 10 s: %v, want dead at all others", s)
	}
	n.down[4] = false
	n.nodes[4].Changes(func(Change) {})
	n.run(3 * time.Second)
	n.nodes[4].Changes(func(c Change) { t.Errorf("the resumed member changed the state of a member: %+v", c) })
	if s := n.countStates(n.up); s[Alive] != 20*19 {
		t.Errorf("states 3 s after it resumed: %v, want all alive", s)
	}
}

// Guards against two partitions that do not merge after the partition has ended, and against a live member that is declared dead because
// one link has failed in one direction.
func TestPartitionsHeal(t *testing.T) {
	n := newMemberNetwork(24, 7)
	n.linkDown = func(from, to int) bool { return (from < 9) != (to < 9) }
	n.run(6 * time.Second)
	if s := n.countStates(n.up); s[Alive] != 9*8+15*14 {
		t.Errorf("states after 6 s of partition: %v, want alive only within each partition", s)
	}
	n.linkDown = nil
	n.run(3 * time.Second)
	if s := n.countStates(n.up); s[Alive] != 24*23 {
		t.Errorf("states 3 s after the partition: %v, want all alive", s)
	}
	n.linkDown = func(from, to int) bool { return from == 2 && to == 3 }
	for range 40 {
		n.run(500 * ms)
		if s := n.countStates(n.up); s[Dead] > 0 || s[Alive] < 24*23-2*24 {
			t.Fatalf("states with one link down in one direction: %v, want none dead and at most 48 suspect", s)
		}
	}
}

// Verifies failure detection under loss, duplication, delay, partitions, suspension and restarts: three seconds after the last fault the
// membership has converged.
func TestMembershipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, 9).Draw(t, "members")
		n := newMemberNetwork(members, rapid.Uint64().Draw(t, "seed"))
		restarts := make([]uint16, members)
		n.lossRate, n.duplicateRate = rapid.Float64Range(0, 0.5).Draw(t, "loss rate"), rapid.Float64Range(0, 0.5).Draw(t, "duplicate rate")
		n.extraDelay = rapid.SampledFrom([]time.Duration{0, 300 * ms}).Draw(t, "extra delay")
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			m := rapid.IntRange(0, members-1).Draw(t, "member")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				n.down[m] = true
			case 1:
				n.down[m] = false // the member was suspended
			case 2:
				restarts[m]++
				n.restart(m, 1+restarts[m])
			case 3:
				cut := rapid.IntRange(0, members).Draw(t, "partition")
				n.linkDown = func(from, to int) bool { return from < cut && to >= cut }
			default:
				n.linkDown = nil
			}
			n.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "duration")) * 50 * ms)
		}
		n.linkDown, n.lossRate, n.extraDelay, n.duplicateRate = nil, 0, 0, 0
		n.run(400*ms + 3*time.Second)
		up := 0
		for m := range members {
			up += btoi(n.up(m))
		}
		if s := n.countStates(n.up); s[Alive] != up*(up-1) {
			t.Fatalf("states of the %d members that are up: %v, want all alive", up, s)
		}
		if s := n.countStates(func(m int) bool { return n.down[m] }); s[Alive] > 0 {
			t.Fatalf("states of the members that are down: %v, want none alive", s)
		}
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against a gossiped claim that is taken for an acknowledgement: while schedulers start, every datagram claims some members to
// be alive, and dead members would be probed repeatedly without being suspected.
func TestOnlyAcknowledgementEndsProbe(t *testing.T) {
	n := newMemberNetwork(3, 9)
	a, now := n.nodes[0], n.now
	for _, c := range []struct {
		kind kind
		want int
	}{{kindAck, 1}, {kindIndirectAck, 0}} {
		a.detector.probes = []probe{{number: 2, sentAt: now, indirect: true}}
		a.receiveDetectorMessage(now, 1, header{kind: c.kind, generation: 1}, appendClaim([]byte{0}, claim{2, Alive, 1, 0}))
		if len(a.detector.probes) != c.want {
			t.Errorf("datagram kind %d: %d open probes, want %d", c.kind, len(a.detector.probes), c.want)
		}
	}
}
