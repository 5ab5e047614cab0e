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

// storeCluster is the stores of three core machines, which tests call directly.
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

// start opens the disk of an address, as after a power loss.
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

// wipe gives an address an empty disk.
func (s *storeCluster) wipe(address string) *store {
	s.dirs[address] = s.t.TempDir()
	return s.start(address, false)
}

func (s *storeCluster) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	s.t.Cleanup(cancel)
	return ctx
}

// to is the target of a message to an address under the membership that another store knows.
func (s *storeCluster) to(address, by string) target {
	return target{Membership: s.stores[by].currentMembership(), Member: s.stores[address].identity.ID}
}

// change has the stores named choose another membership, all of them, and sends it to them and to others.
func (s *storeCluster) change(change membership.Change, by []string, others ...string) {
	s.t.Helper()
	installed := s.stores[by[0]].currentMembership()
	next, err := membership.NextProposal(installed, installed, change)
	if err != nil {
		s.t.Fatal(err)
	}
	value, err := avrocodec.Encode(&next)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, address := range by {
		r := &acceptRequest{
			To: s.to(address, by[0]), Name: membershipRegister, Ballot: register.Ballot{Counter: 100 + next.Epoch, Proposer: "m"}, Value: value,
		}
		if answer, err := s.stores[address].accept(s.ctx(), r); err != nil || !answer.Accepted {
			s.t.Fatalf("%s: %v", address, err)
		}
	}
	for _, address := range append(by, others...) {
		s.wantCode(s.stores[address].learnMembership(next), result.OK)
	}
}

// rejoin has an address take a seat with the state that the others send, and vote.
func (s *storeCluster) rejoin(address string, seat int, from ...string) error {
	s.t.Helper()
	st := s.stores[address]
	s.change(membership.AddLearner(seat, st.identity.ID, address), from, address)
	var learned []*stateResponse
	for _, other := range from {
		response, err := s.stores[other].serveState(s.ctx(), &stateRequest{To: s.to(other, address)})
		if err != nil {
			return err
		}
		learned = append(learned, response)
	}
	if err := st.restore(s.ctx(), st.membership.Epoch, learned); err != nil {
		return err
	}
	s.change(membership.Promote(st.identity.ID), from, address)
	return nil
}

func (s *storeCluster) accept(address string, to target, ballot int64, value string) error {
	r := &acceptRequest{To: to, Name: "config", Ballot: register.Ballot{Counter: ballot, Proposer: "p"}, Value: []byte(value)}
	answer, err := s.stores[address].accept(s.ctx(), r)
	if err == nil && !answer.Accepted {
		return result.Errorf(result.BallotOutdated, "rejected")
	}
	return err
}

// writeToken is the fencing token under which tests write.
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
		s.t.Errorf("error %v, code %d wanted", err, want)
	}
}

// What was acknowledged is there after a power loss, with promises and fencing tokens.
func TestStoreSurvivesPowerLoss(t *testing.T) {
	s := newStoreCluster(t)
	s.wantCode(s.accept("a", s.to("a", "a"), 5, "value"), result.OK)
	s.wantCode(s.repair("a", 3), result.OK)
	s.wantCode(s.write("a", "key"), result.OK)
	st := s.start("a", false)
	if string(st.registers["config"].Value) != "value" || st.replicas["s"].FencingToken != 3 || st.replicas["s"].Records.Len() != 1 {
		t.Errorf("registers %+v, replicas %+v", st.registers["config"], st.replicas["s"])
	}
	s.wantCode(s.accept("a", s.to("a", "a"), 4, "older"), result.BallotOutdated)
	s.wantCode(s.repair("a", 2), result.Fenced)
}

// A disk that came back empty neither votes nor acknowledges, whether it is addressed by the name of the lost
// disk or by its own.
func TestEmptyDiskDoesNotVote(t *testing.T) {
	s := newStoreCluster(t)
	lost := s.to("c", "a")
	s.wantCode(s.accept("c", lost, 5, "value"), result.OK)
	st := s.wipe("c")
	for to, want := range map[*target]result.Code{&lost: result.WrongReplica, {lost.Membership, st.identity.ID}: result.NotRecovered} {
		s.wantCode(s.accept("c", *to, 6, "other"), want)
		_, err := st.prepare(s.ctx(), &prepareRequest{To: *to, Name: "config", Ballot: register.Ballot{Counter: 9}})
		s.wantCode(err, want)
		_, err = st.seal(s.ctx(), &sealRequest{To: *to, Shard: "s", Token: 1})
		s.wantCode(err, want)
		_, err = st.repair(s.ctx(), &repairRequest{To: *to, Shard: "s", Token: 9, Last: true})
		s.wantCode(err, want)
		_, err = st.readAccepted(s.ctx(), &readAcceptedRequest{To: *to, Name: "config"})
		s.wantCode(err, want)
		_, err = st.serveState(s.ctx(), &stateRequest{To: *to})
		s.wantCode(err, want)
	}
}

