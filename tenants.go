package sedgevale

// Tenants: their shares, quotas, and what is counted for each.

import (
	"slices"
	"time"

	"sedgevale/admission"
)

const (
	arrivedDecay = 0.01 // of the counts of arrivals, a round
	knownMost    = 8    // workers that served a tenant in time, which are asked first
	modestRoom   = 1.4  // times more for one who sends less than its share of what arrives here
	quotaRoom    = 1.5  // a dispatcher may have this many times its even part of a tenant's quota
)

type tenant struct {
	name     string
	weight   float64       // its share as the settings give it
	open     int           // requests that are not forgotten
	gone     bool          // the settings do not have it any more
	until    time.Duration // for gone: when nobody can come any more who was taken before; 0: not reckoned yet
	share    float64       // of all shares; 0: gone, and without a job
	quota    float64       // jobs a second here that are within its share; 0: not told
	tokens   float64       // of those, not yet sent
	tokensAt time.Duration
	queue    queue
	backlog  []float64 // work held, by a class's index
	waiting  float64   // slots of the queue
	inflight float64
	deficit  float64
	blocked  bool    // its turn ended for lack of room, not of credit
	arrived  float64 // decayed count of jobs
	sigma    float64
	local    float64
	jobs     uint64
	known    []*worker // the last that served it in time
	alpha    []alpha
	used     []int
}

// claim returns what the tenant wants of the slots that all share.
func (t *tenant) claim() admission.Claimant {
	return admission.Claimant{Want: t.inflight + t.waiting, Share: t.share}
}

// used notes that the tenant has sent a job to the worker.
func (t *tenant) use(w *worker) {
	t.jobs++
	for len(t.alpha) <= w.index {
		t.alpha = append(t.alpha, alpha{})
	}
	a := &t.alpha[w.index]
	if !a.Used {
		t.used = append(t.used, w.index)
	}
	*a = a.Add(t.jobs, alphaGain)
}

func (t *tenant) know(w *worker) {
	t.unknow(w)
	if len(t.known) == knownMost {
		t.known = slices.Delete(t.known, 0, 1)
	}
	t.known = append(t.known, w)
}

func (t *tenant) unknow(w *worker) {
	t.known = slices.DeleteFunc(t.known, func(v *worker) bool { return v == w })
}

// withinShare reports whether the tenant has sent less than its quota, or
// sends less than its share of what arrives here: a dispatcher may have more
// than its even part of everybody. Where no quota is told, the room counts.
func (d *Dispatcher) withinShare(now time.Duration, t *tenant) bool {
	if t.quota == 0 {
		return t.inflight < t.share*d.room
	}
	rate := t.quota
	if t.arrived <= t.share*d.arrived {
		rate *= modestRoom
	}
	t.tokens = min(max(2, rate), t.tokens+rate*(now-t.tokensAt).Seconds())
	t.tokensAt = now
	return t.tokens >= 1
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
