package peers

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// large also runs what takes long under the race detector: 300 members that lose half of all datagrams, and the traffic of a change
// there.
var large = flag.Bool("large", false, "run the tests of large sites completely")

// begin starts a generation of a member with a configuration.
func (n *network) begin(m int, run uint16, r Revision) {
	o := options(m, len(n.nodes))
	o.Generation, o.DetectorRand, o.Revision = run, rand.New(rand.NewPCG(uint64(m), uint64(run))), r
	n.nodes[m], n.down[m] = New(o), false
}

// newRevisionNetwork returns a network whose members all have revision 41 in force, and have converged.
func newRevisionNetwork(members int, seed uint64) *network {
	n := &network{rand: rand.New(rand.NewPCG(seed, 2)), down: map[int]bool{}, nodes: make([]*Node, members)}
	for m := range members {
		n.begin(m, 1, Revision{41, 0xa1})
	}
	n.run(4 * time.Second)
	return n
}

// newConvergedNetwork returns the same without simulating the start, for sizes at which that takes long.
func newConvergedNetwork(members int, seed uint64) *network {
	n := &network{rand: rand.New(rand.NewPCG(seed, 2)), down: map[int]bool{}, nodes: make([]*Node, members)}
	for m := range members {
		n.begin(m, 1, Revision{41, 0xa1})
		w, k := &n.nodes[m].detector, &n.nodes[m].revisionTable
		for other := range members {
			w.views[other].claim, w.views[other].transmitsLeft = claim{uint16(other), Alive, 1, 0}, 0
			k.entries[other] = revisionEntry{generation: 1, Revision: Revision{41, 0xa1}, known: true, behindSince: -1}
		}
		w.gossip, w.pingCount, k.gossip = nil, initialFullSyncs, nil
	}
	return n
}

func (n *network) setRevision(m int, r Revision) {
	n.nodes[m].SetRevision(n.now, r)
	n.nodes[m].Flush(n.now, n.sendFrom(m))
}

// unknownRevisions returns the number of pairs of a member that is up and one that it considers present without knowing that one's
// revision in force.
func (n *network) unknownRevisions() (pairs int) {
	for i, node := range n.nodes {
		for m := range n.nodes {
			if w := node.activeEntry(m); !n.down[i] && node.isPresent(m) && (w == nil || w.Revision != n.nodes[m].revisionTable.entries[m].Revision) {
				pairs++
			}
		}
	}
	return pairs
}

// awaitConvergence runs the network until all know the revisions of all, and returns how long that took.
func (n *network) awaitConvergence(most time.Duration) time.Duration {
	start := n.now
	for n.unknownRevisions() > 0 && n.now-start < most {
		n.run(50 * ms)
	}
	return n.now - start
}

// newest returns the highest revision in force at a member that is up.
func (n *network) newest() (newest uint32) {
	for m, node := range n.nodes {
		if n.up(m) {
			newest = max(newest, node.revisionTable.entries[m].Number)
		}
	}
	return newest
}

// wrongStatus compares the Status of all members that are up with the real state; empty: all agree.
func (n *network) wrongStatus() string {
	newest := n.newest()
	for i, node := range n.nodes {
		if n.down[i] {
			continue
		}
		s := node.Status(n.now)
		if s.Newest != newest {
			return fmt.Sprintf("%d reports %d as the newest, it is %d", i, s.Newest, newest)
		}
		for m, got := range s.Members {
			if wrong := n.wrongMemberStatus(i, m, newest, got); wrong != "" {
				return wrong
			}
		}
	}
	return ""
}

// wrongMemberStatus compares what one member reports of another with the real state.
func (n *network) wrongMemberStatus(i, m int, newest uint32, got MemberStatus) string {
	is := n.nodes[m].revisionTable.entries[m].Revision
	switch behind := got.BehindMS >= 0; {
	case n.down[m] && (got.Digest != "" || behind || got.Differs):
		return fmt.Sprintf("%d still has an entry of %d, which is down: %+v", i, m, got)
	case !n.down[m] && (got.Revision != is.Number || got.Digest != fmt.Sprintf("%08x", is.Digest)):
		return fmt.Sprintf("%d reports of %d %+v, it has %+v", i, m, got, is)
	case !n.down[m] && behind != (is.Number < newest):
		return fmt.Sprintf("%d reports of %d, newest %d, %+v", i, m, newest, got)
	}
	return ""
}

// behindMembers returns the members that a member reports as behind.
func (n *network) behindMembers(i int) (who []int) {
	for _, m := range n.nodes[i].Status(n.now).Members {
		if m.BehindMS >= 0 {
			who = append(who, m.Number)
		}
	}
	return who
}

