package core

import (
	"context"
	"math/rand/v2"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
)

const (
	memberTimeout      = 2200 * time.Millisecond // time without a response after which a member may be replaced
	joinInterval       = 120 * time.Millisecond  // minimum time between two attempts; jitter of up to the same length is added
	joinTimeout        = 1500 * time.Millisecond
	prefetchTimeout    = 900 * time.Millisecond
	membershipRegister = "membership"
)

func (c *Core) handleMembership(server *rpc.Server) {
	rpc.Handle(server, methodState, c.store.serveState)
	rpc.Handle(server, methodPrefetch, c.store.servePrefetch)
	rpc.Handle(server, methodMemberTimedOut, func(_ context.Context, r *memberTimedOutRequest) (*memberTimedOutResponse, error) {
		return &memberTimedOutResponse{TimedOut: c.memberTimedOut(r.Member, r.Address)}, nil
	})
}

// memberTimedOut reports whether a member is draining or has not responded to this scheduler for memberTimeout. A member at
// this scheduler's own address has timed out if its ID is that of another disk, since this machine has a new one.
func (c *Core) memberTimedOut(id, address string) bool {
	if address == c.address {
		own, _, _ := c.store.self()
		return own != id
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peer(address); time.Since(p.lastHeartbeat) <= memberTimeout {
		return p.status.Draining
	}
	return time.Since(c.started) > memberTimeout
}

// joinLoop makes this scheduler a member: it acquires a seat that is free, that its own lost disk held or whose member has
// timed out. It joins as a learner and is then promoted to a voter.
func (c *Core) joinLoop(ctx context.Context) {
	for sleep(ctx, joinInterval+jitter(joinInterval)) {
		c.mu.Lock()
		draining := c.draining
		c.mu.Unlock()
		id, member, seated := c.store.self()
		if draining || member.Voter || c.store.currentMembership().Epoch == 0 {
			continue
		}
		var err error
		if seated {
			err = c.becomeVoter(ctx, id)
		} else if seat := c.freeSeat(); seat >= 0 {
			err = c.takeSeat(ctx, seat, id)
		}
		if err != nil {
			c.logger.V(1).Info("joining the membership failed; retrying", "error", err.Error())
		}
	}
}

// freeSeat returns the seat that this scheduler should acquire, or -1 if there is none.
func (c *Core) freeSeat() int {
	m := c.store.currentMembership()
	if seat := m.SeatByAddress(c.address); seat >= 0 {
		return seat
	}
	var free []int
	for i, member := range m.Seats {
		if member.ID == "" || c.memberTimedOut(member.ID, member.Address) {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		return -1
	}
	return free[rand.IntN(len(free))]
}

// takeSeat makes this disk the learner of a seat by a membership change. Before it replaces a voter it prefetches the
// shards, which shortens the time during which the seat has no voter.
func (c *Core) takeSeat(ctx context.Context, seat int, id string) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout+prefetchTimeout)
	defer cancel()
	m := c.store.currentMembership()
	if _, err := membership.AddLearner(seat, id, c.address)(m); err != nil {
		return err
	}
	member := m.Seats[seat]
	if member.ID != "" && member.Address != c.address && !c.isDraining(member.Address) {
		if err := c.confirmTimedOut(ctx, m, member); err != nil {
			return err
		}
	}
	if member.Voter {
		c.prefetchShards(ctx, m)
	}
	if err := c.changeMembership(ctx, m.Epoch, membership.AddLearner(seat, id, c.address)); err != nil {
		return err
	}
	c.logger.Info("joined as learner", "seat", seat, "replaced", member.Address)
	return nil
}

// isDraining reports whether a peer has announced within memberTimeout that it is draining.
func (c *Core) isDraining(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(address)
	return p.status.Draining && time.Since(p.lastHeartbeat) <= memberTimeout
}

