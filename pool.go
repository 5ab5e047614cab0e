package sedgevale

// Pools: the workers that classes may be sent to, and sums over them.

import (
	"slices"
)

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

// poolOf returns the pool for classes with these kinds and zones, where nil means any
// and an empty list none.
func (d *Dispatcher) poolOf(kinds, zones []int) *pool {
	for _, p := range d.pools {
		if slices.Equal(p.allowedKinds, kinds) && slices.Equal(p.allowedZones, zones) &&
			(p.allowedKinds == nil) == (kinds == nil) && (p.allowedZones == nil) == (zones == nil) {
			return p
		}
	}
	p := &pool{allowedKinds: slices.Clone(kinds), allowedZones: slices.Clone(zones)}
	d.pools = append(d.pools, p)
	return p
}

// poolWeightShare returns the part, by weight, of all active workers that the
// request's class may be sent to; it is 1 while there is none.
func (d *Dispatcher) poolWeightShare(r *request) float64 {
	if p := r.class.pool; p.weight > 0 {
		return p.weight / d.pools[0].weight
	}
	return 1
}

// addToPools puts a worker into each pool that admits it now, and takes it out of the
// others.
func (d *Dispatcher) addToPools(w *worker) {
	d.removeFromPools(w)
	for i, p := range d.pools {
		if !p.admits(w) {
			continue
		}
		for len(p.zones) <= w.Zone {
			p.zones, p.rings = append(p.zones, nil), append(p.rings, nil)
		}
		w.poolPositions[i] = len(p.zones[w.Zone])
		p.zones[w.Zone] = append(p.zones[w.Zone], w)
		p.ringsStale, p.subsetStale = true, true
	}
	if w.poolPositions[0] >= 0 {
		d.cells[w.Cell] = append(d.cells[w.Cell], w)
	}
	d.adjustPoolSums(w, 1)
}

// removeFromPools takes a worker out of all pools.
func (d *Dispatcher) removeFromPools(w *worker) {
	d.adjustPoolSums(w, -1)
	if w.poolPositions[0] >= 0 {
		d.cells[w.Cell] = slices.DeleteFunc(d.cells[w.Cell], func(v *worker) bool { return v == w })
		if len(d.cells[w.Cell]) == 0 {
			delete(d.cells, w.Cell)
		}
	}
	for i, p := range d.pools {
		if !w.inPool(i) {
			continue
		}
		at := w.poolPositions[i]
		z := p.zones[w.Zone]
		last := z[len(z)-1]
		z[at], last.poolPositions[i] = last, at
		z[len(z)-1] = nil
		p.zones[w.Zone] = z[:len(z)-1]
		w.poolPositions[i] = -1
		p.ringsStale, p.subsetStale = true, true
	}
}

// adjustPoolSums adds the worker to the sums of its pools (sign 1) or subtracts it
// (-1). A change of what is summed needs a call before and after it.
func (d *Dispatcher) adjustPoolSums(w *worker, sign int) {
	for i, p := range d.pools {
		if !w.inPool(i) {
			continue
		}
		p.active += sign
		p.weight += float64(sign) * w.size
		p.inFlight += float64(sign) * w.inFlight
		if w.inSubset {
			p.subsetWeight += float64(sign) * w.size
			p.subsetInFlight += float64(sign) * w.inFlight
		}
		if w.limit < unlimited {
			p.limitedWorkers += sign
			p.limitSum += float64(sign) * w.limit
		}
	}
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

// subsetZones returns the pool's workers of the subset as one zone, or nil if there
// are none.
func (d *Dispatcher) subsetZones(p *pool) [][]*worker {
	if d.subsetSize == 0 {
		return nil
	}
	if p.subsetStale {
		p.subsetStale, p.subset[0] = false, p.subset[0][:0]
		for _, z := range p.zones {
			for _, w := range z {
				if w.inSubset {
					p.subset[0] = append(p.subset[0], w)
				}
			}
		}
	}
	if len(p.subset[0]) == 0 {
		return nil
	}
	return p.subset[:]
}

// lightlyLoaded reports whether less than a slot for each worker is known to be taken.
func (d *Dispatcher) lightlyLoaded() bool {
	if d.subsetSize > 0 {
		return d.pools[0].subsetInFlight < float64(d.subsetSize)
	}
	return d.pools[0].inFlight < float64(d.pools[0].active)
}

// capacityChanged has pools without capacity tried again.
func (d *Dispatcher) capacityChanged() {
	for _, p := range d.pools {
		p.noCapacity = false
	}
}
