package core

import (
	"context"
	"errors"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/coord/register"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
)

const retryBackoff = 40 * time.Millisecond // between two attempts: from half of it to one and a half, at random

// errNoMembership says that no message has yet brought this scheduler the membership.
var errNoMembership = errors.New("no membership of the core is known yet")

// registerUpdate returns a register's next value for the current one. An error leaves the value as it is.
type registerUpdate func(current []byte) ([]byte, error)

func (c *Core) handleRegisters(server *rpc.Server) {
	rpc.Handle(server, methodPrepare, c.store.prepare)
	rpc.Handle(server, methodAccept, c.store.accept)
	rpc.Handle(server, methodReadAccepted, c.store.readAccepted)
	rpc.Handle(server, methodLearn, func(ctx context.Context, r *learnRequest) (*empty, error) {
		return &empty{}, c.handleLearn(ctx, r)
	})
}

// propose changes a register and returns its new value. It retries until the context ends; its error has the code
// result.OutcomeUnknown where a value may have been accepted somewhere, else result.Unavailable, or is that of the update.
func (c *Core) propose(ctx context.Context, name string, update registerUpdate) ([]byte, error) {
	begun := false // a value may have been accepted somewhere
	for {
		value, retry, err := c.proposeOnce(ctx, name, update, &begun)
		if !retry {
			return value, err
		}
		backoff := time.NewTimer(retryBackoff/2 + jitter(retryBackoff))
		select {
		case <-ctx.Done():
			backoff.Stop()
			if begun {
				return nil, result.Errorf(result.OutcomeUnknown, "register %s: %w", name, err)
			}
			return nil, result.Errorf(result.Unavailable, "register %s: %w", name, err)
		case <-backoff.C:
		}
	}
}

// proposeOnce runs one attempt: a prepare and an accept round (CASPaxos). It reports whether a retry may succeed. An update
// that is rejected still has the current value accepted again: only then is the value chosen that the rejection is based
// on, and not one that a single replica has accepted and that may never be chosen.
func (c *Core) proposeOnce(ctx context.Context, name string, update registerUpdate, begun *bool) (value []byte, retry bool, err error) {
	m := c.store.currentMembership()
	if m.Epoch == 0 {
		return nil, true, errNoMembership
	}
	c.mu.Lock()
	c.ballotCounter++
	ballot := register.Ballot{Counter: c.ballotCounter, Proposer: c.proposer}
	known := c.learned[name]
	c.mu.Unlock()
	round := register.NewProposal(ballot, len(m.Voters()), m.Quorum(), known.ballot, known.value)
	if err := c.prepareRound(ctx, name, m, round, known.ballot); err != nil {
		return nil, true, err
	}
	current, _ := round.Value()
	proposal, rejection := update(current)
	if rejection != nil {
		proposal = current
	}
	if proposal == nil || rejection != nil && name == membershipRegister {
		return nil, false, rejection // reading a membership must not complete one that was accepted and never chosen
	}
	round.BeginAccept()
	if rejection == nil {
		*begun = true
	}
	if err := c.acceptRound(ctx, name, m, round, proposal); err != nil {
		return nil, true, err
	}
	if err := c.learn(name, ballot, proposal); err != nil {
		return nil, false, err
	}
	go c.announce(context.WithoutCancel(ctx), name, ballot, proposal)
	return proposal, false, rejection
}

// prepareRound runs the prepare phase.
func (c *Core) prepareRound(ctx context.Context, name string, m membership.Membership, round *register.Proposal, known register.Ballot) error {
	replies, count := broadcast(ctx, c, m, m.Voters(), methodPrepare, c.store.prepare, func(to target) *prepareRequest {
		return &prepareRequest{To: to, Name: name, Ballot: round.Ballot, Known: known}
	})
	err := collectReplies(m, round, replies, count, func(seat int, response *prepareResponse) bool {
		return round.OnPromise(seat, response.Promise)
	})
	if err != nil {
		c.observeBallot(round.HighestBallot.Counter)
	}
	return err
}

// acceptRound runs the accept phase.
func (c *Core) acceptRound(ctx context.Context, name string, m membership.Membership, round *register.Proposal, value []byte) error {
	replies, count := broadcast(ctx, c, m, m.Voters(), methodAccept, c.store.accept, func(to target) *acceptRequest {
		return &acceptRequest{To: to, Name: name, Ballot: round.Ballot, Value: value}
	})
	return collectReplies(m, round, replies, count, func(seat int, response *acceptResponse) bool {
		return round.OnAccepted(seat, response.Accepted)
	})
}

// collectReplies passes the replies of replicas to a round until a majority has agreed or can no longer be had.
func collectReplies[Response any](m membership.Membership, round *register.Proposal, replies <-chan reply[Response], count int,
	take func(seat int, response *Response) (enough bool),
) error {
	phase := round.Phase
	var lastErr error
	for range count {
		r := <-replies
		if r.err != nil {
			lastErr = r.err
			round.OnFailure(m.SeatOf(r.member.ID))
		} else if take(m.SeatOf(r.member.ID), r.response) {
			return nil
		}
		if round.Phase == register.Failed {
			break
		}
	}
	return result.Errorf(result.Unavailable, "no majority in phase %d, last failure: %w", phase, lastErr)
}

// observeBallot raises the counter of the next ballot above one that was met.
func (c *Core) observeBallot(counter int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ballotCounter = max(c.ballotCounter, counter)
}
