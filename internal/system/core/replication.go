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

// replicator keeps the replica of one seat in sync. owner.mu guards its fields. Once its goroutine runs, only that goroutine
// writes member, fenced and repairCount, and it reads them without the lock.
type replicator struct {
	seat          int               // index into the membership's seats; never changes
	member        membership.Member // member in the seat
	fenced        bool              // set if the replica was fenced in the takeover and its disk has not changed since
	inSync        bool              // set while the replica accepts writes; requires an acknowledged write or repair
	lastConfirmed time.Time         // send time of the last acknowledged call
	repairCount   int64             // number of repairs started
	wake          signal            // wakes replicate to check for changes and for a newer membership
}

// wakeReplicators makes all replicators check for a newer membership.
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

// waitInSync waits until a quorum is in sync, counting only replicas that were fenced in the takeover and whose disk has not
// changed since.
func (o *owner) waitInSync(ctx context.Context) error {
	for {
		o.mu.Lock()
		changed := o.inSyncChanged
		inSync := 0
		for _, r := range o.replicators {
			if r.fenced && r.inSync {
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

// replicate keeps one replica in sync until the context ends. It repairs the replica and then sends it each change. After
// heartbeatInterval without a change it sends a heartbeat, which also verifies that the owner's fencing token is still the
// highest.
func (o *owner) replicate(ctx context.Context, r *replicator) {
	for ctx.Err() == nil {
		m := o.updateMember(r)
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

// updateMember returns the current membership. If it has another member in the replicator's seat, updateMember updates the
// replicator; a replica on another disk must be repaired before it counts as in sync.
func (o *owner) updateMember(r *replicator) membership.Membership {
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
		return m // the learner was promoted; its replica remains in sync
	}
	o.primary.MarkOutOfSync(r.seat)
	r.fenced, r.inSync, r.lastConfirmed = false, false, time.Time{}
	return m
}

// onReplicationFailure marks the replica for a repair before it is sent further changes. If the replica knows a newer
// fencing token, the owner is deposed.
func (o *owner) onReplicationFailure(r *replicator, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.inSync && !o.deposed {
		o.core.logger.Info("replica out of sync; repairing it", "shard", o.name, "token", o.token, "seat", r.seat,
			"address", r.member.Address, "error", err.Error())
	}
	o.primary.MarkOutOfSync(r.seat)
	r.inSync = false
	if result.CodeOf(err) != result.Fenced || o.deposed {
		return
	}
	o.deposed = true
	o.core.logger.Info("shard lost to a newer fencing token; closing its owner", "shard", o.name, "token", o.token)
	o.goroutines.Cancel()
	o.notifyInSyncChanged()
}

// repair brings a replica to the owner's state by replacing the buckets whose digests differ (anti-entropy repair).
func (o *owner) repair(ctx context.Context, m membership.Membership, r *replicator) error {
	ctx, cancel := context.WithTimeout(ctx, 2*replicaTimeout)
	defer cancel()
	c := o.core
	to := target{Membership: m, Member: r.member.ID}
	sentAt := time.Now()
	fence := &sealRequest{To: to, Shard: o.name, Token: o.token}
	fenced, err := replicaCall(ctx, c, to, r.member.Address, methodFence, c.store.fence, fence)
	if err != nil {
		return err
	}
	o.mu.Lock()
	r.repairCount++
	ranges, upTo := o.primary.BeginRepair(r.seat, fenced.Digests)
	o.mu.Unlock()
	request := &repairRequest{To: to, Shard: o.name, Token: o.token, RepairNumber: r.repairCount, Ranges: ranges, Last: true}
	if _, err := replicaCall(ctx, c, to, r.member.Address, methodRepair, c.store.repair, request); err != nil {
		return err
	}
	o.onReplicaAck(r, upTo, sentAt)
	return nil
}

// writeChanges sends a replica the pending changes. A call without changes is a heartbeat.
func (o *owner) writeChanges(ctx context.Context, m membership.Membership, r *replicator) error {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	c := o.core
	to := target{Membership: m, Member: r.member.ID}
	o.mu.Lock()
	records, upTo := o.primary.NextWrite(r.seat)
	o.mu.Unlock()
	sentAt := time.Now()
	request := &writeRequest{To: to, Shard: o.name, Token: o.token, Records: records}
	if _, err := replicaCall(ctx, c, to, r.member.Address, methodWrite, c.store.write, request); err != nil {
		return err
	}
	o.onReplicaAck(r, upTo, sentAt)
	return nil
}

// onReplicaAck records that a replica has acknowledged all changes up to a sequence number, in a call sent at sentAt.
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
