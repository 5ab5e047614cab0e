package core

import (
	"context"

	"sedgevale/coord/register"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/statefile"
)

// acceptor returns the acceptor of a register and creates it if there is none. s.mu is held.
func (s *store) acceptor(name string) *register.Acceptor {
	a := s.registers[name]
	if a == nil {
		a = &register.Acceptor{}
		s.registers[name] = a
	}
	return a
}

// prepare handles a prepareRequest. A promise is durable before it is sent.
func (s *store) prepare(ctx context.Context, r *prepareRequest) (*prepareResponse, error) {
	response := &prepareResponse{}
	err := s.applyDurably(ctx, s.admitVoter, r.To, func(from origin) (*entry, error) {
		*response = prepareResponse{From: from, Promise: s.acceptor(r.Name).Prepare(r.Ballot, r.Known)}
		if !response.Promise.Granted {
			return nil, nil
		}
		return &entry{Kind: entryPromise, Name: r.Name, Promised: r.Ballot}, nil
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// accept handles an acceptRequest. An accepted value is durable before the response is sent.
func (s *store) accept(ctx context.Context, r *acceptRequest) (*acceptResponse, error) {
	response := &acceptResponse{}
	err := s.applyDurably(ctx, s.admitVoter, r.To, func(from origin) (*entry, error) {
		*response = acceptResponse{From: from, Accepted: s.acceptor(r.Name).Accept(r.Ballot, r.Value)}
		if !response.Accepted {
			return nil, nil
		}
		return &entry{Kind: entryAccept, Name: r.Name, Ballot: r.Ballot, Value: r.Value}, nil
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// readAccepted returns the last accepted ballot and value, without a promise, once they are durable.
func (s *store) readAccepted(ctx context.Context, r *readAcceptedRequest) (*readAcceptedResponse, error) {
	response := &readAcceptedResponse{}
	err := s.readDurable(ctx, r.To, func(from origin) {
		a := s.acceptor(r.Name)
		*response = readAcceptedResponse{From: from, Accepted: a.Accepted}
		if a.Accepted != r.Known {
			response.Value = a.Value
		}
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// serveState returns the state that a learner must restore before it becomes a voter.
func (s *store) serveState(ctx context.Context, r *stateRequest) (*stateResponse, error) {
	response := &stateResponse{Registers: map[string]register.Acceptor{}, Shards: map[string]int64{}}
	err := s.readDurable(ctx, r.To, func(from origin) {
		response.From = from
		for name, a := range s.registers {
			response.Registers[name] = *a
		}
		for name, replica := range s.replicas {
			response.Shards[name] = replica.FencingToken
		}
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// distinctVoters returns the number of distinct members that sent their state under the given epoch.
func distinctVoters(epoch int64, states []*stateResponse) int {
	members := map[string]bool{}
	for _, state := range states {
		if state.From.Epoch == epoch {
			members[state.From.Member] = true
		}
	}
	return len(members)
}

// restore merges the state that a quorum of voters sent after this learner had acquired its seat. Its error has the code
// result.EpochOutdated if the seat has been lost since, and result.Unavailable if fewer than a quorum sent their state.
func (s *store) restore(ctx context.Context, epoch int64, states []*stateResponse) error {
	s.mu.Lock()
	if _, seated := s.membership.Member(s.identity.ID); !seated || s.identity.JoinEpoch > epoch {
		s.mu.Unlock()
		return result.Errorf(result.EpochOutdated, "the seat was lost since epoch %d", epoch)
	}
	if voters := distinctVoters(epoch, states); voters < s.membership.Quorum() {
		s.mu.Unlock()
		return result.Errorf(result.Unavailable, "%d voters sent their state in epoch %d, %d are a quorum", voters, epoch, s.membership.Quorum())
	}
	var ticket *statefile.AppendFuture
	var err error
	for _, e := range s.mergeStates(states) {
		if ticket, err = s.append(e); err != nil {
			break
		}
	}
	s.mu.Unlock()
	return waitDurable(ctx, ticket, err)
}

// mergeStates merges the state of voters into that of this replica and returns the entries of the change. s.mu is held.
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
		entries = append(entries, &entry{Kind: entryLearnToken, Name: name, Token: token})
	}
	for name := range s.registers {
		entries = append(entries, s.registerEntry(name))
	}
	s.identity.Restored = true
	return append(entries, &entry{Kind: entryIdentity, Identity: s.identity})
}

// acceptedValue returns the value of a register if this replica accepted it last under the given ballot, and nil otherwise.
func (s *store) acceptedValue(name string, ballot register.Ballot) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.registers[name]; a != nil && a.Accepted == ballot {
		return a.Value
	}
	return nil
}

// accepted returns the last accepted ballot of each register except that of the membership, which is omitted so that no
// read completes a membership that was accepted but never chosen.
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
