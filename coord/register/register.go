// Package register is a replicated compare-and-swap register: a single value that any proposer changes
// in two quorum rounds, without a log and without a leader.
//
// It follows D. Rystsov, "CASPaxos: Replicated State Machines without logs" (2018). An Acceptor is the
// part of a replica, a Round one attempt of a proposer; both are pure: messages go in and come out, and
// the caller stores what an Acceptor holds before it passes its answers on.
package register

import "strings"

// Ballot orders attempts. The zero Ballot is below all others.
type Ballot struct {
	Counter  int64
	Proposer string
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Counter != other.Counter {
		return b.Counter < other.Counter
	}
	return strings.Compare(b.Proposer, other.Proposer) < 0
}

// Acceptor is what one replica stores of one register. The zero Acceptor holds no value.
type Acceptor struct {
	Promised Ballot
	Accepted Ballot // zero where no value was accepted
	Value    []byte
}

// Promise is an Acceptor's answer to the first round.
type Promise struct {
	Granted  bool
	Promised Ballot // the highest that was promised
	Accepted Ballot
	Value    []byte // left out where the proposer knows the value of Accepted
}

// Prepare answers the first round: no lower ballot is accepted from now on. The value is left out where
// the accepted ballot is the one that the proposer knows already.
func (a *Acceptor) Prepare(ballot, known Ballot) Promise {
	if ballot.Less(a.Promised) {
		return Promise{Promised: a.Promised}
	}
	a.Promised = ballot
	answer := Promise{Granted: true, Promised: ballot, Accepted: a.Accepted}
	if a.Accepted != known {
		answer.Value = a.Value
	}
	return answer
}

// Accept answers the second round: it stores the value unless a higher ballot was promised.
func (a *Acceptor) Accept(ballot Ballot, value []byte) bool {
	if ballot.Less(a.Promised) {
		return false
	}
	a.Promised = ballot
	a.Accepted = ballot
	a.Value = value
	return true
}

// Restore takes over what another acceptor of the register holds, as far as it is newer.
func (a *Acceptor) Restore(other Acceptor) {
	if a.Promised.Less(other.Promised) {
		a.Promised = other.Promised
	}
	if a.Accepted.Less(other.Accepted) {
		a.Accepted = other.Accepted
		a.Value = other.Value
	}
}

// Phase says what a Round waits for.
type Phase int

// The phases of a Round.
const (
	Preparing Phase = iota // promises
	Accepting              // acceptances, after Propose
	Committed              // a majority has accepted the value
	Failed                 // a majority can no longer be had; a higher ballot may succeed
)

// Round is one attempt to change a register: the pure part of a proposer.
type Round struct {
	Ballot  Ballot
	Phase   Phase
	Highest Ballot // the highest ballot met, for the next attempt
	current Ballot
	value   []byte
	quorum  int
	total   int
	granted map[int]bool
	refused map[int]bool
}

// NewRound begins an attempt among so many replicas. Known and value are what the proposer knows already.
func NewRound(ballot Ballot, replicas, quorum int, known Ballot, value []byte) *Round {
	return &Round{
		Ballot: ballot, Highest: ballot, current: known, value: value, quorum: quorum, total: replicas,
		granted: map[int]bool{}, refused: map[int]bool{},
	}
}

// OnPromise takes a replica's answer to the first round. It reports whether the value is now known, so
// that the proposer computes the next one and calls Propose.
func (r *Round) OnPromise(replica int, p Promise) bool {
	if r.Phase != Preparing {
		return false
	}
	if !p.Granted {
		if r.Highest.Less(p.Promised) {
			r.Highest = p.Promised
		}
		r.refuse(replica)
		return false
	}
	r.granted[replica] = true
	if r.current.Less(p.Accepted) {
		r.current = p.Accepted
		r.value = p.Value
	}
	return len(r.granted) >= r.quorum
}

// Value returns the newest value that the promises held, and its ballot.
func (r *Round) Value() ([]byte, Ballot) { return r.value, r.current }

// Propose begins the second round.
func (r *Round) Propose() {
	r.Phase = Accepting
	clear(r.granted)
	clear(r.refused)
}

// OnAccepted takes a replica's answer to the second round and reports whether the value is committed.
func (r *Round) OnAccepted(replica int, accepted bool) bool {
	if r.Phase != Accepting {
		return r.Phase == Committed
	}
	if !accepted {
		r.refuse(replica)
		return false
	}
	r.granted[replica] = true
	if len(r.granted) >= r.quorum {
		r.Phase = Committed
	}
	return r.Phase == Committed
}

// OnFailure notes that a replica gives no answer.
func (r *Round) OnFailure(replica int) { r.refuse(replica) }

func (r *Round) refuse(replica int) {
	r.refused[replica] = true
	if r.total-len(r.refused) < r.quorum && r.Phase != Committed {
		r.Phase = Failed
	}
}
