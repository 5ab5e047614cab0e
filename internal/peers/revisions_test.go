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

// large enables the tests that take long under the race detector: 300 members that lose half of all datagrams, and the traffic of a
// change at 300 members.
var large = flag.Bool("large", false, "run the tests of large sites completely")

// startMember starts a new generation of a member with revision r in force.
func (n *network) startMember(m int, generation uint16, r Revision) {
	o := options(m, len(n.nodes))
	o.Generation, o.DetectorRand, o.Revision = generation, rand.New(rand.NewPCG(uint64(m), uint64(generation))), r
	n.nodes[m], n.down[m] = New(o), false
}

// newRevisionNetwork returns a converged network whose members all have revision 41 in force.
func newRevisionNetwork(members int, seed uint64) *network {
	n := &network{rand: rand.New(rand.NewPCG(seed, 2)), down: map[int]bool{}, nodes: make([]*Node, members)}
	for m := range members {
		n.startMember(m, 1, Revision{41, 0xa1})
	}
	n.run(4 * time.Second)
	return n
}

// newConvergedNetwork returns the same as newRevisionNetwork without simulating the start, for sizes at which that takes long.
func newConvergedNetwork(members int, seed uint64) *network {
	n := &network{rand: rand.New(rand.NewPCG(seed, 2)), down: map[int]bool{}, nodes: make([]*Node, members)}
	for m := range members {
		n.startMember(m, 1, Revision{41, 0xa1})
		detector, table := &n.nodes[m].detector, &n.nodes[m].revisionTable
		for other := range members {
			detector.views[other].claim, detector.views[other].transmitsLeft = claim{uint16(other), Alive, 1, 0}, 0
			table.entries[other] = revisionEntry{generation: 1, Revision: Revision{41, 0xa1}, known: true, behindSince: -1}
		}
		detector.gossip, detector.pingCount, table.gossip = nil, initialFullSyncs, nil
	}
	return n
}

func (n *network) setRevision(m int, r Revision) {
	n.nodes[m].SetRevision(n.now, r)
	n.nodes[m].Flush(n.now, n.sendFrom(m))
}

// unknownRevisions returns, summed over the members that are up, the number of members that each considers present without knowing
// their revision in force.
func (n *network) unknownRevisions() (pairs int) {
	for i, node := range n.nodes {
		for m := range n.nodes {
			if entry := node.activeEntry(m); !n.down[i] && node.isPresent(m) && (entry == nil || entry.Revision != n.nodes[m].revisionTable.entries[m].Revision) {
				pairs++
			}
		}
	}
	return pairs
}

// awaitConvergence runs the network until every member knows the revisions of all, and returns how long that took.
func (n *network) awaitConvergence(timeout time.Duration) time.Duration {
	start := n.now
	for n.unknownRevisions() > 0 && n.now-start < timeout {
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

// wrongStatus compares the Status of all members that are up with the actual state and describes the first difference, or returns "".
func (n *network) wrongStatus() string {
	newest := n.newest()
	for i, node := range n.nodes {
		if n.down[i] {
			continue
		}
		s := node.Status(n.now)
		if s.Newest != newest {
			return fmt.Sprintf("member %d reports %d as the newest revision, want %d", i, s.Newest, newest)
		}
		for m, got := range s.Members {
			if wrong := n.wrongMemberStatus(i, m, newest, got); wrong != "" {
				return wrong
			}
		}
	}
	return ""
}

// wrongMemberStatus compares the status of member m that member i reports with the actual state.
func (n *network) wrongMemberStatus(i, m int, newest uint32, got MemberStatus) string {
	actual := n.nodes[m].revisionTable.entries[m].Revision
	switch behind := got.BehindMS >= 0; {
	case n.down[m] && (got.Digest != "" || behind || got.Differs):
		return fmt.Sprintf("member %d still has an entry of member %d, which is down: %+v", i, m, got)
	case !n.down[m] && (got.Revision != actual.Number || got.Digest != fmt.Sprintf("%08x", actual.Digest)):
		return fmt.Sprintf("member %d reports of member %d: %+v, want %+v", i, m, got, actual)
	case !n.down[m] && behind != (actual.Number < newest):
		return fmt.Sprintf("member %d reports of member %d with newest revision %d: %+v", i, m, newest, got)
	}
	return ""
}

// behindMembers returns the members that member i reports as behind.
func (n *network) behindMembers(i int) (members []int) {
	for _, m := range n.nodes[i].Status(n.now).Members {
		if m.BehindMS >= 0 {
			members = append(members, m.Number)
		}
	}
	return members
}

// Verifies the time of convergence: all members know a change at one member, or at all, within seconds, even if half of the datagrams are
// lost.
func TestRevisionConvergenceTime(t *testing.T) {
	for _, c := range []struct {
		members int
		loss    float64
		timeout time.Duration
	}{{2, 0, 2 * time.Second}, {14, 0, 2 * time.Second}, {14, 0.5, 6 * time.Second}, {60, 0.5, 8 * time.Second}, {300, 0, 5 * time.Second}, {300, 0.5, 10 * time.Second}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			if c.members > 100 && c.loss > 0 && !*large {
				t.Skip("only with -large")
			}
			n := newConvergedNetwork(c.members, 3)
			n.lossRate = c.loss
			n.run(time.Second)
			n.setRevision(1, Revision{42, 0xb2})
			afterOne := n.awaitConvergence(c.timeout)
			if p := n.unknownRevisions(); p > 0 {
				t.Errorf("change at one member: %d pairs have not converged after %v", p, afterOne)
			}
			for m := range c.members {
				n.setRevision(m, Revision{43, 0xc3})
			}
			afterAll := n.awaitConvergence(c.timeout)
			if p := n.unknownRevisions(); p > 0 {
				t.Errorf("change at all members: %d pairs have not converged after %v", p, afterAll)
			}
			t.Logf("converged after %v for a change at one member, %v for a change at all", afterOne, afterAll)
		})
	}
}

