package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
)

var (
	modelDepth  = flag.Int("model.depth", 60, "depth of the exhaustive check of the model, in steps")
	modelStates = flag.Int("model.states", 12_000, "number of states after which the exhaustive check of a scope stops")
	modelSeeds  = flag.Int("model.seeds", 1500, "number of random runs of the model")
)

type scope struct {
	name     string
	kinds    []roundKind
	ballots  []int8
	wipeable bool
}

var scopes = []scope{
	{"two appends and a read", []roundKind{appendRound, appendRound, readRound}, []int8{1, 2, 3}, false},
	{"two appends and a read, ballots the other way", []roundKind{appendRound, appendRound, readRound}, []int8{2, 1, 3}, false},
	{"append, replace, append", []roundKind{appendRound, addLearnerX, promoteX, appendRound}, []int8{1, 2, 3, 4}, true},
	{"append below, replace, append", []roundKind{appendRound, addLearnerX, promoteX, appendRound}, []int8{5, 2, 3, 4}, true},
	{"replace while two others read and append", []roundKind{addLearnerX, promoteX, appendRound, readRound}, []int8{1, 2, 4, 3}, false},
	{"two rival replacements", []roundKind{addLearnerX, addLearnerY, promoteY, appendRound}, []int8{1, 2, 3, 4}, false},
	{"two learners for one seat", []roundKind{addLearnerX, addLearnerYAtA, promoteX, appendRound}, []int8{2, 1, 3, 4}, true},
}

// TestModelIsLinearizable visits all interleavings of small scopes, breadth first up to the limit of states.
func TestModelIsLinearizable(t *testing.T) {
	for _, one := range scopes {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			m, start := newModel(one.kinds, one.ballots, one.wipeable, injectedFaults{})
			seen, reached := m.explore(start, *modelDepth, *modelStates)
			if m.violation != "" {
				t.Error(m.violation)
			}
			t.Logf("%d states, all of %d steps", seen, reached)
		})
	}
}

// walkKinds are the rounds of a random run, drawn with the frequency in which they are listed.
var walkKinds = []roundKind{
	appendRound, appendRound, appendRound, appendRound, appendRound, readRound, readRound, readRound,
	addLearnerX, addLearnerX, promoteX, promoteX, promoteX, addLearnerY, addLearnerYAtA, promoteY, promoteY,
}

// walkOnce plays one random run and returns a violation, if any. Later rounds have higher ballots, with some exceptions.
func walkOnce(seed uint64, faults injectedFaults) string {
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
	if m.violation == "" && !m.outOfMemberships && start.wipes == 0 {
		m.checkSurvivesOneLoss(start)
	}
	return m.violation
}

// checkSurvivesOneLoss checks availability: with all links restored and voters in all seats, the loss of any one of them
// leaves the others able to commit.
func (m *model) checkSurvivesOneLoss(s modelState) {
	newest := int8(0)
	for i, is := range s.chosen {
		if is && m.memberships[i].Epoch > m.memberships[newest].Epoch {
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
			m.violation = fmt.Sprintf("nothing can be committed once %s is lost", diskNames[lost])
		}
	}
}

func TestModelIsLinearizableAtRandom(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		if wrong := walkOnce(seed, injectedFaults{}); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
	}
}

// TestModelSeesPlantedFaults injects one fault at a time: random runs have to detect each. To save time the first seed of
// each is a little below one that does.
func TestModelSeesPlantedFaults(t *testing.T) {
	faults := map[string]struct {
		plan injectedFaults
		from uint64
	}{
		"epochs are ignored":                            {injectedFaults{epochsIgnored: true}, 1590},
		"a learner restores too early":                  {injectedFaults{restoreBeforeEpoch: true}, 11335},
		"a learner votes without restoring":             {injectedFaults{noRestore: true}, 5845},
		"ballots are reused":                            {injectedFaults{ballotsReused: true}, 205},
		"an uncommitted change takes effect":            {injectedFaults{uncommittedChangeTakesEffect: true}, 0},
		"reads ignore the epoch":                        {injectedFaults{readsIgnoreEpoch: true}, 0},
		"a wiped replica votes":                         {injectedFaults{wipedReplicaVotes: true}, 870},
		"quorums are one voter too small":               {injectedFaults{quorumOneShort: true}, 0},
		"a pending change with another base is ignored": {injectedFaults{pendingChangeIgnored: true}, 11215},
	}
	for name, one := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := one.from; seed < one.from+seedsPerFault; seed++ {
				if wrong := walkOnce(seed, one.plan); wrong != "" {
					t.Logf("seed %d: %s", seed, wrong)
					return
				}
			}
			t.Errorf("not seen in %d seeds", seedsPerFault)
		})
	}
}

// seedsPerFault is the number of runs within which an injected fault has to be detected.
const seedsPerFault = 4000
