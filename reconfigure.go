package sedgevale

// Changes of settings while jobs are under way.

import (
	"reflect"
	"slices"
)

// UpdateSettings takes over new settings. Requests in flight keep their class as it
// was; what was learned of a class holds for the next of its name. Tenants go by
// their names: one that stays keeps its turn, its credit and all that was learned,
// whatever becomes of the others; one that is removed keeps its share until its last
// request is over (see [Dispatcher.TenantIndex]). Zone, peers, the meaning of weights
// and how the list comes stay: they change with a new Dispatcher. Invalid settings
// are an error and change nothing.
func (d *Dispatcher) UpdateSettings(set Settings) error {
	if err := set.Validate(); err != nil {
		return err
	}
	old := d.settings
	d.settings = set
	d.settings.Zone, d.settings.Dispatchers, d.settings.Weights, d.settings.WatchOnDemand = old.Zone, old.Dispatchers, old.Weights, old.WatchOnDemand
	d.settings.MaxAttempts = attemptLimit(set)
	if set.RetryBudget.Window != old.RetryBudget.Window {
		d.resetCounters()
	}
	d.updateTenants(set.Tenants)
	d.updateClasses(set.Classes)
	return nil
}

// attemptLimit returns how many attempts a request may have.
func attemptLimit(set Settings) int {
	return min(max(1, set.MaxAttempts), 31) // a timer's token has 5 bits for it
}

// updateClasses makes the classes of new settings. One that has not changed stays the
// same; another of the same name goes on from what was learned.
func (d *Dispatcher) updateClasses(classes []Class) {
	former := d.classes
	d.classes = make([]*class, len(classes))
	for i, c := range classes {
		updated := &class{Class: c}
		updated.Kinds, updated.Zones = slices.Clone(c.Kinds), slices.Clone(c.Zones)
		for _, f := range former {
			if f.Name != c.Name {
				continue
			}
			if reflect.DeepEqual(f.Class, updated.Class) {
				updated = f
			} else {
				updated.meanRuntime, updated.baseRuntime, updated.meanHint = f.meanRuntime, f.baseRuntime, f.meanHint
				updated.meanCompletion, updated.samples = f.meanCompletion, f.samples
			}
			break
		}
		updated.pool = d.poolOf(c.Kinds, c.Zones)
		d.classes[i] = updated
	}
	d.compactClasses()
	for _, w := range d.workers { // the classes may need new pools
		if w != nil && len(w.poolPositions) < len(d.pools) {
			w.poolPositions = append(w.poolPositions, slices.Repeat([]int{-1}, len(d.pools)-len(w.poolPositions))...)
			d.addToPools(w)
		}
	}
	d.capacityChanged()
}

// compactClasses keeps the classes of the settings and of requests in flight, and
// forgets the others.
func (d *Dispatcher) compactClasses() {
	work := make([]map[*class]float64, len(d.tenants))
	for i, t := range d.tenants {
		work[i] = map[*class]float64{}
		for at, c := range d.classesInUse {
			work[i][c] = t.pendingWork[at]
		}
	}
	inUse := map[*class]bool{}
	for _, r := range d.requests {
		inUse[r.class] = true
	}
	kept := slices.Clone(d.classes)
	for _, c := range d.classesInUse {
		if inUse[c] && !slices.Contains(kept, c) {
			kept = append(kept, c)
		}
	}
	d.classesInUse = kept
	for at, c := range kept {
		c.index = at
	}
	for i, t := range d.tenants {
		t.pendingWork = make([]float64, len(kept))
		for at, c := range kept {
			t.pendingWork[at] = work[i][c]
		}
	}
}