// Verifies the traffic: without changes, a member sends less than 200 bytes per second including failure detection, and a change at all
// members at once costs each member no more than a few transmissions of each entry.
func TestRevisionTraffic(t *testing.T) {
	for _, members := range []int{14, 60, 300} {
		n := newConvergedNetwork(members, 4)
		n.run(time.Second)
		before := n.sent()
		n.run(4 * time.Second)
		atRest := float64(n.sent()-before) / 4 / float64(members)
		if atRest >= 200 {
			t.Errorf("%d members: %.0f bytes a second each at rest, want less than 200", members, atRest)
		}
		if members > 100 && !*large {
			t.Logf("%d members: %.0f bytes a second each at rest", members, atRest)
			continue
		}
		before = n.sent()
		for m := range members {
			n.setRevision(m, Revision{42, 0xb2})
		}
		n.run(5 * time.Second)
		change := float64(n.sent()-before)/float64(members) - 5*atRest
		if limit := float64(members)*120 + 1000; change > limit {
			t.Errorf("%d members: %.0f bytes each for a change at all, want at most %.0f", members, change, limit)
		}
		t.Logf("%d members: %.0f bytes a second each at rest, %.0f for a change at all", members, atRest, change)
	}
}

// Guards against updates that arrive out of order: the first of two quick changes must not replace the second.
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
		t.Errorf("5 s later: %s", w)
	}
}

// Guards against a reverted revision that is still considered the newest, so that all members would be reported as behind.
func TestRevertedRevision(t *testing.T) {
	n := newRevisionNetwork(14, 7)
	n.extraDelay, n.duplicateRate = 600*ms, 0.5
	for m := range 6 {
		n.setRevision(m, Revision{42, 0xb2})
	}
	n.run(time.Second)
	if b := n.behindMembers(9); len(b) != 8 {
		t.Errorf("before the revert: members %v are behind, want the 8 that lack the change", b)
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
			t.Errorf("member %d reports %v as behind though all members have reverted the change", i, b)
		}
	}
	n.run(LagThreshold + minLagObservation)
	for i, node := range n.nodes {
		node.Lags(func(l Lag) { t.Errorf("member %d reports lag %+v though all members have reverted the change", i, l) })
	}
}

// A member that is suspended during a change must not be counted while it is suspended; after it resumes, all members including itself
// must report it as behind.
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
		t.Errorf("while suspended: %s", w)
	}
	n.down[4] = false
	n.run(3 * time.Second)
	if w := n.wrongStatus(); w != "" {
		t.Errorf("3 s after it resumed: %s", w)
	}
	for i := range n.nodes {
		if b := n.behindMembers(i); !slices.Equal(b, []int{4}) {
			t.Errorf("3 s after it resumed member %d reports %v as behind, want member 4", i, b)
		}
	}
	n.setRevision(4, Revision{42, 0xb2})
	n.run(2 * time.Second)
	if w := n.wrongStatus(); w != "" {
		t.Errorf("after the change at the resumed member: %s", w)
	}
}

