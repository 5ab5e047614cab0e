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

// longQueueSettings returns settings by which a job may be queued for seconds.
func longQueueSettings() Settings {
	set := settings()
	set.Classes[0].LatencyTarget = 4 * time.Second
	return set
}

// tenantSettings returns settings with these tenants: names, then shares.
func tenantSettings(names string, shares ...float64) Settings {
	set := longQueueSettings()
	for i, s := range shares {
		set.Tenants = append(set.Tenants, Tenant{Name: names[i : i+1], Share: s})
	}
	return set
}

func (h *fakeHost) askFor(d *Dispatcher, id string, tenant int, left time.Duration) {
	h.t.Helper()
	if err := d.SubmitRequest(h.now, Request{ID: id, Tenant: tenant, TimeLeft: left, RuntimeHint: 100 * ms}); err != nil {
		h.t.Fatal(err)
	}
}

func (d *Dispatcher) turns() (names string) {
	for _, t := range d.tenants.all {
		names += t.name
	}
	return names
}

// tenantNumbers are a tenant's figures that no other tenant may change.
type tenantNumbers struct {
	deficit, limit, localShare, tokens, quota, arrivals, inFlight, pendingSlots, weight float64
	tokensAt                                                                            time.Duration
	sentJobs                                                                            uint64
	openRequests                                                                        int
}

func (t *tenant) numbers() tenantNumbers {
	return tenantNumbers{
		deficit: t.deficit, limit: t.limit, localShare: t.localShare, tokens: t.tokens, quota: t.quota, arrivals: t.arrivals,
		inFlight: t.inFlight, pendingSlots: t.pendingSlots, weight: t.weight,
		tokensAt: t.tokensAt, sentJobs: t.sentJobs, openRequests: t.openRequests,
	}
}

func (t *tenant) sameLists(other *tenant) bool {
	return slices.Equal(t.sendShares, other.sendShares) && slices.Equal(t.usedWorkers, other.usedWorkers) &&
		slices.Equal(t.recentWorkers, other.recentWorkers) && slices.Equal(t.queue, other.queue) && slices.Equal(t.pendingWork, other.pendingWork)
}

// Guards what other tenants have when some come, go and change: their order, whose turn it is, their credit, what
// they have learned and what they hold stay to the bit.
func TestOtherTenantsStayToTheBit(t *testing.T) {
	set := tenantSettings("abcd", 4, 3, 2, 1)
	for i := range set.Tenants {
		set.Tenants[i].Quota = 3
	}
	d, h := start(t, set, fleet(3)...)
	for i := range 40 {
		h.askFor(d, fmt.Sprint("r", i), i%4, 5*time.Second)
		if i%5 == 0 {
			h.endAttempt(d, h.sends[i/5].id, 0, Served)
		}
	}
	h.run(d, h.now+150*ms)
	if d.requests.pending == 0 || d.tenants.all[0].deficit == 0 && d.tenants.all[1].deficit == 0 {
		t.Fatalf("nothing is held, or nobody has credit: %d", d.requests.pending)
	}
	checkOthersStay(t, d, set)
}

// checkOthersStay changes the tenants, and checks that those that stay go on as they were.
func checkOthersStay(t *testing.T, d *Dispatcher, set Settings) {
	t.Helper()
	turn, credited := d.tenants.all[d.tenants.turn], d.tenants.turnCredited
	before := []tenant{*d.tenants.all[0], *d.tenants.all[2]}
	next := set
	next.Tenants = []Tenant{{"e", 9, 0}, {"c", 2, 3}, {"b", 1, 1}, {"a", 4, 3}} // d goes, e comes, b is less, the order is another
	if err := d.UpdateSettings(next); err != nil {
		t.Fatal(err)
	}
	if d.turns() != "abcde" || d.tenants.all[d.tenants.turn] != turn || d.tenants.turnCredited != credited {
		t.Errorf("turns %s, it is that of %s (credited %v), was %s (%v)", d.turns(), d.tenants.all[d.tenants.turn].name, d.tenants.turnCredited, turn.name, credited)
	}
	for i, at := range []int{0, 2} {
		was, is := before[i], *d.tenants.all[at]
		if was.numbers() != is.numbers() || !was.sameLists(&is) {
			t.Errorf("tenant %s changed:\n%+v\n%+v", is.name, was, is)
		}
	}
	checkOrderOfTenants(t, d)
	bad := next
	bad.Tenants = []Tenant{{"a", 0, 0}}
	if err := d.UpdateSettings(bad); err == nil || d.turns() != "abcde" || d.tenants.byIndex[1].name != "c" {
		t.Errorf("settings with a share of 0: error %v, turns %s", err, d.turns())
	}
}

