package membership

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"sedgevale/coord/register"
)

// The model: three replicas with disks a, b and c, two more disks x and y that may take seats, and proposers that append
// to a register, read it, and change the membership. Messages stay in the network, so each may be delayed, duplicated or
// never delivered; answers may be lost. A disk may be lost. The code under test is not modelled: register.Acceptor and all
// of this package.

var (
	modelDepth  = flag.Int("model.depth", 60, "depth of the exhaustive check of the model, in steps")
	modelStates = flag.Int("model.states", 12_000, "number of states after which the exhaustive check of a scope stops")
	modelSeeds  = flag.Int("model.seeds", 1500, "number of random runs of the model")
)

const (
	disks                   = 5
	maxMemberships          = 24 // of one run
	roundsPerWalk           = 36
	walkSteps               = 6000
	maxBallot               = 120
	maxConcurrentRounds     = 3   // rounds of which new messages are delivered at a time
	stepsBetweenLinkChanges = 150 // steps between two changes of which links are cut
)

var diskNames = [disks]string{BootstrapID("a"), BootstrapID("b"), BootstrapID("c"), "x", "y"}

// injectedFaults breaks the protocol, one way at a time, to show that the checks detect it.
type injectedFaults struct {
	epochsIgnored                bool // replicas answer messages of older epochs
	restoreBeforeEpoch           bool // a learner reads before the voters have entered its epoch
	noRestore                    bool // a learner votes without having read a quorum
	ballotsReused                bool // two incarnations of a proposer use the same ballots
	uncommittedChangeTakesEffect bool // a change takes effect at the replicas that have accepted it
	readsIgnoreEpoch             bool // reads are answered in any epoch
	wipedReplicaVotes            bool // an empty disk keeps the ID and the vote of the lost one
	quorumOneShort               bool // quorums are one voter too small
	pendingChangeIgnored         bool // a proposer replaces a pending change with another base
}

// acceptor is a register.Acceptor in a form that can be compared and copied.
type acceptor struct {
	promised, accepted int8 // ballots by number
	value              string
}

// modelReplica is the state of the replica on one disk.
type modelReplica struct {
	up           bool
	installed    int8 // index of the membership, -1 for none
	restored     bool
	joinEpoch    int64
	config       acceptor
	members      acceptor // its value is the index of a membership as text
	restoredFrom [disks]bool
	merged       [2]acceptor
}

type roundKind int8

const (
	appendRound roundKind = iota
	readRound
	addLearnerX // to the seat of a
	addLearnerY // to the seat of c
	addLearnerYAtA
	promoteX
	promoteY
)

type phase int8

const (
	idle phase = iota
	preparing
	accepting
	committed
	failed
)

// modelRound is one attempt of a proposer.
type modelRound struct {
	kind            roundKind
	phase           phase
	ballot          int8
	base            int8 // the membership that the proposer knew
	promised        [disks]bool
	accepted        [disks]bool
	current         acceptor // the value with the highest ballot among the promises
	value           string
	committedBefore string // the longest value that was committed when the round began
	votes           [disks]int8
}

type modelState struct {
	replicas         [disks]modelReplica
	rounds           []modelRound
	chosen           [maxMemberships]bool // memberships that are known to be chosen
	longestCommitted string               // the longest value that was committed
	wipes            int8
}

// model holds what all states of a check share.
type model struct {
	faults           injectedFaults
	kinds            []roundKind
	ballots          []int8
	wipeable         bool
	memberships      []Membership
	violation        string
	outOfMemberships bool // a run that knows too many memberships ends
}

func newModel(kinds []roundKind, ballots []int8, wipeable bool, faults injectedFaults) (*model, modelState) {
	m := &model{kinds: kinds, ballots: ballots, wipeable: wipeable, faults: faults}
	m.memberships = []Membership{First(3, []string{"a", "b", "c"})}
	var s modelState
	for i := range s.replicas {
		s.replicas[i] = modelReplica{up: true, restored: i < 3, joinEpoch: int64(1)}
		if i >= 3 {
			s.replicas[i].joinEpoch = 0
		}
	}
	for i, kind := range kinds {
		s.rounds = append(s.rounds, modelRound{kind: kind, ballot: ballots[i]})
	}
	s.chosen[0] = true
	return m, s
}