// Guards the time of convergence: a change at one member, and at all, is known to all within seconds, also with half of the
// datagrams lost.
func TestRevisionConvergenceTime(t *testing.T) {
	for _, c := range []struct {
		members int
		loss    float64
		most    time.Duration
	}{{2, 0, 2 * time.Second}, {14, 0, 2 * time.Second}, {14, 0.5, 6 * time.Second}, {60, 0.5, 8 * time.Second}, {300, 0, 5 * time.Second}, {300, 0.5, 10 * time.Second}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			if c.members > 100 && c.loss > 0 && !*large {
				t.Skip("only with -large")
			}
			n := newConvergedNetwork(c.members, 3)
			n.lossRate = c.loss
			n.run(time.Second)
			n.setRevision(1, Revision{42, 0xb2})
			one := n.awaitConvergence(c.most)
			if p := n.unknownRevisions(); p > 0 {
				t.Errorf("one has changed: %d pairs do not know it after %v", p, one)
			}
			for m := range c.members {
				n.setRevision(m, Revision{43, 0xc3})
			}
			all := n.awaitConvergence(c.most)
			if p := n.unknownRevisions(); p > 0 {
				t.Errorf("all have changed: %d pairs do not know it after %v", p, all)
			}
			t.Logf("known after %v, and %v where all change at once", one, all)
		})
	}
}

// Guards the traffic: at rest a member sends less than 200 bytes a second, those of failure detection included; and a change at all
// members at once costs each of them no more than some transmissions of each entry.
func TestRevisionTraffic(t *testing.T) {
	for _, members := range []int{14, 60, 300} {
		n := newConvergedNetwork(members, 4)
		n.run(time.Second)
		before := n.sent()
		n.run(4 * time.Second)
		rest := float64(n.sent()-before) / 4 / float64(members)
		if rest >= 200 {
			t.Errorf("%d members: %.0f bytes a second each at rest, want less than 200", members, rest)
		}
		if members > 100 && !*large {
			t.Logf("%d members: %.0f bytes a second each at rest", members, rest)
			continue
		}
		before = n.sent()
		for m := range members {
			n.setRevision(m, Revision{42, 0xb2})
		}
		n.run(5 * time.Second)
		change := float64(n.sent()-before)/float64(members) - 5*rest
		if most := float64(members)*120 + 1000; change > most {
			t.Errorf("%d members: %.0f bytes each for a change at all, want at most %.0f", members, change, most)
		}
		t.Logf("%d members: %.0f bytes a second each at rest, %.0f for a change at all", members, rest, change)
	}
}

// Guards against the first of two changes that overtakes the second.
func TestTwoChangesInOneSecond(t *testing.T) {
	n := newRevisionNetwork(14, 6)
	n.extraDelay, n.duplicateRate = 600*ms, 0.5
	for number := uint32(42); number <= 43; number++ {
		for m := range n.nodes {
			n.setRevision(m, Revision{number, number})
			n.run(25 * ms)
		}
	}
	n.run(2 * time.Second)
	if w := n.wrongStatus(); w != "" {
		t.Error(w)
	}
	n.run(5 * time.Second)
	if w := n.wrongStatus(); w != "" {
		t.Errorf("later: %s", w)
	}
}

// Guards against a change that was reverted and still counts as the newest, by which all would be behind.
func TestRevertedRevision(t *testing.T) {
	n := newRevisionNetwork(14, 7)
	n.extraDelay, n.duplicateRate = 600*ms, 0.5
	for m := range 6 {
		n.setRevision(m, Revision{42, 0xb2})
	}
	n.run(time.Second)
	if b := n.behindMembers(9); len(b) != 8 {
		t.Errorf("before: %v are behind, want the 8 that lack the change", b)
	}
	for m := range 6 {
		n.setRevision(m, Revision{41, 0xa1})
	}
	n.run(2 * time.Second)
	if w := n.wrongStatus(); w != "" {
		t.Error(w)
	}
	for i := range n.nodes {
		if b := n.behindMembers(i); len(b) > 0 {
			t.Errorf("%d reports %v as behind though all reverted it", i, b)
		}
	}
	n.run(LagThreshold + minLagObservation)
	for i, node := range n.nodes {
		node.Lags(func(l Lag) { t.Errorf("%d reports %+v though all reverted it", i, l) })
	}
}

