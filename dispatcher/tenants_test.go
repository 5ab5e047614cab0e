package dispatcher

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sedgevale/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 300) }

// longQueueSettings returns settings that allow a request to be queued for seconds.
func longQueueSettings() Settings {
	set := settings()
	set.Classes[0].LatencyTarget = 4 * time.Second
	return set
}

// tenantSettings returns settings with tenants of these shares, named by the letters of names.
func tenantSettings(names string, shares ...float64) Settings {
	set := longQueueSettings()
	for i, s := range shares {
		set.Tenants = append(set.Tenants, Tenant{Name: names[i : i+1], Share: s})
	}
	return set
}

func (h *fakeHost) submitForTenant(d *Dispatcher, id string, tenant int, remaining time.Duration) {
	h.t.Helper()
	if err := d.SubmitRequest(h.now, Request{ID: id, Tenant: tenant, RemainingTimeout: remaining, RuntimeHint: 100 * ms}); err != nil {
		h.t.Fatal(err)
	}
}

func (d *Dispatcher) turns() (names string) {
	for _, t := range d.tenants.all {
		names += t.name
	}
	return names
}

// tenantNumbers holds the state of a tenant that changes of other tenants must not affect.
type tenantNumbers struct {
	deficit, limit, localShare, tokens, quota, arrivals, inFlight, pendingSlots, weight float64
	tokensAt                                                                            time.Duration
	sentRequests                                                                        uint64
	openRequests                                                                        int
}

func (t *tenant) numbers() tenantNumbers {
	return tenantNumbers{
		deficit: t.deficit, limit: t.limit, localShare: t.localShare, tokens: t.tokens, quota: t.quota, arrivals: t.arrivals,
		inFlight: t.inFlight, pendingSlots: t.pendingSlots, weight: t.weight,
		tokensAt: t.tokensAt, sentRequests: t.sentRequests, openRequests: t.openRequests,
	}
}

func (t *tenant) sameLists(other *tenant) bool {
	return slices.Equal(t.sendShares, other.sendShares) && slices.Equal(t.usedWorkers, other.usedWorkers) &&
		slices.Equal(t.recentWorkers, other.recentWorkers) && slices.Equal(t.queue, other.queue) && slices.Equal(t.pendingWork, other.pendingWork)
}

// Guards against effects of added, removed and changed tenants on the others: their order, the current turn, their credit,
// learned state and queues must remain exactly the same.
func TestOtherTenantsStayUnchanged(t *testing.T) {
	set := tenantSettings("abcd", 4, 3, 2, 1)
	for i := range set.Tenants {
		set.Tenants[i].Quota = 3
	}
	d, h := start(t, set, fleet(3)...)
	for i := range 40 {
		h.submitForTenant(d, fmt.Sprint("r", i), i%4, 5*time.Second)
		if i%5 == 0 {
			h.endAttempt(d, h.sends[i/5].id, 0, Served)
		}
	}
	h.run(d, h.now+150*ms)
	if d.requests.pending == 0 || d.tenants.all[0].deficit == 0 && d.tenants.all[1].deficit == 0 {
		t.Fatalf("no request is queued or no tenant has credit: %d queued", d.requests.pending)
	}
	checkOthersStay(t, d, set)
}

// checkOthersStay changes the tenants, and checks that the state of the unchanged ones remains the same.
func checkOthersStay(t *testing.T, d *Dispatcher, set Settings) {
	t.Helper()
	turn, credited := d.tenants.all[d.tenants.turn], d.tenants.turnCredited
	before := []tenant{*d.tenants.all[0], *d.tenants.all[2]}
	next := set
	next.Tenants = []Tenant{{"e", 9, 0}, {"c", 2, 3}, {"b", 1, 1}, {"a", 4, 3}} // d is removed, e is added, b gets a lower share, and the order differs
	if err := d.UpdateSettings(next); err != nil {
		t.Fatal(err)
	}
	if d.turns() != "abcde" || d.tenants.all[d.tenants.turn] != turn || d.tenants.turnCredited != credited {
		t.Errorf("turns %s, current turn %s (credited %v), want %s (%v)", d.turns(), d.tenants.all[d.tenants.turn].name, d.tenants.turnCredited, turn.name, credited)
	}
	for i, at := range []int{0, 2} {
		was, is := before[i], *d.tenants.all[at]
		if was.numbers() != is.numbers() || !was.sameLists(&is) {
			t.Errorf("the state of tenant %s changed:\n%+v\n%+v", is.name, was, is)
		}
	}
	checkOrderOfTenants(t, d)
	bad := next
	bad.Tenants = []Tenant{{"a", 0, 0}}
	if err := d.UpdateSettings(bad); err == nil || d.turns() != "abcde" || d.tenants.byIndex[1].name != "c" {
		t.Errorf("settings with a share of 0: error %v, turns %s, want an error and no change", err, d.turns())
	}
}

