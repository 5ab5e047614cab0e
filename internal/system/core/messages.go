package core

import (
	"sedgevale/coord/membership"
	"sedgevale/coord/register"
	"sedgevale/coord/shard"
)

// All messages are Avro records: fields are read in their order here, and must be neither moved nor retyped.

// The methods of the internal protocol that core schedulers serve. The names are part of the protocol.
const (
	methodPrepare        = "register.prepare"
	methodAccept         = "register.accept"
	methodReadAccepted   = "register.peek"
	methodLearn          = "register.learn"
	methodSeal           = "shard.seal"
	methodFetch          = "shard.fetch"
	methodPrefetch       = "shard.copy"
	methodRepair         = "shard.repair"
	methodWrite          = "shard.write"
	methodState          = "membership.state"
	methodMemberTimedOut = "membership.silent"
	methodPing           = "core.ping"
)

// target says which replica a message is meant for, and under which membership. A replica answers only messages for
// itself and of the epoch that it has reached; it installs a newer membership that a message brings, since only chosen ones
// are sent.
type target struct {
	Membership membership.Membership
	Member     string
}

// origin says which replica has answered, and under which epoch.
type origin struct {
	Member string
	Epoch  int64
}

// replicaAnswer is an answer that names its origin.
type replicaAnswer interface{ from() origin }

// prepareRequest is the prepare of a register's ballot (Paxos phase 1). The value accepted under Known need not be sent.
type prepareRequest struct {
	To     target
	Name   string
	Ballot register.Ballot
	Known  register.Ballot
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

// readAcceptedRequest asks a voter what it has accepted last. It promises nothing.
type readAcceptedRequest struct {
	To    target
	Name  string
	Known register.Ballot
}

type readAcceptedResponse struct {
	From     origin
	Accepted register.Ballot
	Value    []byte // left out where Accepted is known
}

func (r *readAcceptedResponse) from() origin { return r.From }

// learnRequest announces that a register's value was chosen.
type learnRequest struct {
	Name   string
	Ballot register.Ballot
	Value  []byte // empty to a voter, which has accepted it
}

// empty is an answer without content.
type empty struct{}

// ackResponse acknowledges a repair or a write.
type ackResponse struct{ From origin }

func (r *ackResponse) from() origin { return r.From }

// sealRequest has a replica reject all owners of a shard with a lower fencing token.
type sealRequest struct {
	To    target
	Shard string
	Token int64
}

type sealResponse struct {
	From    origin
	Voter   bool    // it holds all that its seat has acknowledged of the shard
	InSync  int64   // the fencing token of the owner with which the replica was in sync last; 0 for none
	Digests []int64 // of its key ranges
}

func (r *sealResponse) from() origin { return r.From }

// fetchRequest asks for the records of key ranges, by their numbers.
type fetchRequest struct {
	To      target
	Shard   string
	Buckets []int64
}

type fetchResponse struct {
	From   origin
	Ranges []shard.Range
}

func (r *fetchResponse) from() origin { return r.From }

// prefetchRequest asks any core scheduler for the key ranges of a shard in which its replica differs from the sender's.
// What is prefetched does not count as replicated before an owner has repaired it; it only makes that repair short.
type prefetchRequest struct {
	Shard   string
	Digests []int64 // of the sender's key ranges
}

type prefetchResponse struct {
	Ranges []shard.Range
}

// repairRequest brings key ranges of a replica to the owner's state.
type repairRequest struct {
	To     target
	Shard  string
	Token  int64
	Number int64 // of the owner's repairs of this replica
	Ranges []shard.Range
	Last   bool // the replica is in sync after it
}

// writeRequest replicates changed records.
type writeRequest struct {
	To      target
	Shard   string
	Token   int64
	Records []shard.Record // none in a heartbeat
}

// stateRequest asks a voter for all that a learner has to hold before it votes.
type stateRequest struct{ To target }

type stateResponse struct {
	From      origin
	Registers map[string]register.Acceptor
	Shards    map[string]int64 // the highest fencing token that was met, by shard
}

func (r *stateResponse) from() origin { return r.From }

// memberTimedOutRequest asks whether the holder of a seat has timed out for the receiver too.
type memberTimedOutRequest struct {
	Member  string // the ID of its disk
	Address string
}

type memberTimedOutResponse struct {
	TimedOut bool
}

// pingMessage is the heartbeat between core schedulers, both the call and its answer.
type pingMessage struct {
	Address    string
	Zone       string
	Member     string // the ID of the sender's disk
	Membership membership.Membership
	Known      []string // core schedulers that are alive for the sender
	Claims     []ownershipClaim
	Accepted   map[string]register.Ballot // what the sender's replica has accepted last, by register
	Draining   bool
}

// ownershipClaim says that the sender owns a shard.
type ownershipClaim struct {
	Shard  string
	Token  int64 // its fencing token
	Fresh  bool  // its lease is valid
	InSync int64 // voters that hold all that was committed, without those that drain
}
