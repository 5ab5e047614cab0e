package fairqueue

import (
	"slices"
	"time"

	"github.com/dchest/siphash"
)

// hasher hashes the names of clients with a secret key (SipHash, Aumasson and Bernstein, 2012),
// so that a client cannot choose a name that collides with another one.
type hasher struct{ k0, k1 uint64 }

func newHasher(seed uint64) hasher {
	return hasher{siphash.Hash(seed, 1, []byte("door")), siphash.Hash(seed, 2, []byte("door"))}
}

func (h hasher) hash(name string) uint64 { return siphash.Hash(h.k0, h.k1, []byte(name)) }

const (
	slotDuration    = 100 * time.Millisecond
	slotCount       = 512  // covers the next 51 s
	maxSlotCapacity = 64   // maximum number of reservations per slot, whatever the rate
	graceSlots      = 2    // slots after its own for which a reservation stays valid
	maxEarlyRetries = 3    // number of early retries after which a client loses its reservation
	maxEarlyClients = 4096 // clients whose early retries are counted
)

// reservations are the reservations of rejected clients for the time of their Retry-After. Their
// memory is bounded by the number of time slots, reservations per slot and counters of early
// retries.
type reservations struct {
	slots        [slotCount]slot
	earlyRetries map[uint64]uint8
}

// slot is a time slot with the hashes of the clients that have a reservation in it.
type slot struct {
	at  int64    // number of the time slot; the ids of an older one are void
	ids []uint64 // hashes of clients; 0 after a removal
}

func newReservations() reservations { return reservations{earlyRetries: map[uint64]uint8{}} }

// slotNumber returns the number of the time slot that contains t.
func slotNumber(t time.Duration) int64 { return int64(t / slotDuration) }

// slot returns the time slot of a number, and clears it first if it held an older one.
func (r *reservations) slot(n int64) *slot {
	s := &r.slots[uint64(n)%slotCount]
	if s.at != n {
		s.at, s.ids = n, s.ids[:0]
	}
	return s
}

// reserve makes a reservation for a client in the first time slot after a delay that has
// capacity at the given rate. It returns the time until then, at most maxDelay. The reservations
// of a slot are spread over its duration, so that clients that were rejected at the same time do
// not retry at the same time.
func (r *reservations) reserve(now time.Duration, id uint64, after time.Duration, perSecond float64, maxDelay time.Duration) time.Duration {
	capacity := min(maxSlotCapacity, max(1, int(perSecond*slotDuration.Seconds())))
	first := slotNumber(now + after)
	last := min(slotNumber(now+maxDelay), first+slotCount-1, slotNumber(now)+slotCount-2)
	for n := first; n <= last; n++ {
		s := r.slot(n)
		if len(s.ids) >= capacity {
			continue
		}
		s.ids = append(s.ids, id)
		at := time.Duration(n)*slotDuration + slotDuration*time.Duration(len(s.ids)-1)/time.Duration(capacity)
		return max(at-now, after)
	}
	return maxDelay // all slots are full: the client retries without a reservation
}

// redeem reports whether a client retries at the time of its reservation, and then removes the
// reservation. A client that retries earlier has no advantage, and loses its reservation after
// maxEarlyRetries early retries.
func (r *reservations) redeem(now time.Duration, id uint64) bool {
	n := slotNumber(now)
	for k := n; k >= n-graceSlots && k >= 0; k-- {
		if r.slots[uint64(k)%slotCount].at == k && r.slots[uint64(k)%slotCount].remove(id) {
			delete(r.earlyRetries, id)
			return true
		}
	}
	for k := n + 1; k < n+slotCount-graceSlots-1; k++ {
		s := &r.slots[uint64(k)%slotCount]
		if s.at != k || !s.has(id) {
			continue
		}
		if len(r.earlyRetries) >= maxEarlyClients {
			clear(r.earlyRetries)
		}
		if r.earlyRetries[id]++; r.earlyRetries[id] >= maxEarlyRetries {
			s.remove(id)
			delete(r.earlyRetries, id)
		}
		break
	}
	return false
}

// has reports whether a client has a reservation in the slot.
func (s *slot) has(id uint64) bool {
	return slices.Contains(s.ids, id)
}

// remove removes the reservation of a client and reports whether there was one. The slot's
// capacity stays used.
func (s *slot) remove(id uint64) bool {
	for i, x := range s.ids {
		if x == id {
			s.ids[i] = 0
			return true
		}
	}
	return false
}
