package sedgevale

// Tenants: their shares, quotas, and what is counted for each.

import (
	"slices"
	"time"

	"sedgevale/admission"
)

const (
	arrivalsDecay    = 0.01 // of the counts of arrivals, a round
	maxRecentWorkers = 8    // that served a tenant in time, and are probed first
	belowShareFactor = 1.4  // of its quota, for a tenant that sends less than its share of what arrives here
	quotaFactor      = 1.5  // of its even part of a tenant's quota that a dispatcher may use
)

// tenant is a tenant of the settings, or one that they have removed until its last
// request is over.
type tenant struct {
	name         string
	weight       float64       // its share as the settings give it
	openRequests int           // that are not forgotten yet
	removed      bool          // the settings do not have it any more
	retireAt     time.Duration // when it is removed: no request that was taken before can come after it; 0: not set yet
	share        float64       // normalized over all tenants; 0: removed, and without requests

	quota    float64 // requests a second here within its share; 0: none is set
	tokens   float64 // of the quota, not yet used
	tokensAt time.Duration

	queue             queue
	pendingWork       []float64 // by a class's index
	pendingSlots      float64
	inFlight          float64 // slots
	deficit           float64 // credit of the deficit round robin, in slot seconds
	blockedByCapacity bool    // its turn ended for lack of capacity, not of credit
	arrivals          float64 // decayed count of requests

	limit         float64 // bound on slots in flight beyond its share
	localShare    float64 // slots
	sentJobs      uint64
	sendShares    []sendShare // by a worker's index
	usedWorkers   []int       // indexes of workers with a share
	recentWorkers []*worker   // the last that served it in time
}

// claim returns the slots that the tenant wants, and its share.
func (t *tenant) claim() admission.Claimant {
	return admission.Claimant{Demand: t.inFlight + t.pendingSlots, Share: t.share}
}

// countSent notes that a request of the tenant was sent to the worker.
func (t *tenant) countSent(w *worker) {
	t.sentJobs++
	for len(t.sendShares) <= w.index {
		t.sendShares = append(t.sendShares, sendShare{})
	}
	a := &t.sendShares[w.index]
	if !a.Used {
		t.usedWorkers = append(t.usedWorkers, w.index)
	}
	*a = a.AddJob(t.sentJobs, sendShareGain)
}

// rememberWorker notes that the worker served the tenant in time.
func (t *tenant) rememberWorker(w *worker) {
	t.forgetWorker(w)
	if len(t.recentWorkers) == maxRecentWorkers {
		t.recentWorkers = slices.Delete(t.recentWorkers, 0, 1)
	}
	t.recentWorkers = append(t.recentWorkers, w)
}

// forgetWorker takes the worker off the tenant's recent ones.
func (t *tenant) forgetWorker(w *worker) {
	t.recentWorkers = slices.DeleteFunc(t.recentWorkers, func(v *worker) bool { return v == w })
}

// withinShare reports whether the tenant has sent less than its quota. The quota is
// larger for one that sends less than its share of what arrives here, since a
// dispatcher may get more than its even part of all tenants. Without a quota the
// tenant's share of the capacity counts.
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

// updateShares normalizes the tenants' shares. A removed tenant without requests has
// none.
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
	at := len(d.tenantsByIndex)
	for _, t := range d.tenants {
		if t.removed && t.name == name {
			return at
		}
		at += int(boolToFloat(t.removed))
	}
	return -1
}

// tenantByIndex returns the tenant of an index as TenantIndex gives it, or nil. A
// negative index is that of the one tenant where the settings have none.
func (d *Dispatcher) tenantByIndex(index int) *tenant {
	index = max(0, index)
	if index < len(d.tenantsByIndex) {
		return d.tenantsByIndex[index]
	}
	index -= len(d.tenantsByIndex)
	for _, t := range d.tenants {
		if t.removed {
			if index == 0 {
				return t
			}
			index--
		}
	}
	return nil
}

// updateTenants takes over the settings' tenants, matched by name. New ones have their
// turns after all others.
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
		quota := quotaFactor * s.Quota / float64(d.settings.Dispatchers)
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

// retireTenants gives the shares of removed tenants back to the others once they have
// no requests, and forgets them after the longest time in which a request that was
// taken before can still come.
func (d *Dispatcher) retireTenants(now time.Duration) {
	if d.removedTenants == 0 {
		return
	}
	longest := time.Duration(0)
	for _, c := range d.classesInUse {
		longest = max(longest, c.ClientTimeout)
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
