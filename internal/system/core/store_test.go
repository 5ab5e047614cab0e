package core

import (
	"context"
	"testing"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/coord/register"
	"sedgevale/coord/shard"
	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/result"
)

// storeCluster holds the stores of three core machines, which tests call without a network.
type storeCluster struct {
	t      *testing.T
	first  membership.Membership
	stores map[string]*store
	dirs   map[string]string
}

func newStoreCluster(t *testing.T) *storeCluster {
	s := &storeCluster{t: t, first: membership.Bootstrap(3, []string{"a", "b", "c"}), stores: map[string]*store{}, dirs: map[string]string{}}
	for _, address := range []string{"a", "b", "c"} {
		s.dirs[address] = t.TempDir()
		s.start(address, true)
	}
	return s
}

// start opens the disk of an address, as a machine does after a power failure.
func (s *storeCluster) start(address string, bootstrap bool) *store {
	s.t.Helper()
	opened, err := openStore(s.dirs[address], address, s.first, bootstrap)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		if err := opened.log.Close(context.Background()); err != nil {
			s.t.Error(err)
		}
	})
	s.stores[address] = opened
	return opened
}

// replaceDisk restarts an address with an empty disk.
func (s *storeCluster) replaceDisk(address string) *store {
	s.dirs[address] = s.t.TempDir()
	return s.start(address, false)
}

func (s *storeCluster) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	s.t.Cleanup(cancel)
	return ctx
}

// to returns the target of a message to an address under the membership known to the store sender.
func (s *storeCluster) to(address, sender string) target {
	return target{Membership: s.stores[sender].currentMembership(), Member: s.stores[address].identity.ID}
}

// changeMembership makes all given voters accept a changed membership and installs it on them and on the others.
func (s *storeCluster) changeMembership(change membership.Change, voters []string, others ...string) {
	s.t.Helper()
	installed := s.stores[voters[0]].currentMembership()
	next, err := membership.NextProposal(installed, installed, change)
	if err != nil {
		s.t.Fatal(err)
	}
	value, err := avrocodec.Encode(&next)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, address := range voters {
		r := &acceptRequest{
			To: s.to(address, voters[0]), Name: membershipRegister, Ballot: register.Ballot{Counter: 100 + next.Epoch, Proposer: "m"}, Value: value,
		}
		if response, err := s.stores[address].accept(s.ctx(), r); err != nil || !response.Accepted {
			s.t.Fatalf("%s did not accept the membership: response %+v, error %v", address, response, err)
		}
	}
	for _, address := range append(voters, others...) {
		s.wantCode(s.stores[address].learnMembership(next), result.OK)
	}
}

// rejoin makes an address acquire a seat as a learner, restore the state of the given voters and become a voter.
func (s *storeCluster) rejoin(address string, seat int, voters ...string) error {
	s.t.Helper()
	st := s.stores[address]
	s.changeMembership(membership.AddLearner(seat, st.identity.ID, address), voters, address)
	var states []*stateResponse
	for _, other := range voters {
		response, err := s.stores[other].serveState(s.ctx(), &stateRequest{To: s.to(other, address)})
		if err != nil {
			return err
		}
		states = append(states, response)
	}
	if err := st.restore(s.ctx(), st.membership.Epoch, states); err != nil {
		return err
	}
	s.changeMembership(membership.Promote(st.identity.ID), voters, address)
	return nil
}

func (s *storeCluster) accept(address string, to target, ballot int64, value string) error {
	r := &acceptRequest{To: to, Name: "config", Ballot: register.Ballot{Counter: ballot, Proposer: "p"}, Value: []byte(value)}
	response, err := s.stores[address].accept(s.ctx(), r)
	if err == nil && !response.Accepted {
		return result.Errorf(result.BallotOutdated, "ballot %d rejected by %s", ballot, address)
	}
	return err
}

// writeToken is the fencing token under which tests write records.
const writeToken = 3

func (s *storeCluster) write(address, key string) error {
	r := &writeRequest{
		To: s.to(address, address), Shard: "s", Token: writeToken,
		Records: []shard.Record{{Key: key, Version: shard.Version{Token: writeToken, Sequence: 1}, Value: []byte("v")}},
	}
	_, err := s.stores[address].write(s.ctx(), r)
	return err
}

