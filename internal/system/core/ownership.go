package core

import (
	"context"
	"time"

	"sedgevale/coord/rendezvous"
	"sedgevale/internal/system/rpc"
)

const (
	ownershipCheckInterval = 60 * time.Millisecond
	startupTakeoverDelay   = 250 * time.Millisecond // after the start, for owners to claim their shards, if not all peers have answered
)

func (c *Core) handleShards(server *rpc.Server) {
	rpc.Handle(server, methodSeal, c.store.seal)
	rpc.Handle(server, methodFetch, c.store.fetch)
	rpc.Handle(server, methodRepair, c.store.repair)
	rpc.Handle(server, methodWrite, c.store.write)
}

// ownershipLoop takes over the shards that no living core scheduler owns and that this one is to own.
func (c *Core) ownershipLoop(ctx context.Context) {
	for sleep(ctx, ownershipCheckInterval) {
		state := c.currentConfig()
		if state == nil || !c.quorumAlive() || (time.Since(c.started) < startupTakeoverDelay && !c.allPeersAlive()) {
			continue
		}
		for _, service := range state.config.Services {
			if c.shouldTakeOver(service.Name) {
				c.mu.Lock()
				c.takeoverNotBefore[service.Name] = time.Now().Add(takeoverTimeout)
				c.mu.Unlock()
				c.goroutines.Go(func(ctx context.Context) { c.takeOver(ctx, service.Name) })
			}
		}
		c.dropDeposed()
	}
}

// shouldTakeOver reports whether nobody owns a shard and this scheduler is the first of those alive in its rendezvous order.
func (c *Core) shouldTakeOver(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || time.Now().Before(c.takeoverNotBefore[name]) {
		return false
	}
	if o := c.owners[name]; o != nil && !o.isDeposed() {
		return false
	}
	for _, claim := range c.freshClaims() {
		if claim.Shard == name {
			return false
		}
	}
	candidates := append(c.aliveAddresses(), c.address)
	return rendezvous.Highest(name, candidates) == c.address
}

// dropDeposed removes the owners that were deposed.
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
