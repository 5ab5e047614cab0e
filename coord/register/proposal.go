package register

// Phase is the state of a Proposal.
type Phase int

// The phases of a Proposal.
const (
	Preparing Phase = iota // waiting for a quorum of promises
	Accepting              // waiting for a quorum to accept the value; entered by BeginAccept
	Committed              // a quorum has accepted the value
	Failed                 // a quorum is no longer possible; an attempt with a higher ballot may succeed
)

// Proposal is the state of one attempt of a proposer to change a register.
type Proposal struct {
	Ballot        Ballot
	Phase         Phase
	HighestBallot Ballot // highest ballot seen in a response; the next attempt must use a higher one

	latestBallot Ballot // ballot of latestValue
	latestValue  []byte // value with the highest ballot among the promises and the proposer's initial value
	quorum       int
	replicas     int
	acked        map[int]bool // replicas that have granted the promise, or accepted the value, in this phase
	rejected     map[int]bool // replicas that have rejected the ballot or failed to answer in this phase
}

// NewProposal returns an attempt in the Preparing phase. Replicas is the number of replicas, and quorum is how many of them
// must agree. Known and value are the newest accepted ballot that the proposer knows and the value accepted under it.
func NewProposal(ballot Ballot, replicas, quorum int, known Ballot, value []byte) *Proposal {
	return &Proposal{
		Ballot: ballot, HighestBallot: ballot, latestBallot: known, latestValue: value, quorum: quorum, replicas: replicas,
		acked: map[int]bool{}, rejected: map[int]bool{},
	}
}

// OnPromise handles a replica's response to a prepare message and reports whether a quorum has promised. The proposer then
// derives the next value from Value and calls BeginAccept.
func (p *Proposal) OnPromise(replica int, promise Promise) bool {
	if p.Phase != Preparing {
		return false
	}
	if !promise.Granted {
		if p.HighestBallot.Less(promise.Promised) {
			p.HighestBallot = promise.Promised
		}
		p.reject(replica)
		return false
	}
	p.acked[replica] = true
	if p.latestBallot.Less(promise.Accepted) {
		p.latestBallot = promise.Accepted
		p.latestValue = promise.Value
	}
	return len(p.acked) >= p.quorum
}

// Value returns the newest value among the promises and the proposer's initial value, with its ballot.
func (p *Proposal) Value() ([]byte, Ballot) { return p.latestValue, p.latestBallot }

// BeginAccept begins the accept phase, in which the responses of the prepare phase no longer count.
func (p *Proposal) BeginAccept() {
	p.Phase = Accepting
	clear(p.acked)
	clear(p.rejected)
}

// OnAccepted handles a replica's response to an accept message and reports whether the value is committed.
func (p *Proposal) OnAccepted(replica int, accepted bool) bool {
	if p.Phase != Accepting {
		return p.Phase == Committed
	}
	if !accepted {
		p.reject(replica)
		return false
	}
	p.acked[replica] = true
	if len(p.acked) >= p.quorum {
		p.Phase = Committed
	}
	return p.Phase == Committed
}

// OnFailure records that a replica failed to answer.
func (p *Proposal) OnFailure(replica int) { p.reject(replica) }

func (p *Proposal) reject(replica int) {
	p.rejected[replica] = true
	if p.replicas-len(p.rejected) < p.quorum && p.Phase != Committed {
		p.Phase = Failed
	}
}
