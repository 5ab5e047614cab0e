package fairqueue

import (
	"time"

	"github.com/dchest/siphash"
)

// hasher maps clients' names to numbers by a key, so that nobody can choose names that
// share a place: SipHash (Aumasson and Bernstein, 2012) is made for that.
type hasher struct{ k0, k1 uint64 }

func newHasher(seed uint64) hasher {
	return hasher{siphash.Hash(seed, 1, []byte("door")), siphash.Hash(seed, 2, []byte("door"))}
}

func (h hasher) of(name string) uint64 { return siphash.Hash(h.k0, h.k1, []byte(name)) }

const (
	slotLen   = 100 * time.Millisecond
	slotCount = 512  // so many ahead: 51 s
	slotMost  = 64   // places in a slot, whatever the rate
	graceFor  = 2    // slots for which a place is kept
	strikes   = 3    // returns before its time, after which a place is lost
	earlyMost = 4096 // clients whose early returns are counted
)

// ledger is the places kept for those who were told when to come back. It is bounded:
// places by slot, and a count of early returns.
type ledger struct {
	slots [slotCount]slot
	early map[uint64]uint8
}

type slot struct {
	at  int64 // number of the slot that is here; others are old
	ids []uint64
}

func newLedger() ledger { return ledger{early: map[uint64]uint8{}} }

func number(t time.Duration) int64 { return int64(t / slotLen) }

func (l *ledger) slot(n int64) *slot {
	s := &l.slots[uint64(n)%slotCount]
	if s.at != n {
		s.at, s.ids = n, s.ids[:0]
	}
	return s
}

// reserve keeps a place for a client, in the first slot from after on that has one at that
// rate, and returns how long it is until then. Within a slot places follow one another, so
// that those who were refused together do not come back together.
func (l *ledger) reserve(now time.Duration, id uint64, after time.Duration, perSecond float64, most time.Duration) time.Duration {
	room := min(slotMost, max(1, int(perSecond*slotLen.Seconds())))
	first := number(now + after)
	last := min(number(now+most), first+slotCount-1, number(now)+slotCount-2)
	for n := first; n <= last; n++ {
		s := l.slot(n)
		if len(s.ids) >= room {
			continue
		}
		s.ids = append(s.ids, id)
		at := time.Duration(n)*slotLen + slotLen*time.Duration(len(s.ids)-1)/time.Duration(room)
		return max(at-now, after)
	}
	return most // no place is left within the bound; it takes its chance like a newcomer
}

// returns reports whether a client comes at the time at which a place is kept for it, and
// gives the place up. One that comes earlier gains nothing, and loses its place if it does
// so again and again.
func (l *ledger) returns(now time.Duration, id uint64) bool {
	n := number(now)
	for k := n; k >= n-graceFor && k >= 0; k-- {
		if l.slots[uint64(k)%slotCount].at == k && l.slots[uint64(k)%slotCount].drop(id) {
			delete(l.early, id)
			return true
		}
	}
	for k := n + 1; k < n+slotCount-graceFor-1; k++ {
		s := &l.slots[uint64(k)%slotCount]
		if s.at != k || !s.has(id) {
			continue
		}
		if len(l.early) >= earlyMost {
			clear(l.early)
		}
		if l.early[id]++; l.early[id] >= strikes {
			s.drop(id)
			delete(l.early, id)
		}
		break
	}
	return false
}

func (s *slot) has(id uint64) bool {
	for _, x := range s.ids {
		if x == id {
			return true
		}
	}
	return false
}

// drop takes an id out and reports whether it was there. The place stays used.
func (s *slot) drop(id uint64) bool {
	for i, x := range s.ids {
		if x == id {
			s.ids[i] = 0
			return true
		}
	}
	return false
}
