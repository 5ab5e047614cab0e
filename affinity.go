package sedgevale

// Affinity: requests of one key go to one home in each zone, by a consistent-hashing ring.

import (
	"cmp"
	"slices"
	"time"
)

const ringPoints = 16 // of each worker on its zone's ring

// ringPoint is one of a worker's points on a ring.
type ringPoint struct {
	hash   uint64
	worker *worker
}

// pickHome picks a worker for a request with a key: the key has one home in each
// zone, the first worker that follows its hash on the ring. The home in the own zone
// comes first. All dispatchers have the same rings, so they agree without messages.
func (d *Dispatcher) pickHome(now time.Duration, r *request) *worker {
	for _, w := range d.homeWorkers(r.class.pool, r.keyHash) {
		if d.usable(now, w, r, false) && d.belowSlotThreshold(now, w, r, true) && d.mayAttempt(now, r, w) {
			return w
		}
	}
	return nil
}

// homeWorkers returns the first worker that follows the hash on each zone's ring, the
// own zone's first. The slice is valid until the next call.
func (d *Dispatcher) homeWorkers(p *pool, hash uint64) []*worker {
	if p.ringsStale {
		p.buildRings()
	}
	d.homesBuffer = d.homesBuffer[:0]
	for z, ring := range p.rings {
		if len(ring) == 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(ring, hash, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
		d.homesBuffer = append(d.homesBuffer, ring[i%len(ring)].worker)
		if z == d.settings.Zone {
			last := len(d.homesBuffer) - 1
			d.homesBuffer[0], d.homesBuffer[last] = d.homesBuffer[last], d.homesBuffer[0]
		}
	}
	return d.homesBuffer
}

// buildRings builds the rings anew, after the pool's workers have changed.
func (p *pool) buildRings() {
	p.ringsStale = false
	for z, ws := range p.zones {
		ring := p.rings[z][:0]
		for _, w := range ws {
			h := hashOf(w.Worker)
			for i := range uint64(ringPoints) {
				ring = append(ring, ringPoint{mix(h + i*0x9e3779b97f4a7c15), w})
			}
		}
		slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
		p.rings[z] = ring
	}
}

// hashOf returns a key's hash by FNV-1a and a finalizer; it is 0 only for no key.
func hashOf(s string) uint64 {
	if s == "" {
		return 0
	}
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h) | 1
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
