package core

import (
	"testing"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/clusterconfig"
)

// A member that drains waits for a claim of an owner that knew of it: before, the owner counted the draining one too.
func TestDrainingMemberWaitsForAFreshClaim(t *testing.T) {
	s := newStoreCluster(t)
	since := time.Now().Add(-time.Second / 2)
	c := &Core{address: "a", store: s.stores["a"], peers: map[string]*peerState{}, draining: true, drainingSince: since}
	c.config = &configState{config: &clusterconfig.Config{Services: []clusterconfig.Service{{Name: "s"}}}}
	setPeer := func(address string, after time.Duration, claims ...ownershipClaim) {
		c.peers[address] = &peerState{known: true, lastHeartbeat: since.Add(after), status: pingMessage{Address: address, Claims: claims}}
	}
	owned := func(inSync int64) ownershipClaim {
		return ownershipClaim{Shard: "s", Token: 2, Fresh: true, InSync: inSync}
	}
	cases := []struct {
		name   string
		age    time.Duration // of the claim, relative to the start of the drain
		inSync int64
		want   bool
	}{
		{"the claim is from before", -time.Millisecond, 2, false},
		{"one that stays is not in sync", 100 * time.Millisecond, 1, false},
		{"all that stay are in sync", 100 * time.Millisecond, 2, true},
	}
	for _, test := range cases {
		setPeer("b", test.age, owned(test.inSync))
		setPeer("c", test.age)
		if got := c.safeToStop(); got != test.want {
			t.Errorf("%s: safe to stop: %t", test.name, got)
		}
	}
	setPeer("d", 100*time.Millisecond)
	if c.safeToStop() {
		t.Error("safe to stop before the spare that joins has its seat")
	}
	d := s.stores["b"].currentMembership()
	next, err := membership.NextProposal(d, d, membership.AddLearner(d.SeatAt("a"), "x", "d"))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.store.learnMembership(next); err != nil {
		t.Fatal(err)
	}
	if c.safeToStop() {
		t.Error("safe to stop before its successor is in sync")
	}
	setPeer("b", 100*time.Millisecond, owned(3))
	if !c.safeToStop() {
		t.Error("not safe to stop though all that stay are in sync")
	}
}
