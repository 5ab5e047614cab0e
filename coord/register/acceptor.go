// Package register is a replicated compare-and-swap register: a single value that any proposer changes in two phases, each
// of which needs a quorum of replicas, without a log and without a leader.
//
// It implements D. Rystsov, "CASPaxos: Replicated State Machines without logs" (2018), section 2.2, with the optimisation
// that a promise leaves out a value that the proposer knows. An Acceptor is the part of a replica and a Proposal one attempt
// of a proposer. Both are pure state machines without clock and I/O: the caller carries the messages and makes an
// Acceptor's state durable before it sends its answer.
package register

import "strings"

// Ballot is a proposal number. Ballots are ordered by Counter, then by Proposer; the zero Ballot is below all others.
type Ballot struct {
	Counter  int64
	Proposer string // makes the ballots of two proposers differ; a proposer never uses a ballot twice
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Counter != other.Counter {
		return b.Counter < other.Counter
	}
	return strings.Compare(b.Proposer, other.Proposer) < 0
}

// Acceptor is the durable state that one replica has of one register. The zero Acceptor has accepted no value.
type Acceptor struct {
	Promised Ballot // no lower ballot is accepted; never decreases, and never below Accepted
	Accepted Ballot // the ballot of Value; zero if no value was accepted
	Value    []byte
}

// Promise is the answer of an Acceptor to a prepare message.
type Promise struct {
	Granted  bool
	Promised Ballot // the highest ballot promised; above the proposer's if not Granted
	Accepted Ballot // zero if no value was accepted, or if not Granted
	Value    []byte // empty if the proposer knows the value of Accepted
}

// Prepare handles a prepare message: the acceptor promises not to accept a lower ballot. Known is the ballot whose value
// the proposer knows already.
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

// Accept handles an accept message: the acceptor takes the value unless it has promised a higher ballot. It reports
// whether it took it.
func (a *Acceptor) Accept(ballot Ballot, value []byte) bool {
	if ballot.Less(a.Promised) {
		return false
	}
	a.Promised = ballot
	a.Accepted = ballot
	a.Value = value
	return true
}

// Merge merges the state of another acceptor of the same register into a: the higher promise, and the value with the
// higher ballot.
func (a *Acceptor) Merge(other Acceptor) {
	if a.Promised.Less(other.Promised) {
		a.Promised = other.Promised
	}
	if a.Accepted.Less(other.Accepted) {
		a.Accepted = other.Accepted
		a.Value = other.Value
	}
}
