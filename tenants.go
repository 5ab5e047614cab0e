package sedgevale

// Tenants: their shares, quotas, and what is counted for each.

import (
	"slices"
	"time"

	"sedgevale/admission"
)

const (
	arrivalsDecay    = 0.01 // of the counts of arrivals, a round
	maxRecentWorkers = 8    // workers that served a tenant in time, which are asked first
	belowShareFactor = 1.4  // times more for one who sends less than its share of what arrives here
	quotaFactor      = 1.5  // a dispatcher may have this many times its even part of a tenant's quota
)

type tenant struct {
	name              string
	weight            float64       // its share as the settings give it
	openRequests      int           // requests that are not forgotten
	removed           bool          // the settings do not have it any more
	retireAt          time.Duration // for gone: when nobody can come any more who was taken before; 0: not reckoned yet
	share             float64       // of all shares; 0: gone, and without a job
	quota             float64       // jobs a second here that are within its share; 0: not told
	tokens            float64       // of those, not yet sent
	tokensAt          time.Duration
	queue             queue
	pendingWork       []float64 // work held, by a class's index
	pendingSlots      float64   // slots of the queue
	inFlight          float64
	deficit           float64
	blockedByCapacity bool    // its turn ended for lack of room, not of credit
	arrivals          float64 // decayed count of jobs
	limit             float64
	localShare        float64
	sentJobs          uint64
	recentWorkers     []*worker // the last that served it in time
	sendShares        []sendShare
	usedWorkers       []int
}

// claim returns what the tenant wants of the slots that all share.
func (t *tenant) claim() admission.Claimant {
	return admission.Claimant{Want: t.inFlight + t.pendingSlots, Share: t.share}
}

// used notes that the tenant has sent a job to the worker.
func (t *tenant) noteSent(w *worker) {
	t.sentJobs++
	for len(t.sendShares) <= w.index {
		t.sendShares = append(t.sendShares, sendShare{})
	}
	a := &t.sendShares[w.index]
	if !a.Used {
		t.usedWorkers = append(t.usedWorkers, w.index)
	}
	*a = a.Add(t.sentJobs, sendShareGain)
}

func (t *tenant) rememberWorker(w *worker) {
	t.forgetWorker(w)
	if len(t.recentWorkers) == maxRecentWorkers {
		t.recentWorkers = slices.Delete(t.recentWorkers, 0, 1)
	}
	t.recentWorkers = append(t.recentWorkers, w)
}

func (t *tenant) forgetWorker(w *worker) {
	t.recentWorkers = slices.DeleteFunc(t.recentWorkers, func(v *worker) bool { return v == w })
}

// withinShare reports whether the tenant has sent less than its quota, or
// sends less than its share of what arrives here: a dispatcher may have more
// than its even part of everybody. Where no quota is told, the room counts.
func (d *Dispatcher) withinShare(now time.Duration, t *tenant) bool {
	if t.quota == 0 {
		return t.inFlight < t.share*d.capacity
	}
	rate := t.quota
	if t.arrivals <= t.share*d.arrivals {
		rate *= belowShareFactor
	}
	t.tokens = min(max(2, rate), t.tokens+rate*(now-t.tokensAt).Seconds())
	t.tokensAt = now
	return t.tokens >= 1
}

// updateShares reckons each tenant's part of all shares. Who is gone and has no job has none.
func (d *Dispatcher) updateShares() {
	sum := 0.0
	for _, t := range d.tenants {
		if !t.removed || t.openRequests > 0 {
			sum += t.weight
		}
	}
	for _, t := range d.tenants {
		if t.share = 0; !t.removed || t.openRequests > 0 {
			t.share = t.weight / sum
		}
	}
}

// TenantIndex returns the number by which Request knows the tenant of that name now: its place in the settings
// or, of one that they have no more, a number that holds until the next event. A job that was taken
// before its tenant went may come later, as from a queue before the Dispatcher. It is -1 once all of
// those must be over, and for a name that was never there.
func (d *Dispatcher) TenantIndex(name string) int {
	for i := range d.settings.Tenants {
		if d.settings.Tenants[i].Name == name {
			return i
		}
	}
	at := len(d.tenantsByIndex)
	for _, t := range d.tenants {
		if t.removed && t.name == name {
			return at
		}
		at += int(boolToFloat(t.removed))
	}
	return -1
}

// tenantByIndex returns the tenant of a number, or nil.
func (d *Dispatcher) tenantByIndex(number int) *tenant {
	if number = max(0, number); number < len(d.tenantsByIndex) {
		return d.tenantsByIndex[number]
	}
	number -= len(d.tenantsByIndex)
	for _, t := range d.tenants {
		if t.removed {
			if number == 0 {
				return t
			}
			number--
		}
	}
	return nil
}

// updateTenants goes on by the settings' tenants, matched by name. Newcomers have their turns after all others.
func (d *Dispatcher) updateTenants(tenants []Tenant) {
	byName := make(map[string]*tenant, len(d.tenants))
	for _, t := range d.tenants {
		byName[t.name] = t
		t.removed = true
	}
	if len(tenants) == 0 {
		tenants = []Tenant{{Share: 1}}
	}
	d.tenantsByIndex = make([]*tenant, len(tenants))
	for i, s := range tenants {
		quota := quotaFactor * s.Quota / float64(d.settings.Peers)
		t := byName[s.Name]
		delete(byName, s.Name) // a name that is there twice is two tenants
		if t == nil {
			t = &tenant{name: s.Name, limit: unlimited, localShare: unlimited, tokens: quota, pendingWork: make([]float64, len(d.classesInUse))}
			d.tenants = append(d.tenants, t)
		}
		t.weight, t.quota, t.removed, t.retireAt = s.Share, quota, false, 0
		d.tenantsByIndex[i] = t
	}
	d.removedTenants = len(d.tenants) - len(d.tenantsByIndex)
	d.updateShares()
}

// retireTenants gives the shares of tenants that are gone back to the others once they have no job, and forgets
// them after the longest time that a job which was taken before can still come.
func (d *Dispatcher) retireTenants(now time.Duration) {
	if d.removedTenants == 0 {
		return
	}
	longest := time.Duration(0)
	for _, k := range d.classesInUse {
		longest = max(longest, k.Limit)
	}
	for i := 0; i < len(d.tenants); i++ {
		t := d.tenants[i]
		if !t.removed || t.openRequests > 0 {
			continue
		}
		if t.retireAt == 0 {
			t.retireAt = now + longest
		}
		if now < t.retireAt {
			continue
		}
		d.tenants = slices.Delete(d.tenants, i, i+1)
		d.removedTenants--
		switch {
		case d.turn > i:
			d.turn--
		case d.turn == i:
			d.turn, d.turnCredited = i%len(d.tenants), false
		}
		i--
	}
	d.updateShares()
}
