package membership

import (
	"errors"
	"slices"
	"testing"
)

func first(t *testing.T) Membership {
	t.Helper()
	m := Bootstrap(3, []string{"c", "a", "b"})
	if err := m.Validate(); err != nil {
		t.Fatal(err)
	}
	return m
}

// next applies a change to a membership without rival proposals.
func next(t *testing.T, m Membership, change Change) Membership {
	t.Helper()
	changed, err := NextProposal(m, m, change)
	if err != nil {
		t.Fatal(err)
	}
	if err := changed.Validate(); err != nil {
		t.Fatal(err)
	}
	return changed
}

func TestFirstMembershipIsTheSameForAll(t *testing.T) {
	one, two := Bootstrap(5, []string{"a", "b", "c"}), Bootstrap(5, []string{"c", "b", "a", "b"})
	if !one.Equal(two) || len(one.Voters()) != 3 || one.Quorum() != 3 || one.SeatAt("d") != -1 {
		t.Errorf("%+v and %+v", one, two)
	}
	if other := Bootstrap(5, []string{"a", "b", "d"}); other.Deployment == one.Deployment {
		t.Error("another deployment has the same name")
	}
}

func TestSeatIsReplacedThroughALearner(t *testing.T) {
	m := first(t)
	learner := next(t, m, AddLearner(0, "x", "d"))
	if got, _ := learner.Member("x"); got != (Member{ID: "x", Address: "d", JoinEpoch: 2}) || len(learner.Voters()) != 2 {
		t.Errorf("%+v", learner)
	}
	voter := next(t, learner, Promote("x"))
	if got, _ := voter.Member("x"); !got.Voter || got.JoinEpoch != 2 || voter.Epoch != 3 || voter.BaseEpoch != 2 {
		t.Errorf("%+v", voter)
	}
	if _, err := NextProposal(voter, voter, Promote("x")); !errors.Is(err, ErrNotLearner) {
		t.Errorf("promoted twice: %v", err)
	}
}

func TestNoChangeLeavesTooFewVoters(t *testing.T) {
	m := next(t, first(t), AddLearner(0, "x", "d"))
	if _, err := NextProposal(m, m, AddLearner(1, "y", "e")); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("a second voter was replaced before the first learner was promoted: %v", err)
	}
	if replaced := next(t, m, AddLearner(0, "y", "e")); replaced.SeatOf("y") != 0 {
		t.Errorf("a learner that was lost is not replaced: %+v", replaced)
	}
	one := Bootstrap(1, []string{"a"})
	if _, err := NextProposal(one, one, AddLearner(0, "x", "d")); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("the only voter was replaced: %v", err)
	}
}

func TestNoDiskHoldsTwoSeats(t *testing.T) {
	m := first(t)
	for _, change := range []Change{AddLearner(1, BootstrapID("a"), "a"), AddLearner(1, "x", "a"), AddLearner(3, "x", "d"), AddLearner(-1, "x", "d")} {
		if changed, err := NextProposal(m, m, change); err == nil {
			t.Errorf("%+v", changed)
		}
	}
	if again := next(t, m, AddLearner(0, "x", "a")); again.SeatOf("x") != 0 {
		t.Errorf("a machine with a new disk does not take its own seat: %+v", again)
	}
}

// A proposal that was accepted by some and is not known to be chosen is replaced by another one with the same base, under a
// higher epoch.
func TestUncommittedChangeIsReplaced(t *testing.T) {
	m := first(t)
	half := next(t, m, AddLearner(0, "x", "d"))
	other, err := NextProposal(m, half, AddLearner(2, "y", "e"))
	if err != nil || other.Epoch != 3 || other.BaseEpoch != 1 || other.SeatOf(BootstrapID("a")) != 0 || other.SeatOf("y") != 2 {
		t.Errorf("%+v, %v", other, err)
	}
	if again, err := NextProposal(m, half, AddLearner(0, "x", "d")); err != nil || !again.Equal(half) {
		t.Errorf("the same change is not completed: %+v, %v", again, err)
	}
	// A proposer that has installed one of them first completes the other, which may have been chosen.
	if finished, err := NextProposal(half, other, Promote("x")); err != nil || !finished.Equal(other) {
		t.Errorf("%+v, %v", finished, err)
	}
}

// The quorums of all memberships with one base share a voter pairwise.
func TestQuorumsOfRivalsShareAVoter(t *testing.T) {
	base := next(t, Bootstrap(5, []string{"a", "b", "c", "d", "e"}), AddLearner(0, "x", "f"))
	rivals := []Membership{base, next(t, base, Promote("x"))}
	for seat := range 5 {
		if changed, err := NextProposal(base, base, AddLearner(seat, "y", "g")); err == nil {
			rivals = append(rivals, changed)
		}
	}
	for _, one := range rivals {
		for _, two := range rivals {
			ids := map[string]bool{}
			for _, voter := range slices.Concat(one.Voters(), two.Voters()) {
				ids[voter.ID] = true
			}
			if 2*one.Quorum() <= len(ids) {
				t.Errorf("quorums of %+v and %+v may not intersect", one, two)
			}
		}
	}
}
