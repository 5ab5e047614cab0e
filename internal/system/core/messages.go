package core

import (
	"sedgevale/coord/membership"
	"sedgevale/coord/register"
	"sedgevale/coord/shard"
)

// All messages are encoded as Avro records. The order and the types of the fields define the encoding and must not change.

// The methods of the internal protocol that core schedulers serve. Their values are part of the protocol and must not
// change.
const (
	methodPrepare        = "register.prepare"
	methodAccept         = "register.accept"
	methodReadAccepted   = "register.peek"
	methodLearn          = "register.learn"
	methodFence          = "shard.seal"
	methodFetch          = "shard.fetch"
	methodPrefetch       = "shard.copy"
	methodRepair         = "shard.repair"
	methodWrite          = "shard.write"
	methodState          = "membership.state"
	methodMemberTimedOut = "membership.silent"
	methodPing           = "core.ping"
)

// target names the replica that a request is addressed to and the membership under which it is sent. A replica rejects
// requests for another replica or of an older epoch. It installs a newer membership found in a request, since only chosen
// memberships are sent.
type target struct {
	Membership membership.Membership
	Member     string // ID of the replica's disk
}

// origin names the replica that sent a response and the epoch under which it did.
type origin struct {
	Member string // ID of the replica's disk
	Epoch  int64
}

// replicaResponse is a response that names its origin.
type replicaResponse interface{ from() origin }

// prepareRequest asks a voter to promise that it rejects lower ballots of a register (Paxos phase 1).
type prepareRequest struct {
	To     target
	Name   string
	Ballot register.Ballot
	Known  register.Ballot // ballot whose value the proposer has; the response omits a value accepted under it
}

type prepareResponse struct {
	From    origin
	Promise register.Promise
}

func (r *prepareResponse) from() origin { return r.From }

// acceptRequest asks a voter to accept a value under a ballot (Paxos phase 2).
type acceptRequest struct {
	To     target
	Name   string
	Ballot register.Ballot
	Value  []byte
}

type acceptResponse struct {
	From     origin
	Accepted bool
}

func (r *acceptResponse) from() origin { return r.From }

// readAcceptedRequest asks a voter for the ballot and the value that it accepted last, without a promise.
type readAcceptedRequest struct {
	To    target
	Name  string
	Known register.Ballot // ballot whose value the reader has
}

type readAcceptedResponse struct {
	From     origin
	Accepted register.Ballot
	Value    []byte // omitted if Accepted equals the request's Known
}

func (r *readAcceptedResponse) from() origin { return r.From }

// learnRequest announces that a register's value was chosen.
type learnRequest struct {
	Name   string
	Ballot register.Ballot
	Value  []byte // empty if the receiver is a voter, which is sent the value in the accept phase
}

// empty is a response without content.
type empty struct{}

// ackResponse acknowledges a repair or a write.
type ackResponse struct{ From origin }

func (r *ackResponse) from() origin { return r.From }

// sealRequest asks a replica to reject all owners of a shard with a lower fencing token.
type sealRequest struct {
	To    target
	Shard string
	Token int64
}

type sealResponse struct {
	From        origin
	Voter       bool    // whether the replica holds all changes that members in its seat have acknowledged
	InSyncToken int64   // fencing token of the last owner that the replica was in sync with; 0 if none
	Digests     []int64 // digests of the replica's buckets
}

func (r *sealResponse) from() origin { return r.From }

// fetchRequest asks a replica for the records of the given buckets.
type fetchRequest struct {
	To      target
	Shard   string
	Buckets []int64
}

type fetchResponse struct {
	From   origin
	Ranges []shard.BucketContent
}

func (r *fetchResponse) from() origin { return r.From }

// prefetchRequest asks a core scheduler for the buckets of a shard in which its replica differs from the sender's.
// Prefetched records do not count as replicated until an owner has repaired the replica; they only shorten that repair.
type prefetchRequest struct {
	Shard   string
	Digests []int64 // digests of the sender's buckets
}

type prefetchResponse struct {
	Ranges []shard.BucketContent
}

// repairRequest replaces buckets of a replica by the owner's.
type repairRequest struct {
	To           target
	Shard        string
	Token        int64
	RepairNumber int64 // counts the owner's repairs of this replica
	Ranges       []shard.BucketContent
	Last         bool // whether the replica is in sync after this request
}

// writeRequest replicates changed records.
type writeRequest struct {
	To      target
	Shard   string
	Token   int64
	Records []shard.Record // empty in a heartbeat
}

// stateRequest asks a voter for the state that a learner must restore before it becomes a voter.
type stateRequest struct{ To target }

type stateResponse struct {
	From      origin
	Registers map[string]register.Acceptor
	Shards    map[string]int64 // highest fencing token seen, keyed by shard
}

func (r *stateResponse) from() origin { return r.From }

// memberTimedOutRequest asks whether a member has timed out for the receiver too.
type memberTimedOutRequest struct {
	Member  string // ID of the member's disk
	Address string
}

type memberTimedOutResponse struct {
	TimedOut bool
}

// pingMessage is the heartbeat between core schedulers. It is both the request and the response.
type pingMessage struct {
	Address    string
	Zone       string
	Member     string // ID of the sender's disk
	Membership membership.Membership
	Alive      []string // addresses of the core schedulers that the sender considers alive
	Claims     []ownershipClaim
	Accepted   map[string]register.Ballot // last ballot accepted by the sender's replica, keyed by register
	Draining   bool
}

// ownershipClaim announces that the sender owns a shard.
type ownershipClaim struct {
	Shard      string
	Token      int64 // fencing token of the ownership
	LeaseValid bool
	InSync     int64 // number of voters that hold all committed changes, excluding draining ones
}