// Once it has learned from the two others it votes, knows what they hold, and what was on its way to them
// takes no effect any more.
func TestEmptyDiskLearnsFromTheOthers(t *testing.T) {
	s := newStoreCluster(t)
	late, again := s.to("b", "b"), s.to("a", "a")
	s.wantCode(s.accept("a", again, 5, "chosen"), result.OK)
	s.wantCode(s.accept("c", s.to("c", "c"), 5, "chosen"), result.OK)
	s.wipe("c")
	s.wantCode(s.rejoin("c", 2, "a", "b"), result.OK)
	if got := string(s.stores["c"].registers["config"].Value); got != "chosen" {
		t.Errorf("learned %q", got)
	}
	// The acceptance that was still on its way to b would have made a quorum with the lost disk.
	s.wantCode(s.accept("b", late, 5, "chosen"), result.EpochOutdated)
	s.wantCode(s.accept("a", again, 5, "chosen"), result.EpochOutdated)
	s.wantCode(s.accept("c", s.to("c", "a"), 9, "next"), result.OK)
}

// A learner that has not read the state of a quorum yet does not vote, though it holds the seat.
func TestLearnerDoesNotVote(t *testing.T) {
	s := newStoreCluster(t)
	st := s.wipe("c")
	s.change(membership.AddLearner(2, st.identity.ID, "c"), []string{"a", "b"}, "c")
	s.wantCode(s.accept("c", s.to("c", "c"), 5, "value"), result.NotRecovered)
	_, err := st.readAccepted(s.ctx(), &readAcceptedRequest{To: s.to("c", "c"), Name: "config"})
	s.wantCode(err, result.NotRecovered)
	_, err = st.serveState(s.ctx(), &stateRequest{To: s.to("c", "c")})
	s.wantCode(err, result.NotRecovered)
}

// A disk that gave its seat up and takes one anew has missed what was written meanwhile, though the owner is still the one
// that it was in sync with: it votes about no shard before that owner has repaired it, also after a power loss.
func TestSeatTakenAnewIsNoVoterForItsShards(t *testing.T) {
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
	votes := func() bool {
		answer, err := s.stores["c"].seal(s.ctx(), &sealRequest{To: s.to("c", "c"), Shard: "s", Token: 3})
		s.wantCode(err, result.OK)
		return answer.Voter
	}
	if votes() {
		t.Error("it votes about what it has missed")
	}
	s.start("c", false)
	if votes() {
		t.Error("it votes about what it has missed, after a power loss")
	}
	s.wantCode(s.repair("c", 3), result.OK)
	if !votes() {
		t.Error("it does not vote after the repair")
	}
}

// A learner restores what a quorum sent it in its own epoch, each member counted once; fewer answers may lack what was chosen.
func TestLearnerReadsAQuorum(t *testing.T) {
	s := newStoreCluster(t)
	s.wantCode(s.accept("b", s.to("b", "b"), 5, "chosen"), result.OK)
	s.wantCode(s.accept("c", s.to("c", "c"), 5, "chosen"), result.OK)
	st := s.wipe("c")
	before, err := s.stores["a"].serveState(s.ctx(), &stateRequest{To: s.to("a", "a")})
	s.wantCode(err, result.OK)
	s.change(membership.AddLearner(2, st.identity.ID, "c"), []string{"a", "b"}, "c")
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
		t.Error("something was taken over from less than a quorum")
	}
	s.wantCode(st.restore(s.ctx(), epoch, []*stateResponse{states["a"], states["b"]}), result.OK)
	if got := string(st.registers["config"].Value); got != "chosen" {
		t.Errorf("learned %q", got)
	}
}

// A replica with a new disk may have forgotten records: it takes writes, but no part in a takeover before an owner has
// brought it in sync.
func TestNewDiskIsNoVoterForItsShards(t *testing.T) {
	s := newStoreCluster(t)
	s.wantCode(s.repair("a", 3), result.OK)
	s.wantCode(s.repair("c", 3), result.OK)
	s.wantCode(s.write("c", "key"), result.OK)
	s.wipe("c")
	s.wantCode(s.rejoin("c", 2, "a", "b"), result.OK)
	seal := func() *sealResponse {
		answer, err := s.stores["c"].seal(s.ctx(), &sealRequest{To: s.to("c", "c"), Shard: "s", Token: 4})
		s.wantCode(err, result.OK)
		return answer
	}
	if seal().Voter {
		t.Error("it votes about what it may have forgotten")
	}
	s.wantCode(s.repair("c", 4), result.OK)
	if !seal().Voter {
		t.Error("it does not vote after the repair")
	}
}

// Writes of an owner that addresses the disk which was lost are rejected.
func TestWritesToALostDiskAreRejected(t *testing.T) {
	s := newStoreCluster(t)
	s.wantCode(s.repair("c", 3), result.OK)
	lost := s.stores["c"].identity.ID
	s.wipe("c")
	s.wantCode(s.rejoin("c", 2, "a", "b"), result.OK)
	r := &writeRequest{To: target{s.stores["c"].currentMembership(), lost}, Shard: "s", Token: 3}
	_, err := s.stores["c"].write(s.ctx(), r)
	s.wantCode(err, result.WrongReplica)
}

