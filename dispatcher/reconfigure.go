package dispatcher

import (
	"math/rand/v2"
	"reflect"
	"slices"
)

// This file creates a Dispatcher and changes its settings while requests are in flight.

// New returns a Dispatcher that calls host and seeds its random numbers with seed. It
// returns an error if the settings are invalid or host is nil.
func New(set Settings, seed uint64, host Host) (*Dispatcher, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	if host == nil {
		return nil, errNoHost
	}
	d := &Dispatcher{
		settings:    set,
		host:        host,
		rng:         rand.New(rand.NewPCG(seed, 0)),
		requests:    newRequestTable(),
		workers:     newWorkerSet(),
		estimates:   workEstimates{lowRuntimeRatio: 1},
		slowStart:   slowStart{lastFailureByCell: map[int]connFailure{}},
		connections: connectionHealth{promptStartRate: 1},
		watch:       listWatch{backoff: minWatchBackoff},
	}
	d.slowStart.settings = &d.settings
	d.budget.configure(set.RetryBudget)
	d.settings.Dispatchers = max(1, set.Dispatchers)
	d.slowStart.dispatchersPerWorker = d.settings.Dispatchers
	d.tenants.update(set.Tenants, d.settings.Dispatchers, len(d.classes.inUse))
	d.settings.MaxAttempts = attemptLimit(set)
	d.updateClasses(set.Classes)
	return d, nil
}

// UpdateSettings applies new settings. Requests in flight keep their former class. The
// learned state of a class carries over to the class of the same name. Tenants are
// matched by name: a tenant that remains keeps its turn, its credit and its learned
// state, whatever happens to the others, and a removed tenant keeps its share until its
// last request has ended (see [Dispatcher.TenantIndex]). Zone, Dispatchers, WeightMeaning and
// WatchOnDemand keep their values; changing them requires a new Dispatcher. Invalid
// settings return an error and change nothing.
func (d *Dispatcher) UpdateSettings(set Settings) error {
	if err := set.Validate(); err != nil {
		return err
	}
	old := d.settings
	d.settings = set
	d.settings.Zone, d.settings.Dispatchers, d.settings.WeightMeaning, d.settings.WatchOnDemand = old.Zone, old.Dispatchers, old.WeightMeaning, old.WatchOnDemand
	d.settings.MaxAttempts = attemptLimit(set)
	d.budget.configure(set.RetryBudget)
	d.tenants.update(set.Tenants, d.settings.Dispatchers, len(d.classes.inUse))
	d.updateClasses(set.Classes)
	return nil
}

// attemptLimit returns the maximum number of attempts of a request.
func attemptLimit(set Settings) int {
	return min(max(1, set.MaxAttempts), 31) // a timer token has 5 bits for the attempt
}

// updateClasses creates the classes of new settings. An unchanged class is kept, and a
// changed one takes over the learned state of its predecessor of the same name.
func (d *Dispatcher) updateClasses(classes []Class) {
	former := d.classes.current
	d.classes.current = make([]*class, len(classes))
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
		updated.pool = d.workers.poolOf(c.Kinds, c.Zones)
		d.classes.current[i] = updated
	}
	// Until running times are known, they are assumed to equal the latency targets.
	d.estimates.assumedWork = d.classes.meanLatencyTarget()
	d.compactClasses()
	for _, w := range d.workers.all { // add the workers to pools that the classes have added
		if w != nil && len(w.poolPositions) < len(d.workers.pools) {
			w.poolPositions = append(w.poolPositions, slices.Repeat([]int{-1}, len(d.workers.pools)-len(w.poolPositions))...)
			d.workers.addToPools(w)
		}
	}
	d.workers.capacityChanged()
}

// compactClasses drops former classes that no request uses, and reindexes the others.
func (d *Dispatcher) compactClasses() {
	work := make([]map[*class]float64, len(d.tenants.all))
	for i, t := range d.tenants.all {
		work[i] = map[*class]float64{}
		for at, c := range d.classes.inUse {
			work[i][c] = t.pendingWork[at]
		}
	}
	inUse := map[*class]bool{}
	for _, r := range d.requests.byID {
		inUse[r.class] = true
	}
	kept := slices.Clone(d.classes.current)
	for _, c := range d.classes.inUse {
		if inUse[c] && !slices.Contains(kept, c) {
			kept = append(kept, c)
		}
	}
	d.classes.inUse = kept
	for at, c := range kept {
		c.index = at
	}
	for i, t := range d.tenants.all {
		t.pendingWork = make([]float64, len(kept))
		for at, c := range kept {
			t.pendingWork[at] = work[i][c]
		}
	}
}

// TenantIndex returns the current index of the tenant with that name for [Request]: its
// index in the settings or, for a removed tenant, an index that is valid until the next
// event. Removed tenants remain known because a request may have been accepted before
// the removal and be submitted after it, for example from a queue in front of the
// Dispatcher. The index is -1 once no such request can arrive, and for an unknown name.
func (d *Dispatcher) TenantIndex(name string) int {
	for i := range d.settings.Tenants {
		if d.settings.Tenants[i].Name == name {
			return i
		}
	}
	return d.tenants.removedIndex(name)
}
