package dispatcher

import (
	"sedgevale/admission"
	"slices"
	"time"
)

// Tenants: their shares, quotas and queues, and what is counted for each.

const (
	sendShareGain    = 1.0 / 128 // EWMA weight of one request in a tenant's share sent to a worker
	arrivalsDecay    = 0.01      // of the counts of arrivals, a round
	maxRecentWorkers = 8         // that served a tenant in time, and are probed first
	belowShareFactor = 1.4       // of its quota, for a tenant that sends less than its share of what arrives here
	quotaFactor      = 1.5       // of its even part of a tenant's quota that a dispatcher may use
)

// sendShare is the EWMA share of a tenant's requests that went to a worker.
type sendShare = admission.Share

// queue is a heap of a tenant's pending requests by slack (the paper's section
// 4.2): the one that must be sent soonest comes first. Requests that are not
// queued any more stay until they are popped.
type queue []*request

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool { return q[i].sendBy < q[j].sendBy }

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(r any) { *q = append(*q, r.(*request)) }

func (q *queue) Pop() any {
	old := *q
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return r
}

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

// tenantSet is the tenants, and whose turn it is. Invariants: byIndex are those that the
// settings have, all has those and the removed ones until their last request is over;
// the shares of all sum to 1.
type tenantSet struct {
	all          []*tenant // in the order of their turns
	byIndex      []*tenant // by the settings' index; without tenants one that all requests have
	removed      int
	turn         int                  // index into all
	turnCredited bool                 // the tenant whose turn it is has had its credit
	arrivals     float64              // decayed count of requests
	claimants    []admission.Claimant // reused by fairLevel
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
// tenant's share of the capacity, in slots, counts.
func (s *tenantSet) withinShare(now time.Duration, t *tenant, capacity float64) bool {
	if t.quota == 0 {
		return t.inFlight < t.share*capacity
	}
	rate := t.quota
	if t.arrivals <= t.share*s.arrivals {
		rate *= belowShareFactor
	}
	t.tokens = min(max(2, rate), t.tokens+rate*(now-t.tokensAt).Seconds())
	t.tokensAt = now
	return t.tokens >= 1
}

// updateShares normalizes the tenants' shares. A removed tenant without requests has
// none.
func (s *tenantSet) updateShares() {
	sum := 0.0
	for _, t := range s.all {
		if !t.removed || t.openRequests > 0 {
			sum += t.weight
		}
	}
	for _, t := range s.all {
		if t.share = 0; !t.removed || t.openRequests > 0 {
			t.share = t.weight / sum
		}
	}
}

// removedIndex returns the index of a removed tenant, -1 for none of that name.
func (s *tenantSet) removedIndex(name string) int {
	at := len(s.byIndex)
	for _, t := range s.all {
		if t.removed && t.name == name {
			return at
		}
		at += int(boolToFloat(t.removed))
	}
	return -1
}

// at returns the tenant of an index as TenantIndex gives it, or nil. A
// negative index is that of the one tenant where the settings have none.
func (s *tenantSet) at(index int) *tenant {
	index = max(0, index)
	if index < len(s.byIndex) {
		return s.byIndex[index]
	}
	index -= len(s.byIndex)
	for _, t := range s.all {
		if t.removed {
			if index == 0 {
				return t
			}
			index--
		}
	}
	return nil
}

// update takes over the settings' tenants, matched by name. New ones have their
// turns after all others.
func (s *tenantSet) update(tenants []Tenant, dispatchers, classes int) {
	byName := make(map[string]*tenant, len(s.all))
	for _, t := range s.all {
		byName[t.name] = t
		t.removed = true
	}
	if len(tenants) == 0 {
		tenants = []Tenant{{Share: 1}}
	}
	s.byIndex = make([]*tenant, len(tenants))
	for i, set := range tenants {
		quota := quotaFactor * set.Quota / float64(dispatchers)
		t := byName[set.Name]
		delete(byName, set.Name) // a name that is there twice is two tenants
		if t == nil {
			t = &tenant{name: set.Name, limit: unlimited, localShare: unlimited, tokens: quota, pendingWork: make([]float64, classes)}
			s.all = append(s.all, t)
		}
		t.weight, t.quota, t.removed, t.retireAt = set.Share, quota, false, 0
		s.byIndex[i] = t
	}
	s.removed = len(s.all) - len(s.byIndex)
	s.updateShares()
}

// retire gives the shares of removed tenants back to the others once they have
// no requests, and forgets them after the longest time in which a request that was
// taken before can still come.
func (s *tenantSet) retire(now, longest time.Duration) {
	if s.removed == 0 {
		return
	}
	for i := 0; i < len(s.all); i++ {
		t := s.all[i]
		if !t.removed || t.openRequests > 0 {
			continue
		}
		if t.retireAt == 0 {
			t.retireAt = now + longest
		}
		if now < t.retireAt {
			continue
		}
		s.all = slices.Delete(s.all, i, i+1)
		s.removed--
		switch {
		case s.turn > i:
			s.turn--
		case s.turn == i:
			s.turn, s.turnCredited = i%len(s.all), false
		}
		i--
	}
	s.updateShares()
}

// fairLevel returns the max-min fair level in slots per unit of share.
func (s *tenantSet) fairLevel(limit float64) float64 {
	s.claimants = s.claimants[:0]
	for _, t := range s.all {
		s.claimants = append(s.claimants, t.claim())
	}
	return admission.MaxMinLevel(s.claimants, limit)
}

// demand returns the slots that all tenants have in flight and pending.
func (s *tenantSet) demand() float64 {
	demand := 0.0
	for _, t := range s.all {
		demand += t.inFlight + t.pendingSlots
	}
	return demand
}

// nextTurn passes the turn on.
func (s *tenantSet) nextTurn() { s.turn, s.turnCredited = (s.turn+1)%len(s.all), false }
