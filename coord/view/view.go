// Package view holds the membership of a replicated core: a fixed number of replica slots, each with the
// incarnation of a disk that fills it.
//
// A slot changes hands when its disk was lost or its machine was replaced. The new incarnation raises the
// slot's generation, and at least Others(n) occupants of other slots store that durably before it counts.
// Every quorum of an older view then meets one of them and is turned down, so quorums of two views that
// both take effect always share a replica.
package view

import "slices"

// Slot is one replica slot and who fills it. Generation 0 is a slot that nobody has filled yet.
type Slot struct {
	Generation  int64
	Incarnation string // names a disk from its first use until it is lost
	Address     string // where the occupant hears other schedulers
}

// View is the occupants of all slots as far as somebody knows.
type View struct {
	Slots []Slot
}

// Majority returns how many of n replicas are a quorum.
func Majority(n int) int { return n/2 + 1 }

// Others returns how many other replicas one with an empty disk must hear, so that every quorum which
// its slot may have joined has one among them.
func Others(n int) int { return n - Majority(n) + 1 }

// New returns the view of a first start: n slots, the first of them filled from addresses. Their
// incarnation is the empty one, since all start with empty disks and nothing can have been lost.
func New(n int, addresses []string) View {
	v := View{Slots: make([]Slot, n)}
	for i := range min(n, len(addresses)) {
		v.Slots[i] = Slot{Generation: 1, Address: addresses[i]}
	}
	return v
}

// newer reports whether a supersedes b. Of two that claim one generation the one that was known first stays.
func newer(a, b Slot) bool { return a.Generation > b.Generation }

// Merge takes what is newer in other. It reports whether anything changed.
func (v *View) Merge(other View) bool {
	changed := false
	if len(v.Slots) == 0 {
		v.Slots = slices.Clone(other.Slots)
		return len(other.Slots) > 0
	}
	for i := range min(len(v.Slots), len(other.Slots)) {
		if newer(other.Slots[i], v.Slots[i]) {
			v.Slots[i] = other.Slots[i]
			changed = true
		}
	}
	return changed
}

// Outdates reports whether v knows a newer generation of some slot than other does. A quorum message
// whose sender has an outdated view is turned down.
func (v View) Outdates(other View) bool {
	for i := range v.Slots {
		if i >= len(other.Slots) || v.Slots[i].Generation > other.Slots[i].Generation {
			return true
		}
	}
	return false
}

// Clone returns a copy.
func (v View) Clone() View { return View{Slots: slices.Clone(v.Slots)} }

// IndexOf returns the slot that an address fills, or -1.
func (v View) IndexOf(address string) int {
	return slices.IndexFunc(v.Slots, func(s Slot) bool { return s.Generation > 0 && s.Address == address })
}

// Occupied returns how many slots are filled.
func (v View) Occupied() int {
	n := 0
	for _, slot := range v.Slots {
		if slot.Generation > 0 {
			n++
		}
	}
	return n
}