// Verifies the list of members that are behind while half of them lack a change, without loss and with half of the datagrams lost.
func TestHalfOnTheOldRevision(t *testing.T) {
	for _, loss := range []float64{0, 0.5} {
		n := newRevisionNetwork(14, 9)
		n.lossRate = loss
		for m := 0; m < 14; m += 2 {
			n.setRevision(m, Revision{42, 0xb2})
		}
		n.awaitConvergence(6 * time.Second)
		n.lossRate = 0
		n.run(3 * time.Second) // the failure detector may have suspected members
		if w := n.wrongStatus(); w != "" {
			t.Errorf("loss rate %v: %s", loss, w)
		}
		for i := range n.nodes {
			if b := n.behindMembers(i); !slices.Equal(b, []int{1, 3, 5, 7, 9, 11, 13}) {
				t.Errorf("loss rate %v: member %d reports %v as behind, want the odd ones", loss, i, b)
			}
		}
	}
}

// Guards against the entry of a failed member that stays active, so that all other members would be reported as behind forever.
func TestEntryExpiresWithItsMember(t *testing.T) {
	n := newRevisionNetwork(14, 10)
	n.setRevision(3, Revision{99, 0xff})
	n.run(2 * time.Second)
	if b := n.behindMembers(0); len(b) != 13 {
		t.Fatalf("members %v are behind, want all but member 3", b)
	}
	n.down[3] = true
	n.run(3 * time.Second)
	if w := n.wrongStatus(); w != "" {
		t.Errorf("with member 3 down: %s", w)
	}
	n.startMember(3, 2, Revision{41, 0xa1}) // revision 99 of the previous generation must no longer count as the newest
	n.run(2 * time.Second)
	if w := n.wrongStatus(); w != "" {
		t.Errorf("after the restart of member 3: %s", w)
	}
}

// Guards against the entry of an earlier generation that stays active until an entry of the new generation is received.
func TestRestartInvalidatesEntry(t *testing.T) {
	b := newReceiver()
	b.revisionTable.entries[2] = revisionEntry{generation: 3, Revision: Revision{99, 0xff}, known: true, behindSince: -1}
	if s := b.Status(time.Second); s.Newest != 99 || s.Members[2].Revision != 99 || s.Members[1].BehindMS < 0 {
		t.Fatalf("before the restart: newest %d, members %+v", s.Newest, s.Members[1:3])
	}
	b.observeAlive(time.Second, 2, 4, 0, true)
	if s := b.Status(time.Second); s.Newest != 40 || s.Members[2].Digest != "" || s.Members[1].BehindMS >= 0 {
		t.Errorf("after the restart: newest %d, members %+v", s.Newest, s.Members[1:3])
	}
}

// Guards against members that are not reported though their configuration differs from that of the others under the same revision
// number.
func TestDifferingDigests(t *testing.T) {
	n := newRevisionNetwork(5, 11)
	differing := func() (members []int) {
		for _, m := range n.nodes[4].Status(n.now).Members {
			if m.Differs {
				members = append(members, m.Number)
			}
		}
		return members
	}
	for _, c := range []struct {
		number  uint32
		digests [5]uint32
		want    []int
	}{
		{42, [5]uint32{1, 1, 1, 1, 1}, nil},
		{43, [5]uint32{9, 1, 1, 1, 1}, []int{0}},
		{44, [5]uint32{9, 1, 9, 1, 5}, []int{1, 3, 4}}, // 9 and 1 are equally frequent: 9 is taken, that of the lowest member number
		{0, [5]uint32{1, 1, 2, 1, 2}, []int{2, 4}},     // no revision number: only the digests differ
	} {
		for m, d := range c.digests {
			n.setRevision(m, Revision{c.number, d})
		}
		n.run(2 * time.Second)
		if got := differing(); !slices.Equal(got, c.want) || len(n.behindMembers(4)) > 0 {
			t.Errorf("digests %v: members %v differ and %v are behind, want %v and none", c.digests, got, n.behindMembers(4), c.want)
		}
	}
	n.setRevision(0, Revision{45, 1})
	n.run(2 * time.Second)
	if got := differing(); len(got) > 0 || len(n.behindMembers(4)) != 4 {
		t.Errorf("with one member on a later revision: members %v differ and %v are behind, want none and the other four", got, n.behindMembers(4))
	}
}