// intern returns the index of a membership.
func (m *model) intern(one Membership) int8 {
	if len(m.memberships) == maxMemberships {
		m.outOfMemberships = true
		return 0
	}
	for i, known := range m.memberships {
		if known.Equal(one) {
			return int8(i)
		}
	}
	m.memberships = append(m.memberships, one)
	return int8(len(m.memberships) - 1)
}

func (m *model) quorum(one Membership) int {
	if m.faults.quorumOneShort {
		return one.Quorum() - 1
	}
	return one.Quorum()
}

// enter installs a membership at a replica.
func (m *model) enter(d *modelReplica, disk int, index int8) {
	d.installed = index
	member, seated := m.memberships[index].Member(diskNames[disk])
	if seated && member.Since != d.joinEpoch {
		d.joinEpoch = member.Since
		d.restored = false
		d.restoredFrom = [disks]bool{}
		d.merged = [2]acceptor{}
	}
}

// acceptsMessage reports whether a replica is a voter that handles a message sent under a membership.
func (m *model) acceptsMessage(s *modelState, disk int, base int8) bool {
	d := &s.replicas[disk]
	if !d.up {
		return false
	}
	if !m.faults.epochsIgnored {
		install, err := m.memberships[d.installed].Meet(m.memberships[base])
		if err != nil {
			return false
		}
		if install {
			m.enter(d, disk, base)
		}
	}
	member, seated := m.memberships[d.installed].Member(diskNames[disk])
	return seated && member.Voter
}

func toAcceptor(a acceptor) register.Acceptor {
	ballot := func(n int8) register.Ballot { return register.Ballot{Counter: int64(n)} }
	return register.Acceptor{Promised: ballot(a.promised), Accepted: ballot(a.accepted), Value: []byte(a.value)}
}

func fromAcceptor(a register.Acceptor) acceptor {
	return acceptor{int8(a.Promised.Counter), int8(a.Accepted.Counter), string(a.Value)}
}

func (r *modelRound) isMembership() bool { return r.kind >= addLearnerX }

func (d *modelReplica) acceptorOf(r *modelRound) *acceptor {
	if r.isMembership() {
		return &d.members
	}
	return &d.config
}

// begin starts a round under a membership that its proposer may know.
func (m *model) begin(s *modelState, i int, base int8) bool {
	r := &s.rounds[i]
	if r.phase != idle || !s.chosen[base] && (!m.faults.uncommittedChangeTakesEffect || !m.isInstalled(s, base)) {
		return false
	}
	switch r.kind {
	case promoteX, promoteY:
		disk := 3 + int(r.kind-promoteX)
		if s.replicas[disk].installed != base || !s.replicas[disk].restored && !m.faults.noRestore {
			return false
		}
	case addLearnerX, addLearnerY, addLearnerYAtA:
		if _, err := m.change(r)(m.memberships[base]); err != nil {
			return false
		}
	}
	r.phase, r.base, r.committedBefore = preparing, base, s.longestCommitted
	return true
}

// isInstalled reports whether any replica has installed a membership.
func (m *model) isInstalled(s *modelState, index int8) bool {
	for _, d := range s.replicas {
		if d.installed == index {
			return true
		}
	}
	return false
}

func (m *model) change(r *modelRound) Change {
	switch r.kind {
	case addLearnerX:
		return Admit(0, "x", "dx")
	case addLearnerY:
		return Admit(2, "y", "dy")
	case addLearnerYAtA:
		return Admit(0, "y", "dy")
	case promoteX:
		return Promote("x")
	default:
		return Promote("y")
	}
}

// deliverPrepare delivers the prepare message of a round to a replica.
func (m *model) deliverPrepare(s *modelState, i, disk int, answered bool) bool {
	r := &s.rounds[i]
	if r.phase == idle || r.kind == readRound || m.memberships[r.base].SeatOf(diskNames[disk]) < 0 {
		return false
	}
	if r.phase != preparing && answered || r.promised[disk] {
		return false
	}
	if !m.acceptsMessage(s, disk, r.base) {
		return false
	}
	a := toAcceptor(*s.replicas[disk].acceptorOf(r))
	promise := a.Prepare(register.Ballot{Counter: int64(r.ballot)}, register.Ballot{})
	*s.replicas[disk].acceptorOf(r) = fromAcceptor(a)
	if !promise.Granted || !answered {
		return true
	}
	r.promised[disk] = true
	if got := int8(promise.Accepted.Counter); got > r.current.accepted {
		r.current = acceptor{accepted: got, value: string(promise.Value)}
	}
	if count(r.promised) >= m.quorum(m.memberships[r.base]) {
		m.propose(r, i)
	}
	return true
}

