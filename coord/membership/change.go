package membership

import (
	"errors"
	"fmt"
	"slices"
)

// Errors returned by a Change that does not apply to a membership.
var (
	ErrUnknownSeat   = errors.New("membership: seat index out of range")
	ErrAlreadyMember = errors.New("membership: the disk or its address is already a member")
	ErrNoQuorum      = errors.New("membership: the remaining voters would not form a quorum")
	ErrNotLearner    = errors.New("membership: the disk is not a learner")
)

// Change derives a new membership from an installed one. It leaves the epochs to NextProposal.
type Change func(Membership) (Membership, error)

// AddLearner returns the change that assigns a seat to the replica on another disk, as a learner. The previous member in
// the seat loses its vote at once, so the change fails with ErrNoQuorum unless the remaining voters form a quorum.
func AddLearner(seat int, id, address string) Change {
	return func(m Membership) (Membership, error) {
		if seat < 0 || seat >= len(m.Seats) {
			return m, fmt.Errorf("%w: %d, the membership has %d seats", ErrUnknownSeat, seat, len(m.Seats))
		}
		addressSeat := m.SeatByAddress(address)
		if m.SeatByID(id) >= 0 || addressSeat >= 0 && addressSeat != seat {
			return m, fmt.Errorf("%w: disk %s at %s", ErrAlreadyMember, id, address)
		}
		remaining := len(m.Voters())
		if m.Seats[seat].Voter {
			remaining--
		}
		if remaining < m.Quorum() {
			return m, fmt.Errorf("%w: %d voters remain, the quorum is %d", ErrNoQuorum, remaining, m.Quorum())
		}
		next := m.Clone()
		next.Seats[seat] = Member{ID: id, Address: address}
		return next, nil
	}
}

// Promote returns the change that makes a learner a voter. The caller must ensure that the learner holds all state that a
// quorum of voters held after they had installed the learner's epoch.
func Promote(id string) Change {
	return func(m Membership) (Membership, error) {
		seat := m.SeatByID(id)
		if seat < 0 || m.Seats[seat].Voter {
			return m, fmt.Errorf("%w: disk %s", ErrNotLearner, id)
		}
		next := m.Clone()
		next.Seats[seat].Voter = true
		return next, nil
	}
}

// NextProposal returns the value that a proposer writes to the membership register.
//
// Installed is the membership under which the proposer prepared; current is the newest value among the promises, or the
// zero value if there was none. If current is based on the installed membership, it may or may not have been chosen.
// Another value with the same base may replace it, because the quorums of all memberships with the same base intersect.
// If current is newer and has another base, it may already be in effect at other replicas: NextProposal returns it
// unchanged, and the caller has to retry its own change after current is installed.
func NextProposal(installed, current Membership, change Change) (Membership, error) {
	if current.Epoch > installed.Epoch && current.BaseEpoch != installed.Epoch {
		return current, nil
	}
	next, err := change(installed)
	if err != nil {
		return installed, err
	}
	next.BaseEpoch = installed.Epoch
	next.Epoch = max(installed.Epoch, current.Epoch) + 1
	for i := range next.Seats {
		if next.Seats[i].ID != "" && next.Seats[i].JoinEpoch == 0 {
			next.Seats[i].JoinEpoch = next.Epoch
		}
	}
	if current.Epoch > installed.Epoch && sameMembers(current, next) {
		return current, nil
	}
	return next, nil
}

// sameMembers reports whether two memberships have the same members, ignoring the epochs in which they joined.
func sameMembers(a, b Membership) bool {
	return slices.EqualFunc(a.Seats, b.Seats, func(x, y Member) bool {
		return x.ID == y.ID && x.Address == y.Address && x.Voter == y.Voter
	})
}
