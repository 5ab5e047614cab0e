package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
)

var (
	modelDepth  = flag.Int("model.depth", 60, "maximum depth of the exhaustive model check, in steps")
	modelStates = flag.Int("model.states", 12_000, "number of states after which the exhaustive check of a scope stops")
	modelSeeds  = flag.Int("model.seeds", 1500, "number of random walks through the model")
)

// scope is a small instance of the model: the proposers that run and their ballots.
type scope struct {
	name     string
	kinds    []roundKind
	ballots  []int8
	wipeable bool // whether disk a may be lost
}

var scopes = []scope{
	{"two appends and a read", []roundKind{appendRound, appendRound, readRound}, []int8{1, 2, 3}, false},
	{"two appends and a read, first two ballots swapped", []roundKind{appendRound, appendRound, readRound}, []int8{2, 1, 3}, false},
	{"append, replace, append", []roundKind{appendRound, addLearnerX, promoteX, appendRound}, []int8{1, 2, 3, 4}, true},
	{"append with the highest ballot, replace, append", []roundKind{appendRound, addLearnerX, promoteX, appendRound}, []int8{5, 2, 3, 4}, true},
	{"replace with a concurrent append and read", []roundKind{addLearnerX, promoteX, appendRound, readRound}, []int8{1, 2, 4, 3}, false},
	{"two concurrent replacements", []roundKind{addLearnerX, addLearnerY, promoteY, appendRound}, []int8{1, 2, 3, 4}, false},
	{"two learners for one seat", []roundKind{addLearnerX, addLearnerYAtA, promoteX, appendRound}, []int8{2, 1, 3, 4}, true},
}

// TestModelIsLinearizable explores all interleavings of small scopes breadth-first, up to the limits of depth and states.
func TestModelIsLinearizable(t *testing.T) {
	for _, scope := range scopes {
		t.Run(scope.name, func(t *testing.T) {
			t.Parallel()
			m, start := newModel(scope.kinds, scope.ballots, scope.wipeable, injectedFaults{})
			visited, depth := m.explore(start, *modelDepth, *modelStates)
			if m.violation != "" {
				t.Error(m.violation)
			}
			t.Logf("visited %d states, including all up to depth %d", visited, depth)
		})
	}
}

// walkKinds is the weighted list from which the rounds of a random walk are drawn.
var walkKinds = []roundKind{
	appendRound, appendRound, appendRound, appendRound, appendRound, readRound, readRound, readRound,
	addLearnerX, addLearnerX, promoteX, promoteX, promoteX, addLearnerY, addLearnerYAtA, promoteY, promoteY,
}

// randomWalk runs one random walk and returns a violation, or "". Later rounds have higher ballots, except for some pairs
// that are swapped.
func randomWalk(seed uint64, faults injectedFaults) string {
	random := rand.New(rand.NewPCG(seed, 77))
	kinds := make([]roundKind, roundsPerWalk)
	ballots := make([]int8, roundsPerWalk)
	for i := range kinds {
		kinds[i] = walkKinds[random.IntN(len(walkKinds))]
		ballots[i] = int8(i + 1)
	}
	for range roundsPerWalk / 3 {
		i := random.IntN(roundsPerWalk - 4)
		j := i + random.IntN(4)
		ballots[i], ballots[j] = ballots[j], ballots[i]
	}
	if faults.ballotsReused {
		ballots[5] = ballots[4]
	}
	m, start := newModel(kinds, ballots, random.IntN(2) == 0, faults)
	m.walk(&start, random)
	if m.violation == "" && !m.membershipLimitReached && start.wipes == 0 {
		m.checkToleratesOneLoss(start)
	}
	return m.violation
}

// checkToleratesOneLoss checks availability: if all links work and all seats have voters, any one voter may be lost and the
// others can still commit.
func (m *model) checkToleratesOneLoss(s modelState) {
	newest := int8(0)
	for i, chosen := range s.chosen {
		if chosen && m.memberships[i].Epoch > m.memberships[newest].Epoch {
			newest = int8(i)
		}
	}
	if len(m.memberships[newest].Voters()) < len(m.memberships[newest].Seats) {
		return
	}
	for lost := range disks {
		after := s
		after.replicas[lost].up = false
		after.rounds = []modelRound{{kind: appendRound, ballot: maxBallot}}
		m.begin(&after, 0, newest)
		for disk := range disks {
			m.learn(&after, disk, newest)
			m.deliverPrepare(&after, 0, disk, true)
		}
		for disk := range disks {
			m.deliverAccept(&after, 0, disk, true)
		}
		if after.rounds[0].phase != committed && m.violation == "" {
			m.violation = fmt.Sprintf("no value can be committed after the loss of disk %s", diskNames[lost])
		}
	}
}

func TestModelIsLinearizableAtRandom(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		if violation := randomWalk(seed, injectedFaults{}); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// TestModelDetectsInjectedFaults injects one fault at a time and checks that random walks detect it. To keep the test short,
// the first seed for each fault is slightly below one that detects it.
func TestModelDetectsInjectedFaults(t *testing.T) {
	cases := map[string]struct {
		faults    injectedFaults
		firstSeed uint64
	}{
		"epochs are ignored":                              {injectedFaults{epochsIgnored: true}, 1590},
		"a learner restores before voters have its epoch": {injectedFaults{restoreBeforeEpoch: true}, 11335},
		"a learner votes without restoring":               {injectedFaults{noRestore: true}, 5845},
		"ballots are reused":                              {injectedFaults{ballotsReused: true}, 205},
		"an uncommitted change takes effect":              {injectedFaults{uncommittedChangeTakesEffect: true}, 0},
		"reads ignore the epoch":                          {injectedFaults{readsIgnoreEpoch: true}, 0},
		"a wiped replica votes":                           {injectedFaults{wipedReplicaVotes: true}, 870},
		"quorums are one voter too small":                 {injectedFaults{quorumOneShort: true}, 0},
		"a pending change with another base is ignored":   {injectedFaults{pendingChangeIgnored: true}, 11215},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := c.firstSeed; seed < c.firstSeed+seedsPerFault; seed++ {
				if violation := randomWalk(seed, c.faults); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("no violation detected in %d seeds", seedsPerFault)
		})
	}
}

// seedsPerFault is the number of random walks within which an injected fault must be detected.
const seedsPerFault = 4000
