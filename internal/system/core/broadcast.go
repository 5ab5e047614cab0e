package core

import (
	"context"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/result"
)

const roundTimeout = 700 * time.Millisecond // of one call in a round of calls to the replicas

// reply is one replica's answer in a round.
type reply[Response any] struct {
	member   membership.Member
	response *Response
	err      error
}

// broadcast sends a request to members, and returns the channel of their replies and how many come. The calls go on, up to
// roundTimeout, when the context ends, so that slow replicas are sent the request even after a majority has replied.
func broadcast[Request, Response any](ctx context.Context, c *Core, m membership.Membership, members []membership.Member,
	method string, local func(context.Context, *Request) (*Response, error), request func(target) *Request,
) (<-chan reply[Response], int) {
	replies := make(chan reply[Response], len(members))
	for _, member := range members {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), roundTimeout)
			defer cancel()
			to := target{Membership: m, Member: member.ID}
			response, err := replicaCall(ctx, c, to, member.Address, method, local, request(to))
			replies <- reply[Response]{member, response, err}
		}()
	}
	return replies, len(members)
}

// awaitQuorum takes replies until a quorum of them is accepted. It returns those, and the last error of a replica.
func awaitQuorum[Response any](replies <-chan reply[Response], count, quorum int, accept func(*Response) bool) (accepted []reply[Response], lastErr error) {
	for range count {
		r := <-replies
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
		c.onRejected(ctx, address, err)
		return nil, err
	}
	wanted := origin{Member: to.Member, Epoch: to.Membership.Epoch}
	if answer, ok := any(response).(replicaAnswer); ok && answer.from() != wanted {
		return nil, result.Errorf(result.WrongReplica, "%s at %s: %+v answered, %+v was asked", method, address, answer.from(), wanted)
	}
	return response, nil
}

// onRejected pings a replica that knows a newer membership, to learn it.
func (c *Core) onRejected(ctx context.Context, address string, err error) {
	if result.CodeOf(err) != result.EpochOutdated || address == c.address {
		return
	}
	c.mu.Lock()
	p := c.peer(address)
	inFlight := p.pingInFlight
	p.pingInFlight = true
	c.mu.Unlock()
	if !inFlight {
		go c.ping(context.WithoutCancel(ctx), address, c.pingMessage())
	}
}