func count(set [disks]bool) int {
	n := 0
	for _, is := range set {
		if is {
			n++
		}
	}
	return n
}

// propose computes the value of a round.
func (m *model) propose(r *modelRound, i int) {
	r.phase = accepting
	if !r.isMembership() {
		r.value = r.current.value + string(rune('1'+i))
		return
	}
	var current Membership
	if r.current.value != "" {
		current = m.memberships[r.current.value[0]-'A']
	}
	installed := m.memberships[r.base]
	if m.faults.pendingChangeIgnored && current.Epoch > installed.Epoch {
		current.Base = installed.Epoch
	}
	next, err := Next(installed, current, m.change(r))
	if err != nil {
		r.phase = failed
		return
	}
	r.value = string(rune('A' + m.intern(next)))
}

// deliverAccept delivers the accept message of a round to a replica.
func (m *model) deliverAccept(s *modelState, i, disk int, answered bool) bool {
	r := &s.rounds[i]
	if r.phase != accepting && r.phase != committed || m.memberships[r.base].SeatOf(diskNames[disk]) < 0 {
		return false
	}
	if r.phase == committed && answered || r.accepted[disk] {
		return false
	}
	if !m.acceptsMessage(s, disk, r.base) {
		return false
	}
	a := toAcceptor(*s.replicas[disk].acceptorOf(r))
	ok := a.Accept(register.Ballot{Counter: int64(r.ballot)}, []byte(r.value))
	*s.replicas[disk].acceptorOf(r) = fromAcceptor(a)
	if ok && r.isMembership() && m.faults.uncommittedChangeTakesEffect {
		m.enter(&s.replicas[disk], disk, int8(r.value[0]-'A'))
	}
	if !ok || !answered {
		return true
	}
	r.accepted[disk] = true
	if count(r.accepted) >= m.quorum(m.memberships[r.base]) {
		r.phase = committed
		m.commit(s, r)
	}
	return true
}

// commit checks a value that its proposer knows to be chosen against what was chosen before.
func (m *model) commit(s *modelState, r *modelRound) {
	if r.isMembership() {
		index := r.value[0] - 'A'
		for i, is := range s.chosen {
			if is && i != int(index) && m.memberships[i].Epoch == m.memberships[index].Epoch {
				m.violation = fmt.Sprintf("two memberships of epoch %d were chosen", m.memberships[index].Epoch)
			}
		}
		s.chosen[index] = true
		return
	}
	longer, shorter := r.value, s.longestCommitted
	if len(longer) < len(shorter) {
		longer, shorter = shorter, longer
	}
	if !strings.HasPrefix(longer, shorter) || !strings.HasPrefix(r.value, r.committedBefore) {
		m.violation = fmt.Sprintf("%q was committed beside %q, after %q", r.value, s.longestCommitted, r.committedBefore)
	}
	s.longestCommitted = longer
}

// deliverRead delivers the message of a read to a replica.
func (m *model) deliverRead(s *modelState, i, disk int) bool {
	r := &s.rounds[i]
	if r.kind != readRound || r.phase != preparing || r.promised[disk] || m.memberships[r.base].SeatOf(diskNames[disk]) < 0 {
		return false
	}
	if m.faults.readsIgnoreEpoch {
		if !s.replicas[disk].up {
			return false
		}
	} else if !m.acceptsMessage(s, disk, r.base) {
		return false
	}
	a := s.replicas[disk].config
	r.promised[disk] = true
	r.votes[disk] = a.accepted
	same := 0
	for other := range disks {
		if r.promised[other] && r.votes[other] == a.accepted {
			same++
		}
	}
	if same < m.quorum(m.memberships[r.base]) {
		return true
	}
	r.phase = committed
	if !strings.HasPrefix(a.value, r.committedBefore) {
		m.violation = fmt.Sprintf("%q was read after %q was committed", a.value, r.committedBefore)
	}
	return true
}

