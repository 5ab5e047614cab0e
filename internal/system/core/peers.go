package core

import (
	"context"
	"iter"
	"maps"
	"time"

	"sedgevale/internal/system/rpc"
)

const (
	peerLivenessTTL = 800 * time.Millisecond // period for which a peer counts as alive after the last answered ping was sent
	unseenPeerTTL   = 30 * time.Second       // period after which a peer that is neither seen nor reported is removed
)

// peerState is the local state of another core scheduler. Core.mu guards it.
type peerState struct {
	known         bool        // set once the peer sent a message or another core scheduler reported it alive
	lastHeartbeat time.Time   // send time of the last answered ping
	lastSeen      time.Time   // last time the peer sent a message or was reported alive; initially the time of creation
	status        pingMessage // last response to a ping
	pingInFlight  bool
}

// alive reports whether the peer has answered a ping within peerLivenessTTL and is not draining. Core.mu is held.
func (p *peerState) alive() bool {
	return time.Since(p.lastHeartbeat) < peerLivenessTTL && !p.status.Draining
}

// peer returns the state of a peer and creates it if there is none. c.mu is held.
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
	m.Alive = c.aliveAddresses()
	draining := c.drainingAddresses()
	for name, o := range c.owners {
		if o.active() {
			m.Claims = append(m.Claims, ownershipClaim{
				Shard: name, Token: o.token, LeaseValid: o.leaseValid(), InSync: o.inSyncWithout(draining),
			})
		}
	}
	return m
}

// onPing processes a ping or a response to one. sentAt is the time at which the answered ping was sent, or zero if the
// message is itself a ping.
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
	for _, address := range m.Alive {
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

// claimsOf returns the claims in a message, keyed by shard, without InSync, which has no effect on responses to watchers.
func claimsOf(m *pingMessage) map[string]ownershipClaim {
	claims := map[string]ownershipClaim{}
	for _, claim := range m.Claims {
		claim.InSync = 0
		claims[claim.Shard] = claim
	}
	return claims
}

// drainingAddresses returns the set of core schedulers that are draining, including this one if it is. c.mu is held.
func (c *Core) drainingAddresses() map[string]bool {
	draining := map[string]bool{c.address: c.draining}
	for address, p := range c.peers {
		draining[address] = draining[address] || p.status.Draining
	}
	return draining
}

// aliveAddresses returns the addresses of the other core schedulers that are alive. c.mu is held.
func (c *Core) aliveAddresses() []string {
	var alive []string
	for address, p := range c.peers {
		if address != c.address && p.alive() {
			alive = append(alive, address)
		}
	}
	return alive
}

// validClaims yields the address and the claim for each shard claimed by a live peer whose lease was valid when it last
// answered a ping. c.mu is held.
func (c *Core) validClaims() iter.Seq2[string, ownershipClaim] {
	return func(yield func(string, ownershipClaim) bool) {
		for address, p := range c.peers {
			if !p.alive() {
				continue
			}
			for _, claim := range p.status.Claims {
				if claim.LeaseValid && !yield(address, claim) {
					return
				}
			}
		}
	}
}
