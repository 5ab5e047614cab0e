package shard

import "slices"

// Primary is the owner's side of the replication: what each replica has yet to be told, and up to where
// a majority has stored the changes. It is pure; the caller carries the writes.
type Primary struct {
	Token    int64
	Set      *Set
	sequence int64
	quorum   int
	peers    []peer
}

type peer struct {
	votes   bool // its acknowledgements count
	inStep  bool
	acked   int64 // all changes up to this one are stored there
	pending map[string]bool
}

// NewPrimary returns the owner's state over a merged set of records. All replicas vote until SetVoter says otherwise.
func NewPrimary(token int64, set *Set, replicas, quorum int) *Primary {
	p := &Primary{Token: token, Set: set, quorum: quorum, peers: make([]peer, replicas)}
	for i := range p.peers {
		p.peers[i].pending = map[string]bool{}
		p.peers[i].votes = true
	}
	return p
}

// Put changes a record and returns the number of the change.
func (p *Primary) Put(key string, value []byte) int64 { return p.change(key, value, false) }

// Delete drops a record and returns the number of the change.
func (p *Primary) Delete(key string) int64 { return p.change(key, nil, true) }

func (p *Primary) change(key string, value []byte, deleted bool) int64 {
	p.sequence++
	version := Version{Token: p.Token, Sequence: p.sequence}
	p.Set.Apply(Record{Key: key, Version: version, Value: value, Deleted: deleted})
	for i := range p.peers {
		if p.peers[i].inStep {
			p.peers[i].pending[key] = true
		}
	}
	return p.sequence
}

// Sequence returns the number of the last change.
func (p *Primary) Sequence() int64 { return p.sequence }

// Quorum returns how many replicas have to store a change.
func (p *Primary) Quorum() int { return p.quorum }

// InStep reports whether a replica takes writes.
func (p *Primary) InStep(replica int) bool { return p.peers[replica].inStep }

// BeginRepair returns the key ranges in which a replica with these digests differs, with their records, and the
// number of the last change that they cover. Changes from now on are pending for it.
func (p *Primary) BeginRepair(replica int, digests []int64) ([]Range, int64) {
	ranges := Ranges(p.Set, digests)
	p.peers[replica].inStep = true
	clear(p.peers[replica].pending)
	return ranges, p.sequence
}

// Lost notes that a replica has to be repaired before it counts again.
func (p *Primary) Lost(replica int) {
	p.peers[replica].inStep = false
	p.peers[replica].acked = 0
	clear(p.peers[replica].pending)
}

// Next returns what a replica has to be told and the number of the change up to which that brings it.
func (p *Primary) Next(replica int) ([]Record, int64) {
	pending := p.peers[replica].pending
	records := make([]Record, 0, len(pending))
	for key := range pending {
		record, ok := p.Set.Get(key)
		if !ok {
			record = Record{Key: key, Version: Version{Token: p.Token, Sequence: p.sequence}, Deleted: true}
		}
		records = append(records, record)
	}
	clear(pending)
	return records, p.sequence
}

// HasPending reports whether a replica has yet to be told anything.
func (p *Primary) HasPending(replica int) bool { return len(p.peers[replica].pending) > 0 }

// Acked notes that a replica stores all changes up to one.
func (p *Primary) Acked(replica int, sequence int64) {
	p.peers[replica].acked = max(p.peers[replica].acked, sequence)
}

// SetVoter notes whether what a replica stores counts. A learner is kept in step and counts for nothing.
func (p *Primary) SetVoter(replica int, votes bool) { p.peers[replica].votes = votes }

// Holds reports whether a replica stores all changes up to one.
func (p *Primary) Holds(replica int, sequence int64) bool {
	return p.peers[replica].inStep && p.peers[replica].acked >= sequence
}

// Committed returns the number of the change up to which a quorum of voters stores all.
func (p *Primary) Committed() int64 {
	acked := make([]int64, len(p.peers))
	for i, one := range p.peers {
		if one.votes {
			acked[i] = one.acked
		}
	}
	slices.Sort(acked)
	return acked[len(acked)-p.quorum]
}

// Everywhere returns the number of the change up to which every replica stores all. Records are only
// dropped when no replica can bring an older state of them back.
func (p *Primary) Everywhere() int64 {
	least := p.sequence
	for _, one := range p.peers {
		if !one.inStep {
			return 0
		}
		least = min(least, one.acked)
	}
	return least
}

// Sealed is a replica's answer to a seal.
type Sealed struct {
	InStep  int64
	Digests []int64
}

// Newest returns which of the sealed replicas were in step with the newest owner; only their records are
// merged, since each change that was acknowledged is at one of them.
func Newest(answers map[int]Sealed) []int {
	newest := int64(0)
	for _, a := range answers {
		newest = max(newest, a.InStep)
	}
	var found []int
	for replica, a := range answers {
		if a.InStep == newest {
			found = append(found, replica)
		}
	}
	slices.Sort(found)
	return found
}
