package core

import (
	"context"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/result"
)

// wakeUp wakes a link.
func (l *replicator) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (o *owner) wakeReplicators() {
	for _, l := range o.replicators {
		l.wakeUp()
	}
}

func (o *owner) startReplicators() {
	for _, l := range o.replicators {
		go o.replicate(l)
	}
}

// waitInSync waits until a majority of the replicas that were sealed, with the same disks, hold the whole state.
func (o *owner) waitInSync(ctx context.Context) error {
	for {
		o.mu.Lock()
		stepped := o.inSyncChanged
		inStep := 0
		for _, l := range o.replicators {
			if l.sealed && l.inSync {
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

// replicate keeps one replica in step: repaired first, then told each change, and asked now and then whether the
// owner's token still holds.
func (o *owner) replicate(l *replicator) {
	for o.ctx.Err() == nil {
		m := o.followMembership(l)
		if l.member.ID == "" {
			o.sleep(heartbeatInterval)
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
			o.onReplicationFailure(l, err)
			continue
		}
		select {
		case <-l.wake:
		case <-time.After(heartbeatInterval):
		case <-o.ctx.Done():
		}
	}
}

func (o *owner) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-o.ctx.Done():
	}
}

// followMembership notes that a seat has changed hands, and returns the membership.
func (o *owner) followMembership(l *replicator) membership.Membership {
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
	l.sealed, l.inSync, l.lastConfirmed = false, false, time.Time{}
	return m
}

func (o *owner) onReplicationFailure(l *replicator, err error) {
	code := result.CodeOf(err)
	o.mu.Lock()
	o.primary.Lost(l.seat)
	l.inSync = false
	if code == result.Fenced && !o.deposed {
		o.deposed = true
		o.core.logger.Info("shard lost to a newer fencing token", "shard", o.name, "token", o.token)
		o.cancel()
		close(o.inSyncChanged)
		o.inSyncChanged = make(chan struct{})
	}
	o.mu.Unlock()
	o.sleep(repairBackoff)
}

// repair brings a replica to the owner's state by the digests of its key ranges.
func (o *owner) repair(m membership.Membership, l *replicator) error {
	ctx, cancel := context.WithTimeout(o.ctx, 2*replicaTimeout)
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
	l.repairCount++
	ranges, upTo := o.primary.BeginRepair(l.seat, sealed.Digests)
	o.mu.Unlock()
	request := &repairRequest{To: to, Shard: o.name, Token: o.token, Number: l.repairCount, Ranges: ranges, Last: true}
	if _, err := replicaCall(ctx, c, to, l.member.Address, methodRepair, c.store.repair, request); err != nil {
		return err
	}
	o.onReplicaAck(l, upTo, sentAt)
	return nil
}

// writeChanges tells a replica what has changed, or nothing as a heartbeat.
func (o *owner) writeChanges(m membership.Membership, l *replicator) error {
	ctx, cancel := context.WithTimeout(o.ctx, replicaTimeout)
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
	o.onReplicaAck(l, upTo, sentAt)
	return nil
}

func (o *owner) onReplicaAck(l *replicator, upTo int64, sentAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l.lastConfirmed = sentAt
	l.inSync = true
	o.primary.Acked(l.seat, upTo)
	close(o.inSyncChanged)
	o.inSyncChanged = make(chan struct{})
	if o.started {
		o.onCommitAdvanced()
		if o.primary.HasPending(l.seat) {
			l.wakeUp()
		}
	}
}
