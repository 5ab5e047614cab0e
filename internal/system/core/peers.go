package core

import (
	"context"
	"iter"
	"maps"
	"slices"
	"sync"
	"time"

	"sedgevale/internal/system/rpc"
)

const (
	pingInterval        = 150 * time.Millisecond
	startupPingInterval = 50 * time.Millisecond // until a quorum was heard
	pingTimeout         = 450 * time.Millisecond
	peerLivenessTTL     = 800 * time.Millisecond // after the last answer
	unseenPeerTTL       = 30 * time.Second       // a peer that was not heard for so long
	configRegister      = "config"
)

// peerState is what is known of another core scheduler.
type peerState struct {
	known         bool      // it has answered, or another core scheduler hears it
	lastHeartbeat time.Time // when the last ping that it answered was sent
	lastSeen      time.Time // when it was last heard or first named
	status        pingMessage
	pingInFlight  bool
}

// peer returns the state of a peer. The lock is held, or nothing runs yet.
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

// pingMessage returns what this scheduler tells others.
func (c *Core) pingMessage() *pingMessage {
	m := &pingMessage{Address: c.address, Zone: c.settings.Zone, Accepted: c.store.accepted()}
	m.Membership = c.store.currentMembership()
	m.Member, _, _ = c.store.self()
	c.mu.Lock()
	defer c.mu.Unlock()
	m.Draining = c.draining
	m.Known = c.aliveAddresses()
	leaving := c.drainingAddresses()
	for name, o := range c.owners {
		if o.active() {
			m.Claims = append(m.Claims, ownershipClaim{Shard: name, Token: o.token, Fresh: o.leaseValid(), InSync: o.inSyncWithout(leaving)})
		}
	}
	return m
}

// drainingAddresses returns the core schedulers that are about to end. The lock is held.
func (c *Core) drainingAddresses() map[string]bool {
	leaving := map[string]bool{c.address: c.draining}
	for address, p := range c.peers {
		leaving[address] = leaving[address] || p.status.Draining
	}
	return leaving
}

// aliveAddresses returns the core schedulers that were heard lately, without this one. The lock is held.
func (c *Core) aliveAddresses() []string {
	var alive []string
	for address, p := range c.peers {
		if address != c.address && p.alive() {
			alive = append(alive, address)
		}
	}
	return alive
}

// freshClaims yields what living core schedulers say that they own by a quorum's word of a moment ago, with their
// addresses. The lock is held.
func (c *Core) freshClaims() iter.Seq2[string, ownershipClaim] {
	return func(yield func(string, ownershipClaim) bool) {
		for address, p := range c.peers {
			if !p.alive() {
				continue
			}
			for _, one := range p.status.Claims {
				if one.Fresh && !yield(address, one) {
					return
				}
			}
		}
	}
}

func (p *peerState) alive() bool {
	return time.Since(p.lastHeartbeat) < peerLivenessTTL && !p.status.Draining
}

// onPing takes a message. sentAt is when the ping was sent that it answers; zero for a ping itself.
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

// claimsOf returns what watchers are told of a scheduler's claims.
func claimsOf(m *pingMessage) map[string]ownershipClaim {
	claims := map[string]ownershipClaim{}
	for _, one := range m.Claims {
		one.InSync = 0
		claims[one.Shard] = one
	}
	return claims
}

// pingLoop tells all other core schedulers how this one stands, again and again.
func (c *Core) pingLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.pingAll(ctx)
		if c.quorumAlive() {
			time.Sleep(pingInterval)
		} else {
			time.Sleep(startupPingInterval)
		}
	}
}

// pingAll sends a round of pings and does not wait for slow answers. Whoever is still being pinged is left out.
func (c *Core) pingAll(ctx context.Context) {
	targets := c.pingTargets()
	m := c.pingMessage()
	var done sync.WaitGroup
	for _, address := range targets {
		done.Add(1)
		go func() {
			defer done.Done()
			c.ping(ctx, address, m)
		}()
	}
	if m.Draining {
		done.Wait()
	}
}

// pingTargets returns whom to ping now: the members, the seeds as they are by now, and all who were heard or named lately.
func (c *Core) pingTargets() []string {
	keep := c.currentSeeds()
	for _, member := range c.store.currentMembership().Filled() {
		keep = append(keep, member.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range keep {
		c.peer(address)
	}
	var targets []string
	for address, p := range c.peers {
		if address == c.address || p.pingInFlight {
			continue
		}
		if time.Since(p.lastSeen) > unseenPeerTTL && !slices.Contains(keep, address) {
			delete(c.peers, address)
			continue
		}
		p.pingInFlight = true
		targets = append(targets, address)
	}
	return targets
}

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

// quorumAlive reports whether a quorum of the voters, this one included, answered lately.
func (c *Core) quorumAlive() bool {
	m := c.store.currentMembership()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, member := range m.Voters() {
		if member.Address == c.address || c.peer(member.Address).alive() {
			n++
		}
	}
	return len(m.Seats) > 0 && n >= m.Quorum()
}

// allPeersAlive reports whether all holders of seats, and all whom others hear, answered lately, so that nobody who owns a shard
// has yet to say so.
func (c *Core) allPeersAlive() bool {
	m := c.store.currentMembership()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, member := range m.Filled() {
		if member.Address != c.address && !c.peer(member.Address).alive() {
			return false
		}
	}
	for address, p := range c.peers {
		if address != c.address && p.known && !p.alive() {
			return false
		}
	}
	return true
}

// readAsync has a register's chosen value read. The lock is held.
func (c *Core) readAsync(name string) {
	if c.readsInFlight[name] {
		return
	}
	c.readsInFlight[name] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := c.read(ctx, name); err != nil {
			c.logger.V(1).Info("register read failed", "register", name, "error", err.Error())
		}
		time.Sleep(20 * time.Millisecond)
		c.mu.Lock()
		c.readsInFlight[name] = false
		c.mu.Unlock()
	}()
}

// confirmedAt returns the time at which the learned value of a register was certainly the newest: the sending of the pings
// that a quorum of one epoch has answered without knowing a newer one. None of them had left the epoch then, so nothing
// newer can have been chosen under a later one either.
func (c *Core) confirmedAt(name string) time.Time {
	m := c.store.currentMembership()
	own := c.store.accepted()[name]
	id, _, _ := c.store.self()
	c.mu.Lock()
	defer c.mu.Unlock()
	mine := c.learned[name].ballot
	var times []time.Time
	for _, member := range m.Voters() {
		if member.ID == id {
			if !mine.Less(own) {
				times = append(times, time.Now())
			}
			continue
		}
		p := c.peer(member.Address)
		if p.status.Member == member.ID && p.status.Membership.Epoch == m.Epoch && !mine.Less(p.status.Accepted[name]) {
			times = append(times, p.lastHeartbeat)
		}
	}
	return quorumTime(times, m.Quorum())
}

// quorumTime returns the latest time that a quorum has reached, the zero time where too few have any.
func quorumTime(times []time.Time, quorum int) time.Time {
	if quorum == 0 || len(times) < quorum {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[quorum-1]
}
