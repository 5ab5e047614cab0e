package core

import (
	"testing"
	"time"

	"sedgevale/coord/membership"
)

// A scheduler that has just started postpones takeovers until the owners of the shards can have claimed them. It does not
// wait any longer once all members and all core schedulers that others report as alive have responded.
func TestAllPeersAliveOnceAllHaveResponded(t *testing.T) {
	c := &Core{address: "a:1", store: newStore("a:1"), peers: map[string]*peerState{}}
	for _, address := range []string{"a:1", "b:1", "c:1"} {
		c.store.membership.Seats = append(c.store.membership.Seats, membership.Member{ID: "disk " + address, Address: address, Voter: true})
	}
	responded := func(address string) { c.peers[address] = &peerState{known: true, lastHeartbeat: time.Now()} }
	if c.allPeersAlive() {
		t.Error("all peers count as alive before any has responded")
	}
	responded("b:1")
	if c.allPeersAlive() {
		t.Error("all peers count as alive although a member has not responded")
	}
	responded("c:1")
	if !c.allPeersAlive() {
		t.Error("not all peers count as alive although all have responded")
	}
	c.peers["d:1"] = &peerState{known: true}
	if c.allPeersAlive() {
		t.Error("all peers count as alive although one without a seat, reported as alive and possibly an owner, has not responded")
	}
	responded("d:1")
	c.peers["e:1"] = &peerState{} // only listed in the settings
	if !c.allPeersAlive() {
		t.Error("not all peers count as alive because of one that nobody reports as alive")
	}
}

func TestQuorumTime(t *testing.T) {
	base := time.Unix(100, 0)
	times := []time.Time{base, base.Add(2 * time.Second), base.Add(time.Second)}
	if got := quorumTime(times, 2); !got.Equal(base.Add(time.Second)) {
		t.Errorf("three times, quorum of 2: got %v, want %v", got, base.Add(time.Second))
	}
	if got := quorumTime(times[:1], 2); !got.IsZero() {
		t.Errorf("one time, quorum of 2: got %v, want the zero time", got)
	}
}
