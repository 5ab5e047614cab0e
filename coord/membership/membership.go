// Package membership says which replicas of a replicated core count: a fixed number of seats, each held by one disk,
// under an epoch that rises with each change.
//
// A membership is itself the value of a register that the voters of the membership before it choose
// (coord/register). It changes one seat at a time: Admit gives a seat to another disk, which is a learner
// there, and Promote makes a learner a voter once it holds what a quorum of the voters held after they had taken the
// learner's epoch. The size of a quorum never changes: a majority of all seats, filled or not. A learner takes its
// predecessor's vote away, and no other, so quorums of neighbouring memberships always share a voter.
//
// Replicas answer messages of just their own epoch. A membership counts from the moment at which a replica has been told
// that it was chosen; an attempt that was accepted by some and never chosen changes nothing, and the next
// proposer may replace it (Next).
package membership

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MaxSeats bounds the seats of a membership.
const MaxSeats = 9

// The reasons for which a change is not possible.
var (
	ErrNoSuchSeat  = errors.New("membership: no such seat")
	ErrSeated      = errors.New("membership: the disk or its address holds another seat")
	ErrNoQuorum    = errors.New("membership: too few voters would be left")
	ErrNotALearner = errors.New("membership: the disk is no learner")
)

// The reasons for which a message is not for a replica that knows a membership.
var (
	ErrImpossible = errors.New("membership: impossible")
	ErrDeployment = errors.New("membership: of another deployment")
	ErrOutdated   = errors.New("membership: outdated")
)

// Member is who holds a seat. The zero Member is nobody.
type Member struct {
	ID      string // names a disk from its first use until it is lost
	Address string // where the member hears other schedulers
	Since   int64  // the epoch in which it took the seat
	Voter   bool   // false for a learner
}

// Membership is the seats under one epoch. The zero Membership has no seats: none is known.
type Membership struct {
	Deployment string // names the system; memberships of two systems have nothing to do with each other
	Epoch      int64
	Base       int64 // the epoch whose membership this one differs from by one seat
	Seats      []Member
}

// First returns the membership of a first start, when all disks are empty: the machines at the given addresses hold
// the first seats and vote. All machines that start with the same addresses work out the same one.
func First(seats int, addresses []string) Membership {
	m := Membership{Epoch: 1, Seats: make([]Member, seats)}
	hash := xxhash.New()
	sorted := slices.Clone(addresses)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	for i := range min(seats, len(sorted)) {
		m.Seats[i] = Member{ID: FirstID(sorted[i]), Address: sorted[i], Since: 1, Voter: true}
	}
	for _, address := range sorted {
		_, _ = hash.WriteString(address + "\n")
	}
	m.Deployment = strconv.FormatUint(hash.Sum64(), 16)
	return m
}

// FirstID names the disk that a machine of the first start begins with.
func FirstID(address string) string { return "first@" + address }

// Quorum returns how many voters have to agree.
func (m Membership) Quorum() int { return len(m.Seats)/2 + 1 }

// Voters returns the members that vote.
func (m Membership) Voters() []Member {
	var voters []Member
	for _, member := range m.Seats {
		if member.Voter {
			voters = append(voters, member)
		}
	}
	return voters
}

// Filled returns the members, voters and learners.
func (m Membership) Filled() []Member {
	var members []Member
	for _, member := range m.Seats {
		if member.ID != "" {
			members = append(members, member)
		}
	}
	return members
}

// SeatOf returns the seat that a disk holds, or -1.
func (m Membership) SeatOf(id string) int {
	return slices.IndexFunc(m.Seats, func(member Member) bool { return id != "" && member.ID == id })
}

// SeatAt returns the seat whose holder is at an address, or -1.
func (m Membership) SeatAt(address string) int {
	return slices.IndexFunc(m.Seats, func(member Member) bool { return member.ID != "" && member.Address == address })
}

// Member returns who holds a disk's seat, and whether it holds one.
func (m Membership) Member(id string) (Member, bool) {
	seat := m.SeatOf(id)
	if seat < 0 {
		return Member{}, false
	}
	return m.Seats[seat], true
}

// Clone returns a copy.
func (m Membership) Clone() Membership {
	m.Seats = slices.Clone(m.Seats)
	return m
}

// Equal reports whether two memberships are the same one.
func (m Membership) Equal(other Membership) bool {
	return m.Deployment == other.Deployment && m.Epoch == other.Epoch && m.Base == other.Base && slices.Equal(m.Seats, other.Seats)
}

