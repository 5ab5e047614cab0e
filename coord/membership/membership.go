// Package membership defines which replicas of the core may vote and how that set changes. A membership has a fixed number of
// seats, each held by the replica on one disk, and an epoch that increases with each change.
//
// Reconfiguration changes one server at a time, with learners, as in D. Ongaro, "Consensus: Bridging Theory and
// Practice" (2014), sections 4.1 and 4.2.1. A membership is itself the value of a register (coord/register) that the
// voters of the previous membership choose, as in L. Lamport, D. Malkhi and L. Zhou, "Vertical Paxos and
// Primary-Backup Replication" (2009). Each change affects one seat: it assigns the seat to another disk, whose replica
// joins as a learner, or it promotes a learner to a voter. A learner may be promoted once it holds all state that a quorum
// of the voters held after they had installed the learner's epoch.
//
// Invariants:
//   - A quorum is a majority of all seats, including empty ones; its size never changes.
//   - A learner takes away only the vote of its predecessor in the seat, so any two quorums of a membership and of the
//     memberships based on it share a voter.
//   - A replica answers only messages of its own epoch.
//   - A membership takes effect at a replica once the replica learns that it was chosen. A proposal that some replicas
//     have accepted and that was not chosen has no effect, and a later proposer may replace it.
package membership

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MaxSeats is the largest number of seats of a membership.
const MaxSeats = 9

// Errors returned by Validate and CheckSender.
var (
	ErrInvalid         = errors.New("membership: invalid")
	ErrWrongDeployment = errors.New("membership: of another deployment")
	ErrOutdatedEpoch   = errors.New("membership: outdated epoch")
)

// Member is the replica that holds a seat. The zero Member is an empty seat.
type Member struct {
	ID        string // identifies the disk, from its first use until its loss
	Address   string // host:port at which other schedulers reach the replica
	JoinEpoch int64  // epoch in which the replica joined; at most the epoch of the membership
	Voter     bool   // false for a learner
}

// Membership is the assignment of seats under one epoch. The zero Membership, without seats, means that none is known.
type Membership struct {
	Deployment string   // identifies the cluster; memberships of another deployment are rejected
	Epoch      int64    // positive; increases with each proposed change
	BaseEpoch  int64    // epoch of the membership from which this one differs by one seat; below Epoch
	Seats      []Member // an odd number, which is the same in all memberships of a deployment
}

// Bootstrap returns the initial membership of a cluster whose disks are all empty: the machines at the given addresses hold
// the first seats as voters. The result does not depend on the order of the addresses, so all machines that are configured
// with the same addresses compute the same membership.
func Bootstrap(seats int, addresses []string) Membership {
	m := Membership{Epoch: 1, Seats: make([]Member, seats)}
	hash := xxhash.New()
	sorted := slices.Clone(addresses)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	for i := range min(seats, len(sorted)) {
		m.Seats[i] = Member{ID: BootstrapID(sorted[i]), Address: sorted[i], JoinEpoch: 1, Voter: true}
	}
	for _, address := range sorted {
		_, _ = hash.WriteString(address + "\n")
	}
	m.Deployment = strconv.FormatUint(hash.Sum64(), 16)
	return m
}

// BootstrapID returns the ID that the initial membership assigns to the disk of the machine at an address.
func BootstrapID(address string) string { return "first@" + address }

// Quorum returns the number of voters that form a quorum.
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

// Members returns the members in all seats, both voters and learners.
func (m Membership) Members() []Member {
	var members []Member
	for _, member := range m.Seats {
		if member.ID != "" {
			members = append(members, member)
		}
	}
	return members
}

// SeatByID returns the index of the seat that the disk with an ID holds, or -1.
func (m Membership) SeatByID(id string) int {
	return slices.IndexFunc(m.Seats, func(member Member) bool { return id != "" && member.ID == id })
}

// SeatByAddress returns the index of the seat whose member has an address, or -1.
func (m Membership) SeatByAddress(address string) int {
	return slices.IndexFunc(m.Seats, func(member Member) bool { return member.ID != "" && member.Address == address })
}

// Member returns the member with a disk ID and whether there is one.
func (m Membership) Member(id string) (Member, bool) {
	seat := m.SeatByID(id)
	if seat < 0 {
		return Member{}, false
	}
	return m.Seats[seat], true
}

// Clone returns a deep copy of m.
func (m Membership) Clone() Membership {
	m.Seats = slices.Clone(m.Seats)
	return m
}

// Equal reports whether two memberships are identical.
func (m Membership) Equal(other Membership) bool {
	return m.Deployment == other.Deployment && m.Epoch == other.Epoch && m.BaseEpoch == other.BaseEpoch && slices.Equal(m.Seats, other.Seats)
}

// Validate checks the invariants of a single membership. The error wraps ErrInvalid.
func (m Membership) Validate() error {
	if len(m.Seats) == 0 || len(m.Seats) > MaxSeats || len(m.Seats)%2 == 0 {
		return fmt.Errorf("%w: %d seats, want an odd number up to %d", ErrInvalid, len(m.Seats), MaxSeats)
	}
	if m.Epoch < 1 || m.BaseEpoch < 0 || m.BaseEpoch >= m.Epoch {
		return fmt.Errorf("%w: epoch %d based on %d", ErrInvalid, m.Epoch, m.BaseEpoch)
	}
	for i, member := range m.Seats {
		if member.ID == "" {
			if member != (Member{}) {
				return fmt.Errorf("%w: seats[%d]: %+v without an ID", ErrInvalid, i, member)
			}
			continue
		}
		if member.Address == "" || member.JoinEpoch < 1 || member.JoinEpoch > m.Epoch {
			return fmt.Errorf("%w: seats[%d]: %+v in epoch %d", ErrInvalid, i, member, m.Epoch)
		}
		if m.SeatByID(member.ID) != i || m.SeatByAddress(member.Address) != i {
			return fmt.Errorf("%w: seats[%d]: %s at %s holds two seats", ErrInvalid, i, member.ID, member.Address)
		}
	}
	return nil
}

// CheckSender compares the membership under which a message was sent with m, the receiver's. If install is true, the sent
// membership is newer and the receiver must install it before it answers; it can do so because a membership is sent only
// after it was chosen. The error wraps ErrInvalid, ErrWrongDeployment or, for an older epoch, ErrOutdatedEpoch.
func (m Membership) CheckSender(sent Membership) (install bool, err error) {
	if err := sent.Validate(); err != nil {
		return false, err
	}
	if m.Epoch == 0 {
		return true, nil
	}
	if sent.Deployment != m.Deployment {
		return false, fmt.Errorf("%w: %s was sent, %s is known", ErrWrongDeployment, sent.Deployment, m.Deployment)
	}
	if len(sent.Seats) != len(m.Seats) {
		return false, fmt.Errorf("%w: %d seats were sent, %d are known", ErrInvalid, len(sent.Seats), len(m.Seats))
	}
	if sent.Epoch < m.Epoch {
		return false, fmt.Errorf("%w: %d was sent, %d is known", ErrOutdatedEpoch, sent.Epoch, m.Epoch)
	}
	if sent.Epoch == m.Epoch && !sent.Equal(m) {
		return false, fmt.Errorf("%w: a different membership of epoch %d is known", ErrInvalid, m.Epoch)
	}
	return sent.Epoch > m.Epoch, nil
}