func (s *storeCluster) repair(address string, token int64) error {
	r := &repairRequest{To: s.to(address, address), Shard: "s", Token: token, Last: true}
	_, err := s.stores[address].repair(s.ctx(), r)
	return err
}

func (s *storeCluster) wantCode(err error, want result.Code) {
	s.t.Helper()
	if result.CodeOf(err) != want {
		s.t.Errorf("error %v, want code %d", err, want)
	}
}

// Acknowledged values, promises, records and fencing tokens survive a power failure.
func TestStoreSurvivesPowerFailure(t *testing.T) {
	s := newStoreCluster(t)
	s.wantCode(s.accept("a", s.to("a", "a"), 5, "value"), result.OK)
	s.wantCode(s.repair("a", 3), result.OK)
	s.wantCode(s.write("a", "key"), result.OK)
	st := s.start("a", false)
	if string(st.registers["config"].Value) != "value" || st.replicas["s"].FencingToken != 3 || st.replicas["s"].Records.Len() != 1 {
		t.Errorf("after the restart: register %+v, replica %+v", st.registers["config"], st.replicas["s"])
	}
	s.wantCode(s.accept("a", s.to("a", "a"), 4, "older"), result.BallotOutdated)
	s.wantCode(s.repair("a", 2), result.Fenced)
}

// An empty disk in place of a lost one neither votes nor acknowledges writes, whether messages are addressed to the ID of
// the lost disk or to its own.
func TestEmptyDiskDoesNotVote(t *testing.T) {
	s := newStoreCluster(t)
	lost := s.to("c", "a")
	s.wantCode(s.accept("c", lost, 5, "value"), result.OK)
	st := s.replaceDisk("c")
	for to, want := range map[*target]result.Code{&lost: result.WrongReplica, {lost.Membership, st.identity.ID}: result.NotRecovered} {
		s.wantCode(s.accept("c", *to, 6, "other"), want)
		_, err := st.prepare(s.ctx(), &prepareRequest{To: *to, Name: "config", Ballot: register.Ballot{Counter: 9}})
		s.wantCode(err, want)
		_, err = st.fence(s.ctx(), &sealRequest{To: *to, Shard: "s", Token: 1})
		s.wantCode(err, want)
		_, err = st.repair(s.ctx(), &repairRequest{To: *to, Shard: "s", Token: 9, Last: true})
		s.wantCode(err, want)
		_, err = st.readAccepted(s.ctx(), &readAcceptedRequest{To: *to, Name: "config"})
		s.wantCode(err, want)
		_, err = st.serveState(s.ctx(), &stateRequest{To: *to})
		s.wantCode(err, want)
	}
}

// An empty disk that has restored the state of the two other voters holds their values and votes. Messages that were sent to
// the others before are rejected from then on.
func TestEmptyDiskRestoresStateOfTheOthers(t *testing.T) {
	s := newStoreCluster(t)
	earlierToB, earlierToA := s.to("b", "b"), s.to("a", "a")
	s.wantCode(s.accept("a", earlierToA, 5, "chosen"), result.OK)
	s.wantCode(s.accept("c", s.to("c", "c"), 5, "chosen"), result.OK)
	s.replaceDisk("c")
	s.wantCode(s.rejoin("c", 2, "a", "b"), result.OK)
	if got := string(s.stores["c"].registers["config"].Value); got != "chosen" {
		t.Errorf("learned %q", got)
	}
	// A delayed accept message to b would have formed a quorum with the lost disk.
	s.wantCode(s.accept("b", earlierToB, 5, "chosen"), result.EpochOutdated)
	s.wantCode(s.accept("a", earlierToA, 5, "chosen"), result.EpochOutdated)
	s.wantCode(s.accept("c", s.to("c", "a"), 9, "next"), result.OK)
}

