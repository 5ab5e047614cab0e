package core

import (
	"context"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/result"
)

// poke wakes a link.
func (l *link) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (o *owner) pokeLinks() {
	for _, l := range o.links {
		l.poke()
	}
}

func (o *owner) startLinks() {
	for _, l := range o.links {
		go o.linkLoop(l)
	}
}

// waitInStep waits until a majority of the replicas that were sealed, with the same disks, hold the whole state.
func (o *owner) waitInStep(ctx context.Context) error {
	for {
		o.mu.Lock()
		stepped := o.stepped
		inStep := 0
		for _, l := range o.links {
			if l.counts && l.ready {
				inStep++
			}
		}
		enough := inStep >= o.primary.Quorum()
		deposed := o.deposed
		o.mu.Unlock()
		if enough {
			return nil
		}
		if deposed {
			return result.Errorf(result.Fenced, "shard %s: a newer owner is there", o.name)
		}
		select {
		case <-stepped:
		case <-ctx.Done():
			return result.Errorf(result.Unavailable, "shard %s: %d replicas came in step", o.name, inStep)
		}
	}
}

// linkLoop keeps one replica in step: repaired first, then told each change, and asked now and then whether the
// owner's token still holds.
func (o *owner) linkLoop(l *link) {
	for o.done.Err() == nil {
		m := o.followMembership(l)
		if l.member.ID == "" {
			o.pause(heartbeatEvery)
			continue
		}
		o.mu.Lock()
		inStep := o.primary.InStep(l.seat)
		o.mu.Unlock()
		var err error
		if inStep {
			err = o.writeChanges(m, l)
		} else {
			err = o.repair(m, l)
		}
		if err != nil {
			o.linkFailed(l, err)
			continue
		}
		select {
		case <-l.wake:
		case <-time.After(heartbeatEvery):
		case <-o.done.Done():
		}
	}
}

func (o *owner) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-o.done.Done():
	}
}

// followMembership notes that a seat has changed hands, and returns the membership.
func (o *owner) followMembership(l *link) membership.Membership {
	m := o.core.store.currentMembership()
	member := m.Seats[l.seat]
	if member == l.member {
		return m
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	same := member.ID == l.member.ID && member.Since == l.member.Since
	l.member = member
	o.primary.SetVoter(l.seat, member.Voter)
	if same {
		return m // a learner that votes by now; it is in step as it was
	}
	o.primary.Lost(l.seat)
	l.counts, l.ready, l.confirmed = false, false, time.Time{}
	return m
}

func (o *owner) linkFailed(l *link, err error) {
	code := result.CodeOf(err)
	o.mu.Lock()
	o.primary.Lost(l.seat)
	l.ready = false
	if code == result.Fenced && !o.deposed {
		o.deposed = true
		o.core.logger.Info("shard lost to a newer owner", "shard", o.name, "token", o.token)
		o.stop()
		close(o.stepped)
		o.stepped = make(chan struct{})
	}
	o.mu.Unlock()
	o.pause(repairPause)
}

// repair brings a replica to the owner's state by the digests of its key ranges.
func (o *owner) repair(m membership.Membership, l *link) error {
	ctx, cancel := context.WithTimeout(o.done, 2*replicaTimeout)
	defer cancel()
	c := o.core
	to := target{Membership: m, Member: l.member.ID}
	sentAt := time.Now()
	seal := &sealRequest{To: to, Shard: o.name, Token: o.token}
	sealed, err := replicaCall(ctx, c, to, l.member.Address, methodSeal, c.store.seal, seal)
	if err != nil {
		return err
	}
	o.mu.Lock()
	l.repairs++
	ranges, upTo := o.primary.BeginRepair(l.seat, sealed.Digests)
	o.mu.Unlock()
	request := &repairRequest{To: to, Shard: o.name, Token: o.token, Number: l.repairs, Ranges: ranges, Last: true}
	if _, err := replicaCall(ctx, c, to, l.member.Address, methodRepair, c.store.repair, request); err != nil {
		return err
	}
	o.acked(l, upTo, sentAt)
	return nil
}

// writeChanges tells a replica what has changed, or nothing as a heartbeat.
func (o *owner) writeChanges(m membership.Membership, l *link) error {
	ctx, cancel := context.WithTimeout(o.done, replicaTimeout)
	defer cancel()
	c := o.core
	to := target{Membership: m, Member: l.member.ID}
	o.mu.Lock()
	records, upTo := o.primary.Next(l.seat)
	o.mu.Unlock()
	sentAt := time.Now()
	request := &writeRequest{To: to, Shard: o.name, Token: o.token, Records: records}
	if _, err := replicaCall(ctx, c, to, l.member.Address, methodWrite, c.store.write, request); err != nil {
		return err
	}
	o.acked(l, upTo, sentAt)
	return nil
}

func (o *owner) acked(l *link, upTo int64, sentAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l.confirmed = sentAt
	l.ready = true
	o.primary.Acked(l.seat, upTo)
	close(o.stepped)
	o.stepped = make(chan struct{})
	if o.began {
		o.advance()
		if o.primary.HasPending(l.seat) {
			l.poke()
		}
	}
}
