package core

import (
	"context"
	"errors"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/coord/register"
	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
)

const (
	roundTimeout = 700 * time.Millisecond
	retryBackoff = 40 * time.Millisecond
)

// registerUpdate works out a register's next value from the current one. An error leaves the value as it is.
type registerUpdate func(current []byte) ([]byte, error)

func (c *Core) handleRegisters(server *rpc.Server) {
	rpc.Handle(server, methodPrepare, c.store.prepare)
	rpc.Handle(server, methodAccept, c.store.accept)
	rpc.Handle(server, methodReadAccepted, c.store.readAccepted)
	rpc.Handle(server, methodLearn, func(_ context.Context, r *learnRequest) (*empty, error) {
		return &empty{}, c.handleLearn(r)
	})
}

// replicaCall has one replica answer a call, the own one without the network. An answer of another replica or another
// epoch than was asked is none.
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

// onRejected asks a replica that knows a newer membership for it.
func (c *Core) onRejected(address string, err error) {
	if result.CodeOf(err) != result.EpochOutdated || address == c.address {
		return
	}
	c.mu.Lock()
	p := c.peer(address)
	busy := p.pingInFlight
	p.pingInFlight = true
	c.mu.Unlock()
	if !busy {
		go c.ping(context.Background(), address, c.pingMessage())
	}
}

// reply is one replica's answer in a round.
type reply[Response any] struct {
	member   membership.Member
	response *Response
	err      error
}

// broadcast sends a request to members and returns the channel of their answers and how many come. Slow replicas
// are told even after a majority has answered.
func broadcast[Request, Response any](c *Core, m membership.Membership, members []membership.Member, method string,
	local func(context.Context, *Request) (*Response, error), request func(target) *Request,
) (<-chan reply[Response], int) {
	answers := make(chan reply[Response], len(members))
	for _, member := range members {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
			defer cancel()
			to := target{Membership: m, Member: member.ID}
			response, err := replicaCall(ctx, c, to, member.Address, method, local, request(to))
			answers <- reply[Response]{member, response, err}
		}()
	}
	return answers, len(members)
}

// propose changes a register and returns its new value. It tries again until the context ends.
func (c *Core) propose(ctx context.Context, name string, next registerUpdate) ([]byte, error) {
	begun := false // a value may have been accepted somewhere
	for {
		value, err, retry := c.proposeOnce(name, next, &begun)
		if !retry {
			return value, err
		}
		select {
		case <-ctx.Done():
			if begun {
				return nil, result.Errorf(result.OutcomeUnknown, "register %s: %w", name, err)
			}
			return nil, result.Errorf(result.Unavailable, "register %s: %w", name, err)
		case <-time.After(retryBackoff/2 + jitter(retryBackoff)):
		}
	}
}

// proposeOnce is one round of a proposer. It reports whether another may succeed.
func (c *Core) proposeOnce(name string, next registerUpdate, begun *bool) (value []byte, err error, retry bool) {
	m := c.store.currentMembership()
	if m.Epoch == 0 {
		return nil, errors.New("no membership of the core is known yet"), true
	}
	c.mu.Lock()
	c.ballotCounter++
	ballot := register.Ballot{Counter: c.ballotCounter, Proposer: c.proposer}
	known := c.learned[name]
	c.mu.Unlock()
	round := register.NewRound(ballot, len(m.Voters()), m.Quorum(), known.ballot, known.value)
	if err := c.prepareRound(name, m, round, known.ballot); err != nil {
		return nil, err, true
	}
	current, _ := round.Value()
	wanted, refused := next(current)
	if refused != nil {
		wanted = current
	}
	if wanted == nil || refused != nil && name == membershipRegister {
		return nil, refused, false // an attempt that was never chosen must not take effect by being looked at
	}
	round.Propose()
	if refused == nil {
		*begun = true
	}
	if err := c.acceptRound(name, m, round, wanted); err != nil {
		return nil, err, true
	}
	if err := c.learn(name, ballot, wanted); err != nil {
		return nil, err, false
	}
	go c.announce(name, ballot, wanted)
	return wanted, refused, false
}

func (c *Core) prepareRound(name string, m membership.Membership, round *register.Round, known register.Ballot) error {
	answers, count := broadcast(c, m, m.Voters(), methodPrepare, c.store.prepare, func(to target) *prepareRequest {
		return &prepareRequest{To: to, Name: name, Ballot: round.Ballot, Known: known}
	})
	err := collectReplies(m, round, answers, count, func(seat int, response *prepareResponse) bool {
		return round.OnPromise(seat, response.Promise)
	})
	if err != nil {
		c.observeBallot(round.Highest.Counter)
	}
	return err
}