// Check returns what makes a membership impossible, or nil.
func (m Membership) Check() error {
	if len(m.Seats) == 0 || len(m.Seats) > MaxSeats || len(m.Seats)%2 == 0 {
		return fmt.Errorf("%w: %d seats, an odd number up to %d is wanted", ErrImpossible, len(m.Seats), MaxSeats)
	}
	if m.Epoch < 1 || m.Base < 0 || m.Base >= m.Epoch {
		return fmt.Errorf("%w: epoch %d on %d", ErrImpossible, m.Epoch, m.Base)
	}
	for i, member := range m.Seats {
		if member.ID == "" {
			if member != (Member{}) {
				return fmt.Errorf("%w: seats[%d]: nobody, with %+v", ErrImpossible, i, member)
			}
			continue
		}
		if member.Address == "" || member.Since < 1 || member.Since > m.Epoch {
			return fmt.Errorf("%w: seats[%d]: %+v in epoch %d", ErrImpossible, i, member, m.Epoch)
		}
		if m.SeatOf(member.ID) != i || m.SeatAt(member.Address) != i {
			return fmt.Errorf("%w: seats[%d]: %s at %s holds two", ErrImpossible, i, member.ID, member.Address)
		}
	}
	return nil
}

// Meet judges a message that was sent under another membership to a replica that knows this one. A newer one, which was
// chosen or would not be sent, is to be installed before the message is answered; an older one is an error.
func (m Membership) Meet(sent Membership) (install bool, err error) {
	if err := sent.Check(); err != nil {
		return false, err
	}
	if m.Epoch == 0 {
		return true, nil
	}
	if sent.Deployment != m.Deployment {
		return false, fmt.Errorf("%w: %s came, this is %s", ErrDeployment, sent.Deployment, m.Deployment)
	}
	if len(sent.Seats) != len(m.Seats) {
		return false, fmt.Errorf("%w: %d seats came, %d are known", ErrImpossible, len(sent.Seats), len(m.Seats))
	}
	if sent.Epoch < m.Epoch {
		return false, fmt.Errorf("%w: epoch %d came, %d is known", ErrOutdated, sent.Epoch, m.Epoch)
	}
	if sent.Epoch == m.Epoch && !sent.Equal(m) {
		return false, fmt.Errorf("%w: another one of epoch %d is known", ErrImpossible, m.Epoch)
	}
	return sent.Epoch > m.Epoch, nil
}

// Change works out the membership that follows one, but for its epoch.
type Change func(Membership) (Membership, error)

// Admit returns the change that gives a seat to another disk, as a learner. A voter gives way only where the voters
// that are left make a quorum.
func Admit(seat int, id, address string) Change {
	return func(m Membership) (Membership, error) {
		if seat < 0 || seat >= len(m.Seats) {
			return m, fmt.Errorf("%w: %d of %d", ErrNoSuchSeat, seat, len(m.Seats))
		}
		at := m.SeatAt(address)
		if m.SeatOf(id) >= 0 || at >= 0 && at != seat {
			return m, fmt.Errorf("%w: %s at %s", ErrSeated, id, address)
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

// Promote returns the change that makes a learner a voter. The learner must hold what a quorum of voters held after it had
// taken its seat.
func Promote(id string) Change {
	return func(m Membership) (Membership, error) {
		seat := m.SeatOf(id)
		if seat < 0 || m.Seats[seat].Voter {
			return m, fmt.Errorf("%w: %s", ErrNotALearner, id)
		}
		next := m.Clone()
		next.Seats[seat].Voter = true
		return next, nil
	}
}

// Next returns the value that a proposer writes to the membership's register.
//
// Installed is the membership under which the proposer asked a quorum, current the newest value that the quorum told; the
// zero value where it told none. A current one that was made on the installed one may be chosen or not. It is replaced by
// another that is made on the installed one too: the voters of all that are made on one membership hold its seats, so
// any two of their quorums share a voter. A current one that was made on an older membership is finished first.
func Next(installed, current Membership, change Change) (Membership, error) {
	if current.Epoch > installed.Epoch && current.Base != installed.Epoch {
		return current, nil
	}
	next, err := change(installed)
	if err != nil {
		return installed, err
	}
	next.Base = installed.Epoch
	next.Epoch = max(installed.Epoch, current.Epoch) + 1
	for i := range next.Seats {
		if next.Seats[i].ID != "" && next.Seats[i].Since == 0 {
			next.Seats[i].Since = next.Epoch
		}
	}
	if current.Epoch > installed.Epoch && sameHolders(current, next) {
		return current, nil
	}
	return next, nil
}

// sameHolders reports whether two memberships differ at most in epochs.
func sameHolders(a, b Membership) bool {
	return slices.EqualFunc(a.Seats, b.Seats, func(x, y Member) bool {
		return x.ID == y.ID && x.Address == y.Address && x.Voter == y.Voter
	})
}
