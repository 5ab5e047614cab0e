// Package shard replicates the records of a shard from its single owner to the replicas of the core.
//
// The protocol is primary-backup replication with fencing tokens, after L. Lamport, D. Malkhi and L. Zhou, "Vertical Paxos and
// Primary-Backup Replication" (2009): the register that holds the shard's owner replaces the configuration master, and the
// owner's fencing token replaces the ballot. A new owner
//
//  1. fences a quorum of replicas with its token, so that no earlier owner can commit further changes,
//  2. takes over the records of one replica among them: of those that were in sync with the newest previous owner
//     (NewestInSync), the one that holds the most of its changes (MostCurrent),
//  3. repairs a quorum of replicas, which are then in sync with it, and
//  4. writes records, each with a version; a change is committed once a quorum of voters has acknowledged it.
//
// Deletions leave no tombstone. Instead each replica stores its position, up to which it holds all changes of its owner: a
// record that is missing there was deleted, and an older replica that still has it is never merged. With each message the owner
// sends a digest of its records, and the replica refuses a message after which it would hold other ones.
//
// There is no log. A replica that has fallen behind is repaired by comparing digests of hash buckets (anti-entropy repair,
// as in G. DeCandia et al., "Dynamo" (2007), section 4.7, with a single level instead of a Merkle tree).
//
// The types are pure state machines without a clock or I/O: the caller transports the messages and makes a Replica's state
// durable before it sends a response.
package shard

// Replica is the durable state of a shard on one core machine.
type Replica struct {
	Records *RecordSet
	// FencingToken is the highest fencing token seen; messages with a lower one are rejected. It never decreases.
	FencingToken int64
	// InSyncToken is the token of the owner with which the replica is in sync: the last owner that has repaired it
	// completely, or 0 if there is none. It is at most FencingToken.
	InSyncToken int64
	// LastRepair is the number of the last repair by the owner with token FencingToken.
	LastRepair int64
	// Voter is false while the replica may lack a change that a member in its seat has acknowledged. Its acknowledgements
	// and its records then count for no quorum.
	Voter bool
	// TokensLearned is true once this disk has learnt the tokens of all shards from a quorum. Deposed owners are fenced from then
	// on, so a completed repair makes the replica a voter.
	TokensLearned bool
}

// NewReplica returns an empty replica. It is a voter from the start if trusted is set, which requires that the disk knows
// the tokens of all shards.
func NewReplica(trusted bool) *Replica {
	return &Replica{Records: NewRecordSet(), Voter: trusted, TokensLearned: trusted}
}

// Fence sets the fencing token below which messages are rejected. It reports false, and changes nothing, if the replica
// knows a higher token.
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

// Write applies records of the owner with a fencing token. It reports false, and changes nothing, if the token is not the
// highest one seen or the replica is not in sync with that owner.
func (r *Replica) Write(token int64, records []Record) bool {
	if token != r.FencingToken || r.InSyncToken != token {
		return false
	}
	for _, record := range records {
		r.Records.Apply(record)
	}
	return true
}

// ReplaceBuckets replaces the content of buckets with that of another replica. This shortens a later repair but does not
// bring the replica in sync.
func (r *Replica) ReplaceBuckets(ranges []BucketContent) {
	for _, replacement := range ranges {
		r.Records.ReplaceBucket(int(replacement.Bucket), replacement.Records)
	}
}

// Invalidate records that the replica may have missed changes. It is not in sync until the next repair, and not a voter until
// LearnToken and a repair.
func (r *Replica) Invalidate() {
	r.Voter = false
	r.TokensLearned = false
	r.InSyncToken = 0
}

// LearnToken handles the highest fencing token of the shard that a quorum knows. If the owner with that token or a later one
// has already repaired the replica, the replica becomes a voter. A repair by an earlier owner does not count, because that
// owner may have been deposed without knowing it.
func (r *Replica) LearnToken(token int64) {
	r.Fence(token)
	r.TokensLearned = true
	r.Voter = r.InSyncToken > 0 && r.InSyncToken >= token
}

// Repair replaces the content of buckets with that of the owner with a fencing token. The last message of a repair brings the
// replica in sync. Number counts the owner's repairs of this replica, so that a delayed message of an earlier repair cannot
// undo later changes. Repair reports false, and changes nothing, if the message is outdated.
func (r *Replica) Repair(token, number int64, ranges []BucketContent, last bool) bool {
	if token == r.FencingToken && number < r.LastRepair {
		return false
	}
	if !r.Fence(token) {
		return false
	}
	r.LastRepair = number
	r.ReplaceBuckets(ranges)
	if last {
		r.InSyncToken = token
		r.Voter = r.Voter || r.TokensLearned
	}
	return true
}
