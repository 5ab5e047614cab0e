package core

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	pingInterval        = 150 * time.Millisecond
	startupPingInterval = 50 * time.Millisecond // interval while no quorum is alive
	pingTimeout         = 450 * time.Millisecond
)

// pingLoop periodically pings all other core schedulers.
func (c *Core) pingLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.pingAll(ctx)
		if c.quorumAlive() {
			sleep(ctx, pingInterval)
		} else {
			sleep(ctx, startupPingInterval)
		}
	}
}

// pingAll pings all peers that have no ping in flight. While this scheduler is draining it waits for the responses, so that
// the peers learn of the drain before the process exits.
func (c *Core) pingAll(ctx context.Context) {
	targets := c.pingTargets()
	m := c.pingMessage()
	var pings sync.WaitGroup
	for _, address := range targets {
		pings.Add(1)
		started := c.goroutines.Go(func(context.Context) {
			defer pings.Done()
			c.ping(ctx, address, m)
		})
		if !started {
			pings.Done()
		}
	}
	if m.Draining {
		pings.Wait()
	}
}

// pingTargets returns the addresses to ping and marks their pings as in flight. They are the members, the current seeds and
// the peers seen within unseenPeerTTL, except those with a ping in flight. Other peers are removed.
func (c *Core) pingTargets() []string {
	always := c.seeds()
	for _, member := range c.store.currentMembership().Members() {
		always = append(always, member.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range always {
		c.peer(address)
	}
	var targets []string
	for address, p := range c.peers {
		if address == c.address || p.pingInFlight {
			continue
		}
		if time.Since(p.lastSeen) > unseenPeerTTL && !slices.Contains(always, address) {
			delete(c.peers, address)
			continue
		}
		p.pingInFlight = true
		targets = append(targets, address)
	}
	return targets
}

// ping sends one ping and processes the response. The caller has set the peer's pingInFlight, which ping resets.
func (c *Core) ping(ctx context.Context, address string, m *pingMessage) {
	call, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sentAt := time.Now()
	response := &pingMessage{}
	err := c.client.Call(call, address, methodPing, m, response)
	c.mu.Lock()
	c.peer(address).pingInFlight = false
	c.mu.Unlock()
	if err != nil || response.Address != address {
		return
	}
	if err := c.onPing(response, sentAt); err != nil {
		c.logger.Info("ping response from a core scheduler rejected; treating the ping as unanswered", "address", address, "error", err.Error())
	}
}