// learn has a replica learn a membership that was chosen.
func (m *model) learn(s *modelState, disk int, index int8) bool {
	d := &s.replicas[disk]
	if !d.up || !s.chosen[index] {
		return false
	}
	install, err := m.memberships[d.installed].Meet(m.memberships[index])
	if err != nil || !install {
		return false
	}
	m.enter(d, disk, index)
	return true
}

// restore has a learner read the state of a voter.
func (m *model) restore(s *modelState, disk, from int) bool {
	d := &s.replicas[disk]
	member, seated := m.memberships[d.installed].Member(diskNames[disk])
	if !d.up || !seated || member.Voter || d.restored || d.restoredFrom[from] || from == disk {
		return false
	}
	if m.faults.restoreBeforeEpoch {
		if !s.replicas[from].up {
			return false
		}
	} else if !m.acceptsMessage(s, from, d.installed) {
		return false
	}
	for i, a := range []acceptor{s.replicas[from].config, s.replicas[from].members} {
		merged := toAcceptor(d.merged[i])
		merged.Restore(toAcceptor(a))
		d.merged[i] = fromAcceptor(merged)
	}
	d.restoredFrom[from] = true
	if count(d.restoredFrom) < m.quorum(m.memberships[d.installed]) {
		return true
	}
	for i, a := range []*acceptor{&d.config, &d.members} {
		merged := toAcceptor(*a)
		merged.Restore(toAcceptor(d.merged[i]))
		*a = fromAcceptor(merged)
	}
	d.restored = true
	return true
}

// wipe loses the disk of a. The next disk of its machine is x.
func (m *model) wipe(s *modelState) bool {
	if !m.wipeable || s.wipes > 0 || !s.replicas[0].up {
		return false
	}
	s.wipes++
	if m.faults.wipedReplicaVotes {
		s.replicas[0].config, s.replicas[0].members = acceptor{}, acceptor{}
		return true
	}
	s.replicas[0].up = false
	return true
}

// maxReachableMemberships bounds the number of memberships of a scope.
func (m *model) maxReachableMemberships() int8 {
	changes := int8(1)
	for _, kind := range m.kinds {
		if kind >= addLearnerX {
			changes++
		}
	}
	return min(2*changes, maxMemberships)
}

// step is one of all possible steps: of a round or none, at a disk or none.
type step struct {
	round, disk int
	do          func(s *modelState) bool // reports whether the step was possible
}

const none = -1

// steps returns all steps of a scope.
func (m *model) steps() []step {
	var all []step
	add := func(round, disk int, do func(s *modelState) bool) { all = append(all, step{round, disk, do}) }
	for i, kind := range m.kinds {
		for base := range m.maxReachableMemberships() {
			add(i, none, func(s *modelState) bool { return m.begin(s, i, base) })
		}
		for disk := range disks {
			if kind == readRound {
				add(i, disk, func(s *modelState) bool { return m.deliverRead(s, i, disk) })
				continue
			}
			for _, answered := range []bool{true, false} {
				add(i, disk, func(s *modelState) bool { return m.deliverPrepare(s, i, disk, answered) })
				add(i, disk, func(s *modelState) bool { return m.deliverAccept(s, i, disk, answered) })
			}
		}
	}
	for disk := range disks {
		for index := range m.maxReachableMemberships() {
			add(none, disk, func(s *modelState) bool { return m.learn(s, disk, index) })
		}
		for from := range disks {
			add(none, disk, func(s *modelState) bool { return m.restore(s, disk, from) })
		}
	}
	add(none, none, m.wipe)
	return all
}

