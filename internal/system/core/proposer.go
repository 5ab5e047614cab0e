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
	rpc.Handle(server, methodLearn, func(_ context.Context, r *learnRequest) (*empty, error) {
		return &empty{}, c.handleLearn(r)
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
	proposal := register.NewProposal(ballot, len(m.Voters()), m.Quorum(), known.ballot, known.value)
	if err := c.prepareRound(ctx, name, m, proposal, known.ballot); err != nil {
		return nil, true, err
	}
	current, _ := proposal.Value()
	next, rejection := update(current)
	if rejection != nil {
		next = current
	}
	if next == nil || rejection != nil && name == membershipRegister {
		return nil, false, rejection // reading a membership must not complete one that was accepted and never chosen
	}
	proposal.BeginAccept()
	if rejection == nil {
		*begun = true
	}
	if err := c.acceptRound(ctx, name, m, proposal, next); err != nil {
		return nil, true, err
	}
	if err := c.learn(name, ballot, next); err != nil {
		return nil, false, err
	}
	c.goroutines.Go(func(ctx context.Context) { c.announce(ctx, name, ballot, next) })
	return next, false, rejection
}

// prepareRound runs the prepare phase.
func (c *Core) prepareRound(ctx context.Context, name string, m membership.Membership, proposal *register.Proposal, known register.Ballot) error {
	replies, count := broadcast(c, m, m.Voters(), methodPrepare, c.store.prepare, func(to target) *prepareRequest {
		return &prepareRequest{To: to, Name: name, Ballot: proposal.Ballot, Known: known}
	})
	err := collectReplies(ctx, m, proposal, replies, count, func(seat int, response *prepareResponse) bool {
		return proposal.OnPromise(seat, response.Promise)
	})
	if err != nil {
		c.observeBallot(proposal.HighestBallot.Counter)
	}
	return err
}

// acceptRound runs the accept phase.
func (c *Core) acceptRound(ctx context.Context, name string, m membership.Membership, proposal *register.Proposal, value []byte) error {
	replies, count := broadcast(c, m, m.Voters(), methodAccept, c.store.accept, func(to target) *acceptRequest {
		return &acceptRequest{To: to, Name: name, Ballot: proposal.Ballot, Value: value}
	})
	return collectReplies(ctx, m, proposal, replies, count, func(seat int, response *acceptResponse) bool {
		return proposal.OnAccepted(seat, response.Accepted)
	})
}

// collectReplies passes the replies of replicas to a proposal until a majority has agreed or can no longer do so, or the context ends.
func collectReplies[Response any](ctx context.Context, m membership.Membership, proposal *register.Proposal, replies <-chan reply[Response], count int,
	take func(seat int, response *Response) (enough bool),
) error {
	phase := proposal.Phase
	var lastErr error
	for range count {
		r, ended := awaitReply(ctx, replies)
		if ended != nil {
			lastErr = ended
			break
		}
		if r.err != nil {
			lastErr = r.err
			proposal.OnFailure(m.SeatOf(r.member.ID))
		} else if take(m.SeatOf(r.member.ID), r.response) {
			return nil
		}
		if proposal.Phase == register.Failed {
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
