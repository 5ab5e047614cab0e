package core

import (
	"context"
	"errors"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/result"
)

// admit checks that a message is addressed to this replica in the current epoch. It first installs the message's membership
// if that is newer, since only chosen memberships are sent. s.mu is held.
func (s *store) admit(to target) (origin, membership.Member, error) {
	none := membership.Member{}
	if err := s.admitMembership(to.Membership); err != nil {
		return origin{}, none, err
	}
	if to.Member != s.identity.ID {
		return origin{}, none, result.Errorf(result.WrongReplica, "for replica %s, this is %s", to.Member, s.identity.ID)
	}
	member, seated := s.membership.Member(s.identity.ID)
	if !seated {
		return origin{}, none, result.Errorf(result.NotRecovered, "%s holds no seat in epoch %d", s.address, s.membership.Epoch)
	}
	return origin{Member: s.identity.ID, Epoch: s.membership.Epoch}, member, nil
}

// admitSeated admits a message that both voters and learners handle. s.mu is held.
func (s *store) admitSeated(to target) (origin, error) {
	from, _, err := s.admit(to)
	return from, err
}

// applyDurably handles a message that changes the state: it admits the message, applies it and returns once the entry that
// apply returns is durable. apply is called with s.mu held and returns a nil entry if there is nothing to store.
func (s *store) applyDurably(ctx context.Context, admit func(target) (origin, error), to target, apply func(origin) (*entry, error)) error {
	s.mu.Lock()
	from, err := admit(to)
	var change *entry
	if err == nil {
		change, err = apply(from)
	}
	if err != nil || change == nil {
		s.mu.Unlock()
		return err
	}
	ticket, err := s.append(change)
	s.mu.Unlock()
	return waitDurable(ctx, ticket, err)
}

// readDurable handles a message that reads the state of a voter: it admits the message, calls respond with s.mu held and
// returns once all changes that the response may depend on are durable.
func (s *store) readDurable(ctx context.Context, to target, respond func(origin)) error {
	s.mu.Lock()
	from, err := s.admitVoter(to)
	if err != nil {
		s.mu.Unlock()
		return err
	}
	respond(from)
	s.mu.Unlock()
	return s.waitAllDurable(ctx)
}

// admitMembership installs the membership in a message if it is newer. It returns an error if the message must be rejected
// because of its membership. s.mu is held.
func (s *store) admitMembership(sent membership.Membership) error {
	install, err := s.membership.CheckSender(sent)
	switch {
	case errors.Is(err, membership.ErrOutdatedEpoch):
		return result.Errorf(result.EpochOutdated, "%w", err)
	case errors.Is(err, membership.ErrWrongDeployment):
		return result.Errorf(result.WrongDeployment, "%w", err)
	case err != nil:
		return result.Errorf(result.MembershipInvalid, "%w", err)
	case install:
		return s.install(sent)
	}
	return nil
}

// admitVoter admits a message that only voters handle. s.mu is held.
func (s *store) admitVoter(to target) (origin, error) {
	from, member, err := s.admit(to)
	if err == nil && !member.Voter {
		return origin{}, result.Errorf(result.NotRecovered, "%s is a learner in epoch %d", s.address, from.Epoch)
	}
	return from, err
}

// install applies a newer chosen membership and appends it to the log. s.mu is held.
func (s *store) install(m membership.Membership) error {
	s.applyMembership(m)
	_, err := s.append(&entry{Kind: entryMembership, Membership: m})
	s.membershipChanged.notify()
	return err
}

// applyMembership applies a membership to the state. If this disk has acquired a seat with it, the disk may have missed
// changes since it last held one, so it is no voter for any shard until an owner has repaired its replica. s.mu is held,
// or the log is being replayed.
func (s *store) applyMembership(m membership.Membership) {
	s.membership = m.Clone()
	member, seated := m.Member(s.identity.ID)
	if !seated || member.JoinEpoch == s.identity.JoinEpoch {
		return
	}
	s.identity.JoinEpoch = member.JoinEpoch
	s.identity.Restored = false
	for _, replica := range s.replicas {
		replica.Invalidate()
	}
}

// learnMembership installs a membership sent by another scheduler if it is newer.
func (s *store) learnMembership(m membership.Membership) error {
	if m.Epoch == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Epoch <= s.membership.Epoch && m.Deployment == s.membership.Deployment {
		return nil
	}
	return s.admitMembership(m)
}

// currentMembership returns a copy of the membership.
func (s *store) currentMembership() membership.Membership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membership.Clone()
}

// self returns the ID of this disk and, if it holds a seat, its member record.
func (s *store) self() (id string, member membership.Member, seated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	member, seated = s.membership.Member(s.identity.ID)
	return s.identity.ID, member, seated
}
