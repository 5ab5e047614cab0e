package core

import (
	"context"
	"time"

	"sedgevale/coord/rendezvous"
	"sedgevale/internal/system/rpc"
)

const (
	ownershipCheckInterval = 60 * time.Millisecond
	startupTakeoverDelay   = 250 * time.Millisecond // longest wait after the start for all peers to respond with their claims
)

func (c *Core) handleShards(server *rpc.Server) {
	rpc.Handle(server, methodFence, c.store.fence)
	rpc.Handle(server, methodFetch, c.store.fetch)
	rpc.Handle(server, methodRepair, c.store.repair)
	rpc.Handle(server, methodWrite, c.store.write)
}

// ownershipLoop takes over the shards that have no live owner and for which this scheduler is the preferred one.
func (c *Core) ownershipLoop(ctx context.Context) {
	for sleep(ctx, ownershipCheckInterval) {
		state := c.currentConfig()
		if state == nil || !c.quorumAlive() || (time.Since(c.started) < startupTakeoverDelay && !c.allPeersAlive()) {
			continue
		}
		for _, name := range state.shards() {
			if c.shouldTakeOver(name) {
				c.mu.Lock()
				c.takeoverNotBefore[name] = time.Now().Add(takeoverTimeout)
				c.mu.Unlock()
				c.goroutines.Go(func(ctx context.Context) { c.takeOver(ctx, name) })
			}
		}
		c.removeDeposedOwners()
	}
}

// shouldTakeOver reports whether this scheduler should take over a shard now: no live core scheduler owns the shard, this
// one ranks highest for it by rendezvous hashing among those alive, and it is neither draining nor waiting for its next
// attempt.
func (c *Core) shouldTakeOver(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || time.Now().Before(c.takeoverNotBefore[name]) {
		return false
	}
	if o := c.owners[name]; o != nil && !o.isDeposed() {
		return false
	}
	for _, claim := range c.validClaims() {
		if claim.Shard == name {
			return false
		}
	}
	candidates := append(c.aliveAddresses(), c.address)
	return rendezvous.Highest(name, candidates) == c.address
}

func (c *Core) removeDeposedOwners() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, o := range c.owners {
		if o.isDeposed() {
			delete(c.owners, name)
			c.notifyWatchers()
		}
	}
}