// Verifies the duration of a lag: it starts with the first revision that the member lacks, not with the last, and ignores reverted ones.
func TestLagSinceFirstMissedRevision(t *testing.T) {
	var table revisionTable
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for _, c := range []struct {
		at     float64
		newest uint32
		of     uint32
		behind float64
		name   string
	}{
		{0, 40, 40, 0, "not behind"},
		{5, 41, 40, 0, "41 has just come into force"},
		{10, 42, 40, 5, "two behind: lag since 41"},
		{10, 42, 41, 0, "one behind: lag since 42"},
		{20, 42, 41, 10, "still one behind"},
		{21, 41, 40, 16, "42 is reverted"},
		{22, 42, 41, 0, "42 comes into force again"},
		{30, 45, 40, 25, "the newest skips some numbers"},
		{31, 44, 42, 1, "reverted from 45 to 44: lag since 45"},
		{32, 40, 40, 0, "all are reverted"},
	} {
		table.updateHistory(at(c.at), c.newest)
		if got := table.lagOf(at(c.at), c.of); got != at(c.behind) {
			t.Errorf("%s: lag %v, want %v", c.name, got, at(c.behind))
		}
	}
	for i := range uint32(5 * maxHistory) {
		table.updateHistory(at(100), 50+i)
	}
	if got := table.lagOf(at(101), 40); len(table.history) > maxHistory || got != at(1) {
		t.Errorf("after many changes: history of %d steps, lag %v", len(table.history), got)
	}
}

// statement is an entry as its member created it.
type statement struct {
	member             int
	generation, serial uint16
	Revision
}

func statementOf(member int, e *revisionEntry) statement {
	return statement{member, e.generation, e.serial, e.Revision}
}

// revisionStep draws and applies one action: a change of member m's revision, a failure, resumption or restart of the member, or a change
// of the links. It counts the restarts by member, and calls record for a member that has created a new entry.
func (n *network) revisionStep(t *rapid.T, m int, restarts []uint16, record func(m int)) {
	r := n.nodes[m].revisionTable.entries[m].Revision
	switch action := rapid.IntRange(0, 7).Draw(t, "action"); action {
	case 0, 1, 2: // a higher revision, a lower one, the same one with another digest
		r = Revision{max(1, r.Number+[]uint32{1, ^uint32(0), 0}[action]), uint32(rapid.IntRange(1, 3).Draw(t, "digest"))}
		if !n.down[m] {
			n.setRevision(m, r)
			record(m)
		}
	case 3:
		n.down[m] = true
	case 4:
		n.down[m] = false // the member was suspended
	case 5:
		restarts[m]++
		n.startMember(m, 1+restarts[m], Revision{uint32(rapid.IntRange(0, 43).Draw(t, "revision at start")), 7})
		record(m)
	case 6:
		cut := rapid.IntRange(0, len(n.nodes)).Draw(t, "partition")
		n.linkDown = func(from, to int) bool { return from < cut && to >= cut }
	default:
		n.linkDown = nil
	}
}

// Verifies the revision table under faults of members and network: every active entry was created by its member in that generation, and
// after a period without faults all tables are correct.
func TestRevisionsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, 9).Draw(t, "members")
		n := newRevisionNetwork(members, rapid.Uint64().Draw(t, "seed"))
		n.lossRate, n.duplicateRate = rapid.Float64Range(0, 0.5).Draw(t, "loss rate"), rapid.Float64Range(0, 0.5).Draw(t, "duplicate rate")
		n.extraDelay = rapid.SampledFrom([]time.Duration{0, 300 * ms, 900 * ms}).Draw(t, "extra delay")
		stated := map[statement]bool{}
		record := func(m int) { stated[statementOf(m, &n.nodes[m].revisionTable.entries[m])] = true }
		for m := range members {
			record(m)
		}
		restarts := make([]uint16, members)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			m := rapid.IntRange(0, members-1).Draw(t, "member")
			n.revisionStep(t, m, restarts, record)
			n.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "duration")) * 50 * ms)
			for i, node := range n.nodes {
				for m := range n.nodes {
					if entry := node.activeEntry(m); entry != nil && !stated[statementOf(m, entry)] {
						t.Fatalf("member %d has an entry of member %d that this generation never created: %+v", i, m, *entry)
					}
				}
			}
		}
		n.linkDown, n.lossRate, n.extraDelay, n.duplicateRate = nil, 0, 0, 0
		n.run(900*ms + 3*time.Second + 2*time.Second) // for delayed datagrams, failure detection and anti-entropy
		if w := n.wrongStatus(); w != "" {
			t.Fatal(w)
		}
	})
}
