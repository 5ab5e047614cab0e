package membership

import (
	"fmt"
	"strings"

	"sedgevale/coord/register"
)

// The model has three replicas with disks a, b and c, two spare disks x and y that may be assigned seats, and proposers that
// append to a register, read it, and change the membership. Messages may be delayed, duplicated or lost, responses may be
// lost, and disk a may be lost. The model runs the real code of register.Acceptor and of this package.

const (
	disks                   = 5
	maxMemberships          = 24 // memberships that one run may create
	roundsPerWalk           = 36
	walkSteps               = 6000
	maxBallot               = 120
	maxConcurrentRounds     = 3   // number of latest rounds whose messages are delivered without delay
	stepsBetweenLinkChanges = 150 // number of steps between two changes of the partitioned links
)

var diskNames = [disks]string{BootstrapID("a"), BootstrapID("b"), BootstrapID("c"), "x", "y"}

// injectedFaults selects violations of the protocol that the model check must detect.
type injectedFaults struct {
	epochsIgnored                bool // replicas answer messages of older epochs
	restoreBeforeEpoch           bool // a learner restores from voters that have not installed its epoch
	noRestore                    bool // a learner votes without having restored from a quorum
	ballotsReused                bool // two incarnations of a proposer use the same ballots
	uncommittedChangeTakesEffect bool // a change takes effect at each replica that has accepted it
	readsIgnoreEpoch             bool // replicas answer reads of any epoch
	wipedReplicaVotes            bool // the replica keeps its ID and its vote after its disk was lost
	quorumOneShort               bool // quorums are one voter too small
	pendingChangeIgnored         bool // a proposer replaces a pending change with another base
}

// acceptor is a comparable and copyable form of register.Acceptor.
type acceptor struct {
	promised, accepted int8 // ballot counters
	value              string
}

// modelReplica is the state of the replica on one disk.
type modelReplica struct {
	up           bool
	installed    int8 // index of the installed membership
	restored     bool
	joinEpoch    int64
	config       acceptor    // acceptor of the register that rounds append to and read
	members      acceptor    // acceptor of the membership register; its value is 'A' plus the index of a membership
	restoredFrom [disks]bool // replicas from which a learner has restored
	merged       [2]acceptor // merged states of config and members at those replicas
}

type roundKind int8

const (
	appendRound roundKind = iota
	readRound
	addLearnerX    // for the seat of a
	addLearnerY    // for the seat of c
	addLearnerYAtA // for the seat of a
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
	base            int8 // index of the membership under which the proposer runs
	promised        [disks]bool
	accepted        [disks]bool
	current         acceptor // value with the highest ballot among the promises
	value           string
	committedBefore string      // longest committed value when the round began
	votes           [disks]int8 // accepted ballots that a read has received
}

type modelState struct {
	replicas         [disks]modelReplica
	rounds           []modelRound
	chosen           [maxMemberships]bool // memberships that a proposer knows to be chosen
	longestCommitted string               // longest committed value
	wipes            int8
}

// model holds the scope of a check and the data shared by all of its states.
type model struct {
	faults                 injectedFaults
	kinds                  []roundKind
	ballots                []int8
	wipeable               bool
	memberships            []Membership
	violation              string
	membershipLimitReached bool // maxMemberships was reached, so the run must end
}

func newModel(kinds []roundKind, ballots []int8, wipeable bool, faults injectedFaults) (*model, modelState) {
	m := &model{kinds: kinds, ballots: ballots, wipeable: wipeable, faults: faults}
	m.memberships = []Membership{Bootstrap(3, []string{"a", "b", "c"})}
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

// intern returns the index of a membership in m.memberships and adds it if it is new.
func (m *model) intern(membership Membership) int8 {
	if len(m.memberships) == maxMemberships {
		m.membershipLimitReached = true
		return 0
	}
	for i, known := range m.memberships {
		if known.Equal(membership) {
			return int8(i)
		}
	}
	m.memberships = append(m.memberships, membership)
	return int8(len(m.memberships) - 1)
}

func (m *model) quorum(membership Membership) int {
	if m.faults.quorumOneShort {
		return membership.Quorum() - 1
	}
	return membership.Quorum()
}

// install installs a membership at a replica.
func (m *model) install(d *modelReplica, disk int, index int8) {
	d.installed = index
	member, isMember := m.memberships[index].Member(diskNames[disk])
	if isMember && member.JoinEpoch != d.joinEpoch {
		d.joinEpoch = member.JoinEpoch
		d.restored = false
		d.restoredFrom = [disks]bool{}
		d.merged = [2]acceptor{}
	}
}

// acceptsMessage delivers a message that was sent under a membership to a replica, which installs the membership if it is
// newer. It reports whether the replica is a voter that handles the message.
func (m *model) acceptsMessage(s *modelState, disk int, base int8) bool {
	d := &s.replicas[disk]
	if !d.up {
		return false
	}
	if !m.faults.epochsIgnored {
		install, err := m.memberships[d.installed].CheckSender(m.memberships[base])
		if err != nil {
			return false
		}
		if install {
			m.install(d, disk, base)
		}
	}
	member, isMember := m.memberships[d.installed].Member(diskNames[disk])
	return isMember && member.Voter
}

func toAcceptor(a acceptor) register.Acceptor {
	ballot := func(n int8) register.Ballot { return register.Ballot{Counter: int64(n)} }
	return register.Acceptor{Promised: ballot(a.promised), Accepted: ballot(a.accepted), Value: []byte(a.value)}
}

func fromAcceptor(a register.Acceptor) acceptor {
	return acceptor{int8(a.Promised.Counter), int8(a.Accepted.Counter), string(a.Value)}
}

func (r *modelRound) changesMembership() bool { return r.kind >= addLearnerX }

func (d *modelReplica) acceptorOf(r *modelRound) *acceptor {
	if r.changesMembership() {
		return &d.members
	}
	return &d.config
}

// begin starts a round under a membership and reports whether the round could start.
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
		return AddLearner(0, "x", "dx")
	case addLearnerY:
		return AddLearner(2, "y", "dy")
	case addLearnerYAtA:
		return AddLearner(0, "y", "dy")
	case promoteX:
		return Promote("x")
	default:
		return Promote("y")
	}
}

