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
	asyncReadBackoff = 20 * time.Millisecond // before a register may be read again
)

// announce sends the other core schedulers a value that was chosen. Voters that can have accepted it are sent its ballot only.
func (c *Core) announce(ctx context.Context, name string, ballot register.Ballot, value []byte) {
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

// handleLearn takes an announcement. Where it has no value and this replica has not accepted the ballot, the message that
// brought the value here is late or lost, and the register is read.
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

// read learns the chosen value of a register. Where a majority has accepted the same ballot last, one round trip does;
// else the current value is proposed again, which completes or replaces what single replicas have accepted.
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
		r, ended := awaitReply(ctx, replies)
		if ended != nil {
			return result.Errorf(result.Unavailable, "register %s: %w", name, ended)
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

// readAsync reads a register in the background, unless a read of it is in flight. c.mu is held.
func (c *Core) readAsync(name string) {
	if c.readsInFlight[name] {
		return
	}
	c.readsInFlight[name] = c.goroutines.Go(func(ctx context.Context) {
		reading, cancel := context.WithTimeout(ctx, asyncReadTimeout)
		defer cancel()
		if err := c.read(reading, name); err != nil {
			c.logger.V(1).Info("register read failed", "register", name, "error", err.Error())
		}
		sleep(ctx, asyncReadBackoff)
		c.mu.Lock()
		c.readsInFlight[name] = false
		c.mu.Unlock()
	})
}
