package core

import (
	"context"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/coord/shard"
	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/result"
)

const (
	takeoverBackoff = 400 * time.Millisecond // after an attempt: from this to twice as long, at random
	takeoverTimeout = 2500 * time.Millisecond
	ownerPrefix     = "owner/" // of the names of the ownership registers, before the shard
)

// ownerRecord is the value of a shard's ownership register.
type ownerRecord struct {
	Address string
	Token   int64
}

// takeOver makes this scheduler the owner of a shard, under the next fencing token.
func (c *Core) takeOver(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	startedAt := time.Now()
	o, err := c.acquire(ctx, name)
	c.mu.Lock()
	c.takeoverNotBefore[name] = time.Now().Add(takeoverBackoff + jitter(takeoverBackoff))
	if err == nil && c.draining {
		o.close()
	} else if err == nil {
		c.owners[name] = o
		c.notifyWatchers()
	}
	c.mu.Unlock()
	if err != nil {
		c.logger.Info("shard takeover failed", "shard", name, "error", err.Error())
		return
	}
	c.logger.Info("shard taken over", "shard", name, "token", o.token, "records", o.recordCount(),
		"took_ms", time.Since(startedAt).Milliseconds())
	c.goroutines.Go(c.pingAll)
}

// acquire fences all earlier owners of a shard, merges what a quorum of the replicas hold, and returns an owner with which
// a quorum is in sync.
func (c *Core) acquire(ctx context.Context, name string) (*owner, error) {
	token, err := c.nextToken(ctx, name)
	if err != nil {
		return nil, err
	}
	m := c.store.currentMembership()
	sealed, err := c.sealQuorum(ctx, m, name, token)
	if err != nil {
		return nil, err
	}
	set, err := c.mergeRecords(ctx, m, name, sealed)
	if err != nil {
		return nil, err
	}
	o := newOwner(c, name, token, m, set)
	for seat := range sealed {
		o.replicators[seat].sealed = true
	}
	o.startReplicators()
	if err := o.waitInSync(ctx); err != nil {
		o.close()
		return nil, err
	}
	if err := o.start(c.currentConfig()); err != nil {
		o.close()
		return nil, err
	}
	return o, nil
}

// nextToken raises the fencing token of a shard in its ownership register.
func (c *Core) nextToken(ctx context.Context, name string) (int64, error) {
	value, err := c.propose(ctx, ownerPrefix+name, func(current []byte) ([]byte, error) {
		var record ownerRecord
		if current != nil {
			if err := avrocodec.Decode(current, &record); err != nil {
				return nil, err
			}
		}
		return avrocodec.Encode(&ownerRecord{Address: c.address, Token: record.Token + 1})
	})
	if err != nil {
		return 0, err
	}
	var record ownerRecord
	err = avrocodec.Decode(value, &record)
	return record.Token, err
}

// sealQuorum has a quorum of the voters whose replicas are complete reject all earlier owners, and returns their answers by
// seat.
func (c *Core) sealQuorum(ctx context.Context, m membership.Membership, name string, token int64) (map[int]*sealResponse, error) {
	replies, count := broadcast(c, m, m.Voters(), methodSeal, c.store.seal, func(to target) *sealRequest {
		return &sealRequest{To: to, Shard: name, Token: token}
	})
	complete, lastErr := awaitQuorum(ctx, replies, count, m.Quorum(), func(r *sealResponse) bool { return r.Voter })
	if len(complete) < m.Quorum() {
		return nil, result.Errorf(result.Unavailable, "shard %s: %d replicas sealed, last failure: %w", name, len(complete), lastErr)
	}
	sealed := map[int]*sealResponse{}
	for _, r := range complete {
		sealed[m.SeatOf(r.member.ID)] = r.response
	}
	return sealed, nil
}

// mergeRecords merges the records of the sealed replicas that were in sync with the newest owner before.
func (c *Core) mergeRecords(ctx context.Context, m membership.Membership, name string, sealed map[int]*sealResponse) (*shard.RecordSet, error) {
	answers := map[int]shard.FenceResponse{}
	for seat, answer := range sealed {
		answers[seat] = shard.FenceResponse{InSyncToken: answer.InSync, Digests: answer.Digests}
	}
	set := shard.NewRecordSet()
	for _, seat := range shard.NewestInSync(answers) {
		member := m.Seats[seat]
		to := target{Membership: m, Member: member.ID}
		request := &fetchRequest{To: to, Shard: name}
		for _, bucket := range shard.DifferingBuckets(set.Digests(), answers[seat].Digests) {
			request.Buckets = append(request.Buckets, int64(bucket))
		}
		response, err := replicaCall(ctx, c, to, member.Address, methodFetch, c.store.fetch, request)
		if err != nil {
			return nil, err
		}
		for _, keyRange := range response.Ranges {
			for _, record := range keyRange.Records {
				set.Apply(record)
			}
		}
	}
	return set, nil
}
