package register

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func TestBallotOrder(t *testing.T) {
	low, high := Ballot{1, "b"}, Ballot{2, "a"}
	if !low.Less(high) || high.Less(low) || low.Less(low) || !(Ballot{1, "a"}).Less(low) {
		t.Error("ballots are ordered by counter, then by proposer")
	}
}

func TestAcceptorRejectsLowerBallots(t *testing.T) {
	a := &Acceptor{}
	a.Prepare(Ballot{5, "p"}, Ballot{})
	if p := a.Prepare(Ballot{4, "q"}, Ballot{}); p.Granted || p.Promised != (Ballot{5, "p"}) {
		t.Errorf("promise %+v for a lower ballot", p)
	}
	if a.Accept(Ballot{4, "q"}, []byte("x")) {
		t.Error("a lower ballot was accepted")
	}
	if !a.Accept(Ballot{5, "p"}, []byte("y")) || string(a.Value) != "y" {
		t.Error("the promised ballot was not accepted")
	}
}

func TestPromiseOmitsAKnownValue(t *testing.T) {
	a := &Acceptor{}
	a.Accept(Ballot{1, "p"}, []byte("x"))
	if p := a.Prepare(Ballot{2, "p"}, Ballot{1, "p"}); p.Value != nil || p.Accepted != (Ballot{1, "p"}) {
		t.Errorf("promise %+v", p)
	}
	if p := a.Prepare(Ballot{3, "p"}, Ballot{}); string(p.Value) != "x" {
		t.Errorf("promise %+v", p)
	}
}

func TestRoundFailsWithoutAMajority(t *testing.T) {
	r := NewProposal(Ballot{1, "p"}, 3, 2, Ballot{}, nil)
	r.OnPromise(0, Promise{Promised: Ballot{9, "q"}})
	r.OnFailure(1)
	if r.Phase != Failed || r.HighestBallot != (Ballot{9, "q"}) {
		t.Errorf("phase %d, highest %+v", r.Phase, r.HighestBallot)
	}
}

func TestRoundTakesTheNewestValue(t *testing.T) {
	r := NewProposal(Ballot{5, "p"}, 3, 2, Ballot{}, nil)
	if r.OnPromise(0, Promise{Granted: true, Accepted: Ballot{2, "a"}, Value: []byte("old")}) {
		t.Error("one promise of three is no majority")
	}
	if !r.OnPromise(2, Promise{Granted: true, Accepted: Ballot{3, "b"}, Value: []byte("new")}) {
		t.Error("two promises of three are a majority")
	}
	if value, _ := r.Value(); string(value) != "new" {
		t.Errorf("value %q", value)
	}
}

// Proposers increment a counter concurrently over replicas that lose messages. The register is linearizable: each
// increment that was reported happened exactly once, so the returned values are all different.
func TestRacingProposersLoseNoIncrement(t *testing.T) {
	for seed := range uint64(300) {
		if err := raceOnce(seed, 2); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// With a quorum that is one too small the same test detects a violation.
func TestQuorumOneShortIsCaught(t *testing.T) {
	for seed := range uint64(300) {
		if raceOnce(seed, 1) != nil {
			return
		}
	}
	t.Error("no seed of 300 shows that a quorum of one in three is too small")
}

func raceOnce(seed uint64, quorum int) error {
	random := rand.New(rand.NewPCG(seed, 1))
	acceptors := []*Acceptor{{}, {}, {}}
	type attempt struct {
		round *Proposal
		next  byte
	}
	var running []*attempt
	counter := int64(0)
	seen := map[byte]bool{}
	for range 400 {
		if len(running) < 3 {
			counter++
			ballot := Ballot{counter, string(rune('a' + random.IntN(3)))}
			running = append(running, &attempt{round: NewProposal(ballot, 3, quorum, Ballot{}, nil)})
		}
		which := random.IntN(len(running))
		a := running[which]
		replica := random.IntN(3)
		if random.IntN(5) == 0 {
			a.round.OnFailure(replica)
		} else if a.round.Phase == Preparing {
			if a.round.OnPromise(replica, acceptors[replica].Prepare(a.round.Ballot, Ballot{})) {
				value, _ := a.round.Value()
				if len(value) > 0 {
					a.next = value[0]
				}
				a.next++
				a.round.BeginAccept()
			}
		} else if a.round.OnAccepted(replica, acceptors[replica].Accept(a.round.Ballot, []byte{a.next})) {
			if seen[a.next] {
				return fmt.Errorf("value %d was reported twice", a.next)
			}
			seen[a.next] = true
		}
		if a.round.Phase == Committed || a.round.Phase == Failed {
			running = append(running[:which], running[which+1:]...)
		}
	}
	return nil
}
