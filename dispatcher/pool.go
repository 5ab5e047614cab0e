package dispatcher

import (
	"cmp"
	"slices"
)

// Pools: the workers that some classes may be sent to, and the homes of keys among them.

const ringPoints = 16 // of each worker on its zone's ring

// ringPoint is one of a worker's points on a ring.
type ringPoint struct {
	hash   uint64
	worker *worker
}

// homeWorkers returns the first worker that follows the hash on each zone's ring, the
// own zone's first, in the slice that it is given.
func (p *pool) homeWorkers(homes []*worker, hash uint64, zone int) []*worker {
	if p.ringsStale {
		p.buildRings()
	}
	homes = homes[:0]
	for z, ring := range p.rings {
		if len(ring) == 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(ring, hash, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
		homes = append(homes, ring[i%len(ring)].worker)
		if z == zone {
			last := len(homes) - 1
			homes[0], homes[last] = homes[last], homes[0]
		}
	}
	return homes
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

// admits reports whether the pool's classes may be sent to the worker, by
// their kinds and zones, the worker's state and its cordon. Nothing else decides that.
func (p *pool) admits(w *worker) bool {
	return w.State == Active && !w.cordoned && (p.allowedKinds == nil || slices.Contains(p.allowedKinds, w.Kind)) &&
		(p.allowedZones == nil || slices.Contains(p.allowedZones, w.Zone))
}

// pool is the workers that some classes may be sent to. The first pool is for
// classes that may go anywhere.
type pool struct {
	allowedKinds, allowedZones []int // nil: any

	zones      [][]*worker   // by zone, the workers that may be sent to
	rings      [][]ringPoint // by zone
	ringsStale bool          // rings must be built again

	active         int     // workers in zones
	weight         float64 // the sum of their sizes
	inFlight       float64 // slots there that are known to be taken
	limitedWorkers int     // of them, those with a finite limit
	limitSum       float64 // the sum of those limits

	subset         [1][]*worker // those of the dispatcher's subset, as if of one zone
	subsetStale    bool
	subsetWeight   float64 // the sum of their sizes
	subsetInFlight float64 // slots there that are known to be taken

	noCapacity bool // no request found capacity since capacity last changed
	jobBlocked bool // in this release a request found no capacity
}

// meanInFlight returns the slots that are known to be taken for each unit of weight:
// in the subset, where the load of other dispatchers is known, or outside it,
// wherever the worker is.
func (p *pool) meanInFlight(w *worker) float64 {
	if w.inSubset {
		return p.subsetInFlight / max(1e-9, p.subsetWeight)
	}
	return (p.inFlight - p.subsetInFlight) / max(1e-9, p.weight-p.subsetWeight)
}

// targetWeight returns the weight of the workers that this dispatcher sends to.
func (p *pool) targetWeight() float64 {
	if p.subsetWeight > 1e-6 { // sums of floats leave traces
		return p.subsetWeight
	}
	return max(1e-9, p.weight)
}
