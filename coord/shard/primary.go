package shard

import "slices"

// Primary is the owner's part of the replication: the changes that each replica has yet to be sent, and the change up to
// which a quorum has acknowledged. It is a pure state machine; the caller carries the writes.
type Primary struct {
	Token    int64 // the owner's fencing token
	Records  *RecordSet
	sequence int64 // the number of the last change; the first has 1
	quorum   int
	replicas []replicaProgress
}

// replicaProgress is what the owner knows of one replica.
type replicaProgress struct {
	voter   bool            // its acknowledgements count for the quorum
	inSync  bool            // it is repaired, or being repaired, and is sent all changes since
	acked   int64           // it stores all changes up to this one; 0 if it is not in sync
	pending map[string]bool // keys changed since the last batch; empty if it is not in sync
}

// NewPrimary returns the owner's state over a merged set of records. All replicas are voters, and none is in sync.
func NewPrimary(token int64, set *RecordSet, replicas, quorum int) *Primary {
	p := &Primary{Token: token, Records: set, quorum: quorum, replicas: make([]replicaProgress, replicas)}
	for i := range p.replicas {
		p.replicas[i].pending = map[string]bool{}
		p.replicas[i].voter = true
	}
	return p
}

// Put changes a record and returns the number of the change.
func (p *Primary) Put(key string, value []byte) int64 { return p.write(key, value, false) }

// Delete removes a record and returns the number of the change.
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

// Sequence returns the number of the last change.
func (p *Primary) Sequence() int64 { return p.sequence }

// Quorum returns the number of voters that have to acknowledge a change.
func (p *Primary) Quorum() int { return p.quorum }

// InSync reports whether a replica is in sync, so that it is sent changes.
func (p *Primary) InSync(replica int) bool { return p.replicas[replica].inSync }

// BeginRepair returns the key ranges, with their records, in which a replica with the given digests differs from the
// owner, and the number of the last change that they contain. Later changes are pending for the replica.
func (p *Primary) BeginRepair(replica int, digests []int64) ([]Range, int64) {
	ranges := DifferingRanges(p.Records, digests)
	p.replicas[replica].inSync = true
	clear(p.replicas[replica].pending)
	return ranges, p.sequence
}

// MarkOutOfSync records that a replica is out of sync: it has to be repaired before it counts again.
func (p *Primary) MarkOutOfSync(replica int) {
	p.replicas[replica].inSync = false
	p.replicas[replica].acked = 0
	clear(p.replicas[replica].pending)
}

// TakePending returns the records that are pending for a replica, which are no longer pending then, and the number of the change
// up to which the replica is once it stores them.
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

// Acknowledge records that a replica stores all changes up to one.
func (p *Primary) Acknowledge(replica int, sequence int64) {
	p.replicas[replica].acked = max(p.replicas[replica].acked, sequence)
}

// SetVoter sets whether a replica's acknowledgements count. A learner is kept in sync and counts for no quorum.
func (p *Primary) SetVoter(replica int, voter bool) { p.replicas[replica].voter = voter }

// HasAcknowledged reports whether a replica is in sync and has acknowledged all changes up to one.
func (p *Primary) HasAcknowledged(replica int, sequence int64) bool {
	return p.replicas[replica].inSync && p.replicas[replica].acked >= sequence
}

// Committed returns the number of the change up to which a quorum of voters has acknowledged.
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

// FenceResponse is a replica's answer to a new owner's fencing message.
type FenceResponse struct {
	InSyncToken int64 // as Replica.InSyncToken
	Digests     []int64
}

// NewestInSync returns, in ascending order, the replicas that were in sync with the newest owner among all that answered. Only
// their records are merged: each committed change is at one of them, and others may have records that never committed.
func NewestInSync(answers map[int]FenceResponse) []int {
	newest := int64(0)
	for _, a := range answers {
		newest = max(newest, a.InSyncToken)
	}
	var found []int
	for replica, a := range answers {
		if a.InSyncToken == newest {
			found = append(found, replica)
		}
	}
	slices.Sort(found)
	return found
}