// Guards a member that was suspended during a change: meanwhile it does not count, then all report it as behind, itself included.
func TestSuspendedDuringRevisionChange(t *testing.T) {
	n := newRevisionNetwork(14, 8)
	n.down[4] = true
	n.run(time.Second)
	for m := range n.nodes {
		if m != 4 {
			n.setRevision(m, Revision{42, 0xb2})
		}
	}
	n.run(9 * time.Second)
	if w := n.wrongStatus(); w != "" {
		t.Errorf("suspended: %s", w)
	}
	n.down[4] = false
	n.run(3 * time.Second)
	if w := n.wrongStatus(); w != "" {
		t.Errorf("3 s after it resumed: %s", w)
	}
	for i := range n.nodes {
		if b := n.behindMembers(i); !slices.Equal(b, []int{4}) {
			t.Errorf("3 s after it resumed %d reports %v as behind, want 4", i, b)
		}
	}
	n.setRevision(4, Revision{42, 0xb2})
	n.run(2 * time.Second)
	if w := n.wrongStatus(); w != "" {
		t.Errorf("after its reload: %s", w)
	}
}

// Guards the list of members that lack a change while half of them do, also with half of the datagrams lost.
func TestHalfOnTheOldRevision(t *testing.T) {
	for _, loss := range []float64{0, 0.5} {
		n := newRevisionNetwork(14, 9)
		n.lossRate = loss
		for m := 0; m < 14; m += 2 {
			n.setRevision(m, Revision{42, 0xb2})
		}
		n.awaitConvergence(6 * time.Second)
		n.lossRate = 0
		n.run(3 * time.Second) // failure detection may have suspected some
		if w := n.wrongStatus(); w != "" {
			t.Errorf("loss %v: %s", loss, w)
		}
		for i := range n.nodes {
			if b := n.behindMembers(i); !slices.Equal(b, []int{1, 3, 5, 7, 9, 11, 13}) {
				t.Errorf("loss %v: %d reports %v as behind, want the odd ones", loss, i, b)
			}
		}
	}
}

// Guards against the entry of a member that has failed, by which all others would be behind for ever.
func TestEntryExpiresWithItsMember(t *testing.T) {
	n := newRevisionNetwork(14, 10)
	n.setRevision(3, Revision{99, 0xff})
	n.run(2 * time.Second)
	if b := n.behindMembers(0); len(b) != 13 {
		t.Fatalf("%v are behind, want all but 3", b)
	}
	n.down[3] = true
	n.run(3 * time.Second)
	if w := n.wrongStatus(); w != "" {
		t.Errorf("it is down: %s", w)
	}
	n.begin(3, 2, Revision{41, 0xa1}) // the 99 of the generation before is higher than any that follows
	n.run(2 * time.Second)
	if w := n.wrongStatus(); w != "" {
		t.Errorf("it has restarted: %s", w)
	}
}

// Guards against the entry of an earlier generation, while none of the next one has been received.
func TestRestartInvalidatesEntry(t *testing.T) {
	b := newReceiver()
	b.revisionTable.entries[2] = revisionEntry{generation: 3, Revision: Revision{99, 0xff}, known: true, behindSince: -1}
	if s := b.Status(time.Second); s.Newest != 99 || s.Members[2].Revision != 99 || s.Members[1].BehindMS < 0 {
		t.Fatalf("before: newest %d, %+v", s.Newest, s.Members[1:3])
	}
	b.observeAlive(time.Second, 2, 4, 0, true)
	if s := b.Status(time.Second); s.Newest != 40 || s.Members[2].Digest != "" || s.Members[1].BehindMS >= 0 {
		t.Errorf("after the restart: newest %d, %+v", s.Newest, s.Members[1:3])
	}
}

// Guards against members with another content under the same revision number that are not reported.
func TestDifferingDigests(t *testing.T) {
	n := newRevisionNetwork(5, 11)
	differ := func() (who []int) {
		for _, m := range n.nodes[4].Status(n.now).Members {
			if m.Differs {
				who = append(who, m.Number)
			}
		}
		return who
	}
	for _, c := range []struct {
		number  uint32
		digests [5]uint32
		want    []int
	}{
		{42, [5]uint32{1, 1, 1, 1, 1}, nil},
		{43, [5]uint32{9, 1, 1, 1, 1}, []int{0}},
		{44, [5]uint32{9, 1, 9, 1, 5}, []int{1, 3, 4}}, // two of each: 0 decides
		{0, [5]uint32{1, 1, 2, 1, 2}, []int{2, 4}},     // no revision numbers: only the digests differ
	} {
		for m, d := range c.digests {
			n.setRevision(m, Revision{c.number, d})
		}
		n.run(2 * time.Second)
		if got := differ(); !slices.Equal(got, c.want) || len(n.behindMembers(4)) > 0 {
			t.Errorf("%v: %v differ and %v are behind, want %v and nobody", c.digests, got, n.behindMembers(4), c.want)
		}
	}
	n.setRevision(0, Revision{45, 1})
	n.run(2 * time.Second)
	if got := differ(); len(got) > 0 || len(n.behindMembers(4)) != 4 {
		t.Errorf("with one on a later revision %v differ and %v are behind, want nobody and the other four", got, n.behindMembers(4))
	}
}

