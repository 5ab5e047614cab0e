package sedgevale

// Pools: the workers that classes may be sent to, and sums over them.

import (
	"slices"
)

// pool is the workers that some classes may be sent to. The first is for those
// that may go anywhere.
type pool struct {
	allowedKinds, allowedZones []int // the only kinds and zones; nil: any
	zones                      [][]*worker
	rings                      [][]ringPoint
	ringsStale                 bool
	active                     int
	weight                     float64 // of the active workers
	inFlight                   float64 // slots there that we know to be taken
	subset                     [1][]*worker
	subsetStale                bool    // near is not up to date
	subsetWeight               float64 // of the active workers of our part
	subsetInFlight             float64 // slots there that we know to be taken
	limitedWorkers             int     // active workers with a finite sigma
	limitSum                   float64 // the sum of those
	noCapacity                 bool    // since the last outcome
	jobBlocked                 bool    // in this release a job found no room
}

func (d *Dispatcher) poolOf(kinds, places []int) *pool {
	for _, p := range d.pools {
		if slices.Equal(p.allowedKinds, kinds) && slices.Equal(p.allowedZones, places) &&
			(p.allowedKinds == nil) == (kinds == nil) && (p.allowedZones == nil) == (places == nil) {
			return p
		}
	}
	p := &pool{allowedKinds: slices.Clone(kinds), allowedZones: slices.Clone(places)}
	d.pools = append(d.pools, p)
	return p
}

// poolWeightShare is the part of all workers that is open to the request's class; it
// is all while none is.
func (d *Dispatcher) poolWeightShare(r *request) float64 {
	if p := r.class.pool; p.weight > 0 {
		return p.weight / d.pools[0].weight
	}
	return 1
}

// addToPools puts a worker into the lists of those that may be sent to, or takes it
// out of them.
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

func (d *Dispatcher) removeFromPools(w *worker) {
	d.adjustPoolSums(w, -1)
	if w.poolPositions[0] >= 0 {
		d.cells[w.Cell] = slices.DeleteFunc(d.cells[w.Cell], func(v *worker) bool { return v == w })
		if len(d.cells[w.Cell]) == 0 {
			delete(d.cells, w.Cell)
		}
	}
	for i, p := range d.pools {
		at := w.poolPositions[i]
		if at < 0 {
			continue
		}
		z := p.zones[w.Zone]
		last := z[len(z)-1]
		z[at], last.poolPositions[i] = last, at
		z[len(z)-1] = nil
		p.zones[w.Zone] = z[:len(z)-1]
		w.poolPositions[i] = -1
		p.ringsStale, p.subsetStale = true, true
	}
}

// adjustPoolSums keeps the sums of the pools that the worker is in.
func (d *Dispatcher) adjustPoolSums(w *worker, sign int) {
	for i, p := range d.pools {
		if w.poolPositions[i] < 0 {
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

// meanInFlight returns the slots that we know to be taken for each unit of weight: in our part, where others
// tell us of theirs, or outside it, by which side the worker is on.
func (p *pool) meanInFlight(w *worker) float64 {
	if w.inSubset {
		return p.subsetInFlight / max(1e-9, p.subsetWeight)
	}
	return (p.inFlight - p.subsetInFlight) / max(1e-9, p.weight-p.subsetWeight)
}

// targetWeight returns the weight of the workers that our jobs go to.
func (p *pool) targetWeight() float64 {
	if p.subsetWeight > 1e-6 { // sums of floats leave traces
		return p.subsetWeight
	}
	return max(1e-9, p.weight)
}

// subsetZones returns the workers of our part that the pool has, by zones of which there is one, or nil.
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

// lightlyLoaded reports whether less than a job a worker is known to be out, and so little of each.
func (d *Dispatcher) lightlyLoaded() bool {
	if d.subsetSize > 0 {
		return d.pools[0].subsetInFlight < float64(d.subsetSize)
	}
	return d.pools[0].inFlight < float64(d.pools[0].active)
}

func (d *Dispatcher) capacityChanged() {
	for _, p := range d.pools {
		p.noCapacity = false
	}
}
