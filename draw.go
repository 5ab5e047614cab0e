package sedgevale

// Drawing workers: by zones, by rings of homes, and the places where they stand.

import (
	"cmp"
	"iter"
	"slices"
)

// drawAfter returns the known workers, then a few of the zones, in random order.
func (d *Dispatcher) drawAfter(known []*worker, zones [][]*worker) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i, at := 0, d.rng.IntN(len(known)+1); i < len(known); i++ {
			if !yield(known[(i+at)%len(known)]) {
				return
			}
		}
		d.draw(zones)(yield)
	}
}

// draw returns a few workers of the zones in random order.
func (d *Dispatcher) draw(zones [][]*worker) iter.Seq[*worker] {
	n := 0
	for _, z := range zones {
		n += len(z)
	}
	return func(yield func(*worker) bool) {
		if n == 0 {
			return
		}
		at, step := d.rng.IntN(n), 1
		if n > pickTries {
			step += d.rng.IntN(n - 1)
		}
		for range min(n, pickTries) {
			if !yield(nth(zones, at)) {
				return
			}
			at = (at + step) % n
		}
	}
}

func nth(zones [][]*worker, i int) *worker {
	for _, z := range zones {
		if i < len(z) {
			return z[i]
		}
		i -= len(z)
	}
	return nil
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

// hashOf returns 0 only for no key.
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

func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
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

func (p *pool) buildRings() {
	p.ringOld = false
	for z, ws := range p.zones {
		ring := p.rings[z][:0]
		for _, w := range ws {
			h := hashOf(w.Worker)
			for i := range uint64(ringPoints) {
				ring = append(ring, point{mix(h + i*0x9e3779b97f4a7c15), w})
			}
		}
		slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
		p.rings[z] = ring
	}
}

// homes returns the first worker that follows the hash on each zone's ring, of
// the own zone first.
func (d *Dispatcher) homes(p *pool, hash uint64) []*worker {
	if p.ringOld {
		p.buildRings()
	}
	d.found = d.found[:0]
	for z, ring := range p.rings {
		if len(ring) == 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(ring, hash, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
		d.found = append(d.found, ring[i%len(ring)].w)
		if z == d.set.Zone {
			last := len(d.found) - 1
			d.found[0], d.found[last] = d.found[last], d.found[0]
		}
	}
	return d.found
}
