package membership

import (
	"errors"
	"slices"
	"testing"
)

func initialMembership(t *testing.T) Membership {
	t.Helper()
	m := Bootstrap(3, []string{"c", "a", "b"})
	if err := m.Validate(); err != nil {
		t.Fatal(err)
	}
	return m
}

// applyChange applies a change to a membership without concurrent proposals.
func applyChange(t *testing.T, m Membership, change Change) Membership {
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

func TestBootstrapIgnoresAddressOrder(t *testing.T) {
	a, b := Bootstrap(5, []string{"a", "b", "c"}), Bootstrap(5, []string{"c", "b", "a", "b"})
	if !a.Equal(b) || len(a.Voters()) != 3 || a.Quorum() != 3 || a.SeatByAddress("d") != -1 {
		t.Errorf("bootstrap from the same addresses: %+v and %+v", a, b)
	}
	if c := Bootstrap(5, []string{"a", "b", "d"}); c.Deployment == a.Deployment {
		t.Error("two deployments with different addresses have the same ID")
	}
}

func TestSeatReplacementThroughLearner(t *testing.T) {
	m := initialMembership(t)
	learner := applyChange(t, m, AddLearner(0, "x", "d"))
	if got, _ := learner.Member("x"); got != (Member{ID: "x", Address: "d", JoinEpoch: 2}) || len(learner.Voters()) != 2 {
		t.Errorf("membership with the learner: %+v", learner)
	}
	voter := applyChange(t, learner, Promote("x"))
	if got, _ := voter.Member("x"); !got.Voter || got.JoinEpoch != 2 || voter.Epoch != 3 || voter.BaseEpoch != 2 {
		t.Errorf("membership after the promotion: %+v", voter)
	}
	if _, err := NextProposal(voter, voter, Promote("x")); !errors.Is(err, ErrNotLearner) {
		t.Errorf("second promotion: error %v, want ErrNotLearner", err)
	}
}

func TestChangeKeepsQuorumOfVoters(t *testing.T) {
	m := applyChange(t, initialMembership(t), AddLearner(0, "x", "d"))
	if _, err := NextProposal(m, m, AddLearner(1, "y", "e")); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("replacing a second voter before the first learner is promoted: error %v, want ErrNoQuorum", err)
	}
	if replaced := applyChange(t, m, AddLearner(0, "y", "e")); replaced.SeatByID("y") != 0 {
		t.Errorf("a lost learner was not replaced: %+v", replaced)
	}
	one := Bootstrap(1, []string{"a"})
	if _, err := NextProposal(one, one, AddLearner(0, "x", "d")); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("replacing the only voter: error %v, want ErrNoQuorum", err)
	}
}

func TestDiskAndAddressHoldOneSeat(t *testing.T) {
	m := initialMembership(t)
	for _, change := range []Change{AddLearner(1, BootstrapID("a"), "a"), AddLearner(1, "x", "a"), AddLearner(3, "x", "d"), AddLearner(-1, "x", "d")} {
		if changed, err := NextProposal(m, m, change); err == nil {
			t.Errorf("an invalid change was accepted: %+v", changed)
		}
	}
	if again := applyChange(t, m, AddLearner(0, "x", "a")); again.SeatByID("x") != 0 {
		t.Errorf("a machine with a new disk did not get its own seat again: %+v", again)
	}
}

// A proposal that some replicas have accepted but that is not known to be chosen is replaced by another one with the same
// base under a higher epoch.
func TestUncommittedChangeIsReplaced(t *testing.T) {
	m := initialMembership(t)
	uncommitted := applyChange(t, m, AddLearner(0, "x", "d"))
	other, err := NextProposal(m, uncommitted, AddLearner(2, "y", "e"))
	if err != nil || other.Epoch != 3 || other.BaseEpoch != 1 || other.SeatByID(BootstrapID("a")) != 0 || other.SeatByID("y") != 2 {
		t.Errorf("replacement of the uncommitted change: %+v, error %v", other, err)
	}
	if again, err := NextProposal(m, uncommitted, AddLearner(0, "x", "d")); err != nil || !again.Equal(uncommitted) {
		t.Errorf("proposing the same change again: %+v, error %v", again, err)
	}
	// A proposer that has installed one of them must first complete the other, which may have been chosen.
	if completed, err := NextProposal(uncommitted, other, Promote("x")); err != nil || !completed.Equal(other) {
		t.Errorf("completion of the other change: %+v, error %v", completed, err)
	}
}

// Any two quorums of memberships with the same base share a voter.
func TestQuorumsWithSameBaseIntersect(t *testing.T) {
	base := applyChange(t, Bootstrap(5, []string{"a", "b", "c", "d", "e"}), AddLearner(0, "x", "f"))
	memberships := []Membership{base, applyChange(t, base, Promote("x"))}
	for seat := range 5 {
		if changed, err := NextProposal(base, base, AddLearner(seat, "y", "g")); err == nil {
			memberships = append(memberships, changed)
		}
	}
	for _, a := range memberships {
		for _, b := range memberships {
			ids := map[string]bool{}
			for _, voter := range slices.Concat(a.Voters(), b.Voters()) {
				ids[voter.ID] = true
			}
			if 2*a.Quorum() <= len(ids) {
				t.Errorf("quorums of %+v and %+v may not intersect", a, b)
			}
		}
	}
}
