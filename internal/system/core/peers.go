package core

import (
	"context"
	"maps"
	"sync"
	"time"

	"sedgevale/coord/view"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
)

const (
	pingEvery    = 150 * time.Millisecond
	firstPings   = 50 * time.Millisecond // until a quorum was heard
	pingTimeout  = 450 * time.Millisecond
	aliveFor     = 800 * time.Millisecond  // after the last answer
	forgetAfter  = 30 * time.Second        // a peer that was not heard for so long
	joinAfter    = 2200 * time.Millisecond // a slot whose occupant was silent for so long may be taken
	joinEvery    = 300 * time.Millisecond
	registerName = "config"
)

// peerState is what is known of another core scheduler.
type peerState struct {
	known   bool      // it has answered, or another core scheduler hears it
	heard   time.Time // when the last ping that it answered was sent
	noticed time.Time // when it was last heard or first named
	last    pingMessage
	busy    bool
}

// peer returns the state of a peer. The lock is held, or nothing runs yet.
func (c *Core) peer(address string) *peerState {
	p := c.peers[address]
	if p == nil {
		p = &peerState{noticed: time.Now()}
		c.peers[address] = p
	}
	return p
}

func (c *Core) handlePeers(server *rpc.Server) {
	rpc.Handle(server, methodPing, func(_ context.Context, m *pingMessage) (*pingMessage, error) {
		c.onPing(m, time.Time{})
		return c.pingMessage(), nil
	})
	rpc.Handle(server, methodJoin, func(ctx context.Context, r *joinRequest) (*joinResponse, error) {
		return c.store.join(ctx, r, c.slotIdle)
	})
}

// pingMessage returns what this scheduler tells others.
func (c *Core) pingMessage() *pingMessage {
	m := &pingMessage{Address: c.address, Zone: c.settings.Zone, Accepted: c.store.accepted()}
	c.store.mu.Lock()
	m.View = c.store.view.Clone()
	m.Member = c.store.votes()
	c.store.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	m.Leaving = c.leaving
	m.Known = c.aliveAddresses()
	for name, o := range c.owners {
		if o.active() {
			m.Claims = append(m.Claims, claim{Shard: name, Token: o.token, Fresh: o.fresh()})
		}
	}
	return m
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

func (p *peerState) alive() bool { return time.Since(p.heard) < aliveFor && !p.last.Leaving }

// onPing takes a message. sentAt is when the ping was sent that it answers; zero for a ping itself.
func (c *Core) onPing(m *pingMessage, sentAt time.Time) {
	c.store.learnView(m.View)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p := c.peer(m.Address)
	p.known = true
	p.noticed = now
	for _, address := range m.Known {
		c.peer(address).known = true
		c.peer(address).noticed = now
	}
	if sentAt.IsZero() {
		p.last.Leaving = m.Leaving
		return
	}
	before := claimsOf(&p.last)
	p.last = *m
	p.heard = sentAt
	if !maps.Equal(before, claimsOf(m)) {
		c.notify()
	}
	for name, ballot := range m.Accepted {
		c.counter = max(c.counter, ballot.Counter)
		if c.learned[name].ballot.Less(ballot) {
			c.readSoon(name)
		}
	}
}

func claimsOf(m *pingMessage) map[string]claim {
	claims := map[string]claim{}
	for _, one := range m.Claims {
		claims[one.Shard] = one
	}
	return claims
}

// pingLoop tells all other core schedulers how this one stands, again and again.
func (c *Core) pingLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.pingAll(ctx)
		if c.quorumHeard() {
			time.Sleep(pingEvery)
		} else {
			time.Sleep(firstPings)
		}
	}
}

// pingAll sends a round of pings and does not wait for slow answers. Whoever is still being pinged is left out.
func (c *Core) pingAll(ctx context.Context) {
	c.mu.Lock()
	for _, slot := range c.store.currentView().Slots {
		if slot.Generation > 0 {
			c.peer(slot.Address)
		}
	}
	var targets []string
	for address, p := range c.peers {
		if address == c.address || p.busy {
			continue
		}
		if time.Since(p.noticed) > forgetAfter && c.store.currentView().IndexOf(address) < 0 {
			delete(c.peers, address)
			continue
		}
		p.busy = true
		targets = append(targets, address)
	}
	leaving := c.leaving
	c.mu.Unlock()
	m := c.pingMessage()
	var done sync.WaitGroup
	for _, address := range targets {
		done.Add(1)
		go func() {
			defer done.Done()
			c.ping(ctx, address, m)
		}()
	}
	if leaving {
		done.Wait()
	}
}

func (c *Core) ping(ctx context.Context, address string, m *pingMessage) {
	call, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sentAt := time.Now()
	answer := &pingMessage{}
	err := c.client.Call(call, address, methodPing, m, answer)
	c.mu.Lock()
	c.peer(address).busy = false
	c.mu.Unlock()
	if err == nil && answer.Address == address {
		c.onPing(answer, sentAt)
	}
}

