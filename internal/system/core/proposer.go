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

const retryBackoff = 40 * time.Millisecond // mean time between two attempts, randomized by up to half of it

// errNoMembership is the error of operations on registers before this scheduler has received a membership.
var errNoMembership = errors.New("no membership of the core is known yet")

// registerUpdate computes a register's next value from the current one. If it returns an error, the value is not changed.
type registerUpdate func(current []byte) ([]byte, error)

func (c *Core) handleRegisters(server *rpc.Server) {
	rpc.Handle(server, methodPrepare, c.store.prepare)
	rpc.Handle(server, methodAccept, c.store.accept)
	rpc.Handle(server, methodReadAccepted, c.store.readAccepted)
	rpc.Handle(server, methodLearn, func(_ context.Context, r *learnRequest) (*empty, error) {
		return &empty{}, c.handleLearn(r)
	})
}

// propose updates a register and returns its new value. It retries until the context ends. Its error is that of the update,
// or has the code result.OutcomeUnknown if a replica may have accepted a new value, and result.Unavailable otherwise.
func (c *Core) propose(ctx context.Context, name string, update registerUpdate) ([]byte, error) {
	acceptSent := false // set once a replica may have accepted a new value
	for {
		value, retry, err := c.proposeOnce(ctx, name, update, &acceptSent)
		if !retry {
			return value, err
		}
		backoff := time.NewTimer(retryBackoff/2 + jitter(retryBackoff))
		select {
		case <-ctx.Done():
			backoff.Stop()
			if acceptSent {
				return nil, result.Errorf(result.OutcomeUnknown, "register %s: %w", name, err)
			}
			return nil, result.Errorf(result.Unavailable, "register %s: %w", name, err)
		case <-backoff.C:
		}
	}
}

// proposeOnce makes one attempt, which consists of a prepare and an accept phase (CASPaxos), and reports whether a retry may
// succeed. If the update is rejected, the current value is proposed again: the rejection must be based on a chosen value,
// and the current one may have been accepted by a single replica and never be chosen.
func (c *Core) proposeOnce(ctx context.Context, name string, update registerUpdate, acceptSent *bool) (value []byte, retry bool, err error) {
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
		return nil, false, rejection // a rejected update must not complete a membership that was accepted but never chosen
	}
	proposal.BeginAccept()
	if rejection == nil {
		*acceptSent = true
	}
	if err := c.acceptRound(ctx, name, m, proposal, next); err != nil {
		return nil, true, err
	}
	if err := c.learn(name, ballot, next); err != nil {
		return nil, false, err
	}
	c.goroutines.Go(func(ctx context.Context) { c.announceChosen(ctx, name, ballot, next) })
	return next, false, rejection
}

// prepareRound runs the prepare phase. If it fails, the next attempt uses a ballot above all those in the responses.
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

func (c *Core) acceptRound(ctx context.Context, name string, m membership.Membership, proposal *register.Proposal, value []byte) error {
	replies, count := broadcast(c, m, m.Voters(), methodAccept, c.store.accept, func(to target) *acceptRequest {
		return &acceptRequest{To: to, Name: name, Ballot: proposal.Ballot, Value: value}
	})
	return collectReplies(ctx, m, proposal, replies, count, func(seat int, response *acceptResponse) bool {
		return proposal.OnAccepted(seat, response.Accepted)
	})
}

// collectReplies passes replies to the handler until it reports that a quorum has agreed. It returns an error once a quorum
// can no longer agree or the context ends.
func collectReplies[Response any](ctx context.Context, m membership.Membership, proposal *register.Proposal, replies <-chan reply[Response], count int,
	handle func(seat int, response *Response) (quorum bool),
) error {
	phase := proposal.Phase
	var lastErr error
	for range count {
		r, ctxErr := awaitReply(ctx, replies)
		if ctxErr != nil {
			lastErr = ctxErr
			break
		}
		if r.err != nil {
			lastErr = r.err
			proposal.OnFailure(m.SeatByID(r.member.ID))
		} else if handle(m.SeatByID(r.member.ID), r.response) {
			return nil
		}
		if proposal.Phase == register.Failed {
			break
		}
	}
	return result.Errorf(result.Unavailable, "no majority in phase %d, last failure: %w", phase, lastErr)
}

// observeBallot ensures that the next ballot of this proposer is higher than a ballot seen elsewhere.
func (c *Core) observeBallot(counter int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ballotCounter = max(c.ballotCounter, counter)
}
