package core

import (
	"context"

	"sedgevale/coord/register"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/statefile"
)

// acceptor returns the acceptor of a register, a new one where there is none. s.mu is held.
func (s *store) acceptor(name string) *register.Acceptor {
	a := s.registers[name]
	if a == nil {
		a = &register.Acceptor{}
		s.registers[name] = a
	}
	return a
}

// prepare handles the prepare of a ballot: the promise is durable before it is sent.
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

// accept handles the proposal of a value: the acceptance is durable before it is sent.
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

// readAccepted returns what was accepted last, without a promise, once that is durable.
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

// serveState returns all that a learner has to hold before it votes.
func (s *store) serveState(ctx context.Context, r *stateRequest) (*stateResponse, error) {
	answer := &stateResponse{Registers: map[string]register.Acceptor{}, Shards: map[string]int64{}}
	err := s.readDurable(ctx, r.To, func(from origin) {
		answer.From = from
		for name, a := range s.registers {
			answer.Registers[name] = *a
		}
		for name, replica := range s.replicas {
			answer.Shards[name] = replica.FencingToken
		}
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// distinctVoters returns how many members sent their state in an epoch.
func distinctVoters(epoch int64, states []*stateResponse) int {
	members := map[string]bool{}
	for _, state := range states {
		if state.From.Epoch == epoch {
			members[state.From.Member] = true
		}
	}
	return len(members)
}

// restore takes over the state of a quorum of voters, which they sent this learner after it had taken its seat. Its error
// has the code result.EpochOutdated where the seat was lost meanwhile, result.Unavailable where they are no quorum.
func (s *store) restore(ctx context.Context, epoch int64, states []*stateResponse) error {
	s.mu.Lock()
	if _, seated := s.membership.Member(s.identity.ID); !seated || s.identity.Joined > epoch {
		s.mu.Unlock()
		return result.Errorf(result.EpochOutdated, "the seat was lost since epoch %d", epoch)
	}
	if voters := distinctVoters(epoch, states); voters < s.membership.Quorum() {
		s.mu.Unlock()
		return result.Errorf(result.Unavailable, "%d voters sent their state in epoch %d, %d are a quorum", voters, epoch, s.membership.Quorum())
	}
	var ticket *statefile.Ticket
	var err error
	for _, e := range s.mergeStates(states) {
		if ticket, err = s.append(e); err != nil {
			break
		}
	}
	s.mu.Unlock()
	return waitDurable(ctx, ticket, err)
}

// mergeStates merges the state of voters into this replica's and returns the entries of the change. s.mu is held.
func (s *store) mergeStates(states []*stateResponse) []*entry {
	var entries []*entry
	tokens := map[string]int64{}
	for _, state := range states {
		for name, a := range state.Registers {
			s.acceptor(name).Merge(a)
		}
		for name, token := range state.Shards {
			tokens[name] = max(tokens[name], token)
		}
	}
	for name := range s.replicas {
		tokens[name] = max(tokens[name], 0)
	}
	for name, token := range tokens {
		s.replica(name).LearnToken(token)
		entries = append(entries, &entry{Kind: entryTrust, Name: name, Token: token})
	}
	for name := range s.registers {
		entries = append(entries, s.registerEntry(name))
	}
	s.identity.Restored = true
	return append(entries, &entry{Kind: entryIdentity, Identity: s.identity})
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
// never chosen must not be completed by a read.
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
