package core

import (
	"context"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/result"
)

const (
	replicaTimeout    = 900 * time.Millisecond
	heartbeatInterval = 250 * time.Millisecond
	repairBackoff     = 120 * time.Millisecond
)

// replicator keeps the replica of one seat in sync. Its fields are guarded by owner.mu; member, sealed and repairCount
// are written by its own goroutine alone, which reads them without the lock.
type replicator struct {
	seat          int               // index into the membership's seats; never changes
	member        membership.Member // who holds the seat
	sealed        bool              // the replica was sealed for this token in the takeover, and its disk is still the same
	inSync        bool              // it takes writes, and has acknowledged one or a repair
	lastConfirmed time.Time         // when the last call that it has acknowledged was sent
	repairCount   int64             // repairs begun so far
	wake          signal            // has it look for changes to send and for a newer membership
}

// wakeReplicators has all replicators look at the membership.
func (o *owner) wakeReplicators() {
	for _, r := range o.replicators {
		r.wake.notify()
	}
}

func (o *owner) startReplicators() {
	for _, r := range o.replicators {
		o.goroutines.Go(func(ctx context.Context) { o.replicate(ctx, r) })
	}
}

// waitInSync waits until a majority of the replicas that were sealed, with the same disks, hold the complete state.
func (o *owner) waitInSync(ctx context.Context) error {
	for {
		o.mu.Lock()
		changed := o.inSyncChanged
		inSync := 0
		for _, r := range o.replicators {
			if r.sealed && r.inSync {
				inSync++
			}
		}
		enough := inSync >= o.primary.Quorum()
		deposed := o.deposed
		o.mu.Unlock()
		if enough {
			return nil
		}
		if deposed {
			return result.Errorf(result.Fenced, "shard %s: a newer fencing token is known", o.name)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result.Errorf(result.Unavailable, "shard %s: %d replicas are in sync", o.name, inSync)
		}
	}
}

// replicate keeps one replica in sync: it is repaired first, then sent each change, and a heartbeat every
// heartbeatInterval, which also asks whether the owner's token still holds.
func (o *owner) replicate(ctx context.Context, r *replicator) {
	for ctx.Err() == nil {
		m := o.followMembership(r)
		if r.member.ID == "" {
			sleep(ctx, heartbeatInterval)
			continue
		}
		o.mu.Lock()
		inSync := o.primary.InSync(r.seat)
		o.mu.Unlock()
		var err error
		if inSync {
			err = o.writeChanges(ctx, m, r)
		} else {
			err = o.repair(ctx, m, r)
		}
		if err != nil {
			o.onReplicationFailure(r, err)
			sleep(ctx, repairBackoff)
			continue
		}
		heartbeat := time.NewTimer(heartbeatInterval)
		select {
		case <-r.wake:
		case <-heartbeat.C:
		case <-ctx.Done():
		}
		heartbeat.Stop()
	}
}

// followMembership updates who holds the seat, and returns the membership.
func (o *owner) followMembership(r *replicator) membership.Membership {
	m := o.core.store.currentMembership()
	member := m.Seats[r.seat]
	if member == r.member {
		return m
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	sameDisk := member.ID == r.member.ID && member.JoinEpoch == r.member.JoinEpoch
	r.member = member
	o.primary.SetVoter(r.seat, member.Voter)
	if sameDisk {
		return m // a learner that was promoted; it is in sync as before
	}
	o.primary.MarkOutOfSync(r.seat)
	r.sealed, r.inSync, r.lastConfirmed = false, false, time.Time{}
	return m
}

// onReplicationFailure has the replica repaired before it is sent more changes. A replica that knows a newer fencing token
// deposes the owner.
func (o *owner) onReplicationFailure(r *replicator, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.primary.MarkOutOfSync(r.seat)
	r.inSync = false
	if result.CodeOf(err) != result.Fenced || o.deposed {
		return
	}
	o.deposed = true
	o.core.logger.Info("shard lost to a newer fencing token", "shard", o.name, "token", o.token)
	o.goroutines.Cancel()
	o.notifyInSyncChanged()
}

// repair brings a replica to the owner's state, by the digests of its key ranges (anti-entropy).
func (o *owner) repair(ctx context.Context, m membership.Membership, r *replicator) error {
	ctx, cancel := context.WithTimeout(ctx, 2*replicaTimeout)
	defer cancel()
	c := o.core
	to := target{Membership: m, Member: r.member.ID}
	sentAt := time.Now()
	seal := &sealRequest{To: to, Shard: o.name, Token: o.token}
	sealed, err := replicaCall(ctx, c, to, r.member.Address, methodSeal, c.store.seal, seal)
	if err != nil {
		return err
	}
	o.mu.Lock()
	r.repairCount++
	ranges, upTo := o.primary.BeginRepair(r.seat, sealed.Digests)
	o.mu.Unlock()
	request := &repairRequest{To: to, Shard: o.name, Token: o.token, Number: r.repairCount, Ranges: ranges, Last: true}
	if _, err := replicaCall(ctx, c, to, r.member.Address, methodRepair, c.store.repair, request); err != nil {
		return err
	}
	o.onReplicaAck(r, upTo, sentAt)
	return nil
}

// writeChanges sends a replica the pending changes; where there are none, the call is a heartbeat.
func (o *owner) writeChanges(ctx context.Context, m membership.Membership, r *replicator) error {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	c := o.core
	to := target{Membership: m, Member: r.member.ID}
	o.mu.Lock()
	records, upTo := o.primary.TakePending(r.seat)
	o.mu.Unlock()
	sentAt := time.Now()
	request := &writeRequest{To: to, Shard: o.name, Token: o.token, Records: records}
	if _, err := replicaCall(ctx, c, to, r.member.Address, methodWrite, c.store.write, request); err != nil {
		return err
	}
	o.onReplicaAck(r, upTo, sentAt)
	return nil
}

// onReplicaAck records that a replica holds all changes up to a sequence number, by a call that was sent at the time given.
func (o *owner) onReplicaAck(r *replicator, upTo int64, sentAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.lastConfirmed = sentAt
	r.inSync = true
	o.primary.Acknowledge(r.seat, upTo)
	o.notifyInSyncChanged()
	if o.started {
		o.onCommitAdvanced()
		if o.primary.HasPending(r.seat) {
			r.wake.notify()
		}
	}
}

// notifyInSyncChanged wakes waitInSync. o.mu is held.
func (o *owner) notifyInSyncChanged() {
	close(o.inSyncChanged)
	o.inSyncChanged = make(chan struct{})
}
