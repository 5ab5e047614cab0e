// Package register implements a replicated compare-and-swap register: a single value that any proposer changes in two
// phases, each of which needs a quorum of replicas, without a log and without a leader.
//
// It follows D. Rystsov, "CASPaxos: Replicated State Machines without logs" (2018), section 2.2, with the optimisation
// that a promise omits a value that the proposer already knows. An Acceptor is the state of one replica and a Proposal one
// attempt of a proposer. Both are pure state machines without a clock or I/O: the caller transports the messages and makes
// an Acceptor's state durable before it sends a response.
package register

import "strings"

// Ballot is a proposal number. Ballots are ordered by Counter, then by Proposer; the zero Ballot is below all others.
type Ballot struct {
	Counter  int64
	Proposer string // distinguishes the ballots of two proposers; a proposer never uses a ballot twice
}

// Less reports whether b is ordered before other.
func (b Ballot) Less(other Ballot) bool {
	if b.Counter != other.Counter {
		return b.Counter < other.Counter
	}
	return strings.Compare(b.Proposer, other.Proposer) < 0
}

// Acceptor is the durable state of one register at one replica. The zero Acceptor has accepted no value.
type Acceptor struct {
	Promised Ballot // lower ballots are rejected; never decreases, and is never below Accepted
	Accepted Ballot // ballot of Value; zero if no value was accepted
	Value    []byte
}

// Promise is the response of an Acceptor to a prepare message.
type Promise struct {
	Granted  bool
	Promised Ballot // highest ballot promised; above the proposer's if not Granted
	Accepted Ballot // zero if no value was accepted, or if not Granted
	Value    []byte // value accepted under Accepted; omitted if the proposer already knows it
}

// Prepare handles a prepare message: unless the acceptor has promised a higher ballot, it promises to reject all ballots
// below this one. Known is the ballot of the value that the proposer already knows.
func (a *Acceptor) Prepare(ballot, known Ballot) Promise {
	if ballot.Less(a.Promised) {
		return Promise{Promised: a.Promised}
	}
	a.Promised = ballot
	promise := Promise{Granted: true, Promised: ballot, Accepted: a.Accepted}
	if a.Accepted != known {
		promise.Value = a.Value
	}
	return promise
}

// Accept handles an accept message: the acceptor stores the value unless it has promised a higher ballot. It reports
// whether the value was accepted.
func (a *Acceptor) Accept(ballot Ballot, value []byte) bool {
	if ballot.Less(a.Promised) {
		return false
	}
	a.Promised = ballot
	a.Accepted = ballot
	a.Value = value
	return true
}

// Merge merges the state of another acceptor of the same register into a, which then has the higher promise of the two and
// the value with the higher ballot.
func (a *Acceptor) Merge(other Acceptor) {
	if a.Promised.Less(other.Promised) {
		a.Promised = other.Promised
	}
	if a.Accepted.Less(other.Accepted) {
		a.Accepted = other.Accepted
		a.Value = other.Value
	}
}