// quorumHeard reports whether a majority of the slots, this one included, answered lately.
func (c *Core) quorumHeard() bool {
	v := c.store.currentView()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, slot := range v.Slots {
		if slot.Generation == 0 {
			continue
		}
		if slot.Address == c.address || c.peer(slot.Address).alive() {
			n++
		}
	}
	return len(v.Slots) > 0 && n >= view.Majority(len(v.Slots))
}

// slotIdle reports whether a slot may get a new occupant: nobody was heard there for some time, or the new
// one is at the same address.
func (c *Core) slotIdle(slot int, by string) bool {
	// The store's lock is held by the caller.
	occupant := c.store.view.Slots[slot]
	if occupant.Generation == 0 || occupant.Address == by {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(occupant.Address)
	if p.last.Leaving {
		return true
	}
	return time.Since(p.heard) > joinAfter && time.Since(c.started) > joinAfter
}

// joinLoop has this scheduler fill a slot that nobody fills, or whose disk was lost.
func (c *Core) joinLoop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(joinEvery + jitter(joinEvery/3))
		c.store.mu.Lock()
		member := c.store.votes()
		c.store.mu.Unlock()
		if member {
			continue
		}
		if slot := c.freeSlot(); slot >= 0 {
			if err := c.join(ctx, slot); err != nil {
				c.logger.V(1).Info("cannot fill a replica slot yet", "slot", slot, "error", err.Error())
			}
		}
	}
}

// freeSlot returns the slot that this scheduler should fill, or -1.
func (c *Core) freeSlot() int {
	v := c.store.currentView()
	if slot := v.IndexOf(c.address); slot >= 0 {
		return slot
	}
	for i := range v.Slots {
		c.store.mu.Lock()
		idle := c.slotIdle(i, c.address)
		c.store.mu.Unlock()
		if idle {
			return i
		}
	}
	return -1
}

// join claims a slot at enough occupants of others, and takes it with what they tell.
func (c *Core) join(ctx context.Context, slot int) error {
	v := c.store.currentView()
	occupant := view.Slot{
		Generation: v.Slots[slot].Generation + 1, Incarnation: newIncarnation(), Address: c.address,
	}
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	type answer struct {
		response *joinResponse
		err      error
	}
	answers := make(chan answer, len(v.Slots))
	asked := 0
	for i, other := range v.Slots {
		if i == slot || other.Generation == 0 {
			continue
		}
		asked++
		go func() {
			response := &joinResponse{}
			err := c.client.Call(call, other.Address, methodJoin, &joinRequest{Slot: int64(slot), Occupant: occupant}, response)
			answers <- answer{response, err}
		}()
	}
	var learned []*joinResponse
	var failed error
	for range asked {
		a := <-answers
		if a.err != nil {
			failed = a.err
			continue
		}
		learned = append(learned, a.response)
	}
	if len(learned) < view.Others(len(v.Slots)) {
		return result.Errorf(result.Unavailable, "%d of %d others granted slot %d, last failure: %w", len(learned), asked, slot, failed)
	}
	c.logger.Info("fills a replica slot", "slot", slot, "generation", occupant.Generation)
	return c.store.take(call, slot, occupant, learned)
}

// readSoon has a register's chosen value read. The lock is held.
func (c *Core) readSoon(name string) {
	if c.reading[name] {
		return
	}
	c.reading[name] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := c.read(ctx, name); err != nil {
			c.logger.V(1).Info("register not read", "register", name, "error", err.Error())
		}
		time.Sleep(20 * time.Millisecond)
		c.mu.Lock()
		c.reading[name] = false
		c.mu.Unlock()
	}()
}

// confirmedAt returns the time at which the learned value of a register was certainly the newest: the sending
// of the pings that a majority has answered without knowing a newer one.
func (c *Core) confirmedAt(name string) time.Time {
	v := c.store.currentView()
	own := c.store.accepted()[name]
	c.mu.Lock()
	defer c.mu.Unlock()
	mine := c.learned[name].ballot
	var times []time.Time
	for i, slot := range v.Slots {
		if slot.Generation == 0 {
			continue
		}
		if slot.Address == c.address {
			if !mine.Less(own) && c.store.identityIs(i) {
				times = append(times, time.Now())
			}
			continue
		}
		p := c.peer(slot.Address)
		if p.last.Member && !mine.Less(p.last.Accepted[name]) {
			times = append(times, p.heard)
		}
	}
	return majorityTime(times, len(v.Slots))
}

// majorityTime returns the latest time that a majority of n has reached.
func majorityTime(times []time.Time, n int) time.Time {
	quorum := view.Majority(n)
	if len(times) < quorum {
		return time.Time{}
	}
	for i := 0; i < quorum; i++ {
		latest := i
		for j := i + 1; j < len(times); j++ {
			if times[j].After(times[latest]) {
				latest = j
			}
		}
		times[i], times[latest] = times[latest], times[i]
	}
	return times[quorum-1]
}

// identityIs reports whether this disk fills a slot.
func (s *store) identityIs(slot int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.identity.Slot) == slot && s.votes()
}
