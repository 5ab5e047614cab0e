package sedgevale

// Changes of settings while jobs are under way.

import (
	"reflect"
	"slices"
)

// Retune goes on by new settings. Jobs under way keep their class as it was; what
// was learned of a class counts for the next of its name. Tenants go by their names:
// one that stays keeps its turn, its credit and all that was learned, whatever becomes
// of the others; one that goes keeps its share until its last job is over (see Tenant).
// Zone, peers and the meaning of weights stay: they change with a new Dispatcher.
// Settings that make no sense are an error and change nothing.
func (d *Dispatcher) Retune(set Settings) error {
	if err := set.Check(); err != nil {
		return err
	}
	old := d.set
	d.set = set
	d.set.Zone, d.set.Peers, d.set.Weights, d.set.AskForList = old.Zone, old.Peers, old.Weights, old.AskForList
	d.set.MaxAttempts = attemptsOf(set)
	if set.Further.Span != old.Further.Span {
		d.tallies()
	}
	d.enroll(set.Tenants)
	d.classify(set.Classes)
	return nil
}

func attemptsOf(set Settings) int {
	return min(max(1, set.MaxAttempts), 31) // a timer's token has 5 bits for it
}

// classify makes the classes of new settings. One that has not changed is the same
// as before; another of the same name goes on from what was learned.
func (d *Dispatcher) classify(classes []Class) {
	former := d.classes
	d.classes = make([]*class, len(classes))
	for i, c := range classes {
		k := &class{Class: c}
		k.Kinds, k.Zones = slices.Clone(c.Kinds), slices.Clone(c.Zones)
		for _, f := range former {
			if f.Name != c.Name {
				continue
			}
			if reflect.DeepEqual(f.Class, k.Class) {
				k = f
			} else {
				k.run, k.base, k.hint, k.complete, k.runs = f.run, f.base, f.hint, f.complete, f.runs
			}
			break
		}
		k.pool = d.poolOf(c.Kinds, c.Zones)
		d.classes[i] = k
	}
	d.keep()
	for _, w := range d.workers { // the classes may have brought a pool
		if w != nil && len(w.places) < len(d.pools) {
			w.places = append(w.places, slices.Repeat([]int{-1}, len(d.pools)-len(w.places))...)
			d.place(w)
		}
	}
	d.roomAgain()
}

// keep keeps the classes of the settings and of jobs under way, and forgets the others.
func (d *Dispatcher) keep() {
	work := make([]map[*class]float64, len(d.tenants))
	for i, t := range d.tenants {
		work[i] = map[*class]float64{}
		for at, k := range d.kept {
			work[i][k] = t.backlog[at]
		}
	}
	inUse := map[*class]bool{}
	for _, r := range d.requests {
		inUse[r.class] = true
	}
	kept := slices.Clone(d.classes)
	for _, k := range d.kept {
		if inUse[k] && !slices.Contains(kept, k) {
			kept = append(kept, k)
		}
	}
	d.kept = kept
	for at, k := range kept {
		k.index = at
	}
	for i, t := range d.tenants {
		t.backlog = make([]float64, len(kept))
		for at, k := range kept {
			t.backlog[at] = work[i][k]
		}
	}
}
