package core

import (
	"context"
	"errors"
	"time"

	"sedgevale/coord/register"
	"sedgevale/coord/view"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
)

const (
	roundTimeout = 700 * time.Millisecond
	retryPause   = 40 * time.Millisecond
)

// change works out a register's next value from the current one. An error leaves the value as it is.
type change func(current []byte) ([]byte, error)

func (c *Core) handleRegisters(server *rpc.Server) {
	rpc.Handle(server, methodPrepare, c.store.prepare)
	rpc.Handle(server, methodAccept, c.store.accept)
	rpc.Handle(server, methodPeek, c.store.peek)
	rpc.Handle(server, methodLearn, func(_ context.Context, r *learnRequest) (*empty, error) {
		c.learn(r.Name, r.Ballot, r.Value)
		return &empty{}, nil
	})
}

// replicaCall has one replica answer a call, the own one without the network.
func replicaCall[Request, Response any](ctx context.Context, c *Core, address, method string,
	local func(context.Context, *Request) (*Response, error), request *Request,
) (*Response, error) {
	if address == c.address {
		return local(ctx, request)
	}
	response := new(Response)
	if err := c.client.Call(ctx, address, method, request, response); err != nil {
		return nil, err
	}
	return response, nil
}

// answered is one replica's answer in a round.
type answered[Response any] struct {
	slot     int
	response *Response
	err      error
}

// broadcast sends a request to the occupants of all slots and returns the channel of their answers and how
// many come. Slow replicas are told even after a majority has answered.
func broadcast[Request, Response any](c *Core, v view.View, method string,
	local func(context.Context, *Request) (*Response, error), request *Request,
) (<-chan answered[Response], int) {
	answers := make(chan answered[Response], len(v.Slots))
	count := 0
	for i, slot := range v.Slots {
		if slot.Generation == 0 {
			continue
		}
		count++
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
			defer cancel()
			response, err := replicaCall(ctx, c, slot.Address, method, local, request)
			answers <- answered[Response]{i, response, err}
		}()
	}
	return answers, count
}

// propose changes a register and returns its new value. It tries again until the context ends.
func (c *Core) propose(ctx context.Context, name string, next change) ([]byte, error) {
	begun := false // a value may have been accepted somewhere
	for {
		value, err, retry := c.attempt(name, next, &begun)
		if !retry {
			return value, err
		}
		select {
		case <-ctx.Done():
			if begun {
				return nil, result.Errorf(result.OutcomeUnknown, "register %s: %w", name, err)
			}
			return nil, result.Errorf(result.Unavailable, "register %s: %w", name, err)
		case <-time.After(retryPause/2 + jitter(retryPause)):
		}
	}
}

// attempt is one round of a proposer. It reports whether another may succeed.
func (c *Core) attempt(name string, next change, begun *bool) (value []byte, err error, retry bool) {
	v := c.store.currentView()
	if len(v.Slots) == 0 {
		return nil, errors.New("no view of the core yet"), true
	}
	c.mu.Lock()
	c.counter++
	ballot := register.Ballot{Counter: c.counter, Proposer: c.address}
	known := c.learned[name]
	c.mu.Unlock()
	round := register.NewRound(ballot, v.Occupied(), view.Majority(len(v.Slots)), known.ballot, known.value)
	if err := c.prepareRound(name, v, round, known.ballot); err != nil {
		return nil, err, true
	}
	current, _ := round.Value()
	wanted, refused := next(current)
	if refused != nil {
		wanted = current
	}
	if wanted == nil {
		return nil, refused, false
	}
	round.Propose()
	if refused == nil {
		*begun = true
	}
	if err := c.acceptRound(name, v, round, wanted); err != nil {
		return nil, err, true
	}
	c.learn(name, ballot, wanted)
	go c.tell(name, ballot, wanted)
	return wanted, refused, false
}

func (c *Core) prepareRound(name string, v view.View, round *register.Round, known register.Ballot) error {
	request := &prepareRequest{View: v, Name: name, Ballot: round.Ballot, Known: known}
	answers, count := broadcast(c, v, methodPrepare, c.store.prepare, request)
	err := collect(round, answers, count, func(slot int, response *prepareResponse) bool {
		return round.OnPromise(slot, response.Promise)
	})
	if err != nil {
		c.metBallot(round.Highest)
	}
	return err
}

func (c *Core) acceptRound(name string, v view.View, round *register.Round, value []byte) error {
	request := &acceptRequest{View: v, Name: name, Ballot: round.Ballot, Value: value}
	answers, count := broadcast(c, v, methodAccept, c.store.accept, request)
	return collect(round, answers, count, func(slot int, response *acceptResponse) bool {
		return round.OnAccepted(slot, response.Accepted)
	})
}

// collect hands the answers of replicas to a round until a majority has agreed or can no longer be had.
func collect[Response any](round *register.Round, answers <-chan answered[Response], count int,
	take func(slot int, response *Response) (enough bool),
) error {
	phase := round.Phase
	var failed error
	for range count {
		a := <-answers
		if a.err != nil {
			failed = a.err
			round.OnFailure(a.slot)
		} else if take(a.slot, a.response) {
			return nil
		}
		if round.Phase == register.Failed {
			break
		}
	}
	return result.Errorf(result.Unavailable, "no majority in phase %d, last failure: %w", phase, failed)
}

func (c *Core) metBallot(ballot register.Ballot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counter = max(c.counter, ballot.Counter)
}

// tell lets the other core schedulers know a value that was chosen.
func (c *Core) tell(name string, ballot register.Ballot, value []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	c.mu.Lock()
	targets := c.coreAddresses()
	c.mu.Unlock()
	done := make(chan struct{}, len(targets))
	for _, address := range targets {
		go func() {
			if address != c.address {
				_ = c.client.Call(ctx, address, methodLearn, &learnRequest{name, ballot, value}, &empty{})
			}
			done <- struct{}{}
		}()
	}
	for range targets {
		<-done
	}
}

// read learns the chosen value of a register: by asking what was accepted where a majority agrees, else by
// a round that changes nothing.
func (c *Core) read(ctx context.Context, name string) error {
	v := c.store.currentView()
	if len(v.Slots) == 0 {
		return errors.New("no view of the core yet")
	}
	c.mu.Lock()
	known := c.learned[name]
	c.mu.Unlock()
	answers, count := broadcast(c, v, methodPeek, c.store.peek, &peekRequest{Name: name, Known: known.ballot})
	votes := map[register.Ballot]int{}
	for range count {
		a := <-answers
		if a.err != nil {
			continue
		}
		ballot := a.response.Accepted
		votes[ballot]++
		if votes[ballot] < view.Majority(len(v.Slots)) {
			continue
		}
		if ballot != known.ballot {
			c.learn(name, ballot, a.response.Value)
		}
		return nil
	}
	_, err := c.propose(ctx, name, func(current []byte) ([]byte, error) { return current, nil })
	return err
}

// learn takes a chosen value, if it is newer than the one that is known.
func (c *Core) learn(name string, ballot register.Ballot, value []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counter = max(c.counter, ballot.Counter)
	if !c.learned[name].ballot.Less(ballot) {
		return
	}
	c.learned[name] = chosen{ballot, value}
	if name == registerName {
		c.useConfig(value)
	}
	c.notify()
}
