// Package shard replicates the records of a shard from its single owner to the replicas of the core.
//
// It is primary-backup replication with fencing tokens, after L. Lamport, D. Malkhi and L. Zhou, "Vertical Paxos and
// Primary-Backup Replication" (2009): the register of the shard's owner takes the place of the configuration master, and
// its fencing token that of the ballot. A new owner
//
//  1. fences a quorum of replicas with its token, so that no earlier owner can commit anything more,
//  2. merges the records of those among them that were in sync with the newest owner before it (NewestInSync),
//  3. repairs a quorum of replicas, by which they are in sync with it, and
//  4. writes records, each with a version; a change is committed once a quorum of voters has acknowledged it.
//
// There is no log. A replica that fell behind is repaired by comparing digests of key ranges (anti-entropy repair, as in
// G. DeCandia et al., "Dynamo" (2007), section 4.7, with one level in place of a Merkle tree).
//
// The types are pure state machines without clock and I/O: the caller carries the messages and makes a Replica's state
// durable before it sends an answer.
package shard

// Replica is the durable state that one core machine has of a shard.
type Replica struct {
	Records *RecordSet
	// FencingToken is the highest fencing token met; messages with a lower one are rejected. It never decreases.
	FencingToken int64
	// InSyncToken is the token of the owner with which the replica is in sync: the last one that has repaired it completely.
	// 0 if there is none; at most FencingToken.
	InSyncToken int64
	// LastRepair is the number of the last repair by the owner with token FencingToken.
	LastRepair int64
	// Voter is false while the replica may lack something that the holder of its seat once acknowledged. Its
	// acknowledgements and its records then count for no quorum.
	Voter bool
	// TokenKnown reports that this disk has learnt the tokens of all shards from a quorum: from then on a repair, which can then
	// only be by an owner that is not deposed, makes the replica a voter.
	TokenKnown bool
}

// NewReplica returns an empty replica. On a disk that knows the tokens of all shards (trusted) it is a voter at once.
func NewReplica(trusted bool) *Replica {
	return &Replica{Records: NewRecordSet(), Voter: trusted, TokenKnown: trusted}
}

// Fence rejects all lower fencing tokens from now on. It reports false, and changes nothing, if a higher one is known.
func (r *Replica) Fence(token int64) bool {
	if token < r.FencingToken {
		return false
	}
	if token > r.FencingToken {
		r.LastRepair = 0
	}
	r.FencingToken = token
	return true
}

// Write applies records of the owner with a fencing token. It reports false if the token is not the highest one met, or
// if the replica is not in sync with that owner.
func (r *Replica) Write(token int64, records []Record) bool {
	if token != r.FencingToken || r.InSyncToken != token {
		return false
	}
	for _, record := range records {
		r.Records.Apply(record)
	}
	return true
}

// ReplaceRanges replaces key ranges by those of another replica. It shortens a later repair and has no other effect: the replica
// is not in sync by it.
func (r *Replica) ReplaceRanges(ranges []Range) {
	for _, part := range ranges {
		r.Records.ReplaceBucket(int(part.Bucket), part.Records)
	}
}

// Invalidate records that the replica may have missed changes: it is neither in sync nor a voter until LearnToken and a repair.
func (r *Replica) Invalidate() {
	r.Voter = false
	r.TokenKnown = false
	r.InSyncToken = 0
}

// LearnToken takes the highest fencing token of the shard that a quorum knows. If the owner with that token, or a later one,
// has repaired the replica already, the replica is a voter from now on. A repair by an earlier owner does not count: that
// owner may have been deposed without knowing it.
func (r *Replica) LearnToken(token int64) {
	r.Fence(token)
	r.TokenKnown = true
	r.Voter = r.InSyncToken > 0 && r.InSyncToken >= token
}

// Repair replaces key ranges by those of the owner with a fencing token. The last message of a repair makes the replica in
// sync. Number counts the owner's repairs of this replica: a delayed message of an earlier repair must not undo what came
// after it. It reports false if the message is outdated.
func (r *Replica) Repair(token, number int64, ranges []Range, last bool) bool {
	if token == r.FencingToken && number < r.LastRepair {
		return false
	}
	if !r.Fence(token) {
		return false
	}
	r.LastRepair = number
	r.ReplaceRanges(ranges)
	if last {
		r.InSyncToken = token
		r.Voter = r.Voter || r.TokenKnown
	}
	return true
}