// checkOrderOfTenants checks that the settings' order counts for indexes, not for turns.
func checkOrderOfTenants(t *testing.T, d *Dispatcher) {
	t.Helper()
	for i, name := range []string{"e", "c", "b", "a"} {
		if d.tenants.byIndex[i].name != name || d.TenantIndex(name) != i {
			t.Errorf("number %d is %s, and %s has number %d", i, d.tenants.byIndex[i].name, name, d.TenantIndex(name))
		}
	}
}

// serveAll has all that is sent served, also what is sent meanwhile.
func (h *fakeHost) serveAll(d *Dispatcher) {
	for done := 0; done < len(h.sends); done++ {
		h.now += 10 * ms
		h.endAttempt(d, h.sends[done].id, 0, Served)
	}
}

// Guards the jobs of a removed tenant: what is pending or in flight ends as before, what was submitted before and comes
// late is admitted, and after that nothing is left of the tenant.
func TestTenantIsRetiredAfterItsJobs(t *testing.T) {
	d, h := start(t, tenantSettings("abc", 2, 1, 1), WorkerInfo{Worker: "w", Weight: 1})
	for i := range 6 {
		h.askFor(d, fmt.Sprint("c", i), 2, 5*time.Second)
	}
	held := d.tenants.all[2].pendingSlots
	if held == 0 || len(h.sends) == 0 {
		t.Fatalf("%v held, %d sent", held, len(h.sends))
	}
	if err := d.UpdateSettings(tenantSettings("ab", 2, 1)); err != nil {
		t.Fatal(err)
	}
	if c := d.tenants.all[2]; c.share != 0.25 || c.pendingSlots != held {
		t.Errorf("it has a share of %v and holds %v; before it was 0.25 and %v", c.share, c.pendingSlots, held)
	}
	if got := d.TenantIndex("c"); got != 2 {
		t.Errorf("it has number %d", got)
	}
	h.serveAll(d)
	for i := range 6 {
		if id := fmt.Sprint("c", i); h.ends[id] != "served" {
			t.Errorf("%s ended as %q", id, h.ends[id])
		}
	}
	h.run(d, h.now+roundInterval)
	checkShareOfRemovedTenant(t, d, h)
}

// checkShareOfRemovedTenant checks the share of tenant c, which is removed and has no job left.
func checkShareOfRemovedTenant(t *testing.T, d *Dispatcher, h *fakeHost) {
	t.Helper()
	if a, c := d.tenants.all[0], d.tenants.all[2]; c.share != 0 || a.share != 2.0/3 {
		t.Errorf("without a job it has a share of %v, and a has %v", c.share, a.share)
	}
	h.askFor(d, "late", d.TenantIndex("c"), time.Second) // as from a queue before the Dispatcher
	if a, c := d.tenants.all[0], d.tenants.all[2]; c.share != 0.25 || a.share != 0.5 {
		t.Errorf("with a job again it has a share of %v, and a has %v", c.share, a.share)
	}
	h.endAttempt(d, "late", 0, Served)
	h.run(d, h.now+5*time.Second+2*roundInterval)
	if d.turns() != "ab" || d.tenants.removed != 0 || d.TenantIndex("c") != -1 {
		t.Errorf("turns %s, %d gone, number %d", d.turns(), d.tenants.removed, d.TenantIndex("c"))
	}
	if err := d.SubmitRequest(h.now, Request{ID: "never", Tenant: 2, TimeLeft: time.Second}); !errors.Is(err, ErrBadRequest) {
		t.Errorf("a job of nobody: %v", err)
	}
}

