package core

import (
	"context"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/coord/register"
	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/result"
)

const (
	asyncReadTimeout = time.Second
	asyncReadBackoff = 20 * time.Millisecond // minimum time between two reads of the same register
)

// announceChosen sends a chosen value to the other core schedulers. Voters are sent only its ballot, since they receive the
// value in the accept phase. A chosen membership is sent to all in full.
func (c *Core) announceChosen(ctx context.Context, name string, ballot register.Ballot, value []byte) {
	m := c.store.currentMembership()
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	c.mu.Lock()
	targets := c.coreAddresses()
	c.mu.Unlock()
	done := make(chan struct{}, len(targets))
	for _, address := range targets {
		go func() {
			if address != c.address {
				request := &learnRequest{Name: name, Ballot: ballot, Value: value}
				if seat := m.SeatByAddress(address); seat >= 0 && m.Seats[seat].Voter && name != membershipRegister {
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

// handleLearn handles an announced value. If the announcement has only a ballot that this replica has not accepted, the
// accept message with the value is late or lost, and the register is read instead.
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
	c.readAsync(r.Name)
	return nil
}

// learn records a chosen value if it is newer than the known one.
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

// learnMembership decodes a chosen membership and installs it if it is newer than the current one.
func (c *Core) learnMembership(value []byte) error {
	var m membership.Membership
	if err := avrocodec.Decode(value, &m); err != nil {
		return result.Errorf(result.BadRequest, "membership: %w", err)
	}
	return c.store.learnMembership(m)
}

// read learns the chosen value of a register. If a quorum of voters report the same last accepted ballot, one round trip
// suffices. Otherwise the current value is proposed again, which completes or supersedes partially accepted values.
func (c *Core) read(ctx context.Context, name string) error {
	m := c.store.currentMembership()
	if m.Epoch == 0 {
		return errNoMembership
	}
	c.mu.Lock()
	known := c.learned[name]
	c.mu.Unlock()
	replies, count := broadcast(c, m, m.Voters(), methodReadAccepted, c.store.readAccepted, func(to target) *readAcceptedRequest {
		return &readAcceptedRequest{To: to, Name: name, Known: known.ballot}
	})
	votes := map[register.Ballot]int{}
	for range count {
		r, ctxErr := awaitReply(ctx, replies)
		if ctxErr != nil {
			return result.Errorf(result.Unavailable, "register %s: %w", name, ctxErr)
		}
		if r.err != nil {
			continue
		}
		ballot := r.response.Accepted
		votes[ballot]++
		if votes[ballot] < m.Quorum() {
			continue
		}
		if ballot != known.ballot {
			return c.learn(name, ballot, r.response.Value)
		}
		return nil
	}
	_, err := c.propose(ctx, name, func(current []byte) ([]byte, error) { return current, nil })
	return err
}

// readAsync reads a register in the background unless a background read of it is already in flight. c.mu is held.
func (c *Core) readAsync(name string) {
	if c.readsInFlight[name] {
		return
	}
	c.readsInFlight[name] = c.goroutines.Go(func(ctx context.Context) {
		reading, cancel := context.WithTimeout(ctx, asyncReadTimeout)
		defer cancel()
		if err := c.read(reading, name); err != nil {
			c.logger.V(1).Info("reading a register failed; retrying on the next announcement or ping", "register", name, "error", err.Error())
		}
		sleep(ctx, asyncReadBackoff)
		c.mu.Lock()
		c.readsInFlight[name] = false
		c.mu.Unlock()
	})
}
