package core

import (
	"context"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/result"
)

const roundTimeout = 700 * time.Millisecond // limit on each call in a round of calls to several core schedulers

// errShuttingDown is the result of a call that was not sent because this scheduler is shutting down.
var errShuttingDown = result.Errorf(result.Unavailable, "this scheduler is shutting down")

// reply is the result of one replica's call in a broadcast.
type reply[Response any] struct {
	member   membership.Member
	response *Response
	err      error
}

// broadcast sends a request to the members concurrently. It returns the channel on which their replies arrive and the
// number of replies. The calls are independent of the caller's context: they continue for up to roundTimeout, so that slow
// replicas receive the request even after a majority has replied. They are canceled when this scheduler shuts down.
func broadcast[Request, Response any](c *Core, m membership.Membership, members []membership.Member,
	method string, local func(context.Context, *Request) (*Response, error), request func(target) *Request,
) (<-chan reply[Response], int) {
	replies := make(chan reply[Response], len(members))
	for _, member := range members {
		started := c.goroutines.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, roundTimeout)
			defer cancel()
			to := target{Membership: m, Member: member.ID}
			response, err := replicaCall(ctx, c, to, member.Address, method, local, request(to))
			replies <- reply[Response]{member, response, err}
		})
		if !started {
			replies <- reply[Response]{member: member, err: errShuttingDown}
		}
	}
	return replies, len(members)
}

// awaitReply returns the next reply, or the context's error if the context ends first.
func awaitReply[Response any](ctx context.Context, replies <-chan reply[Response]) (reply[Response], error) {
	select {
	case r := <-replies:
		return r, nil
	case <-ctx.Done():
		return reply[Response]{}, ctx.Err()
	}
}

// awaitQuorum receives replies until it has accepted a quorum of them, all have arrived, or the context ends. It returns
// the accepted replies and the last error.
func awaitQuorum[Response any](ctx context.Context, replies <-chan reply[Response], count, quorum int, accept func(*Response) bool,
) (accepted []reply[Response], lastErr error) {
	for range count {
		r, ctxErr := awaitReply(ctx, replies)
		if ctxErr != nil {
			return accepted, ctxErr
		}
		if r.err != nil {
			lastErr = r.err
			continue
		}
		if !accept(r.response) {
			continue
		}
		accepted = append(accepted, r)
		if len(accepted) >= quorum {
			break
		}
	}
	return accepted, lastErr
}

// replicaCall calls one replica, bypassing the network if it is the local one. Its error has the code result.WrongReplica
// if the response comes from another replica or epoch than the request was addressed to.
func replicaCall[Request, Response any](ctx context.Context, c *Core, to target, address, method string,
	local func(context.Context, *Request) (*Response, error), request *Request,
) (*Response, error) {
	var response *Response
	var err error
	if address == c.address {
		response, err = local(ctx, request)
	} else {
		response = new(Response)
		err = c.client.Call(ctx, address, method, request, response)
	}
	if err != nil {
		c.onCallFailed(address, err)
		return nil, err
	}
	wanted := origin{Member: to.Member, Epoch: to.Membership.Epoch}
	if named, ok := any(response).(replicaResponse); ok && named.from() != wanted {
		return nil, result.Errorf(result.WrongReplica, "%s at %s: %+v answered, %+v was asked", method, address, named.from(), wanted)
	}
	return response, nil
}

// onCallFailed handles the error of a call to a replica. If the replica knows a newer membership, this scheduler pings it to
// receive that membership.
func (c *Core) onCallFailed(address string, err error) {
	if result.CodeOf(err) != result.EpochOutdated || address == c.address {
		return
	}
	c.mu.Lock()
	p := c.peer(address)
	inFlight := p.pingInFlight
	p.pingInFlight = true
	c.mu.Unlock()
	if !inFlight {
		c.goroutines.Go(func(ctx context.Context) { c.ping(ctx, address, c.pingMessage()) })
	}
}