// Guards what is known of a tenant whose removal is taken back: it goes on as it was.
func TestRemovedTenantIsRestored(t *testing.T) {
	set := tenantSettings("ab", 1, 1)
	d, h := start(t, set, fleet(3)...)
	h.askFor(d, "r", 1, 5*time.Second)
	h.endAttempt(d, "r", 0, Served)
	b := d.tenants.all[1]
	jobs, deficit := b.sentJobs, b.deficit
	for range 3 {
		for _, s := range []Settings{tenantSettings("a", 1), set} {
			if err := d.UpdateSettings(s); err != nil {
				t.Fatal(err)
			}
		}
		h.run(d, h.now+roundInterval)
	}
	if d.tenants.byIndex[1] != b || b.sentJobs != jobs || b.deficit != deficit || b.removed || d.tenants.removed != 0 || d.turns() != "ab" {
		t.Errorf("it is %+v, turns %s", d.tenants.byIndex[1], d.turns())
	}
	h.run(d, h.now+time.Minute)
	if d.tenants.byIndex[1] != b || d.turns() != "ab" {
		t.Errorf("later the turns are %s", d.turns())
	}
}

// Guards a quota that changes for a tenant that sends all that it may: from then on it is within its share at the new
// rate, up and down.
func TestTenantHalvedAtItsQuota(t *testing.T) {
	set := tenantSettings("ab", 1, 9)
	set.Tenants[0].Quota, set.Tenants[1].Quota = 40, 40
	d, h := start(t, set, fleet(3)...)
	d.tenants.arrivals, d.tenants.all[0].arrivals = 10, 10 // more than its share of what arrives
	within := func() (n int) {                             // jobs within its share in two seconds
		for range 2000 {
			h.now += ms
			if d.tenants.withinShare(h.now, d.tenants.all[0], d.capacity.slots) {
				d.tenants.all[0].tokens--
				n++
			}
		}
		return n
	}
	within() // what had been saved up
	for _, quota := range []float64{40, 20, 5, 80} {
		next := set
		next.Tenants = slices.Clone(set.Tenants)
		next.Tenants[0].Quota = quota
		if err := d.UpdateSettings(next); err != nil {
			t.Fatal(err)
		}
		if got, want := float64(within()), 2*quota*quotaFactor; math.Abs(got-want) > 3 {
			t.Errorf("with a quota of %v a second %v jobs in 2 s are within the share, want %v", quota, got, want)
		}
	}
}

// Guards the step from no tenants to some and back: jobs of before end as they would have.
func TestTenantsAppearAndVanish(t *testing.T) {
	d, h := start(t, longQueueSettings(), WorkerInfo{Worker: "w", Weight: 1})
	for i := range 4 {
		h.askFor(d, fmt.Sprint("any", i), -1, 5*time.Second)
	}
	if err := d.UpdateSettings(tenantSettings("ab", 1, 1)); err != nil {
		t.Fatal(err)
	}
	h.askFor(d, "a", 0, 5*time.Second)
	h.askFor(d, "late", d.TenantIndex(""), 5*time.Second)
	if err := d.UpdateSettings(longQueueSettings()); err != nil {
		t.Fatal(err)
	}
	h.askFor(d, "again", -1, 5*time.Second)
	h.serveAll(d)
	if len(h.sends) != 7 {
		t.Errorf("%d of 7 jobs were sent", len(h.sends))
	}
}

