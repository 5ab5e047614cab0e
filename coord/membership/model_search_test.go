package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
)

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
// partitioned: each round reaches some replicas and not others, and some replicas learn nothing.
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