// A learner does not vote before it has restored the state of a quorum, although it holds a seat.
func TestLearnerDoesNotVote(t *testing.T) {
	s := newStoreCluster(t)
	st := s.replaceDisk("c")
	s.changeMembership(membership.AddLearner(2, st.identity.ID, "c"), []string{"a", "b"}, "c")
	s.wantCode(s.accept("c", s.to("c", "c"), 5, "value"), result.NotRecovered)
	_, err := st.readAccepted(s.ctx(), &readAcceptedRequest{To: s.to("c", "c"), Name: "config"})
	s.wantCode(err, result.NotRecovered)
	_, err = st.serveState(s.ctx(), &stateRequest{To: s.to("c", "c")})
	s.wantCode(err, result.NotRecovered)
}

// A disk that was replaced and then acquires a seat again has missed the writes in between, even if the owner that it was in
// sync with is still the same. It is no voter for a shard until that owner has repaired it, also after a power failure.
func TestRejoinedDiskIsNoVoterBeforeARepair(t *testing.T) {
	s := newStoreCluster(t)
	for _, address := range []string{"a", "b", "c"} {
		s.wantCode(s.repair(address, 3), result.OK)
	}
	s.dirs["d"] = t.TempDir()
	s.start("d", false)
	s.wantCode(s.rejoin("d", 2, "a", "b"), result.OK)
	s.wantCode(s.write("a", "later"), result.OK)
	s.wantCode(s.write("b", "later"), result.OK)
	s.wantCode(s.rejoin("c", 2, "a", "b"), result.OK)
	isVoter := func() bool {
		response, err := s.stores["c"].fence(s.ctx(), &sealRequest{To: s.to("c", "c"), Shard: "s", Token: 3})
		s.wantCode(err, result.OK)
		return response.Voter
	}
	if isVoter() {
		t.Error("the replica is a voter although it has missed writes")
	}
	s.start("c", false)
	if isVoter() {
		t.Error("after a power failure: the replica is a voter although it has missed writes")
	}
	s.wantCode(s.repair("c", 3), result.OK)
	if !isVoter() {
		t.Error("the replica is not a voter after the repair")
	}
}

// A learner restores only the state of a quorum of distinct members in its own epoch. The state of fewer may lack a chosen
// value.
func TestLearnerRestoresStateOfAQuorum(t *testing.T) {
	s := newStoreCluster(t)
	s.wantCode(s.accept("b", s.to("b", "b"), 5, "chosen"), result.OK)
	s.wantCode(s.accept("c", s.to("c", "c"), 5, "chosen"), result.OK)
	st := s.replaceDisk("c")
	before, err := s.stores["a"].serveState(s.ctx(), &stateRequest{To: s.to("a", "a")})
	s.wantCode(err, result.OK)
	s.changeMembership(membership.AddLearner(2, st.identity.ID, "c"), []string{"a", "b"}, "c")
	states := map[string]*stateResponse{}
	for _, other := range []string{"a", "b"} {
		states[other], err = s.stores[other].serveState(s.ctx(), &stateRequest{To: s.to(other, "c")})
		s.wantCode(err, result.OK)
	}
	epoch := st.membership.Epoch
	s.wantCode(st.restore(s.ctx(), epoch, []*stateResponse{states["a"]}), result.Unavailable)
	s.wantCode(st.restore(s.ctx(), epoch, []*stateResponse{states["a"], states["a"]}), result.Unavailable)
	s.wantCode(st.restore(s.ctx(), epoch, []*stateResponse{before, states["b"]}), result.Unavailable)
	if st.identity.Restored || st.registers["config"] != nil {
		t.Error("the state of less than a quorum was restored")
	}
	s.wantCode(st.restore(s.ctx(), epoch, []*stateResponse{states["a"], states["b"]}), result.OK)
	if got := string(st.registers["config"].Value); got != "chosen" {
		t.Errorf("learned %q", got)
	}
}

