package register

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func TestBallotOrder(t *testing.T) {
	low, high := Ballot{1, "b"}, Ballot{2, "a"}
	if !low.Less(high) || high.Less(low) || low.Less(low) || !(Ballot{1, "a"}).Less(low) {
		t.Error("ballots are not ordered by counter, then by proposer")
	}
}

func TestAcceptorRejectsLowerBallots(t *testing.T) {
	a := &Acceptor{}
	a.Prepare(Ballot{5, "p"}, Ballot{})
	if p := a.Prepare(Ballot{4, "q"}, Ballot{}); p.Granted || p.Promised != (Ballot{5, "p"}) {
		t.Errorf("promise for a lower ballot: %+v", p)
	}
	if a.Accept(Ballot{4, "q"}, []byte("x")) {
		t.Error("a lower ballot was accepted")
	}
	if !a.Accept(Ballot{5, "p"}, []byte("y")) || string(a.Value) != "y" {
		t.Error("the promised ballot was not accepted")
	}
}

func TestPromiseOmitsKnownValue(t *testing.T) {
	a := &Acceptor{}
	a.Accept(Ballot{1, "p"}, []byte("x"))
	if p := a.Prepare(Ballot{2, "p"}, Ballot{1, "p"}); p.Value != nil || p.Accepted != (Ballot{1, "p"}) {
		t.Errorf("promise to a proposer that knows the value: %+v", p)
	}
	if p := a.Prepare(Ballot{3, "p"}, Ballot{}); string(p.Value) != "x" {
		t.Errorf("promise to a proposer that does not know the value: %+v", p)
	}
}

func TestProposalFailsWithoutQuorum(t *testing.T) {
	p := NewProposal(Ballot{1, "p"}, 3, 2, Ballot{}, nil)
	p.OnPromise(0, Promise{Promised: Ballot{9, "q"}})
	p.OnFailure(1)
	if p.Phase != Failed || p.HighestBallot != (Ballot{9, "q"}) {
		t.Errorf("phase %d, highest ballot %+v", p.Phase, p.HighestBallot)
	}
}

func TestProposalAdoptsNewestValue(t *testing.T) {
	p := NewProposal(Ballot{5, "p"}, 3, 2, Ballot{}, nil)
	if p.OnPromise(0, Promise{Granted: true, Accepted: Ballot{2, "a"}, Value: []byte("old")}) {
		t.Error("one promise of three made a quorum")
	}
	if !p.OnPromise(2, Promise{Granted: true, Accepted: Ballot{3, "b"}, Value: []byte("new")}) {
		t.Error("two promises of three made no quorum")
	}
	if value, _ := p.Value(); string(value) != "new" {
		t.Errorf("value %q, want the one with the highest ballot", value)
	}
}

// Concurrent proposers increment a counter over replicas that lose messages. The register is linearizable: each reported
// increment happened exactly once, so all reported values differ.
func TestConcurrentIncrementsAreLinearizable(t *testing.T) {
	for seed := range uint64(300) {
		if err := runConcurrentIncrements(seed, 2); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// With a quorum that is one replica too small, the same run reports a violation.
func TestTooSmallQuorumIsDetected(t *testing.T) {
	for seed := range uint64(300) {
		if runConcurrentIncrements(seed, 1) != nil {
			return
		}
	}
	t.Error("no violation in 300 seeds with a quorum of one replica of three")
}

// runConcurrentIncrements runs three concurrent proposers and returns an error if an increment was lost.
func runConcurrentIncrements(seed uint64, quorum int) error {
	random := rand.New(rand.NewPCG(seed, 1))
	acceptors := []*Acceptor{{}, {}, {}}
	type attempt struct {
		proposal *Proposal
		next     byte
	}
	var running []*attempt
	counter := int64(0)
	reported := map[byte]bool{}
	for range 400 {
		if len(running) < 3 {
			counter++
			ballot := Ballot{counter, string(rune('a' + random.IntN(3)))}
			running = append(running, &attempt{proposal: NewProposal(ballot, 3, quorum, Ballot{}, nil)})
		}
		index := random.IntN(len(running))
		a := running[index]
		replica := random.IntN(3)
		if random.IntN(5) == 0 {
			a.proposal.OnFailure(replica)
		} else if a.proposal.Phase == Preparing {
			if a.proposal.OnPromise(replica, acceptors[replica].Prepare(a.proposal.Ballot, Ballot{})) {
				value, _ := a.proposal.Value()
				if len(value) > 0 {
					a.next = value[0]
				}
				a.next++
				a.proposal.BeginAccept()
			}
		} else if a.proposal.OnAccepted(replica, acceptors[replica].Accept(a.proposal.Ballot, []byte{a.next})) {
			if reported[a.next] {
				return fmt.Errorf("value %d was reported twice", a.next)
			}
			reported[a.next] = true
		}
		if a.proposal.Phase == Committed || a.proposal.Phase == Failed {
			running = append(running[:index], running[index+1:]...)
		}
	}
	return nil
}
