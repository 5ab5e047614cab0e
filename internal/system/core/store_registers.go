package core

import (
	"context"

	"sedgevale/coord/register"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/statefile"
)

func (s *store) acceptor(name string) *register.Acceptor {
	a := s.registers[name]
	if a == nil {
		a = &register.Acceptor{}
		s.registers[name] = a
	}
	return a
}

func (s *store) prepare(ctx context.Context, r *prepareRequest) (*prepareResponse, error) {
	answer := &prepareResponse{}
	err := s.commitChange(ctx, s.admitVoter, r.To, func(from origin) (*entry, error) {
		*answer = prepareResponse{From: from, Promise: s.acceptor(r.Name).Prepare(r.Ballot, r.Known)}
		if !answer.Promise.Granted {
			return nil, nil
		}
		return &entry{Kind: entryPromise, Name: r.Name, Promised: r.Ballot}, nil
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

func (s *store) accept(ctx context.Context, r *acceptRequest) (*acceptResponse, error) {
	answer := &acceptResponse{}
	err := s.commitChange(ctx, s.admitVoter, r.To, func(from origin) (*entry, error) {
		*answer = acceptResponse{From: from, Accepted: s.acceptor(r.Name).Accept(r.Ballot, r.Value)}
		if !answer.Accepted {
			return nil, nil
		}
		return &entry{Kind: entryAccept, Name: r.Name, Ballot: r.Ballot, Value: r.Value}, nil
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// readAccepted returns what was accepted last, without a promise.
func (s *store) readAccepted(ctx context.Context, r *readAcceptedRequest) (*readAcceptedResponse, error) {
	answer := &readAcceptedResponse{}
	err := s.readDurable(ctx, r.To, func(from origin) {
		a := s.acceptor(r.Name)
		*answer = readAcceptedResponse{From: from, Accepted: a.Accepted}
		if a.Accepted != r.Known {
			answer.Value = a.Value
		}
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// state returns all that a learner has to hold before it votes.
func (s *store) state(ctx context.Context, r *stateRequest) (*stateResponse, error) {
	answer := &stateResponse{Registers: map[string]register.Acceptor{}, Shards: map[string]int64{}}
	err := s.readDurable(ctx, r.To, func(from origin) {
		answer.From = from
		for name, a := range s.registers {
			answer.Registers[name] = *a
		}
		for name, replica := range s.replicas {
			answer.Shards[name] = replica.Sealed
		}
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// distinctVoters returns how many members told their state in an epoch.
func distinctVoters(epoch int64, learned []*stateResponse) int {
	members := map[string]bool{}
	for _, one := range learned {
		if one.From.Epoch == epoch {
			members[one.From.Member] = true
		}
	}
	return len(members)
}

// restore takes over what a quorum of voters told this learner after it had taken its seat.
func (s *store) restore(ctx context.Context, epoch int64, learned []*stateResponse) error {
	s.mu.Lock()
	if _, seated := s.membership.Member(s.identity.ID); !seated || s.identity.Joined > epoch {
		s.mu.Unlock()
		return result.Errorf(result.EpochOutdated, "the seat was lost since epoch %d", epoch)
	}
	if told := distinctVoters(epoch, learned); told < s.membership.Quorum() {
		s.mu.Unlock()
		return result.Errorf(result.Unavailable, "%d voters told their state in epoch %d, %d are a quorum", told, epoch, s.membership.Quorum())
	}
	var entries []*entry
	tokens := map[string]int64{}
	for _, one := range learned {
		for name, a := range one.Registers {
			s.acceptor(name).Restore(a)
		}
		for name, token := range one.Shards {
			tokens[name] = max(tokens[name], token)
		}
	}
	for name := range s.replicas {
		tokens[name] = max(tokens[name], 0)
	}
	for name, token := range tokens {
		s.replica(name).Trust(token)
		entries = append(entries, &entry{Kind: entryTrust, Name: name, Token: token})
	}
	for name := range s.registers {
		entries = append(entries, s.registerEntry(name))
	}
	s.identity.Restored = true
	entries = append(entries, &entry{Kind: entryIdentity, Identity: s.identity})
	var ticket *statefile.Ticket
	var err error
	for _, e := range entries {
		if ticket, err = s.append(e); err != nil {
			break
		}
	}
	s.mu.Unlock()
	return waitDurable(ctx, ticket, err)
}

// acceptedValue returns the value that this replica has accepted under a ballot, or nil.
func (s *store) acceptedValue(name string, ballot register.Ballot) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.registers[name]; a != nil && a.Accepted == ballot {
		return a.Value
	}
	return nil
}

// accepted returns the last accepted ballot of each register but the membership's: a membership that was accepted and
// never chosen must not be finished by those who just look.
func (s *store) accepted() map[string]register.Ballot {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]register.Ballot{}
	for name, a := range s.registers {
		if name != membershipRegister {
			all[name] = a.Accepted
		}
	}
	return all
}
