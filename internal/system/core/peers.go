package core

import (
	"context"
	"iter"
	"maps"
	"time"

	"sedgevale/internal/system/rpc"
)

const (
	peerLivenessTTL = 800 * time.Millisecond // how long a peer counts as alive after the last ping that it answered
	unseenPeerTTL   = 30 * time.Second       // after which a peer that nobody mentions is forgotten
)

// peerState is what is known of another core scheduler. Core.mu guards it.
type peerState struct {
	known         bool        // it has answered, or another core scheduler counts it as alive
	lastHeartbeat time.Time   // when the last ping that it answered was sent
	lastSeen      time.Time   // when it last answered or pinged, or was named first
	status        pingMessage // its last answer
	pingInFlight  bool
}

// alive reports whether a peer has answered lately and does not drain.
func (p *peerState) alive() bool {
	return time.Since(p.lastHeartbeat) < peerLivenessTTL && !p.status.Draining
}

// peer returns the state of a peer. c.mu is held.
func (c *Core) peer(address string) *peerState {
	p := c.peers[address]
	if p == nil {
		p = &peerState{lastSeen: time.Now()}
		c.peers[address] = p
	}
	return p
}

func (c *Core) handlePeers(server *rpc.Server) {
	rpc.Handle(server, methodPing, func(_ context.Context, m *pingMessage) (*pingMessage, error) {
		if err := c.onPing(m, time.Time{}); err != nil {
			return nil, err
		}
		return c.pingMessage(), nil
	})
}

// pingMessage returns this scheduler's heartbeat.
func (c *Core) pingMessage() *pingMessage {
	m := &pingMessage{Address: c.address, Zone: c.settings.Zone, Accepted: c.store.accepted()}
	m.Membership = c.store.currentMembership()
	m.Member, _, _ = c.store.self()
	c.mu.Lock()
	defer c.mu.Unlock()
	m.Draining = c.draining
	m.Known = c.aliveAddresses()
	draining := c.drainingAddresses()
	for name, o := range c.owners {
		if o.active() {
			m.Claims = append(m.Claims, ownershipClaim{
				Shard: name, Token: o.token, Fresh: o.leaseValid(), InSync: o.inSyncWithout(draining),
			})
		}
	}
	return m
}

// onPing takes a peer's message. sentAt is when the ping was sent that it answers; zero for a ping itself.
func (c *Core) onPing(m *pingMessage, sentAt time.Time) error {
	if err := c.store.learnMembership(m.Membership); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p := c.peer(m.Address)
	p.known = true
	p.lastSeen = now
	for _, address := range m.Known {
		c.peer(address).known = true
		c.peer(address).lastSeen = now
	}
	if sentAt.IsZero() {
		p.status.Draining = m.Draining
		return nil
	}
	before := claimsOf(&p.status)
	p.status = *m
	p.lastHeartbeat = sentAt
	if !maps.Equal(before, claimsOf(m)) {
		c.notifyWatchers()
	}
	for name, ballot := range m.Accepted {
		c.ballotCounter = max(c.ballotCounter, ballot.Counter)
		if c.learned[name].ballot.Less(ballot) {
			c.readAsync(name)
		}
	}
	return nil
}

// claimsOf returns what watchers are sent of a scheduler's claims, by shard.
func claimsOf(m *pingMessage) map[string]ownershipClaim {
	claims := map[string]ownershipClaim{}
	for _, claim := range m.Claims {
		claim.InSync = 0
		claims[claim.Shard] = claim
	}
	return claims
}

// drainingAddresses returns the set of core schedulers that drain, this one included. c.mu is held.
func (c *Core) drainingAddresses() map[string]bool {
	draining := map[string]bool{c.address: c.draining}
	for address, p := range c.peers {
		draining[address] = draining[address] || p.status.Draining
	}
	return draining
}

// aliveAddresses returns the core schedulers that are alive, without this one. c.mu is held.
func (c *Core) aliveAddresses() []string {
	var alive []string
	for address, p := range c.peers {
		if address != c.address && p.alive() {
			alive = append(alive, address)
		}
	}
	return alive
}

// freshClaims yields the addresses of peers that are alive, with the claims to shards for which they had a quorum when they
// last answered. c.mu is held.
func (c *Core) freshClaims() iter.Seq2[string, ownershipClaim] {
	return func(yield func(string, ownershipClaim) bool) {
		for address, p := range c.peers {
			if !p.alive() {
				continue
			}
			for _, claim := range p.status.Claims {
				if claim.Fresh && !yield(address, claim) {
					return
				}
			}
		}
	}
}
