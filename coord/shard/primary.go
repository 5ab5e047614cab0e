package shard

import "slices"

// Primary is the replication state of a shard's owner: for each replica the changes that are not yet sent and the sequence
// number that it has acknowledged. It is a pure state machine; the caller sends the writes.
type Primary struct {
	Token    int64 // the owner's fencing token
	Records  *RecordSet
	sequence int64 // sequence number of the last change; the first change has 1
	quorum   int
	replicas []replicaProgress
}

// replicaProgress is the replication progress of one replica.
type replicaProgress struct {
	voter   bool            // whether its acknowledgements count for the quorum
	inSync  bool            // whether the replica is repaired or being repaired, and is sent all later changes
	acked   int64           // sequence number up to which it stores all changes; 0 if it is not in sync
	pending map[string]bool // keys changed since the last batch; empty if the replica is not in sync
}

// NewPrimary returns the state of a new owner with a merged set of records. All replicas are voters, and none is in sync.
func NewPrimary(token int64, set *RecordSet, replicas, quorum int) *Primary {
	p := &Primary{Token: token, Records: set, quorum: quorum, replicas: make([]replicaProgress, replicas)}
	for i := range p.replicas {
		p.replicas[i].pending = map[string]bool{}
		p.replicas[i].voter = true
	}
	return p
}

// Put sets the value of a key and returns the sequence number of the change.
func (p *Primary) Put(key string, value []byte) int64 { return p.write(key, value, false) }

// Delete removes a key and returns the sequence number of the change.
func (p *Primary) Delete(key string) int64 { return p.write(key, nil, true) }

func (p *Primary) write(key string, value []byte, deleted bool) int64 {
	p.sequence++
	version := Version{Token: p.Token, Sequence: p.sequence}
	p.Records.Apply(Record{Key: key, Version: version, Value: value, Deleted: deleted})
	for i := range p.replicas {
		if p.replicas[i].inSync {
			p.replicas[i].pending[key] = true
		}
	}
	return p.sequence
}

// Sequence returns the sequence number of the last change.
func (p *Primary) Sequence() int64 { return p.sequence }

// Quorum returns the number of voters that must acknowledge a change before it is committed.
func (p *Primary) Quorum() int { return p.quorum }

// InSync reports whether a replica is in sync and is therefore sent changes.
func (p *Primary) InSync(replica int) bool { return p.replicas[replica].inSync }

// BeginRepair returns the content of the buckets in which a replica with the given digests differs from the owner, and the
// sequence number of the last change that it includes, which becomes the replica's position. The content includes
// PositionBucket in any case. Later changes become pending for the replica.
func (p *Primary) BeginRepair(replica int, digests []int64) ([]BucketContent, int64) {
	p.Records.Apply(p.positionRecord())
	ranges := DifferingBucketContents(p.Records, withoutDigest(digests, int(PositionBucket)))
	p.replicas[replica].inSync = true
	clear(p.replicas[replica].pending)
	return ranges, p.sequence
}

// MarkOutOfSync records that a replica is out of sync: it must be repaired before its acknowledgements count again.
func (p *Primary) MarkOutOfSync(replica int) {
	p.replicas[replica].inSync = false
	p.replicas[replica].acked = 0
	clear(p.replicas[replica].pending)
}

// NextWrite removes and returns the records to write to a replica, which include its position unless there are none, and the
// sequence number up to which the replica is complete once it stores them.
func (p *Primary) NextWrite(replica int) ([]Record, int64) {
	records, upTo := p.TakePending(replica)
	if len(records) > 0 {
		records = append(records, p.positionRecord())
	}
	return records, upTo
}

// positionRecord returns the position of a replica that holds all changes so far.
func (p *Primary) positionRecord() Record {
	return positionRecord(Version{Token: p.Token, Sequence: p.sequence}, p.Records.stateDigest())
}

// TakePending removes and returns the records that are pending for a replica, and the sequence number up to which the
// replica is complete once it stores them.
func (p *Primary) TakePending(replica int) ([]Record, int64) {
	pending := p.replicas[replica].pending
	records := make([]Record, 0, len(pending))
	for key := range pending {
		record, ok := p.Records.Get(key)
		if !ok {
			record = Record{Key: key, Version: Version{Token: p.Token, Sequence: p.sequence}, Deleted: true}
		}
		records = append(records, record)
	}
	clear(pending)
	return records, p.sequence
}

// HasPending reports whether changes are pending for a replica.
func (p *Primary) HasPending(replica int) bool { return len(p.replicas[replica].pending) > 0 }

// Acknowledge records that a replica stores all changes up to a sequence number.
func (p *Primary) Acknowledge(replica int, sequence int64) {
	p.replicas[replica].acked = max(p.replicas[replica].acked, sequence)
}

// SetVoter sets whether a replica's acknowledgements count for the quorum. A learner is kept in sync but does not count.
func (p *Primary) SetVoter(replica int, voter bool) { p.replicas[replica].voter = voter }

// HasAcknowledged reports whether a replica is in sync and has acknowledged all changes up to a sequence number.
func (p *Primary) HasAcknowledged(replica int, sequence int64) bool {
	return p.replicas[replica].inSync && p.replicas[replica].acked >= sequence
}

// Committed returns the sequence number up to which a quorum of voters has acknowledged all changes.
func (p *Primary) Committed() int64 {
	acked := make([]int64, len(p.replicas))
	for i, replica := range p.replicas {
		if replica.voter {
			acked[i] = replica.acked
		}
	}
	slices.Sort(acked)
	return acked[len(acked)-p.quorum]
}

// FenceResponse is a replica's response to the fencing message of a new owner.
type FenceResponse struct {
	InSyncToken int64   // Replica.InSyncToken of the responding replica
	Digests     []int64 // RecordSet.Digests of its records
}

// NewestInSync returns, in ascending order, the replicas whose InSyncToken is the highest among all responses. At least one of
// them has each committed change, and other replicas may have records that were never committed. A replica keeps its
// InSyncToken when the owner can no longer reach it, so it may lack changes of that owner; see MostCurrent.
func NewestInSync(responses map[int]FenceResponse) []int {
	newest := int64(0)
	for _, r := range responses {
		newest = max(newest, r.InSyncToken)
	}
	var replicas []int
	for replica, r := range responses {
		if r.InSyncToken == newest {
			replicas = append(replicas, replica)
		}
	}
	slices.Sort(replicas)
	return replicas
}