// A model of which tenants there are: whatever comes, goes and changes while jobs come and end, each job has one end,
// turns are held by the settings' tenants and by those who have or may have jobs, once each, and shares are those of
// the settings.
func TestTenantsModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &tenantsModel{set: drawTenants(r, "first"), left: map[string]time.Duration{}}
		m.d, m.h = start(t, m.set, fleet(rapid.IntRange(0, 3).Draw(r, "workers"))...)
		r.Repeat(map[string]func(*rapid.T){
			"retune":   m.updateSettings,
			"ask":      m.ask,
			"ask late": m.askLate,
			"end":      m.endOne,
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
	set         Settings
	d           *Dispatcher
	h           *fakeHost
	left        map[string]time.Duration // when each name was last in the settings
	asked, done int
}

func (m *tenantsModel) updateSettings(r *rapid.T) {
	for _, v := range m.set.Tenants {
		m.left[v.Name] = m.h.now
	}
	m.set = drawTenants(r, "next")
	if err := m.d.UpdateSettings(m.set); err != nil {
		r.Fatal(err)
	}
}

func (m *tenantsModel) ask(r *rapid.T) {
	number := -1
	if n := len(m.set.Tenants); n > 0 {
		number = rapid.IntRange(0, n-1).Draw(r, "tenant")
	}
	if err := m.d.SubmitRequest(m.h.now, Request{ID: fmt.Sprint("r", m.asked), Tenant: number, TimeLeft: 2 * time.Second, RuntimeHint: 50 * ms}); err != nil {
		r.Fatal(err)
	}
	m.asked++
}

// askLate asks for a tenant that may be removed, as from a queue before the Dispatcher.
func (m *tenantsModel) askLate(r *rapid.T) {
	name := string(modelTenants[rapid.IntRange(0, 5).Draw(r, "name")])
	if number := m.d.TenantIndex(name); number >= 0 {
		if err := m.d.SubmitRequest(m.h.now, Request{ID: fmt.Sprint("r", m.asked), Tenant: number, TimeLeft: time.Second, RuntimeHint: 50 * ms}); err != nil {
			r.Fatal(err)
		}
		if got := m.d.requests.byID[fmt.Sprint("r", m.asked)]; got != nil && got.tenant.name != name {
			r.Fatalf("a job of %s is %s's", name, got.tenant.name)
		}
		m.asked++
	} else if at, was := m.left[name]; was && m.h.now < at+5*time.Second {
		r.Fatalf("%s is forgotten %v after it went", name, m.h.now-at)
	}
}

func (m *tenantsModel) endOne(*rapid.T) {
	for ; m.done < len(m.h.sends); m.done++ {
		s := m.h.sends[m.done]
		if err := m.d.AttemptEnded(m.h.now, AttemptResult{ID: s.id, Attempt: s.n, Outcome: Served, Answered: true}); err == nil {
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
			r.Fatalf("%s has two turns", v.name)
		}
		seen[v], open, sum = true, open+v.openRequests, sum+v.share
		if len(v.pendingWork) != len(d.classes.inUse) || v.openRequests < 0 {
			r.Fatalf("%s: %d classes of %d, %d open", v.name, len(v.pendingWork), len(d.classes.inUse), v.openRequests)
		}
	}
	if len(d.tenants.byIndex) != max(1, len(m.set.Tenants)) || len(d.tenants.all) != len(d.tenants.byIndex)+d.tenants.removed || open != len(d.requests.byID) || math.Abs(sum-1) > 1e-9 {
		r.Fatalf("%d named of %d, %d turns, %d gone, %d open of %d, shares add up to %v", len(d.tenants.byIndex), len(m.set.Tenants),
			len(d.tenants.all), d.tenants.removed, open, len(d.requests.byID), sum)
	}
	m.checkSettings(r, seen)
	if d.tenants.turn >= len(d.tenants.all) {
		r.Fatalf("the turn is that of %d of %d", d.tenants.turn, len(d.tenants.all))
	}
}

// checkSettings checks the tenants of the settings, each of which has a turn.
func (m *tenantsModel) checkSettings(r *rapid.T, seen map[*tenant]bool) {
	for i, v := range m.set.Tenants {
		if got := m.d.tenants.byIndex[i]; got.name != v.Name || got.weight != v.Share || got.quota != quotaFactor*v.Quota || got.removed || !seen[got] {
			r.Fatalf("tenant %d is %+v, settings say %+v", i, got, v)
		}
	}
}

// finish checks that each job has one end, and that nothing is left.
func (m *tenantsModel) finish(r *rapid.T) {
	d, h := m.d, m.h
	h.run(d, h.now+10*time.Second)
	for i := range m.asked {
		if id := fmt.Sprint("r", i); h.ends[id] == "" {
			r.Fatalf("%s has no end", id)
		}
	}
	h.run(d, h.now+10*time.Second)
	for ; m.done < len(h.sends); m.done++ {
		_ = d.AttemptEnded(h.now, AttemptResult{ID: h.sends[m.done].id, Attempt: h.sends[m.done].n, Outcome: Cancelled})
	}
	h.run(d, h.now+10*time.Second)
	if d.tenants.removed != 0 || len(d.requests.byID) != 0 {
		r.Fatalf("in the end %d are gone and still there, with %d requests", d.tenants.removed, len(d.requests.byID))
	}
}
