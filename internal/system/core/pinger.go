package core

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	pingInterval        = 150 * time.Millisecond
	startupPingInterval = 50 * time.Millisecond // until a quorum is alive
	pingTimeout         = 450 * time.Millisecond
)

// pingLoop pings all other core schedulers.
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

// pingAll sends a round of pings, and while this scheduler drains waits for the answers, so that the announcement arrives
// before the process exits. A peer to which a ping is in flight is left out.
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

// pingTargets returns whom to ping now: the members, the seeds as they are by now, and all who were seen lately. It marks
// them as being pinged.
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

// ping sends one ping, for which the peer's pingInFlight was set.
func (c *Core) ping(ctx context.Context, address string, m *pingMessage) {
	call, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sentAt := time.Now()
	answer := &pingMessage{}
	err := c.client.Call(call, address, methodPing, m, answer)
	c.mu.Lock()
	c.peer(address).pingInFlight = false
	c.mu.Unlock()
	if err != nil || answer.Address != address {
		return
	}
	if err := c.onPing(answer, sentAt); err != nil {
		c.logger.Info("core scheduler message rejected", "address", address, "error", err.Error())
	}
}
