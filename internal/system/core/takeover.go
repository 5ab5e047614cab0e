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
	takeoverBackoff = 400 * time.Millisecond // minimum time between two attempts; jitter of up to the same length is added
	takeoverTimeout = 2500 * time.Millisecond
	ownerPrefix     = "owner/" // prefix of a shard's name in the name of its ownership register
)

// ownerRecord is the value of a shard's ownership register. It is an Avro record: the order and the types of the fields must
// not change.
type ownerRecord struct {
	Address string
	Token   int64
}

// takeOver tries once to make this scheduler the owner of a shard under the next fencing token.
func (c *Core) takeOver(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	startedAt := time.Now()
	o, err := c.acquireShard(ctx, name)
	c.mu.Lock()
	c.takeoverNotBefore[name] = time.Now().Add(takeoverBackoff + jitter(takeoverBackoff))
	if err == nil && c.draining {
		o.close()
	} else if err == nil {
		c.owners[name] = o
		if c.config != nil {
			o.configure(c.config) // a version that was applied since the owner was started
		}
		c.notifyWatchers()
	}
	c.mu.Unlock()
	if err != nil {
		c.logger.Info("shard takeover failed; retrying after a backoff", "shard", name, "error", err.Error())
		return
	}
	c.logger.Info("shard taken over", "shard", name, "token", o.token, "records", o.recordCount(),
		"duration_ms", time.Since(startedAt).Milliseconds())
	c.goroutines.Go(c.pingAll)
}

// acquireShard fences all earlier owners of a shard, takes over the records of the most current replica of a quorum and
// returns an owner with which a quorum of the replicas is in sync. Its configuration is at least as new as that of any earlier
// owner, since it is read once those are fenced: what an earlier owner refused under its configuration stays refused.
func (c *Core) acquireShard(ctx context.Context, name string) (*owner, error) {
	token, err := c.nextToken(ctx, name)
	if err != nil {
		return nil, err
	}
	m := c.store.currentMembership()
	fenced, err := c.fenceQuorum(ctx, m, name, token)
	if err != nil {
		return nil, err
	}
	set, err := c.fetchRecords(ctx, m, name, fenced)
	if err != nil {
		return nil, err
	}
	o := newOwner(c, name, token, m, set)
	for seat := range fenced {
		o.replicators[seat].fenced = true
	}
	o.startReplicators()
	if err := o.waitInSync(ctx); err != nil {
		o.close()
		return nil, err
	}
	if err := c.read(ctx, configRegister); err != nil {
		o.close()
		return nil, err
	}
	if err := o.start(c.currentConfig()); err != nil {
		o.close()
		return nil, err
	}
	return o, nil
}

// nextToken increments the fencing token in a shard's ownership register and returns it.
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

// fenceQuorum makes a quorum of voters with complete replicas reject all earlier owners of a shard. It returns their
// responses, keyed by seat.
func (c *Core) fenceQuorum(ctx context.Context, m membership.Membership, name string, token int64) (map[int]*sealResponse, error) {
	replies, count := broadcast(c, m, m.Voters(), methodFence, c.store.fence, func(to target) *sealRequest {
		return &sealRequest{To: to, Shard: name, Token: token}
	})
	complete, lastErr := awaitQuorum(ctx, replies, count, m.Quorum(), func(r *sealResponse) bool { return r.Voter })
	if len(complete) < m.Quorum() {
		return nil, result.Errorf(result.Unavailable, "shard %s: %d replicas sealed, last failure: %w", name, len(complete), lastErr)
	}
	fenced := map[int]*sealResponse{}
	for _, r := range complete {
		fenced[m.SeatByID(r.member.ID)] = r.response
	}
	return fenced, nil
}

// fetchRecords returns the records of the most current replica among the fenced ones. If the most recent of the earlier owners
// was of a release without positions, it merges the records of all replicas that were in sync with it.
func (c *Core) fetchRecords(ctx context.Context, m membership.Membership, name string, fenced map[int]*sealResponse) (*shard.RecordSet, error) {
	responses := map[int]shard.FenceResponse{}
	for seat, response := range fenced {
		responses[seat] = shard.FenceResponse{InSyncToken: response.InSyncToken, Digests: response.Digests}
	}
	seats := shard.NewestInSync(responses)
	positions, err := c.fetchPositions(ctx, m, name, seats, responses)
	if err != nil {
		return nil, err
	}
	if seat, ok := shard.MostCurrent(positions); ok {
		seats = []int{seat}
	}
	set := shard.NewRecordSet()
	for _, seat := range seats {
		buckets := shard.DifferingBuckets(set.Digests(), responses[seat].Digests)
		records, err := c.fetchBuckets(ctx, m, name, seat, buckets)
		if err != nil {
			return nil, err
		}
		added := 0
		for _, record := range records {
			if set.Apply(record) {
				added++
			}
		}
		c.logger.Info("replica merged for the takeover", "shard", name, "seat", seat, "address", m.Seats[seat].Address,
			"in_sync_token", responses[seat].InSyncToken, "position", positions[seat].Sequence, "newer_records", added)
	}
	return set, nil
}

// fetchPositions returns the positions of the replicas in the given seats, keyed by seat. Replicas without a position are left
// out.
func (c *Core) fetchPositions(ctx context.Context, m membership.Membership, name string, seats []int,
	responses map[int]shard.FenceResponse,
) (map[int]shard.Version, error) {
	positions := map[int]shard.Version{}
	for _, seat := range seats {
		inSyncToken := responses[seat].InSyncToken
		if inSyncToken == 0 {
			continue
		}
		records, err := c.fetchBuckets(ctx, m, name, seat, []int{int(shard.PositionBucket)})
		if err != nil {
			return nil, err
		}
		if position, ok := shard.PositionOf(records, inSyncToken); ok {
			positions[seat] = position
		}
	}
	return positions, nil
}

// fetchBuckets returns the records in the given buckets of the replica in a seat.
func (c *Core) fetchBuckets(ctx context.Context, m membership.Membership, name string, seat int, buckets []int) ([]shard.Record, error) {
	member := m.Seats[seat]
	to := target{Membership: m, Member: member.ID}
	request := &fetchRequest{To: to, Shard: name}
	for _, bucket := range buckets {
		request.Buckets = append(request.Buckets, int64(bucket))
	}
	response, err := replicaCall(ctx, c, to, member.Address, methodFetch, c.store.fetch, request)
	if err != nil {
		return nil, err
	}
	var records []shard.Record
	for _, content := range response.Ranges {
		records = append(records, content.Records...)
	}
	return records, nil
}
