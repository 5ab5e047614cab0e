package core

import (
	"context"
	"time"

	"sedgevale/coord/view"
	"sedgevale/internal/system/result"
)

// poke wakes a link.
func (l *link) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
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
		enough := inStep >= view.Majority(len(o.links))
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
		o.followView(l)
		if l.generation == 0 {
			o.pause(heartbeatEvery)
			continue
		}
		o.mu.Lock()
		inStep := o.primary.InStep(l.slot)
		o.mu.Unlock()
		var err error
		if inStep {
			err = o.writeChanges(l)
		} else {
			err = o.repair(l)
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

// followView notes that a slot has a new occupant.
func (o *owner) followView(l *link) {
	slot := o.core.store.currentView().Slots[l.slot]
	if slot.Generation == l.generation && slot.Address == l.address {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.primary.Lost(l.slot)
	l.address, l.generation = slot.Address, slot.Generation
	l.counts, l.ready, l.confirmed = false, false, time.Time{}
}

func (o *owner) linkFailed(l *link, err error) {
	code := result.CodeOf(err)
	o.mu.Lock()
	o.primary.Lost(l.slot)
	l.ready = false
	if code == result.WrongReplica {
		l.counts = false
	}
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
func (o *owner) repair(l *link) error {
	ctx, cancel := context.WithTimeout(o.done, 2*replicaTimeout)
	defer cancel()
	v := o.core.store.currentView()
	c := o.core
	sentAt := time.Now()
	sealed, err := replicaCall(ctx, c, l.address, methodSeal, c.store.seal, &sealRequest{View: v, Shard: o.name, Token: o.token})
	if err != nil {
		return err
	}
	o.mu.Lock()
	if l.counts && sealed.Incarnation != l.incarnation {
		l.counts = false
	}
	l.incarnation = sealed.Incarnation
	l.repairs++
	ranges, upTo := o.primary.BeginRepair(l.slot, sealed.Digests)
	o.mu.Unlock()
	request := &repairRequest{
		View: v, Shard: o.name, Token: o.token, Incarnation: l.incarnation, Number: l.repairs, Ranges: ranges, Last: true,
	}
	if _, err := replicaCall(ctx, c, l.address, methodRepair, c.store.repair, request); err != nil {
		return err
	}
	o.acked(l, upTo, sentAt)
	return nil
}

// writeChanges tells a replica what has changed, or nothing as a heartbeat.
func (o *owner) writeChanges(l *link) error {
	ctx, cancel := context.WithTimeout(o.done, replicaTimeout)
	defer cancel()
	c := o.core
	o.mu.Lock()
	records, upTo := o.primary.Next(l.slot)
	o.mu.Unlock()
	sentAt := time.Now()
	request := &writeRequest{
		View: c.store.currentView(), Shard: o.name, Token: o.token, Incarnation: l.incarnation, Records: records,
	}
	if _, err := replicaCall(ctx, c, l.address, methodWrite, c.store.write, request); err != nil {
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
	o.primary.Acked(l.slot, upTo)
	close(o.stepped)
	o.stepped = make(chan struct{})
	if o.began {
		o.advance()
		if o.primary.HasPending(l.slot) {
			l.poke()
		}
	}
}
