package core

import (
	"slices"
	"time"
)

// quorumAlive reports whether a quorum of the voters, this one included, is alive.
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

// allPeersAlive reports whether all holders of seats, and all whom others count as alive, have answered lately, so that no
// owner of a shard has yet to claim it.
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

// confirmedAt returns the time at which the learned value of a register was certainly the newest: the sending of the pings
// that a quorum of one epoch has answered without knowing a newer one. None of them had left the epoch then, so nothing
// newer can have been chosen under a later one either. It is the zero time where there is no such quorum.
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

// quorumTime returns the latest time that a quorum has reached, the zero time where too few have any. It sorts the times.
func quorumTime(times []time.Time, quorum int) time.Time {
	if quorum == 0 || len(times) < quorum {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[quorum-1]
}
