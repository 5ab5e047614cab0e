package register

// Phase is the state of a Proposal.
type Phase int

// The phases of a Proposal.
const (
	Preparing Phase = iota // waits for promises
	Accepting              // waits for acceptances; entered by BeginAccept
	Committed              // a quorum has accepted the value
	Failed                 // a quorum is out of reach; a round with a higher ballot may succeed
)

// Proposal is one attempt of a proposer to change a register: the pure part of the proposer.
type Proposal struct {
	Ballot        Ballot
	Phase         Phase
	HighestBallot Ballot // the highest ballot seen in an answer; the next attempt has to exceed it

	latestBallot Ballot // of latestValue
	latestValue  []byte // the value with the highest ballot among the promises and what the proposer knew
	quorum       int
	replicas     int
	acked        map[int]bool // replicas that have answered positively in this phase
	rejected     map[int]bool // replicas that have rejected the ballot, or failed, in this phase
}

// NewProposal begins an attempt among the given number of replicas, of which quorum have to agree. Known and value are the
// newest accepted ballot that the proposer knows and its value.
func NewProposal(ballot Ballot, replicas, quorum int, known Ballot, value []byte) *Proposal {
	return &Proposal{
		Ballot: ballot, HighestBallot: ballot, latestBallot: known, latestValue: value, quorum: quorum, replicas: replicas,
		acked: map[int]bool{}, rejected: map[int]bool{},
	}
}

// OnPromise handles a replica's answer to a prepare message. It reports whether a quorum has promised: the proposer then
// derives the next value from Value and calls BeginAccept.
func (r *Proposal) OnPromise(replica int, p Promise) bool {
	if r.Phase != Preparing {
		return false
	}
	if !p.Granted {
		if r.HighestBallot.Less(p.Promised) {
			r.HighestBallot = p.Promised
		}
		r.reject(replica)
		return false
	}
	r.acked[replica] = true
	if r.latestBallot.Less(p.Accepted) {
		r.latestBallot = p.Accepted
		r.latestValue = p.Value
	}
	return len(r.acked) >= r.quorum
}

// Value returns the newest value among the promises, and its ballot.
func (r *Proposal) Value() ([]byte, Ballot) { return r.latestValue, r.latestBallot }

// BeginAccept begins the accept phase.
func (r *Proposal) BeginAccept() {
	r.Phase = Accepting
	clear(r.acked)
	clear(r.rejected)
}

// OnAccepted handles a replica's answer to an accept message and reports whether the value is committed.
func (r *Proposal) OnAccepted(replica int, accepted bool) bool {
	if r.Phase != Accepting {
		return r.Phase == Committed
	}
	if !accepted {
		r.reject(replica)
		return false
	}
	r.acked[replica] = true
	if len(r.acked) >= r.quorum {
		r.Phase = Committed
	}
	return r.Phase == Committed
}

// OnFailure records that a replica does not answer.
func (r *Proposal) OnFailure(replica int) { r.reject(replica) }

func (r *Proposal) reject(replica int) {
	r.rejected[replica] = true
	if r.replicas-len(r.rejected) < r.quorum && r.Phase != Committed {
		r.Phase = Failed
	}
}
