package fairqueue

import (
	"slices"
	"time"

	"github.com/dchest/siphash"
)

// hasher hashes clients' names by a key, so that nobody can choose names that collide:
// SipHash (Aumasson and Bernstein, 2012).
type hasher struct{ k0, k1 uint64 }

func newHasher(seed uint64) hasher {
	return hasher{siphash.Hash(seed, 1, []byte("door")), siphash.Hash(seed, 2, []byte("door"))}
}

func (h hasher) of(name string) uint64 { return siphash.Hash(h.k0, h.k1, []byte(name)) }

const (
	slotDuration    = 100 * time.Millisecond
	slotCount       = 512  // of the future: 51 s
	maxSlotPlaces   = 64   // whatever the rate
	graceSlots      = 2    // slots for which a reservation stays valid
	maxEarlyReturns = 3    // before its time, after which a client loses its reservation
	maxEarlyClients = 4096 // whose early returns are counted
)

// reservations are places for clients whose rejection said when to send the job again. They
// are bounded: by slots of time, places in a slot, and counts of early returns.
type reservations struct {
	slots        [slotCount]slot
	earlyReturns map[uint64]uint8
}

// slot is a slot of time with the ids that have a place in it.
type slot struct {
	at  int64 // number of the slot that is held here; an older one is void
	ids []uint64
}

func newReservations() reservations { return reservations{earlyReturns: map[uint64]uint8{}} }

// slotNumber returns the number of the slot of a time.
func slotNumber(t time.Duration) int64 { return int64(t / slotDuration) }

// slot returns the slot of a number, emptied if it held an older one.
func (r *reservations) slot(n int64) *slot {
	s := &r.slots[uint64(n)%slotCount]
	if s.at != n {
		s.at, s.ids = n, s.ids[:0]
	}
	return s
}

// reserve reserves a place for a client, in the first slot after a delay that has one at the
// rate, and returns how long it is until then, at most longest. Within a slot places follow
// one another, so that clients that were rejected together do not come back together.
func (r *reservations) reserve(now time.Duration, id uint64, after time.Duration, perSecond float64, longest time.Duration) time.Duration {
	places := min(maxSlotPlaces, max(1, int(perSecond*slotDuration.Seconds())))
	first := slotNumber(now + after)
	last := min(slotNumber(now+longest), first+slotCount-1, slotNumber(now)+slotCount-2)
	for n := first; n <= last; n++ {
		s := r.slot(n)
		if len(s.ids) >= places {
			continue
		}
		s.ids = append(s.ids, id)
		at := time.Duration(n)*slotDuration + slotDuration*time.Duration(len(s.ids)-1)/time.Duration(places)
		return max(at-now, after)
	}
	return longest // no place is left within the bound: it comes without a reservation
}

// redeem reports whether a client comes at the time of its reservation, and ends that. One that
// comes earlier gains nothing, and loses its reservation if it does so maxEarlyReturns times.
func (r *reservations) redeem(now time.Duration, id uint64) bool {
	n := slotNumber(now)
	for k := n; k >= n-graceSlots && k >= 0; k-- {
		if r.slots[uint64(k)%slotCount].at == k && r.slots[uint64(k)%slotCount].drop(id) {
			delete(r.earlyReturns, id)
			return true
		}
	}
	for k := n + 1; k < n+slotCount-graceSlots-1; k++ {
		s := &r.slots[uint64(k)%slotCount]
		if s.at != k || !s.has(id) {
			continue
		}
		if len(r.earlyReturns) >= maxEarlyClients {
			clear(r.earlyReturns)
		}
		if r.earlyReturns[id]++; r.earlyReturns[id] >= maxEarlyReturns {
			s.drop(id)
			delete(r.earlyReturns, id)
		}
		break
	}
	return false
}

// has reports whether an id has a place in the slot.
func (s *slot) has(id uint64) bool {
	return slices.Contains(s.ids, id)
}

// drop removes an id and reports whether it was there. The place stays used.
func (s *slot) drop(id uint64) bool {
	for i, x := range s.ids {
		if x == id {
			s.ids[i] = 0
			return true
		}
	}
	return false
}