// checkOrderOfTenants checks that the order of the settings determines the indexes but not the turns.
func checkOrderOfTenants(t *testing.T, d *Dispatcher) {
	t.Helper()
	for i, name := range []string{"e", "c", "b", "a"} {
		if d.tenants.byIndex[i].name != name || d.TenantIndex(name) != i {
			t.Errorf("index %d is tenant %s, and tenant %s has index %d", i, d.tenants.byIndex[i].name, name, d.TenantIndex(name))
		}
	}
}

// serveAll ends all attempts as served, including those that are sent in the meantime.
func (h *fakeHost) serveAll(d *Dispatcher) {
	for done := 0; done < len(h.sends); done++ {
		h.now += 10 * ms
		h.endAttempt(d, h.sends[done].id, 0, Served)
	}
}

// Guards against losing requests of a removed tenant: requests that are queued or in flight end as usual, a request that was
// accepted before the removal and arrives late is admitted, and the tenant is dropped after that.
func TestTenantIsRetiredAfterItsRequests(t *testing.T) {
	d, h := start(t, tenantSettings("abc", 2, 1, 1), WorkerInfo{Name: "w", Weight: 1})
	for i := range 6 {
		h.submitForTenant(d, fmt.Sprint("c", i), 2, 5*time.Second)
	}
	pending := d.tenants.all[2].pendingSlots
	if pending == 0 || len(h.sends) == 0 {
		t.Fatalf("%v slots pending, %d requests sent, want some of both", pending, len(h.sends))
	}
	if err := d.UpdateSettings(tenantSettings("ab", 2, 1)); err != nil {
		t.Fatal(err)
	}
	if c := d.tenants.all[2]; c.share != 0.25 || c.pendingSlots != pending {
		t.Errorf("share %v and %v slots pending after the removal, want 0.25 and %v", c.share, c.pendingSlots, pending)
	}
	if got := d.TenantIndex("c"); got != 2 {
		t.Errorf("the removed tenant has index %d, want 2", got)
	}
	h.serveAll(d)
	for i := range 6 {
		if id := fmt.Sprint("c", i); h.ends[id] != "served" {
			t.Errorf("request %s ended as %q, want served", id, h.ends[id])
		}
	}
	h.run(d, h.now+roundInterval)
	checkShareOfRemovedTenant(t, d, h)
}

// checkShareOfRemovedTenant checks the share of tenant c, which is removed and has no request left.
func checkShareOfRemovedTenant(t *testing.T, d *Dispatcher, h *fakeHost) {
	t.Helper()
	if a, c := d.tenants.all[0], d.tenants.all[2]; c.share != 0 || a.share != 2.0/3 {
		t.Errorf("without requests the removed tenant has share %v, and tenant a has %v", c.share, a.share)
	}
	h.submitForTenant(d, "late", d.TenantIndex("c"), time.Second) // as from a queue in front of the Dispatcher
	if a, c := d.tenants.all[0], d.tenants.all[2]; c.share != 0.25 || a.share != 0.5 {
		t.Errorf("with a late request the removed tenant has share %v, and tenant a has %v", c.share, a.share)
	}
	h.endAttempt(d, "late", 0, Served)
	h.run(d, h.now+5*time.Second+2*roundInterval)
	if d.turns() != "ab" || d.tenants.removed != 0 || d.TenantIndex("c") != -1 {
		t.Errorf("turns %s, %d removed tenants, index %d", d.turns(), d.tenants.removed, d.TenantIndex("c"))
	}
	if err := d.SubmitRequest(h.now, Request{ID: "never", Tenant: 2, RemainingTimeout: time.Second}); !errors.Is(err, ErrBadRequest) {
		t.Errorf("a request of a dropped tenant: error %v, want %v", err, ErrBadRequest)
	}
}

// Guards against losing the state of a tenant that is removed and added again.
func TestRemovedTenantIsRestored(t *testing.T) {
	set := tenantSettings("ab", 1, 1)
	d, h := start(t, set, fleet(3)...)
	h.submitForTenant(d, "r", 1, 5*time.Second)
	h.endAttempt(d, "r", 0, Served)
	b := d.tenants.all[1]
	requests, deficit := b.sentRequests, b.deficit
	for range 3 {
		for _, s := range []Settings{tenantSettings("a", 1), set} {
			if err := d.UpdateSettings(s); err != nil {
				t.Fatal(err)
			}
		}
		h.run(d, h.now+roundInterval)
	}
	if d.tenants.byIndex[1] != b || b.sentRequests != requests || b.deficit != deficit || b.removed || d.tenants.removed != 0 || d.turns() != "ab" {
		t.Errorf("the tenant is %+v, turns %s", d.tenants.byIndex[1], d.turns())
	}
	h.run(d, h.now+time.Minute)
	if d.tenants.byIndex[1] != b || d.turns() != "ab" {
		t.Errorf("a minute later the turns are %s", d.turns())
	}
}

