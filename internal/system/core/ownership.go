package core

import (
	"context"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/coord/rendezvous"
	"sedgevale/coord/shard"
	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
)

const (
	ownershipCheckInterval = 60 * time.Millisecond
	startupTakeoverDelay   = 250 * time.Millisecond // after the start, for others to say what they own, if not all have said it
	takeoverBackoff        = 400 * time.Millisecond
	takeoverTimeout        = 2500 * time.Millisecond
	ownerPrefix            = "owner/"
)

// ownerRecord is the value of a shard's ownership register.
type ownerRecord struct {
	Address string
	Token   int64
}

func (c *Core) handleShards(server *rpc.Server) {
	rpc.Handle(server, methodSeal, c.store.seal)
	rpc.Handle(server, methodFetch, c.store.fetch)
	rpc.Handle(server, methodRepair, c.store.repair)
	rpc.Handle(server, methodWrite, c.store.write)
}

// ownershipLoop takes over shards that nobody alive owns, where this scheduler is the one to do it.
func (c *Core) ownershipLoop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(ownershipCheckInterval)
		state := c.currentConfig()
		if state == nil || !c.quorumAlive() || (time.Since(c.started) < startupTakeoverDelay && !c.allPeersAlive()) {
			continue
		}
		for _, service := range state.config.Services {
			if c.shouldTakeOver(service.Name) {
				c.mu.Lock()
				c.takeoverNotBefore[service.Name] = time.Now().Add(takeoverTimeout)
				c.mu.Unlock()
				go c.takeOver(ctx, service.Name)
			}
		}
		c.dropDeposed()
	}
}

// shouldTakeOver reports whether nobody owns a shard and this scheduler is the first of those alive to take it.
func (c *Core) shouldTakeOver(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || time.Now().Before(c.takeoverNotBefore[name]) {
		return false
	}
	if o := c.owners[name]; o != nil && !o.isDeposed() {
		return false
	}
	for _, one := range c.freshClaims() {
		if one.Shard == name {
			return false
		}
	}
	candidates := append(c.aliveAddresses(), c.address)
	return rendezvous.First(name, candidates) == c.address
}

// dropDeposed forgets shards that another scheduler owns by now.
func (c *Core) dropDeposed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, o := range c.owners {
		if o.isDeposed() {
			delete(c.owners, name)
			c.notifyWatchers()
		}
	}
}

// takeOver makes this scheduler the owner of a shard, under the next fencing token.
func (c *Core) takeOver(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	began := time.Now()
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
	c.logger.Info("shard taken over", "shard", name, "token", o.token, "records", o.primary.Set.Len(),
		"took_ms", time.Since(began).Milliseconds())
	go c.pingAll(context.Background())
}

func (c *Core) acquire(ctx context.Context, name string) (*owner, error) {
	token, err := c.nextToken(ctx, name)
	if err != nil {
		return nil, err
	}
	m := c.store.currentMembership()
	sealed, err := c.sealQuorum(m, name, token)
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

// sealQuorum has a quorum of the voters that have forgotten nothing of the shard turn down all earlier owners.
func (c *Core) sealQuorum(m membership.Membership, name string, token int64) (map[int]*sealResponse, error) {
	answers, count := broadcast(c, m, m.Voters(), methodSeal, c.store.seal, func(to target) *sealRequest {
		return &sealRequest{To: to, Shard: name, Token: token}
	})
	sealed := map[int]*sealResponse{}
	var failed error
	for range count {
		a := <-answers
		if a.err != nil {
			failed = a.err
			continue
		}
		if !a.response.Voter {
			continue
		}
		sealed[m.SeatOf(a.member.ID)] = a.response
		if len(sealed) >= m.Quorum() {
			return sealed, nil
		}
	}
	return nil, result.Errorf(result.Unavailable, "shard %s: %d replicas sealed, last failure: %w", name, len(sealed), failed)
}

// mergeRecords merges the records of the sealed replicas that were in step with the newest owner before.
func (c *Core) mergeRecords(ctx context.Context, m membership.Membership, name string, sealed map[int]*sealResponse) (*shard.Set, error) {
	answers := map[int]shard.Sealed{}
	for seat, answer := range sealed {
		answers[seat] = shard.Sealed{InStep: answer.InSync, Digests: answer.Digests}
	}
	set := shard.NewSet()
	for _, seat := range shard.Newest(answers) {
		member := m.Seats[seat]
		to := target{Membership: m, Member: member.ID}
		request := &fetchRequest{To: to, Shard: name}
		for _, bucket := range shard.Differing(set.Digests(), answers[seat].Digests) {
			request.Buckets = append(request.Buckets, int64(bucket))
		}
		response, err := replicaCall(ctx, c, to, member.Address, methodFetch, c.store.fetch, request)
		if err != nil {
			return nil, err
		}
		for _, part := range response.Ranges {
			for _, record := range part.Records {
				set.Apply(record)
			}
		}
	}
	return set, nil
}