// Guards the duration of a lag: since the first revision that the member lacks, not since the last; reverted ones do not count.
func TestLagSinceFirstMissedRevision(t *testing.T) {
	var k revisionTable
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for _, c := range []struct {
		at       float64
		newest   uint32
		of       uint32
		behind   float64
		whatever string
	}{
		{0, 40, 40, 0, "none behind"},
		{5, 41, 40, 0, "41 has just come"},
		{10, 42, 40, 5, "two behind: since 41"},
		{10, 42, 41, 0, "one behind: since 42"},
		{20, 42, 41, 10, "the same, later"},
		{21, 41, 40, 16, "42 is reverted"},
		{22, 42, 41, 0, "and comes again"},
		{30, 45, 40, 25, "one that skips some"},
		{31, 44, 42, 1, "those that skipped go back by one: since 45 came"},
		{32, 40, 40, 0, "all are reverted"},
	} {
		k.updateHistory(at(c.at), c.newest)
		if got := k.lagOf(at(c.at), c.of); got != at(c.behind) {
			t.Errorf("%s: %v behind, want %v", c.whatever, got, at(c.behind))
		}
	}
	for i := range uint32(5 * maxHistory) {
		k.updateHistory(at(100), 50+i)
	}
	if got := k.lagOf(at(101), 40); len(k.history) > maxHistory || got != at(1) {
		t.Errorf("after many changes: %d steps, %v behind", len(k.history), got)
	}
}

// statement is an entry as its member has stated it.
type statement struct {
	member             int
	generation, serial uint16
	Revision
}

func statementOf(member int, e *revisionEntry) statement {
	return statement{member, e.generation, e.serial, e.Revision}
}

// revisionStep draws a change of a member's revision, a failure or return of the member, or a change of the links. Runs counts
// the restarts by member; note is called for a member that has stated something new.
func (n *network) revisionStep(t *rapid.T, m int, runs []uint16, note func(m int)) {
	r := n.nodes[m].revisionTable.entries[m].Revision
	switch what := rapid.IntRange(0, 7).Draw(t, "what"); what {
	case 0, 1, 2: // a change, a reverted one, another content
		r = Revision{max(1, r.Number+[]uint32{1, ^uint32(0), 0}[what]), uint32(rapid.IntRange(1, 3).Draw(t, "digest"))}
		if !n.down[m] {
			n.setRevision(m, r)
			note(m)
		}
	case 3:
		n.down[m] = true
	case 4:
		n.down[m] = false // it was suspended
	case 5:
		runs[m]++
		n.begin(m, 1+runs[m], Revision{uint32(rapid.IntRange(0, 43).Draw(t, "read")), 7})
		note(m)
	case 6:
		cut := rapid.IntRange(0, len(n.nodes)).Draw(t, "cut")
		n.linkDown = func(from, to int) bool { return from < cut && to >= cut }
	default:
		n.linkDown = nil
	}
}

// Guards the table through all faults of members and network: each entry was stated by its member, in that generation; and once
// datagrams arrive again for a while all tables are right.
func TestRevisionsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, 9).Draw(t, "members")
		n := newRevisionNetwork(members, rapid.Uint64().Draw(t, "seed"))
		n.lossRate, n.duplicateRate = rapid.Float64Range(0, 0.5).Draw(t, "loss"), rapid.Float64Range(0, 0.5).Draw(t, "repeat")
		n.extraDelay = rapid.SampledFrom([]time.Duration{0, 300 * ms, 900 * ms}).Draw(t, "late")
		stated := map[statement]bool{}
		note := func(m int) { stated[statementOf(m, &n.nodes[m].revisionTable.entries[m])] = true }
		for m := range members {
			note(m)
		}
		runs := make([]uint16, members)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			m := rapid.IntRange(0, members-1).Draw(t, "member")
			n.revisionStep(t, m, runs, note)
			n.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "for")) * 50 * ms)
			for i, node := range n.nodes {
				for m := range n.nodes {
					if w := node.activeEntry(m); w != nil && !stated[statementOf(m, w)] {
						t.Fatalf("%d has an entry of %d that this generation never stated: %+v", i, m, *w)
					}
				}
			}
		}
		n.linkDown, n.lossRate, n.extraDelay, n.duplicateRate = nil, 0, 0, 0
		n.run(900*ms + 3*time.Second + 2*time.Second) // delayed datagrams, failure detection, then the table
		if w := n.wrongStatus(); w != "" {
			t.Fatal(w)
		}
	})
}