// key encodes a state, to recognise it.
func (s *modelState) key(buffer []byte) []byte {
	bools := func(set [disks]bool) {
		bits := byte(0)
		for i, is := range set {
			if is {
				bits |= 1 << i
			}
		}
		buffer = append(buffer, bits)
	}
	text := func(t string) { buffer = append(append(buffer, byte(len(t))), t...) }
	one := func(a acceptor) {
		buffer = append(buffer, byte(a.promised), byte(a.accepted))
		text(a.value)
	}
	for _, d := range s.replicas {
		flags := byte(0)
		if d.up {
			flags |= 1
		}
		if d.restored {
			flags |= 2
		}
		buffer = append(buffer, flags, byte(d.installed), byte(d.joinEpoch))
		bools(d.restoredFrom)
		for _, a := range []acceptor{d.config, d.members, d.merged[0], d.merged[1]} {
			one(a)
		}
	}
	for _, r := range s.rounds {
		buffer = append(buffer, byte(r.phase), byte(r.base))
		bools(r.promised)
		bools(r.accepted)
		one(r.current)
		text(r.value)
		text(r.committedBefore)
		for _, vote := range r.votes {
			buffer = append(buffer, byte(vote))
		}
	}
	for i, is := range s.chosen {
		if is {
			buffer = append(buffer, byte(i))
		}
	}
	text(s.longestCommitted)
	return binary.AppendVarint(buffer, int64(s.wipes))
}

// explore visits all states up to a depth, breadth first, and returns their number and the depth reached.
func (m *model) explore(start modelState, depth, states int) (seen, reached int) {
	steps := m.steps()
	known := map[string]bool{string(start.key(nil)): true}
	level := []modelState{start}
	var buffer []byte
	for reached < depth && len(level) > 0 {
		var next []modelState
		for _, s := range level {
			for _, one := range steps {
				after := s
				after.rounds = slices.Clone(s.rounds)
				if !one.do(&after) {
					continue
				}
				if m.violation != "" {
					return len(known), reached
				}
				buffer = after.key(buffer[:0])
				if known[string(buffer)] {
					continue
				}
				known[string(buffer)] = true
				next = append(next, after)
			}
			if len(known) > states {
				return len(known), reached
			}
		}
		level = next
		reached++
	}
	return len(known), reached
}

// walk tries steps at random; most of them are not possible when they are tried. Rounds begin one after another, and
// mostly messages of the last few are delivered, while those of older ones are delayed. Every now and then other links are
// cut: each round reaches some replicas and not others, and some replicas learn nothing.
func (m *model) walk(s *modelState, random *rand.Rand) {
	byRound := make([][]step, len(m.kinds)+1)
	for _, one := range m.steps() {
		byRound[one.round+1] = append(byRound[one.round+1], one)
	}
	reach := make([][disks]bool, len(byRound))
	for i := range walkSteps {
		if i%stepsBetweenLinkChanges == 0 {
			for row := range reach {
				for disk := range disks {
					reach[row][disk] = random.IntN(5) < 3
				}
			}
		}
		newest := i * len(m.kinds) / walkSteps
		row := 0 // steps that belong to no round
		switch pick := random.IntN(10); {
		case pick < 6:
			row = 1 + max(0, newest-random.IntN(maxConcurrentRounds))
		case pick < 7:
			row = 1 + random.IntN(newest+1)
		}
		one := byRound[row][random.IntN(len(byRound[row]))]
		if one.disk != none && !reach[row][one.disk] || row == 0 && one.disk == none && random.IntN(50) > 0 {
			continue
		}
		one.do(s)
		if m.violation != "" || m.outOfMemberships {
			return
		}
	}
}

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

// walkKinds are the rounds of a random run, each as often as it stands here.
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
		"epochs are ignored":                      {injectedFaults{epochsIgnored: true}, 1590},
		"a learner reads too early":               {injectedFaults{restoreBeforeEpoch: true}, 11335},
		"a learner votes unread":                  {injectedFaults{noRestore: true}, 5845},
		"ballots are used twice":                  {injectedFaults{ballotsReused: true}, 205},
		"a half-made change stands":               {injectedFaults{uncommittedChangeTakesEffect: true}, 0},
		"reads look at no epoch":                  {injectedFaults{readsIgnoreEpoch: true}, 0},
		"an empty disk votes":                     {injectedFaults{wipedReplicaVotes: true}, 870},
		"quorums are one short":                   {injectedFaults{quorumOneShort: true}, 0},
		"a change of another base is passed over": {injectedFaults{pendingChangeIgnored: true}, 11215},
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
