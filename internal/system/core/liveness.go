package core

import (
	"slices"
	"time"
)

// quorumAlive reports whether a quorum of the voters is alive, counting this scheduler if it is one.
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

// allPeersAlive reports whether all members and all core schedulers that other peers report as alive are alive for this one
// too. If so, it has received the claims of all owners of shards.
func (c *Core) allPeersAlive() bool {
	m := c.store.currentMembership()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, member := range m.Members() {
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

// confirmedAt returns the latest time at which the learned value of a register is known to have been the newest. It is the
// send time of pings that a quorum of voters of one epoch has answered without reporting a newer ballot. None of them had
// left the epoch at that time, so no newer value can have been chosen under a later epoch either. It returns the zero time
// if there is no such quorum.
func (c *Core) confirmedAt(name string) time.Time {
	m := c.store.currentMembership()
	own := c.store.accepted()[name]
	id, _, _ := c.store.self()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.learned[name].ballot
	var times []time.Time
	for _, member := range m.Voters() {
		if member.ID == id {
			if !known.Less(own) {
				times = append(times, time.Now())
			}
			continue
		}
		p := c.peer(member.Address)
		if p.status.Member == member.ID && p.status.Membership.Epoch == m.Epoch && !known.Less(p.status.Accepted[name]) {
			times = append(times, p.lastHeartbeat)
		}
	}
	return quorumTime(times, m.Quorum())
}

// quorumTime returns the latest time t such that at least quorum of the given times are t or later, or the zero time if
// fewer times are given. It sorts the slice.
func quorumTime(times []time.Time, quorum int) time.Time {
	if quorum == 0 || len(times) < quorum {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[quorum-1]
}
