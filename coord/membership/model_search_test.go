package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
)

// maxReachableMemberships returns an upper bound on the number of memberships that a scope can reach.
func (m *model) maxReachableMemberships() int8 {
	changes := int8(1)
	for _, kind := range m.kinds {
		if kind >= addLearnerX {
			changes++
		}
	}
	return min(2*changes, maxMemberships)
}

// step is a transition of the model.
type step struct {
	round, disk int                      // index of the round and of the disk; none if the step has no round or disk
	do          func(s *modelState) bool // reports whether the step is enabled; changes s if it is
}

const none = -1

// steps returns all transitions of a scope, enabled or not.
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

// key appends a unique encoding of a state to a buffer.
func (s *modelState) key(buffer []byte) []byte {
	addSet := func(set [disks]bool) {
		bits := byte(0)
		for i, present := range set {
			if present {
				bits |= 1 << i
			}
		}
		buffer = append(buffer, bits)
	}
	addString := func(t string) { buffer = append(append(buffer, byte(len(t))), t...) }
	addAcceptor := func(a acceptor) {
		buffer = append(buffer, byte(a.promised), byte(a.accepted))
		addString(a.value)
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
		addSet(d.restoredFrom)
		for _, a := range []acceptor{d.config, d.members, d.merged[0], d.merged[1]} {
			addAcceptor(a)
		}
	}
	for _, r := range s.rounds {
		buffer = append(buffer, byte(r.phase), byte(r.base))
		addSet(r.promised)
		addSet(r.accepted)
		addAcceptor(r.current)
		addString(r.value)
		addString(r.committedBefore)
		for _, vote := range r.votes {
			buffer = append(buffer, byte(vote))
		}
	}
	for i, chosen := range s.chosen {
		if chosen {
			buffer = append(buffer, byte(i))
		}
	}
	addString(s.longestCommitted)
	return binary.AppendVarint(buffer, int64(s.wipes))
}

// explore visits the reachable states breadth-first up to a depth and a number of states. It returns the number of states
// visited and the depth up to which it visited all.
func (m *model) explore(start modelState, maxDepth, maxStates int) (states, depth int) {
	steps := m.steps()
	visited := map[string]bool{string(start.key(nil)): true}
	level := []modelState{start}
	var buffer []byte
	for depth < maxDepth && len(level) > 0 {
		var next []modelState
		for _, s := range level {
			for _, transition := range steps {
				successor := s
				successor.rounds = slices.Clone(s.rounds)
				if !transition.do(&successor) {
					continue
				}
				if m.violation != "" {
					return len(visited), depth
				}
				buffer = successor.key(buffer[:0])
				if visited[string(buffer)] {
					continue
				}
				visited[string(buffer)] = true
				next = append(next, successor)
			}
			if len(visited) > maxStates {
				return len(visited), depth
			}
		}
		level = next
		depth++
	}
	return len(visited), depth
}

// walk tries random steps, most of which are not enabled. Rounds begin one after another. Most of the delivered messages
// belong to the latest rounds; those of older rounds are delayed. Every stepsBetweenLinkChanges steps a new random partition
// begins, in which each round reaches only some of the replicas, and some replicas learn of no chosen membership.
func (m *model) walk(s *modelState, random *rand.Rand) {
	byRound := make([][]step, len(m.kinds)+1)
	for _, transition := range m.steps() {
		byRound[transition.round+1] = append(byRound[transition.round+1], transition)
	}
	reachable := make([][disks]bool, len(byRound))
	for i := range walkSteps {
		if i%stepsBetweenLinkChanges == 0 {
			for row := range reachable {
				for disk := range disks {
					reachable[row][disk] = random.IntN(5) < 3
				}
			}
		}
		newest := i * len(m.kinds) / walkSteps
		row := 0 // steps without a round
		switch pick := random.IntN(10); {
		case pick < 6:
			row = 1 + max(0, newest-random.IntN(maxConcurrentRounds))
		case pick < 7:
			row = 1 + random.IntN(newest+1)
		}
		transition := byRound[row][random.IntN(len(byRound[row]))]
		if transition.disk != none && !reachable[row][transition.disk] || row == 0 && transition.disk == none && random.IntN(50) > 0 {
			continue
		}
		transition.do(s)
		if m.violation != "" || m.membershipLimitReached {
			return
		}
	}
}