// A replica with a new disk may have lost records. It is no voter in a takeover until an owner has repaired it.
func TestNewDiskIsNoVoterBeforeARepair(t *testing.T) {
	s := newStoreCluster(t)
	s.wantCode(s.repair("a", 3), result.OK)
	s.wantCode(s.repair("c", 3), result.OK)
	s.wantCode(s.write("c", "key"), result.OK)
	s.replaceDisk("c")
	s.wantCode(s.rejoin("c", 2, "a", "b"), result.OK)
	fence := func() *sealResponse {
		response, err := s.stores["c"].fence(s.ctx(), &sealRequest{To: s.to("c", "c"), Shard: "s", Token: 4})
		s.wantCode(err, result.OK)
		return response
	}
	if fence().Voter {
		t.Error("the replica is a voter although it may have lost records")
	}
	s.wantCode(s.repair("c", 4), result.OK)
	if !fence().Voter {
		t.Error("the replica is not a voter after the repair")
	}
}

// Writes addressed to a lost disk are rejected by the disk that replaced it.
func TestWritesToALostDiskAreRejected(t *testing.T) {
	s := newStoreCluster(t)
	s.wantCode(s.repair("c", 3), result.OK)
	lost := s.stores["c"].identity.ID
	s.replaceDisk("c")
	s.wantCode(s.rejoin("c", 2, "a", "b"), result.OK)
	r := &writeRequest{To: target{s.stores["c"].currentMembership(), lost}, Shard: "s", Token: 3}
	_, err := s.stores["c"].write(s.ctx(), r)
	s.wantCode(err, result.WrongReplica)
}

// A chosen value survives the loss of one disk followed by the replacement of another machine by one at a new address.
func TestConsecutiveDiskLosses(t *testing.T) {
	s := newStoreCluster(t)
	s.wantCode(s.accept("a", s.to("a", "a"), 5, "chosen"), result.OK)
	s.wantCode(s.accept("b", s.to("b", "b"), 5, "chosen"), result.OK)
	s.replaceDisk("a")
	s.wantCode(s.rejoin("a", 0, "b", "c"), result.OK)
	s.dirs["d"] = t.TempDir()
	s.start("d", false)
	s.wantCode(s.rejoin("d", 1, "c", "a"), result.OK)
	if got := string(s.stores["d"].registers["config"].Value); got != "chosen" {
		t.Errorf("learned %q", got)
	}
	// The replaced machine still has its disk. It no longer votes once it learns of its replacement.
	s.wantCode(s.accept("b", s.to("b", "d"), 9, "late"), result.NotRecovered)
}

// A replaced replica cannot confirm an old value: a quorum of the previous epoch needs one of the remaining members, which
// have reached the next epoch and reject reads of the previous one.
func TestReplacedReplicaCannotConfirmAnOldValue(t *testing.T) {
	s := newStoreCluster(t)
	for _, address := range []string{"a", "b", "c"} {
		s.wantCode(s.accept(address, s.to(address, address), 5, "old"), result.OK)
	}
	toB := s.to("b", "b")
	s.dirs["d"] = t.TempDir()
	s.start("d", false)
	s.wantCode(s.rejoin("d", 0, "b", "c"), result.OK)
	s.wantCode(s.accept("d", s.to("d", "d"), 9, "new"), result.OK)
	s.wantCode(s.accept("c", s.to("c", "d"), 9, "new"), result.OK)
	if response, err := s.stores["a"].readAccepted(s.ctx(), &readAcceptedRequest{To: s.to("a", "a"), Name: "config"}); err != nil || string(response.Value) != "old" {
		t.Errorf("read from the replaced replica, which has not learned of its replacement: error %v, want value \"old\"", err)
	}
	_, err := s.stores["b"].readAccepted(s.ctx(), &readAcceptedRequest{To: toB, Name: "config"})
	s.wantCode(err, result.EpochOutdated)
}

// The ballots of different incarnations of a disk and of different disks at one address differ, and the ballot counter is
// restored after a restart.
func TestBallotsAreUniqueAcrossIncarnations(t *testing.T) {
	s := newStoreCluster(t)
	to := s.to("a", "a")
	first := s.stores["a"].proposer()
	_, err := s.stores["a"].prepare(s.ctx(), &prepareRequest{To: to, Name: "config", Ballot: register.Ballot{Counter: 7, Proposer: first}})
	s.wantCode(err, result.OK)
	st := s.start("a", false)
	if second := st.proposer(); second == first {
		t.Errorf("two incarnations have the proposer ID %s", second)
	}
	if st.highestBallot() != 7 {
		t.Errorf("highest ballot %d after the restart, want 7", st.highestBallot())
	}
	s.replaceDisk("a")
	if third := s.stores["a"].proposer(); third == first || third == st.proposer() {
		t.Errorf("a different disk has the same proposer ID %s", third)
	}
}

