package sedgevale

// Pools: the workers that classes may be sent to, and sums over them.

import (
	"slices"
)

// pool is the workers that some classes may be sent to. The first is for those
// that may go anywhere.
type pool struct {
	kinds, places []int // the only kinds and zones; nil: any
	zones         [][]*worker
	rings         [][]point
	ringOld       bool
	active        int
	weight        float64 // of the active workers
	held          float64 // slots there that we know to be taken
	near          [1][]*worker
	nearOld       bool    // near is not up to date
	nearWeight    float64 // of the active workers of our part
	nearHeld      float64 // slots there that we know to be taken
	limited       int     // active workers with a finite sigma
	limits        float64 // the sum of those
	noRoom        bool    // since the last outcome
	full          bool    // in this release a job found no room
}

func (d *Dispatcher) poolOf(kinds, places []int) *pool {
	for _, p := range d.pools {
		if slices.Equal(p.kinds, kinds) && slices.Equal(p.places, places) &&
			(p.kinds == nil) == (kinds == nil) && (p.places == nil) == (places == nil) {
			return p
		}
	}
	p := &pool{kinds: slices.Clone(kinds), places: slices.Clone(places)}
	d.pools = append(d.pools, p)
	return p
}

// poolPart is the part of all workers that is open to the request's class; it
// is all while none is.
func (d *Dispatcher) poolPart(r *request) float64 {
	if p := r.class.pool; p.weight > 0 {
		return p.weight / d.pools[0].weight
	}
	return 1
}

// place puts a worker into the lists of those that may be sent to, or takes it
// out of them.
func (d *Dispatcher) place(w *worker) {
	d.unplace(w)
	for i, p := range d.pools {
		if !p.admits(w) {
			continue
		}
		for len(p.zones) <= w.Zone {
			p.zones, p.rings = append(p.zones, nil), append(p.rings, nil)
		}
		w.places[i] = len(p.zones[w.Zone])
		p.zones[w.Zone] = append(p.zones[w.Zone], w)
		p.ringOld, p.nearOld = true, true
	}
	if w.places[0] >= 0 {
		d.cells[w.Cell] = append(d.cells[w.Cell], w)
	}
	d.count(w, 1)
}

func (d *Dispatcher) unplace(w *worker) {
	d.count(w, -1)
	if w.places[0] >= 0 {
		d.cells[w.Cell] = slices.DeleteFunc(d.cells[w.Cell], func(v *worker) bool { return v == w })
		if len(d.cells[w.Cell]) == 0 {
			delete(d.cells, w.Cell)
		}
	}
	for i, p := range d.pools {
		at := w.places[i]
		if at < 0 {
			continue
		}
		z := p.zones[w.Zone]
		last := z[len(z)-1]
		z[at], last.places[i] = last, at
		z[len(z)-1] = nil
		p.zones[w.Zone] = z[:len(z)-1]
		w.places[i] = -1
		p.ringOld, p.nearOld = true, true
	}
}

// count keeps the sums of the pools that the worker is in.
func (d *Dispatcher) count(w *worker, sign int) {
	for i, p := range d.pools {
		if w.places[i] < 0 {
			continue
		}
		p.active += sign
		p.weight += float64(sign) * w.size
		p.held += float64(sign) * w.held
		if w.ours {
			p.nearWeight += float64(sign) * w.size
			p.nearHeld += float64(sign) * w.held
		}
		if w.sigma < inf {
			p.limited += sign
			p.limits += float64(sign) * w.sigma
		}
	}
}

// meanHeld returns the slots that we know to be taken for each unit of weight: in our part, where others
// tell us of theirs, or outside it, by which side the worker is on.
func (p *pool) meanHeld(w *worker) float64 {
	if w.ours {
		return p.nearHeld / max(1e-9, p.nearWeight)
	}
	return (p.held - p.nearHeld) / max(1e-9, p.weight-p.nearWeight)
}

// ownWeight returns the weight of the workers that our jobs go to.
func (p *pool) ownWeight() float64 {
	if p.nearWeight > 1e-6 { // sums of floats leave traces
		return p.nearWeight
	}
	return max(1e-9, p.weight)
}

// nearby returns the workers of our part that the pool has, by zones of which there is one, or nil.
func (d *Dispatcher) nearby(p *pool) [][]*worker {
	if d.part == 0 {
		return nil
	}
	if p.nearOld {
		p.nearOld, p.near[0] = false, p.near[0][:0]
		for _, z := range p.zones {
			for _, w := range z {
				if w.ours {
					p.near[0] = append(p.near[0], w)
				}
			}
		}
	}
	if len(p.near[0]) == 0 {
		return nil
	}
	return p.near[:]
}

// sparse reports whether less than a job a worker is known to be out, and so little of each.
func (d *Dispatcher) sparse() bool {
	if d.part > 0 {
		return d.pools[0].nearHeld < float64(d.part)
	}
	return d.pools[0].held < float64(d.pools[0].active)
}

func (d *Dispatcher) roomAgain() {
	for _, p := range d.pools {
		p.noRoom = false
	}
}