// confirmTimedOut returns nil if a quorum of the voters agrees that a member has timed out. Without this check, a network
// partition between one machine and a healthy member would suffice for the machine to replace the member. Its error has the
// code result.Conflict.
func (c *Core) confirmTimedOut(ctx context.Context, m membership.Membership, member membership.Member) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	confirmations := make(chan bool, len(m.Seats))
	asked := 0
	for _, voter := range m.Voters() {
		if voter.ID == member.ID {
			continue
		}
		asked++
		go func() {
			response := &memberTimedOutResponse{}
			err := c.client.Call(ctx, voter.Address, methodMemberTimedOut, &memberTimedOutRequest{Member: member.ID, Address: member.Address}, response)
			confirmations <- err == nil && response.TimedOut
		}()
	}
	agreed := 0
	for range asked {
		if <-confirmations {
			agreed++
		}
	}
	if agreed < m.Quorum() {
		return result.Errorf(result.Conflict, "%s has timed out for %d of %d voters", member.Address, agreed, asked)
	}
	return nil
}

// prefetchShards copies, for each shard, the buckets in which the replica of a voter differs from the one on this disk. It
// copies them from the first voter that responds.
func (c *Core) prefetchShards(ctx context.Context, m membership.Membership) {
	ctx, cancel := context.WithTimeout(ctx, prefetchTimeout)
	defer cancel()
	state := c.currentConfig()
	if state == nil {
		return
	}
	for _, service := range state.config.Services {
		for _, member := range m.Voters() {
			response := &prefetchResponse{}
			request := &prefetchRequest{Shard: service.Name, Digests: c.store.digests(service.Name)}
			err := c.client.Call(ctx, member.Address, methodPrefetch, request, response)
			if err == nil {
				err = c.store.storePrefetched(ctx, service.Name, response.Ranges)
			}
			if err == nil {
				break
			}
		}
	}
}

// changeMembership applies a change to the membership of the given epoch and proposes the result to the voters. Its error
// has the code result.EpochOutdated if another epoch is known by then, and result.Conflict if a membership without this disk
// was chosen.
func (c *Core) changeMembership(ctx context.Context, epoch int64, change membership.Change) error {
	value, err := c.propose(ctx, membershipRegister, func(current []byte) ([]byte, error) {
		installed := c.store.currentMembership()
		if installed.Epoch != epoch {
			return nil, result.Errorf(result.EpochOutdated, "epoch %d was meant, %d is known", epoch, installed.Epoch)
		}
		var newest membership.Membership
		if current != nil {
			if err := avrocodec.Decode(current, &newest); err != nil {
				return nil, err
			}
		}
		next, err := membership.NextProposal(installed, newest, change)
		if err != nil {
			return nil, err
		}
		return avrocodec.Encode(&next)
	})
	if err != nil {
		return err
	}
	var chosen membership.Membership
	if err := avrocodec.Decode(value, &chosen); err != nil {
		return err
	}
	id, _, _ := c.store.self()
	if _, seated := chosen.Member(id); !seated {
		return result.Errorf(result.Conflict, "epoch %d was chosen without this disk", chosen.Epoch)
	}
	return nil
}

// becomeVoter restores the state of a quorum of the voters on this learner and then promotes it. The voters respond under
// the epoch known to the learner, in which it already holds its seat. Every chosen value is therefore either part of the
// restored state or chosen with the learner's participation.
func (c *Core) becomeVoter(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	m := c.store.currentMembership()
	states, err := c.quorumStates(ctx, m)
	if err != nil {
		return err
	}
	if err := c.store.restore(ctx, m.Epoch, states); err != nil {
		return err
	}
	c.observeBallot(c.store.highestBallot())
	if err := c.changeMembership(ctx, m.Epoch, membership.Promote(id)); err != nil {
		return err
	}
	c.logger.Info("promoted to voter", "epoch", c.store.currentMembership().Epoch)
	return nil
}

// quorumStates requests the state of the voters and returns it once a quorum has responded.
func (c *Core) quorumStates(ctx context.Context, m membership.Membership) ([]*stateResponse, error) {
	replies, count := broadcast(c, m, m.Voters(), methodState, c.store.serveState, func(to target) *stateRequest {
		return &stateRequest{To: to}
	})
	received, lastErr := awaitQuorum(ctx, replies, count, m.Quorum(), func(*stateResponse) bool { return true })
	if len(received) < m.Quorum() {
		return nil, result.Errorf(result.Unavailable, "%d of %d voters sent their state, last failure: %w", len(received), count, lastErr)
	}
	var states []*stateResponse
	for _, r := range received {
		states = append(states, r.response)
	}
	return states, nil
}
