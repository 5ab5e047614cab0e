package dispatcher

import (
	"cmp"
	"slices"
)

// This file holds the pools of workers that are eligible for some classes, and the consistent hashing of affinity keys to
// the workers of a pool.

const ringPoints = 16 // virtual nodes of each worker on its zone's hash ring

// ringPoint is a virtual node of a worker on a hash ring.
type ringPoint struct {
	hash   uint64
	worker *worker
}

// affinityWorkers returns the first worker that follows the hash on each zone's ring. The
// worker of the given zone comes first. The result reuses the slice owners.
func (p *pool) affinityWorkers(owners []*worker, hash uint64, zone int) []*worker {
	if p.ringsStale {
		p.buildRings()
	}
	owners = owners[:0]
	for z, ring := range p.rings {
		if len(ring) == 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(ring, hash, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
		owners = append(owners, ring[i%len(ring)].worker)
		if z == zone {
			last := len(owners) - 1
			owners[0], owners[last] = owners[last], owners[0]
		}
	}
	return owners
}

// buildRings rebuilds the hash rings after the pool's workers have changed.
func (p *pool) buildRings() {
	p.ringsStale = false
	for z, ws := range p.zones {
		ring := p.rings[z][:0]
		for _, w := range ws {
			h := hashOf(w.Name)
			for i := range uint64(ringPoints) {
				ring = append(ring, ringPoint{mix(h + i*0x9e3779b97f4a7c15), w})
			}
		}
		slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
		p.rings[z] = ring
	}
}

// admits reports whether requests of the pool's classes may be sent to the worker, given
// the allowed kinds and zones, and the worker's state and cordon. It is the only place
// that decides this.
func (p *pool) admits(w *worker) bool {
	return w.State == Active && !w.cordoned && (p.allowedKinds == nil || slices.Contains(p.allowedKinds, w.Kind)) &&
		(p.allowedZones == nil || slices.Contains(p.allowedZones, w.Zone))
}

// pool holds the workers that some classes may be sent to. The first pool is for
// classes without restrictions.
type pool struct {
	allowedKinds, allowedZones []int // nil allows any

	zones      [][]*worker   // admitted workers by zone
	rings      [][]ringPoint // hash rings by zone
	ringsStale bool          // rings must be rebuilt

	active         int     // number of workers in zones
	weight         float64 // sum of their sizes
	inFlight       float64 // slots known to be in flight at them
	limitedWorkers int     // number of them with a finite limit
	limitSum       float64 // sum of those limits

	subset         [1][]*worker // workers of the dispatcher's subset, as a single zone
	subsetStale    bool
	subsetWeight   float64 // sum of their sizes
	subsetInFlight float64 // slots known to be in flight at them

	noCapacity     bool // a request found no capacity, and capacity has not changed since
	releaseBlocked bool // a request found no capacity in this release
}

// meanInFlight returns the slots known to be in flight per unit of weight, over the
// workers of the subset if the worker is in it, and over the others otherwise. The two
// are separate because the load of other dispatchers is known in the subset only.
func (p *pool) meanInFlight(w *worker) float64 {
	if w.inSubset {
		return p.subsetInFlight / max(1e-9, p.subsetWeight)
	}
	return (p.inFlight - p.subsetInFlight) / max(1e-9, p.weight-p.subsetWeight)
}

// targetWeight returns the weight of the workers that this dispatcher sends to.
func (p *pool) targetWeight() float64 {
	if p.subsetWeight > 1e-6 { // an empty subset may have a small weight by rounding errors
		return p.subsetWeight
	}
	return max(1e-9, p.weight)
}
