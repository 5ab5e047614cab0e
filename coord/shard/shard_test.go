package shard

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func record(key string, token, sequence int64) Record {
	return Record{Key: key, Version: Version{token, sequence}, Value: []byte(key)}
}

func TestRecordSetKeepsNewestVersion(t *testing.T) {
	s := NewRecordSet()
	if !s.Apply(record("a", 1, 2)) || s.Apply(record("a", 1, 1)) || s.Apply(record("a", 1, 2)) || !s.Apply(record("a", 2, 1)) {
		t.Error("a record set did not apply exactly the newer versions")
	}
	s.Apply(Record{Key: "a", Version: Version{2, 2}, Deleted: true})
	if s.Len() != 0 {
		t.Error("a deleted record is still in the set")
	}
}

// Record sets with equal records have equal digests in whatever order the records were applied; another version of one record
// changes exactly one digest.
func TestDigestsDifferWithVersions(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("digests depend on the versions of records but not on their order", prop.ForAll(func(keys []string) bool {
		ascending, descending := NewRecordSet(), NewRecordSet()
		for i, key := range keys {
			ascending.Apply(record(key, 1, int64(i+1)))
		}
		for i := len(keys) - 1; i >= 0; i-- {
			descending.Apply(record(keys[i], 1, int64(i+1)))
		}
		if len(DifferingBuckets(ascending.Digests(), descending.Digests())) != 0 {
			return false
		}
		if len(keys) == 0 {
			return true
		}
		descending.Apply(record(keys[0], 2, 1))
		return len(DifferingBuckets(ascending.Digests(), descending.Digests())) == 1
	}, gen.SliceOf(gen.Identifier())))
	properties.TestingRun(t)
}

func TestRepairBringsReplicaInSync(t *testing.T) {
	set := NewRecordSet()
	for i, key := range []string{"a", "b", "c", "d"} {
		set.Apply(record(key, 1, int64(i+1)))
	}
	p := NewPrimary(2, set, 3, 2)
	replica := NewReplica(false)
	replica.LearnToken(1)
	replica.Records.Apply(record("a", 1, 1))
	replica.Records.Apply(record("stale", 1, 9)) // never acknowledged by a quorum
	ranges, upTo := p.BeginRepair(0, replica.Records.Digests())
	if !replica.Repair(2, 1, ranges, true) || !replica.Voter || replica.InSyncToken != 2 {
		t.Fatalf("replica after the repair: %+v", replica)
	}
	if len(DifferingBuckets(set.Digests(), replica.Records.Digests())) != 0 {
		t.Error("the replica's digests differ from the owner's after the repair")
	}
	if _, found := replica.Records.Get("stale"); found {
		t.Error("the repair did not remove a record that the owner does not have")
	}
	p.Acknowledge(0, upTo)
}

func TestOlderOwnerIsFenced(t *testing.T) {
	replica := NewReplica(true)
	replica.Repair(3, 1, nil, true)
	if !replica.Write(3, []Record{record("a", 3, 1)}) {
		t.Error("the owner's write was rejected")
	}
	replica.Fence(4)
	if replica.Write(3, []Record{record("a", 3, 2)}) || replica.Fence(3) || replica.Repair(3, 1, nil, true) {
		t.Error("a message with an older fencing token was accepted")
	}
	if replica.Write(4, nil) {
		t.Error("a replica accepted a write from an owner with which it is not in sync")
	}
}

func TestCommittedNeedsQuorum(t *testing.T) {
	p := NewPrimary(1, NewRecordSet(), 3, 2)
	for i := range 3 {
		p.BeginRepair(i, p.Records.Digests())
	}
	n := p.Put("a", []byte("x"))
	p.Acknowledge(0, n)
	if p.Committed() >= n {
		t.Error("committed after the acknowledgement of one replica of three")
	}
	p.Acknowledge(2, n)
	if p.Committed() != n {
		t.Errorf("committed up to %d, want %d", p.Committed(), n)
	}
	p.MarkOutOfSync(2)
	if p.Committed() >= n {
		t.Error("a replica that is out of sync counts for the quorum")
	}
}

func TestTakePendingRemovesChanges(t *testing.T) {
	p := NewPrimary(1, NewRecordSet(), 3, 2)
	p.BeginRepair(1, p.Records.Digests())
	p.Put("a", []byte("x"))
	p.Put("a", []byte("y"))
	p.Delete("b")
	records, upTo := p.TakePending(1)
	if len(records) != 2 || upTo != 3 || p.HasPending(1) || p.HasPending(0) {
		t.Errorf("records %+v up to %d", records, upTo)
	}
}

func TestNewestInSyncReturnsHighestToken(t *testing.T) {
	got := NewestInSync(map[int]FenceResponse{0: {InSyncToken: 3}, 1: {InSyncToken: 5}, 2: {InSyncToken: 5}})
	if len(got) != 2 || got[0] != 1 || got[1] != 2 {
		t.Errorf("replicas %v, want [1 2]", got)
	}
}

// A repair message that was delayed by a network partition must not undo later writes.
func TestDelayedRepairIsRejected(t *testing.T) {
	replica := NewReplica(true)
	old := []BucketContent{{Bucket: int64(BucketOf("a")), Records: []Record{record("a", 1, 1)}}}
	replica.Repair(3, 2, nil, true)
	replica.Write(3, []Record{record("a", 3, 7)})
	if replica.Repair(3, 1, old, true) {
		t.Error("a delayed message of an earlier repair was applied")
	}
	if got, _ := replica.Records.Get("a"); got.Version.Sequence != 7 {
		t.Errorf("record after the delayed message: %+v", got)
	}
	if !replica.Repair(4, 1, nil, true) {
		t.Error("the first repair of the next owner was rejected")
	}
}

// A learner is kept in sync but counts for no quorum, because a concurrent membership without it may be chosen.
func TestLearnerCountsForNoQuorum(t *testing.T) {
	p := NewPrimary(1, NewRecordSet(), 3, 2)
	p.SetVoter(0, false)
	for replica := range 3 {
		p.BeginRepair(replica, NewRecordSet().Digests())
	}
	n := p.Put("key", []byte("v"))
	p.Acknowledge(0, n)
	p.Acknowledge(1, n)
	if p.Committed() >= n || !p.HasAcknowledged(0, n) {
		t.Error("a learner's acknowledgement counted for the quorum, or was not recorded")
	}
	p.SetVoter(0, true)
	if p.Committed() != n {
		t.Error("acknowledgements of a former learner do not count after it became a voter")
	}
}

// An owner that was deposed without knowing it may repair a new replica before the replica's disk has learnt the newer token
// from a quorum. The records of that repair may lack changes that the newer owner has committed.
func TestRepairByDeposedOwnerMakesNoVoter(t *testing.T) {
	replica := NewReplica(true)
	replica.Invalidate()
	if !replica.Repair(3, 1, nil, true) || replica.Voter {
		t.Error("a replica became a voter by a repair before its disk had learnt the tokens from a quorum")
	}
	replica.LearnToken(4)
	if replica.Voter || replica.Repair(3, 2, nil, true) {
		t.Error("the replica is a voter with the state of a deposed owner, or accepted another repair by it")
	}
	if !replica.Repair(4, 1, nil, true) || !replica.Voter {
		t.Error("the replica is no voter after the repair by the newer owner")
	}
	repaired := NewReplica(false)
	repaired.Repair(3, 1, nil, true)
	repaired.LearnToken(3)
	if !repaired.Voter {
		t.Error("an earlier repair by the newest owner does not count")
	}
}