// Guards against quota changes that take effect late: a tenant that sends as much as its quota allows is limited to the new
// rate at once, whether lower or higher.
func TestQuotaChangeTakesEffect(t *testing.T) {
	set := tenantSettings("ab", 1, 9)
	set.Tenants[0].Quota, set.Tenants[1].Quota = 40, 40
	d, h := start(t, set, fleet(3)...)
	d.tenants.arrivals, d.tenants.all[0].arrivals = 10, 10 // more than its share of the arrivals
	within := func() (n int) {                             // requests within its share in two seconds
		for range 2000 {
			h.now += ms
			if d.tenants.withinShare(h.now, d.tenants.all[0], d.capacity.slots) {
				d.tenants.all[0].tokens--
				n++
			}
		}
		return n
	}
	within() // use up the saved tokens
	for _, quota := range []float64{40, 20, 5, 80} {
		next := set
		next.Tenants = slices.Clone(set.Tenants)
		next.Tenants[0].Quota = quota
		if err := d.UpdateSettings(next); err != nil {
			t.Fatal(err)
		}
		if got, want := float64(within()), 2*quota*quotaFactor; math.Abs(got-want) > 3 {
			t.Errorf("with a quota of %v per second, %v requests in 2 s are within the share, want %v", quota, got, want)
		}
	}
}

// Requests that were submitted before the settings change from no tenants to some, or back, end as usual.
func TestTenantsAreAddedAndRemoved(t *testing.T) {
	d, h := start(t, longQueueSettings(), WorkerInfo{Name: "w", Weight: 1})
	for i := range 4 {
		h.submitForTenant(d, fmt.Sprint("any", i), -1, 5*time.Second)
	}
	if err := d.UpdateSettings(tenantSettings("ab", 1, 1)); err != nil {
		t.Fatal(err)
	}
	h.submitForTenant(d, "a", 0, 5*time.Second)
	h.submitForTenant(d, "late", d.TenantIndex(""), 5*time.Second)
	if err := d.UpdateSettings(longQueueSettings()); err != nil {
		t.Fatal(err)
	}
	h.submitForTenant(d, "again", -1, 5*time.Second)
	h.serveAll(d)
	if len(h.sends) != 7 {
		t.Errorf("%d of 7 requests were sent", len(h.sends))
	}
}

// Checks random changes of tenants and requests against a model: each request ends once, exactly the tenants of the settings
// and the removed tenants that have or may get requests take turns, once each, and shares follow the settings.
func TestTenantsModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &tenantsModel{set: drawTenants(r, "first"), lastListed: map[string]time.Duration{}}
		m.d, m.h = start(t, m.set, fleet(rapid.IntRange(0, 3).Draw(r, "workers"))...)
		r.Repeat(map[string]func(*rapid.T){
			"update settings": m.updateSettings,
			"submit":          m.submit,
			"submit late":     m.submitLate,
			"end":             m.endOne,
			"wait": func(r *rapid.T) {
				m.h.run(m.d, m.h.now+time.Duration(rapid.IntRange(1, 7000).Draw(r, "ms"))*ms)
			},
			"": m.check,
		})
		m.finish(r)
	})
}

const modelTenants = "abcdef"

func drawTenants(r *rapid.T, label string) Settings {
	set := settings()
	for _, n := range rapid.Permutation([]byte(modelTenants)).Draw(r, label)[:rapid.IntRange(0, 5).Draw(r, "many")] {
		set.Tenants = append(set.Tenants, Tenant{Name: string(n), Share: float64(rapid.IntRange(1, 9).Draw(r, "share")),
			Quota: float64(rapid.IntRange(0, 3).Draw(r, "quota"))})
	}
	return set
}

type tenantsModel struct {
	set             Settings
	d               *Dispatcher
	h               *fakeHost
	lastListed      map[string]time.Duration // by name, when a tenant was last in the settings
	submitted, done int
}

func (m *tenantsModel) updateSettings(r *rapid.T) {
	for _, v := range m.set.Tenants {
		m.lastListed[v.Name] = m.h.now
	}
	m.set = drawTenants(r, "next")
	if err := m.d.UpdateSettings(m.set); err != nil {
		r.Fatal(err)
	}
}