// Two disks in a row, and a machine at another address for one that is gone.
func TestDisksAreLostInARow(t *testing.T) {
	s := newStoreCluster(t)
	s.wantCode(s.accept("a", s.to("a", "a"), 5, "chosen"), result.OK)
	s.wantCode(s.accept("b", s.to("b", "b"), 5, "chosen"), result.OK)
	s.wipe("a")
	s.wantCode(s.rejoin("a", 0, "b", "c"), result.OK)
	s.dirs["d"] = t.TempDir()
	s.start("d", false)
	s.wantCode(s.rejoin("d", 1, "c", "a"), result.OK)
	if got := string(s.stores["d"].registers["config"].Value); got != "chosen" {
		t.Errorf("learned %q", got)
	}
	// The machine that was replaced has kept its disk, and votes no more once it learns that.
	s.wantCode(s.accept("b", s.to("b", "d"), 9, "late"), result.NotRecovered)
}

// A replica that was replaced takes no part in confirming an old value. Its former membership is known to two of
// three, and the one of these that stays has reached the next epoch.
func TestReplacedReplicaConfirmsNothing(t *testing.T) {
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
	if answer, err := s.stores["a"].readAccepted(s.ctx(), &readAcceptedRequest{To: s.to("a", "a"), Name: "config"}); err != nil || string(answer.Value) != "old" {
		t.Errorf("the replaced replica has not learned that yet: %v", err)
	}
	_, err := s.stores["b"].readAccepted(s.ctx(), &readAcceptedRequest{To: toB, Name: "config"})
	s.wantCode(err, result.EpochOutdated)
}

// Ballots of two incarnations of a disk, and of two disks at one address, differ, and the counter is restored.
func TestBallotsAreUniqueAcrossIncarnations(t *testing.T) {
	s := newStoreCluster(t)
	to := s.to("a", "a")
	first := s.stores["a"].proposer()
	_, err := s.stores["a"].prepare(s.ctx(), &prepareRequest{To: to, Name: "config", Ballot: register.Ballot{Counter: 7, Proposer: first}})
	s.wantCode(err, result.OK)
	st := s.start("a", false)
	if second := st.proposer(); second == first {
		t.Errorf("two incarnations propose as %s", second)
	}
	if st.highestBallot() != 7 {
		t.Errorf("the counter begins at %d, 7 was promised", st.highestBallot())
	}
	s.wipe("a")
	if third := s.stores["a"].proposer(); third == first || third == st.proposer() {
		t.Errorf("another disk proposes as %s", third)
	}
}

// What was applied and is not durable yet is not acknowledged: a power loss may undo it.
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

// A machine that comes after the first start takes the membership from those that are there, not from its list of seeds.
func TestLateMachineBuildsNoMembership(t *testing.T) {
	s := newStoreCluster(t)
	s.first = membership.Bootstrap(3, []string{"b", "c", "d"})
	s.dirs["d"] = t.TempDir()
	st := s.start("d", false)
	if m := st.currentMembership(); m.Epoch != 0 {
		t.Errorf("it knows %+v", m)
	}
	s.wantCode(st.learnMembership(s.stores["a"].currentMembership()), result.OK)
	if _, _, seated := st.self(); seated {
		t.Error("it holds a seat that nobody gave it")
	}
}

// Bad input: each is rejected with the code of its error, and changes nothing.
func TestImpossibleMessagesChangeNothing(t *testing.T) {
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
		"two of one disk":      {bad(func(m *membership.Membership) { m.Seats[1].ID = m.Seats[0].ID }), result.MembershipInvalid},
		"two at one address":   {bad(func(m *membership.Membership) { m.Seats[1].Address = m.Seats[0].Address }), result.MembershipInvalid},
		"epoch zero":           {bad(func(m *membership.Membership) { m.Epoch = 0 }), result.MembershipInvalid},
		"made on a later one":  {bad(func(m *membership.Membership) { m.BaseEpoch = 9 }), result.MembershipInvalid},
		"another of one epoch": {bad(func(m *membership.Membership) { m.Seats[2].Address = "x" }), result.MembershipInvalid},
		"another deployment":   {bad(func(m *membership.Membership) { m.Deployment = "x"; m.Epoch = 9 }), result.WrongDeployment},
		"another replica":      {target{good.Membership, "x"}, result.WrongReplica},
	}
	for name, one := range cases {
		err := s.accept("a", one.to, 5, "value")
		if result.CodeOf(err) != one.want {
			t.Errorf("%s: %v, code %d wanted", name, err, one.want)
		}
	}
	if st := s.stores["a"]; len(st.registers) != 0 || !st.membership.Equal(good.Membership) {
		t.Error("something was changed")
	}
	if _, err := openStore(s.dirs["a"], "b", s.first, false); result.CodeOf(err) != result.WrongDisk {
		t.Errorf("the disk of another machine: %v", err)
	}
}
