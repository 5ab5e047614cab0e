package core

import (
	"testing"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/clusterconfig"
)

// A draining member waits for a claim that the owner sent after it had learned of the drain. An earlier claim counts the
// draining member itself among the replicas in sync, so the member would stop too early.
func TestDrainingMemberWaitsForAClaimSentAfterTheNotice(t *testing.T) {
	s := newStoreCluster(t)
	since := time.Now().Add(-time.Second / 2)
	c := &Core{address: "a", store: s.stores["a"], peers: map[string]*peerState{}, draining: true, drainingSince: since}
	c.config = newConfigState(configRecord{}, &clusterconfig.Config{Services: []clusterconfig.Service{{Name: "s"}}})
	setPeer := func(address string, after time.Duration, claims ...ownershipClaim) {
		c.peers[address] = &peerState{known: true, lastHeartbeat: since.Add(after), status: pingMessage{Address: address, Claims: claims}}
	}
	owned := func(inSync int64) ownershipClaim {
		return ownershipClaim{Shard: "s", Token: 2, LeaseValid: true, InSync: inSync}
	}
	cases := []struct {
		name   string
		sentAt time.Duration // send time of the claim, relative to the start of the drain
		inSync int64
		want   bool
	}{
		{"claim sent before the drain", -time.Millisecond, 2, false},
		{"a remaining member is not in sync", 100 * time.Millisecond, 1, false},
		{"all remaining members are in sync", 100 * time.Millisecond, 2, true},
	}
	for _, test := range cases {
		setPeer("b", test.sentAt, owned(test.inSync))
		setPeer("c", test.sentAt)
		if got := c.safeToStop(); got != test.want {
			t.Errorf("%s: safeToStop() = %t, want %t", test.name, got, test.want)
		}
	}
	setPeer("d", 100*time.Millisecond)
	if c.safeToStop() {
		t.Error("safe to stop before the joining core scheduler has acquired the seat")
	}
	m := s.stores["b"].currentMembership()
	next, err := membership.NextProposal(m, m, membership.AddLearner(m.SeatByAddress("a"), "x", "d"))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.store.learnMembership(next); err != nil {
		t.Fatal(err)
	}
	if c.safeToStop() {
		t.Error("safe to stop before the new holder of the seat is in sync")
	}
	setPeer("b", 100*time.Millisecond, owned(3))
	if !c.safeToStop() {
		t.Error("not safe to stop although all remaining members are in sync")
	}
}