func (m *tenantsModel) submit(r *rapid.T) {
	index := -1
	if n := len(m.set.Tenants); n > 0 {
		index = rapid.IntRange(0, n-1).Draw(r, "tenant")
	}
	if err := m.d.SubmitRequest(m.h.now, Request{ID: fmt.Sprint("r", m.submitted), Tenant: index, RemainingTimeout: 2 * time.Second, RuntimeHint: 50 * ms}); err != nil {
		r.Fatal(err)
	}
	m.submitted++
}

// submitLate submits a request of a tenant that may be removed, as from a queue in front of the Dispatcher.
func (m *tenantsModel) submitLate(r *rapid.T) {
	name := string(modelTenants[rapid.IntRange(0, 5).Draw(r, "name")])
	if index := m.d.TenantIndex(name); index >= 0 {
		if err := m.d.SubmitRequest(m.h.now, Request{ID: fmt.Sprint("r", m.submitted), Tenant: index, RemainingTimeout: time.Second, RuntimeHint: 50 * ms}); err != nil {
			r.Fatal(err)
		}
		if got := m.d.requests.byID[fmt.Sprint("r", m.submitted)]; got != nil && got.tenant.name != name {
			r.Fatalf("a request of tenant %s belongs to tenant %s", name, got.tenant.name)
		}
		m.submitted++
	} else if at, was := m.lastListed[name]; was && m.h.now < at+5*time.Second {
		r.Fatalf("tenant %s is unknown %v after its removal", name, m.h.now-at)
	}
}

func (m *tenantsModel) endOne(*rapid.T) {
	for ; m.done < len(m.h.sends); m.done++ {
		s := m.h.sends[m.done]
		if err := m.d.AttemptEnded(m.h.now, AttemptResult{ID: s.id, Attempt: s.n, Outcome: Served, ClientAnswered: true}); err == nil {
			if m.h.ends[s.id] == "" {
				m.h.ends[s.id] = "served"
			}
			m.done++
			return
		}
	}
}

func (m *tenantsModel) check(r *rapid.T) {
	d := m.d
	seen, open, sum := map[*tenant]bool{}, 0, 0.0
	for _, v := range d.tenants.all {
		if seen[v] {
			r.Fatalf("tenant %s takes two turns", v.name)
		}
		seen[v], open, sum = true, open+v.openRequests, sum+v.share
		if len(v.pendingWork) != len(d.classes.inUse) || v.openRequests < 0 {
			r.Fatalf("tenant %s: pending work of %d classes, want %d; %d open requests", v.name, len(v.pendingWork), len(d.classes.inUse), v.openRequests)
		}
	}
	if len(d.tenants.byIndex) != max(1, len(m.set.Tenants)) || len(d.tenants.all) != len(d.tenants.byIndex)+d.tenants.removed || open != len(d.requests.byID) || math.Abs(sum-1) > 1e-9 {
		r.Fatalf("%d indexes for %d tenants, %d turns, %d removed, %d open requests of %d, sum of shares %v", len(d.tenants.byIndex), len(m.set.Tenants),
			len(d.tenants.all), d.tenants.removed, open, len(d.requests.byID), sum)
	}
	m.checkSettings(r, seen)
	if d.tenants.turn >= len(d.tenants.all) {
		r.Fatalf("the current turn is %d of %d", d.tenants.turn, len(d.tenants.all))
	}
}

// checkSettings checks that the tenants of the settings are current, and that each takes turns.
func (m *tenantsModel) checkSettings(r *rapid.T, seen map[*tenant]bool) {
	for i, v := range m.set.Tenants {
		if got := m.d.tenants.byIndex[i]; got.name != v.Name || got.weight != v.Share || got.quota != quotaFactor*v.Quota || got.removed || !seen[got] {
			r.Fatalf("tenant %d is %+v, want %+v", i, got, v)
		}
	}
}

// finish checks that each request has ended and that no state is left.
func (m *tenantsModel) finish(r *rapid.T) {
	d, h := m.d, m.h
	h.run(d, h.now+10*time.Second)
	for i := range m.submitted {
		if id := fmt.Sprint("r", i); h.ends[id] == "" {
			r.Fatalf("request %s has not ended", id)
		}
	}
	h.run(d, h.now+10*time.Second)
	for ; m.done < len(h.sends); m.done++ {
		_ = d.AttemptEnded(h.now, AttemptResult{ID: h.sends[m.done].id, Attempt: h.sends[m.done].n, Outcome: Cancelled})
	}
	h.run(d, h.now+10*time.Second)
	if d.tenants.removed != 0 || len(d.requests.byID) != 0 {
		r.Fatalf("%d removed tenants and %d requests are left at the end", d.tenants.removed, len(d.requests.byID))
	}
}
