// Package core is the scheduler on core machines: it keeps what must last, serves the operator, and owns
// shards of jobs. The deciding parts are packages of their own (coord, jobs); here are their drivers.
package core

import (
	"sedgevale/coord/membership"
	"sedgevale/coord/register"
	"sedgevale/coord/shard"
)

// The methods of the internal protocol that core schedulers serve.
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

// target says which replica a message is meant for, and under which membership. A replica answers just messages for
// itself and of the epoch that it has reached; it takes over a newer membership that a message brings, since only chosen
// ones are sent.
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

type learnRequest struct {
	Name   string
	Ballot register.Ballot
	Value  []byte
}

type empty struct{}

// ackResponse is the answer of a replica that has nothing more to tell.
type ackResponse struct{ From origin }

func (r *ackResponse) from() origin { return r.From }

type sealRequest struct {
	To    target
	Shard string
	Token int64
}

type sealResponse struct {
	From    origin
	Voter   bool // it has not forgotten what its seat stored of the shard
	InSync  int64
	Digests []int64
}

func (r *sealResponse) from() origin { return r.From }

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

// prefetchRequest asks any core scheduler for what it stores of a shard and the sender does not. The copy counts for nothing
// before an owner has repaired it; it only makes that short.
type prefetchRequest struct {
	Shard   string
	Digests []int64
}

type prefetchResponse struct {
	Ranges []shard.Range
}

type repairRequest struct {
	To     target
	Shard  string
	Token  int64
	Number int64 // of the owner's repairs of this replica
	Ranges []shard.Range
	Last   bool
}

type writeRequest struct {
	To      target
	Shard   string
	Token   int64
	Records []shard.Record
}

// stateRequest asks a voter for all that a learner has to hold before it votes.
type stateRequest struct{ To target }

type stateResponse struct {
	From      origin
	Registers map[string]register.Acceptor
	Shards    map[string]int64 // the highest fencing token that was met
}

func (r *stateResponse) from() origin { return r.From }

// memberTimedOutRequest asks whether the holder of a seat has not been heard for so long that the seat may be given away.
type memberTimedOutRequest struct {
	Member  string
	Address string
}

type memberTimedOutResponse struct {
	TimedOut bool
}

// pingMessage is what core schedulers tell each other all the time, both as a call and as its answer.
type pingMessage struct {
	Address    string
	Zone       string
	Member     string // the disk of the sender
	Membership membership.Membership
	Known      []string // core schedulers that the sender has heard of lately
	Claims     []ownershipClaim
	Accepted   map[string]register.Ballot // what the sender's replica has accepted last
	Draining   bool
}

// ownershipClaim says that the sender owns a shard and had a quorum for it a moment ago.
type ownershipClaim struct {
	Shard  string
	Token  int64
	Fresh  bool
	InSync int64 // replicas that hold all that was committed, without those that are about to leave
}
