package core

import (
	"context"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/result"
)

const roundTimeout = 700 * time.Millisecond // of one call in a round of calls to the replicas

// errShuttingDown says that a call was not made, since this scheduler ends.
var errShuttingDown = result.Errorf(result.Unavailable, "this scheduler is shutting down")

// reply is one replica's answer in a round.
type reply[Response any] struct {
	member   membership.Member
	response *Response
	err      error
}

// broadcast sends a request to members, and returns the channel of their replies and how many come. The calls go on, up to
// roundTimeout, when the caller's context ends, so that slow replicas are sent the request even after a majority has replied;
// they end when this scheduler does.
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

// awaitReply returns the next reply, or an error once the context has ended.
func awaitReply[Response any](ctx context.Context, replies <-chan reply[Response]) (reply[Response], error) {
	select {
	case r := <-replies:
		return r, nil
	case <-ctx.Done():
		return reply[Response]{}, ctx.Err()
	}
}

// awaitQuorum takes replies until a quorum of them is accepted or the context ends. It returns those, and the last error.
func awaitQuorum[Response any](ctx context.Context, replies <-chan reply[Response], count, quorum int, accept func(*Response) bool,
) (accepted []reply[Response], lastErr error) {
	for range count {
		r, ended := awaitReply(ctx, replies)
		if ended != nil {
			return accepted, ended
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

// replicaCall has one replica answer a call, the own one without the network. An answer of another replica or another
// epoch than was asked has the code result.WrongReplica.
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
		c.onRejected(address, err)
		return nil, err
	}
	wanted := origin{Member: to.Member, Epoch: to.Membership.Epoch}
	if answer, ok := any(response).(replicaAnswer); ok && answer.from() != wanted {
		return nil, result.Errorf(result.WrongReplica, "%s at %s: %+v answered, %+v was asked", method, address, answer.from(), wanted)
	}
	return response, nil
}

// onRejected pings a replica that knows a newer membership, to learn it.
func (c *Core) onRejected(address string, err error) {
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
