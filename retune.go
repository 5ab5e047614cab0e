package sedgevale

// How a Dispatcher's settings change while jobs are under way. Nothing here decides.

import (
	"reflect"
	"slices"
	"time"
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

// Tenant returns the number by which Request knows the tenant of that name now: its place in the settings
// or, of one that they have no more, a number that holds until the next event. A job that was taken
// before its tenant went may come later, as from a queue before the Dispatcher. It is -1 once all of
// those must be over, and for a name that was never there.
func (d *Dispatcher) Tenant(name string) int {
	for i := range d.set.Tenants {
		if d.set.Tenants[i].Name == name {
			return i
		}
	}
	at := len(d.named)
	for _, t := range d.tenants {
		if t.gone && t.name == name {
			return at
		}
		at += int(oneIf(t.gone))
	}
	return -1
}

// tenantOf returns the tenant of a number, or nil.
func (d *Dispatcher) tenantOf(number int) *tenant {
	if number = max(0, number); number < len(d.named) {
		return d.named[number]
	}
	number -= len(d.named)
	for _, t := range d.tenants {
		if t.gone {
			if number == 0 {
				return t
			}
			number--
		}
	}
	return nil
}

// enroll goes on by the settings' tenants, matched by name. Newcomers have their turns after all others.
func (d *Dispatcher) enroll(tenants []Tenant) {
	byName := make(map[string]*tenant, len(d.tenants))
	for _, t := range d.tenants {
		byName[t.name] = t
		t.gone = true
	}
	if len(tenants) == 0 {
		tenants = []Tenant{{Share: 1}}
	}
	d.named = make([]*tenant, len(tenants))
	for i, s := range tenants {
		quota := quotaRoom * s.Quota / float64(d.set.Peers)
		t := byName[s.Name]
		delete(byName, s.Name) // a name that is there twice is two tenants
		if t == nil {
			t = &tenant{name: s.Name, sigma: inf, local: inf, tokens: quota, backlog: make([]float64, len(d.kept))}
			d.tenants = append(d.tenants, t)
		}
		t.weight, t.quota, t.gone, t.until = s.Share, quota, false, 0
		d.named[i] = t
	}
	d.gone = len(d.tenants) - len(d.named)
	d.shares()
}

// shares reckons each tenant's part of all shares. Who is gone and has no job has none.
func (d *Dispatcher) shares() {
	sum := 0.0
	for _, t := range d.tenants {
		if !t.gone || t.open > 0 {
			sum += t.weight
		}
	}
	for _, t := range d.tenants {
		if t.share = 0; !t.gone || t.open > 0 {
			t.share = t.weight / sum
		}
	}
}

// retire gives the shares of tenants that are gone back to the others once they have no job, and forgets
// them after the longest time that a job which was taken before can still come.
func (d *Dispatcher) retire(now time.Duration) {
	if d.gone == 0 {
		return
	}
	longest := time.Duration(0)
	for _, k := range d.kept {
		longest = max(longest, k.Limit)
	}
	for i := 0; i < len(d.tenants); i++ {
		t := d.tenants[i]
		if !t.gone || t.open > 0 {
			continue
		}
		if t.until == 0 {
			t.until = now + longest
		}
		if now < t.until {
			continue
		}
		d.tenants = slices.Delete(d.tenants, i, i+1)
		d.gone--
		switch {
		case d.turn > i:
			d.turn--
		case d.turn == i:
			d.turn, d.credited = i%len(d.tenants), false
		}
		i--
	}
	d.shares()
}

// tallies begins to count attempts and requests for the budget's span.
func (d *Dispatcher) tallies() {
	part := max(1, d.set.Further.Span/tallyParts)
	d.further, d.taken = tally{part: part}, tally{part: part}
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
