package membership

import (
	"errors"
	"fmt"
	"slices"
)

// Errors of a Change that a membership does not allow.
var (
	ErrUnknownSeat   = errors.New("membership: no such seat")
	ErrAlreadyMember = errors.New("membership: the disk or its address holds another seat")
	ErrNoQuorum      = errors.New("membership: too few voters would be left")
	ErrNotLearner    = errors.New("membership: the disk is not a learner")
)

// Change computes the membership that follows another one. NextProposal sets the epochs.
type Change func(Membership) (Membership, error)

// AddLearner returns the change that gives a seat to the replica on another disk, as a learner. The holder of the seat loses
// its vote at once, so the change fails with ErrNoQuorum unless the other voters form a quorum.
func AddLearner(seat int, id, address string) Change {
	return func(m Membership) (Membership, error) {
		if seat < 0 || seat >= len(m.Seats) {
			return m, fmt.Errorf("%w: %d of %d", ErrUnknownSeat, seat, len(m.Seats))
		}
		at := m.SeatAt(address)
		if m.SeatOf(id) >= 0 || at >= 0 && at != seat {
			return m, fmt.Errorf("%w: %s at %s", ErrAlreadyMember, id, address)
		}
		left := len(m.Voters())
		if m.Seats[seat].Voter {
			left--
		}
		if left < m.Quorum() {
			return m, fmt.Errorf("%w: %d of %d", ErrNoQuorum, left, m.Quorum())
		}
		next := m.Clone()
		next.Seats[seat] = Member{ID: id, Address: address}
		return next, nil
	}
}

// Promote returns the change that makes a learner a voter. The caller must ensure that the learner holds what a quorum of
// voters held after they had entered the learner's epoch.
func Promote(id string) Change {
	return func(m Membership) (Membership, error) {
		seat := m.SeatOf(id)
		if seat < 0 || m.Seats[seat].Voter {
			return m, fmt.Errorf("%w: %s", ErrNotLearner, id)
		}
		next := m.Clone()
		next.Seats[seat].Voter = true
		return next, nil
	}
}

// NextProposal returns the value that a proposer writes to the membership's register.
//
// Installed is the membership under which the proposer prepared; current is the newest value among the promises, the zero
// value if there was none. If current is based on the installed membership it may or may not have been chosen; a value
// that is based on the installed membership as well may replace it, since the quorums of all memberships with one base
// intersect. If current is newer and has another base it may already be in effect elsewhere: it is proposed again as it
// is, and the change has to wait.
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

// sameMembers reports whether the seats of two memberships differ at most in the epochs in which their holders joined.
func sameMembers(a, b Membership) bool {
	return slices.EqualFunc(a.Seats, b.Seats, func(x, y Member) bool {
		return x.ID == y.ID && x.Address == y.Address && x.Voter == y.Voter
	})
}