// deliverPrepare delivers the prepare message of a round to a replica; the response is lost unless answered is set.
func (m *model) deliverPrepare(s *modelState, i, disk int, answered bool) bool {
	r := &s.rounds[i]
	if r.phase == idle || r.kind == readRound || m.memberships[r.base].SeatByID(diskNames[disk]) < 0 {
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
	if countTrue(r.promised) >= m.quorum(m.memberships[r.base]) {
		m.propose(r, i)
	}
	return true
}

func countTrue(set [disks]bool) int {
	n := 0
	for _, present := range set {
		if present {
			n++
		}
	}
	return n
}

// propose computes the value of a round and begins its accept phase.
func (m *model) propose(r *modelRound, i int) {
	r.phase = accepting
	if !r.changesMembership() {
		r.value = r.current.value + string(rune('1'+i))
		return
	}
	var current Membership
	if r.current.value != "" {
		current = m.memberships[r.current.value[0]-'A']
	}
	installed := m.memberships[r.base]
	if m.faults.pendingChangeIgnored && current.Epoch > installed.Epoch {
		current.BaseEpoch = installed.Epoch
	}
	next, err := NextProposal(installed, current, m.change(r))
	if err != nil {
		r.phase = failed
		return
	}
	r.value = string(rune('A' + m.intern(next)))
}

// deliverAccept delivers the accept message of a round to a replica; the response is lost unless answered is set.
func (m *model) deliverAccept(s *modelState, i, disk int, answered bool) bool {
	r := &s.rounds[i]
	if r.phase != accepting && r.phase != committed || m.memberships[r.base].SeatByID(diskNames[disk]) < 0 {
		return false
	}
	if r.phase == committed && answered || r.accepted[disk] {
		return false
	}
	if !m.acceptsMessage(s, disk, r.base) {
		return false
	}
	a := toAcceptor(*s.replicas[disk].acceptorOf(r))
	accepted := a.Accept(register.Ballot{Counter: int64(r.ballot)}, []byte(r.value))
	*s.replicas[disk].acceptorOf(r) = fromAcceptor(a)
	if accepted && r.changesMembership() && m.faults.uncommittedChangeTakesEffect {
		m.install(&s.replicas[disk], disk, int8(r.value[0]-'A'))
	}
	if !accepted || !answered {
		return true
	}
	r.accepted[disk] = true
	if countTrue(r.accepted) >= m.quorum(m.memberships[r.base]) {
		r.phase = committed
		m.commit(s, r)
	}
	return true
}

// commit records that a proposer knows its value to be chosen and checks it against earlier chosen values.
func (m *model) commit(s *modelState, r *modelRound) {
	if r.changesMembership() {
		index := r.value[0] - 'A'
		for i, chosen := range s.chosen {
			if chosen && i != int(index) && m.memberships[i].Epoch == m.memberships[index].Epoch {
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
		m.violation = fmt.Sprintf("%q was committed in addition to %q, after %q", r.value, s.longestCommitted, r.committedBefore)
	}
	s.longestCommitted = longer
}

// deliverRead delivers the message of a read to a replica. The read ends once a quorum has returned the same ballot.
func (m *model) deliverRead(s *modelState, i, disk int) bool {
	r := &s.rounds[i]
	if r.kind != readRound || r.phase != preparing || r.promised[disk] || m.memberships[r.base].SeatByID(diskNames[disk]) < 0 {
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
	matching := 0
	for other := range disks {
		if r.promised[other] && r.votes[other] == a.accepted {
			matching++
		}
	}
	if matching < m.quorum(m.memberships[r.base]) {
		return true
	}
	r.phase = committed
	if !strings.HasPrefix(a.value, r.committedBefore) {
		m.violation = fmt.Sprintf("%q was read after %q was committed", a.value, r.committedBefore)
	}
	return true
}

// learn informs a replica of a chosen membership, which it installs if it is newer.
func (m *model) learn(s *modelState, disk int, index int8) bool {
	d := &s.replicas[disk]
	if !d.up || !s.chosen[index] {
		return false
	}
	install, err := m.memberships[d.installed].CheckSender(m.memberships[index])
	if err != nil || !install {
		return false
	}
	m.install(d, disk, index)
	return true
}

// restore merges the state of a voter into a learner. The learner is restored once it has merged a quorum.
func (m *model) restore(s *modelState, disk, from int) bool {
	d := &s.replicas[disk]
	member, isMember := m.memberships[d.installed].Member(diskNames[disk])
	if !d.up || !isMember || member.Voter || d.restored || d.restoredFrom[from] || from == disk {
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
		merged.Merge(toAcceptor(a))
		d.merged[i] = fromAcceptor(merged)
	}
	d.restoredFrom[from] = true
	if countTrue(d.restoredFrom) < m.quorum(m.memberships[d.installed]) {
		return true
	}
	for i, a := range []*acceptor{&d.config, &d.members} {
		merged := toAcceptor(*a)
		merged.Merge(toAcceptor(d.merged[i]))
		*a = fromAcceptor(merged)
	}
	d.restored = true
	return true
}

// wipe simulates the loss of disk a, which x may replace.
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