func (c *Core) acceptRound(name string, m membership.Membership, round *register.Round, value []byte) error {
	answers, count := broadcast(c, m, m.Voters(), methodAccept, c.store.accept, func(to target) *acceptRequest {
		return &acceptRequest{To: to, Name: name, Ballot: round.Ballot, Value: value}
	})
	return collectReplies(m, round, answers, count, func(seat int, response *acceptResponse) bool {
		return round.OnAccepted(seat, response.Accepted)
	})
}

// collectReplies hands the answers of replicas to a round until a majority has agreed or can no longer be had.
func collectReplies[Response any](m membership.Membership, round *register.Round, answers <-chan reply[Response], count int,
	take func(seat int, response *Response) (enough bool),
) error {
	phase := round.Phase
	var failed error
	for range count {
		a := <-answers
		if a.err != nil {
			failed = a.err
			round.OnFailure(m.SeatOf(a.member.ID))
		} else if take(m.SeatOf(a.member.ID), a.response) {
			return nil
		}
		if round.Phase == register.Failed {
			break
		}
	}
	return result.Errorf(result.Unavailable, "no majority in phase %d, last failure: %w", phase, failed)
}

func (c *Core) observeBallot(counter int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ballotCounter = max(c.ballotCounter, counter)
}

// handleLearn takes the word that a value was chosen. Voters that have accepted it know it, and are not told it again.
func (c *Core) handleLearn(r *learnRequest) error {
	value := r.Value
	if len(value) == 0 {
		value = c.store.acceptedValue(r.Name, r.Ballot)
	}
	if len(value) > 0 {
		return c.learn(r.Name, r.Ballot, value)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAsync(r.Name) // the message that brought it here is late or lost
	return nil
}

// announce lets the other core schedulers know a value that was chosen, those without it the value too.
func (c *Core) announce(name string, ballot register.Ballot, value []byte) {
	m := c.store.currentMembership()
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	c.mu.Lock()
	targets := c.coreAddresses()
	c.mu.Unlock()
	done := make(chan struct{}, len(targets))
	for _, address := range targets {
		go func() {
			if address != c.address {
				request := &learnRequest{Name: name, Ballot: ballot, Value: value}
				if seat := m.SeatAt(address); seat >= 0 && m.Seats[seat].Voter && name != membershipRegister {
					request.Value = nil
				}
				_ = c.client.Call(ctx, address, methodLearn, request, &empty{})
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
	m := c.store.currentMembership()
	if m.Epoch == 0 {
		return errors.New("no membership of the core is known yet")
	}
	c.mu.Lock()
	known := c.learned[name]
	c.mu.Unlock()
	answers, count := broadcast(c, m, m.Voters(), methodReadAccepted, c.store.readAccepted, func(to target) *readAcceptedRequest {
		return &readAcceptedRequest{To: to, Name: name, Known: known.ballot}
	})
	votes := map[register.Ballot]int{}
	for range count {
		a := <-answers
		if a.err != nil {
			continue
		}
		ballot := a.response.Accepted
		votes[ballot]++
		if votes[ballot] < m.Quorum() {
			continue
		}
		if ballot != known.ballot {
			return c.learn(name, ballot, a.response.Value)
		}
		return nil
	}
	_, err := c.propose(ctx, name, func(current []byte) ([]byte, error) { return current, nil })
	return err
}

// learn takes a chosen value, if it is newer than the one that is known.
func (c *Core) learn(name string, ballot register.Ballot, value []byte) error {
	if name == membershipRegister {
		if err := c.learnMembership(value); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ballotCounter = max(c.ballotCounter, ballot.Counter)
	if !c.learned[name].ballot.Less(ballot) {
		return nil
	}
	c.learned[name] = chosenValue{ballot, value}
	if name == configRegister {
		c.applyConfig(value)
	}
	c.notifyWatchers()
	return nil
}

// learnMembership takes a chosen membership.
func (c *Core) learnMembership(value []byte) error {
	var m membership.Membership
	if err := avrocodec.Decode(value, &m); err != nil {
		return result.Errorf(result.BadRequest, "membership: %w", err)
	}
	return c.store.learnMembership(m)
}