// A change that was applied but is not durable is not acknowledged, since a power failure may undo it.
func TestOnlyDurableStateIsAcknowledged(t *testing.T) {
	s := newStoreCluster(t)
	st := s.stores["a"]
	if err := st.log.Close(t.Context()); err != nil {
		t.Error(err)
	}
	s.wantCode(s.accept("a", s.to("a", "a"), 5, "value"), result.StorageFailed)
	_, err := st.readAccepted(s.ctx(), &readAcceptedRequest{To: s.to("a", "a"), Name: "config"})
	s.wantCode(err, result.StorageFailed)
	_, err = st.serveState(s.ctx(), &stateRequest{To: s.to("a", "a")})
	s.wantCode(err, result.StorageFailed)
}

// A machine that joins after the bootstrap receives the membership from its peers rather than deriving one from its seeds.
func TestLateMachineBuildsNoMembership(t *testing.T) {
	s := newStoreCluster(t)
	s.first = membership.Bootstrap(3, []string{"b", "c", "d"})
	s.dirs["d"] = t.TempDir()
	st := s.start("d", false)
	if m := st.currentMembership(); m.Epoch != 0 {
		t.Errorf("membership %+v before any message, want none", m)
	}
	s.wantCode(st.learnMembership(s.stores["a"].currentMembership()), result.OK)
	if _, _, seated := st.self(); seated {
		t.Error("the machine holds a seat of a membership that does not include it")
	}
}

// Invalid messages are rejected with the matching result code and do not change the state.
func TestInvalidMessagesChangeNothing(t *testing.T) {
	s := newStoreCluster(t)
	good := s.to("a", "a")
	bad := func(change func(*membership.Membership)) target {
		m := good.Membership.Clone()
		change(&m)
		return target{m, good.Member}
	}
	cases := map[string]struct {
		to   target
		want result.Code
	}{
		"no seats": {bad(func(m *membership.Membership) { m.Seats = nil }), result.MembershipInvalid},
		"five seats": {bad(func(m *membership.Membership) {
			m.Seats = append(m.Seats, membership.Member{}, membership.Member{})
			m.Epoch = 2
		}), result.MembershipInvalid},
		"duplicate disk":        {bad(func(m *membership.Membership) { m.Seats[1].ID = m.Seats[0].ID }), result.MembershipInvalid},
		"duplicate address":     {bad(func(m *membership.Membership) { m.Seats[1].Address = m.Seats[0].Address }), result.MembershipInvalid},
		"epoch zero":            {bad(func(m *membership.Membership) { m.Epoch = 0 }), result.MembershipInvalid},
		"base is a later epoch": {bad(func(m *membership.Membership) { m.BaseEpoch = 9 }), result.MembershipInvalid},
		"conflict in one epoch": {bad(func(m *membership.Membership) { m.Seats[2].Address = "x" }), result.MembershipInvalid},
		"another deployment":    {bad(func(m *membership.Membership) { m.Deployment = "x"; m.Epoch = 9 }), result.WrongDeployment},
		"another replica":       {target{good.Membership, "x"}, result.WrongReplica},
	}
	for name, tc := range cases {
		err := s.accept("a", tc.to, 5, "value")
		if result.CodeOf(err) != tc.want {
			t.Errorf("%s: error %v, want code %d", name, err, tc.want)
		}
	}
	if st := s.stores["a"]; len(st.registers) != 0 || !st.membership.Equal(good.Membership) {
		t.Error("a rejected message changed the state")
	}
	if _, err := openStore(s.dirs["a"], "b", s.first, false); result.CodeOf(err) != result.WrongDisk {
		t.Errorf("disk of another machine: error %v, want code %d", err, result.WrongDisk)
	}
}
