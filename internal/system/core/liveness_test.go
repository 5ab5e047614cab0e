package core

import (
	"testing"
	"time"

	"sedgevale/coord/membership"
)

// A scheduler that has just started waits with taking over shards until the others can have claimed what they own, but no
// longer than until all have: those with seats, and those whom others count as alive.
func TestAllPeersAliveOnceNobodyIsMissing(t *testing.T) {
	c := &Core{address: "a:1", store: newStore("a:1"), peers: map[string]*peerState{}}
	for _, address := range []string{"a:1", "b:1", "c:1"} {
		c.store.membership.Seats = append(c.store.membership.Seats, membership.Member{ID: "disk " + address, Address: address, Voter: true})
	}
	answered := func(address string) { c.peers[address] = &peerState{known: true, lastHeartbeat: time.Now()} }
	if c.allPeersAlive() {
		t.Error("all count as alive before any has answered")
	}
	answered("b:1")
	if c.allPeersAlive() {
		t.Error("all count as alive, and the holder of a seat has not answered")
	}
	answered("c:1")
	if !c.allPeersAlive() {
		t.Error("not all count as alive, and all have answered")
	}
	c.peers["d:1"] = &peerState{known: true}
	if c.allPeersAlive() {
		t.Error("all count as alive, and a spare that others count as alive, which may own a shard, has not answered")
	}
	answered("d:1")
	c.peers["e:1"] = &peerState{} // named by the settings alone
	if !c.allPeersAlive() {
		t.Error("a machine that nobody counts as alive is waited for")
	}
}

func TestQuorumTime(t *testing.T) {
	base := time.Unix(100, 0)
	times := []time.Time{base, base.Add(2 * time.Second), base.Add(time.Second)}
	if got := quorumTime(times, 2); !got.Equal(base.Add(time.Second)) {
		t.Errorf("majority at %v", got)
	}
	if got := quorumTime(times[:1], 2); !got.IsZero() {
		t.Errorf("one of three at %v", got)
	}
}
