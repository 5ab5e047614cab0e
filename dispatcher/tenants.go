package dispatcher

import (
	"sedgevale/admission"
	"slices"
	"time"
)

// This file holds the tenants with their shares, quotas and queues.

const (
	sendShareGain    = 1.0 / 128 // EWMA weight of one request in a tenant's share sent to a worker
	arrivalsDecay    = 0.01      // fraction by which the counts of arrivals decay per round
	maxRecentWorkers = 8         // number of workers probed first because they served the tenant within its target
	belowShareFactor = 1.4       // factor on the quota of a tenant with at most its share of the requests that arrive here
	quotaFactor      = 1.5       // factor on a dispatcher's even part of a tenant's quota
)

// sendShare is the EWMA share of a tenant's requests that went to a worker.
type sendShare = admission.Share

// queue is a heap of a tenant's pending requests, ordered by the time by which they must
// be sent (the paper's section 4.2). Requests that are no longer queued remain in the heap
// until they are popped.
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

// tenant is a tenant of the settings, or a removed tenant until its last request has
// ended.
type tenant struct {
	name         string
	weight       float64       // share from the settings
	openRequests int           // number of its requests in the requestTable
	removed      bool          // no longer in the settings
	retireAt     time.Duration // time at which a removed tenant is dropped, after which no earlier request can arrive; 0 if not set
	share        float64       // share normalized over all tenants; 0 for a removed tenant without requests

	quota    float64 // requests per second at this dispatcher within its share; 0 means no quota
	tokens   float64 // unused tokens of the quota
	tokensAt time.Duration

	queue             queue
	pendingWork       []float64 // slot seconds of queued requests, by class index
	pendingSlots      float64
	inFlight          float64 // slots in flight
	deficit           float64 // credit of the deficit round robin, in slot seconds
	blockedByCapacity bool    // its turn ended for lack of capacity, not of credit
	arrivals          float64 // decayed count of requests

	limit         float64 // limit on its slots in flight, which applies only beyond its share
	localShare    float64 // local share of the capacity, in slots
	sentRequests  uint64
	sendShares    []sendShare // by worker index
	usedWorkers   []int       // indexes of workers with a sendShare in use
	recentWorkers []*worker   // last workers that served it within its target
}

// tenantSet holds the tenants and the state of the round robin. Invariants: byIndex holds
// the tenants of the settings; all holds these and the removed tenants until their last
// request has ended; the shares of all sum to 1.
type tenantSet struct {
	all          []*tenant            // in the order of their turns
	byIndex      []*tenant            // by index in the settings; a single tenant for all requests if the settings have none
	removed      int                  // number of removed tenants in all
	turn         int                  // index into all
	turnCredited bool                 // the current tenant has received the credit of this turn
	arrivals     float64              // decayed count of requests
	claimants    []admission.Claimant // scratch space of fairLevel
}

// claimant returns the tenant's demand for slots and its share.
func (t *tenant) claimant() admission.Claimant {
	return admission.Claimant{Demand: t.inFlight + t.pendingSlots, Share: t.share}
}

// countSent records that a request of the tenant was sent to the worker.
func (t *tenant) countSent(w *worker) {
	t.sentRequests++
	for len(t.sendShares) <= w.index {
		t.sendShares = append(t.sendShares, sendShare{})
	}
	a := &t.sendShares[w.index]
	if !a.Used {
		t.usedWorkers = append(t.usedWorkers, w.index)
	}
	*a = a.AddJob(t.sentRequests, sendShareGain)
}

// addRecentWorker records that the worker served a request of the tenant within its target.
func (t *tenant) addRecentWorker(w *worker) {
	t.removeRecentWorker(w)
	if len(t.recentWorkers) == maxRecentWorkers {
		t.recentWorkers = slices.Delete(t.recentWorkers, 0, 1)
	}
	t.recentWorkers = append(t.recentWorkers, w)
}

// removeRecentWorker removes the worker from the tenant's recent workers.
func (t *tenant) removeRecentWorker(w *worker) {
	t.recentWorkers = slices.DeleteFunc(t.recentWorkers, func(v *worker) bool { return v == w })
}

// withinShare reports whether the tenant has an unused token of its quota, or, if it has no
// quota, whether its slots in flight are below its share of the capacity in slots. The
// quota is larger for a tenant with at most its share of the requests that arrive here,
// since a dispatcher may receive more than its even part of the requests of all tenants.
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

// updateShares normalizes the tenants' shares. A removed tenant without requests has a
// share of 0.
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

// removedIndex returns the index of a removed tenant, or -1 if there is none of that name.
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

// at returns the tenant with an index from TenantIndex, or nil. A negative index stands
// for the first tenant, which is the only one if the settings have none.
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

// update applies the tenants of the settings, matched by name. New tenants have their
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
		delete(byName, set.Name) // two tenants of the same name remain two tenants
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

// retire returns the shares of removed tenants without requests to the other tenants, and
// drops such a tenant once no request that was accepted before its removal can arrive,
// which takes the longest client timeout.
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
		s.claimants = append(s.claimants, t.claimant())
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

// nextTurn gives the turn to the next tenant.
func (s *tenantSet) nextTurn() { s.turn, s.turnCredited = (s.turn+1)%len(s.all), false }
