package dispatcher

import (
	"math/rand/v2"
	"reflect"
	"slices"
)

// Changes of settings while jobs are under way.

// New returns a Dispatcher that calls host and draws its random numbers from
// seed. The error is that of the settings, or says that there is no host.
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
		slowStart:   slowStart{brokenByCell: map[int]brokenConnection{}},
		connections: connectionHealth{promptStartRate: 1},
		watch:       listWatch{backoff: minWatchBackoff},
	}
	d.slowStart.settings = &d.settings
	d.budget.configure(set.RetryBudget)
	d.settings.Dispatchers = max(1, set.Dispatchers)
	d.slowStart.sharers = d.settings.Dispatchers
	d.tenants.update(set.Tenants, d.settings.Dispatchers, len(d.classes.inUse))
	d.settings.MaxAttempts = attemptLimit(set)
	d.updateClasses(set.Classes)
	return d, nil
}

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
	d.budget.configure(set.RetryBudget)
	d.tenants.update(set.Tenants, d.settings.Dispatchers, len(d.classes.inUse))
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
	// Until running times are known, a class's is taken to be like its latency target.
	d.estimates.assumedWork = d.classes.meanLatencyTarget()
	d.compactClasses()
	for _, w := range d.workers.all { // the classes may need new pools
		if w != nil && len(w.poolPositions) < len(d.workers.pools) {
			w.poolPositions = append(w.poolPositions, slices.Repeat([]int{-1}, len(d.workers.pools)-len(w.poolPositions))...)
			d.workers.addToPools(w)
		}
	}
	d.workers.capacityChanged()
}

// compactClasses keeps the classes of the settings and of requests in flight, and
// forgets the others.
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

// TenantIndex returns the index by which [Request] knows the tenant of that name now:
// its index in the settings or, for a removed tenant, one that holds until the next
// event. A request that was taken before its tenant was removed may come later, as
// from a queue before the Dispatcher. The index is -1 once all of those must be over,
// and for an unknown name.
func (d *Dispatcher) TenantIndex(name string) int {
	for i := range d.settings.Tenants {
		if d.settings.Tenants[i].Name == name {
			return i
		}
	}
	return d.tenants.removedIndex(name)
}
