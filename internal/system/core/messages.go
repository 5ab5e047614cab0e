// Package core is the scheduler on core machines: it keeps what must last, serves the operator, and owns
// shards of jobs. The deciding parts are packages of their own (coord, jobs); here are their drivers.
package core

import (
	"sedgevale/coord/register"
	"sedgevale/coord/shard"
	"sedgevale/coord/view"
)

// The methods of the internal protocol that core schedulers serve.
const (
	methodPrepare = "register.prepare"
	methodAccept  = "register.accept"
	methodPeek    = "register.peek"
	methodLearn   = "register.learn"
	methodSeal    = "shard.seal"
	methodFetch   = "shard.fetch"
	methodRepair  = "shard.repair"
	methodWrite   = "shard.write"
	methodJoin    = "view.join"
	methodPing    = "core.ping"
)

type prepareRequest struct {
	View   view.View
	Name   string
	Ballot register.Ballot
	Known  register.Ballot
}

type prepareResponse struct {
	Promise register.Promise
}

type acceptRequest struct {
	View   view.View
	Name   string
	Ballot register.Ballot
	Value  []byte
}

type acceptResponse struct {
	Accepted bool
}

type peekRequest struct {
	Name  string
	Known register.Ballot
}

type peekResponse struct {
	Accepted register.Ballot
	Value    []byte // left out where Accepted is known
}

type learnRequest struct {
	Name   string
	Ballot register.Ballot
	Value  []byte
}

type empty struct{}

type sealRequest struct {
	View  view.View
	Shard string
	Token int64
}

type sealResponse struct {
	Incarnation string
	Voter       bool
	InStep      int64
	Digests     []int64
}

type fetchRequest struct {
	Shard   string
	Buckets []int64
}

type fetchResponse struct {
	Incarnation string
	Ranges      []shard.Range
}

type repairRequest struct {
	View        view.View
	Shard       string
	Token       int64
	Incarnation string
	Number      int64 // of the owner's repairs of this replica
	Ranges      []shard.Range
	Last        bool
}

type writeRequest struct {
	View        view.View
	Shard       string
	Token       int64
	Incarnation string
	Records     []shard.Record
}

// joinRequest asks an occupant of another slot to store that a slot has a new occupant.
type joinRequest struct {
	Slot     int64
	Occupant view.Slot
}

// joinResponse is what the joining replica learns from one that stored its claim.
type joinResponse struct {
	View      view.View
	Registers map[string]register.Acceptor
	Shards    map[string]int64 // the highest fencing token that was met
}

// pingMessage is what core schedulers tell each other all the time, both as a call and as its answer.
type pingMessage struct {
	Address  string
	Zone     string
	View     view.View
	Known    []string // core schedulers that the sender has heard of lately
	Claims   []claim
	Accepted map[string]register.Ballot // what the sender's replica has accepted last
	Leaving  bool
	Member   bool // the sender's replica votes
}

// claim says that the sender owns a shard and had a quorum for it a moment ago.
type claim struct {
	Shard string
	Token int64
	Fresh bool
}
