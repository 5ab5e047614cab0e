package fairqueue

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newTestQueue(t *testing.T, concurrency int, tenants ...Tenant) *Queue {
	t.Helper()
	q, err := New(Options{Tenants: tenants, Concurrency: concurrency, ClientQueues: 4, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return q
}

// arrive has a tenant's jobs arrive; none may be rejected.
func (q *Queue) arrive(t *testing.T, name string, jobs int) {
	t.Helper()
	for i := range jobs {
		if v, _ := q.Arrive(time.Second, Request{Token: fmt.Sprint(name, i), Tenant: q.TenantIndex(name), Client: name, Cost: 1, MaxWait: time.Hour}); v == Rejected {
			t.Fatalf("%s%d was refused", name, i)
		}
	}
}

// admitNext has jobs of cost 1 end, each of the tenant that is next in line, and returns how many
// of each tenant were admitted.
func (q *Queue) admitNext(t *testing.T, jobs, first int) map[string]int {
	t.Helper()
	in, last := map[string]int{}, first
	for range jobs {
		q.Release(last, 1)
		a, ok := q.Next(time.Second)
		if !ok {
			break
		}
		in[a.Token.(string)[:1]]++
		last = a.Tenant
	}
	return in
}

// Guards shares that change while jobs are queued: from then on tenants are admitted by the new
// ones, and of the tenants that have not changed all stays to the bit.
func TestSharesChange(t *testing.T) {
	q := newTestQueue(t, 1, Tenant{"a", 1}, Tenant{"b", 1}, Tenant{"c", 2})
	q.arrive(t, "a", 100)
	q.arrive(t, "b", 100)
	q.arrive(t, "c", 3)
	if in := q.admitNext(t, 40, 0); math.Abs(float64(in["a"]-in["b"])) > 2 {
		t.Errorf("by equal shares %v were admitted", in)
	}
	before := q.tenants[2]
	if err := q.SetTenants([]Tenant{{"e", 7}, {"c", 2}, {"a", 3}, {"b", 1}}); err != nil {
		t.Fatal(err)
	}
	if after := q.tenants[q.TenantIndex("c")]; !reflect.DeepEqual(before, after) {
		t.Errorf("c was %+v and is %+v", before, after)
	}
	if in := q.admitNext(t, 80, 1); in["a"] < 57 || in["a"] > 63 {
		t.Errorf("of 80, by shares of 3 to 1, %v went in", in)
	}
	for _, bad := range [][]Tenant{{{"a", 0}}, {{"a", 1}, {"a", 2}}, {{"a", math.Inf(1)}}} {
		if err := q.SetTenants(bad); err == nil || q.TenantIndex("e") < 0 {
			t.Errorf("%v: error %v", bad, err)
		}
	}
}

// Guards the jobs of a tenant that is removed: they are admitted by the share that it had, and its
// index is a new tenant's only once the last has ended.
func TestTenantRemovedWithItsJobs(t *testing.T) {
	q := newTestQueue(t, 1, Tenant{"a", 1}, Tenant{"b", 1})
	q.arrive(t, "a", 20)
	q.arrive(t, "b", 10)
	if err := q.SetTenants([]Tenant{{"a", 1}}); err != nil {
		t.Fatal(err)
	}
	if q.TenantIndex("b") != -1 {
		t.Error("it still has a number")
	}
	if in := q.admitNext(t, 18, 0); in["b"] < 8 {
		t.Errorf("of 18 %v went in", in)
	}
	if err := q.SetTenants([]Tenant{{"a", 1}, {"c", 1}}); err != nil {
		t.Fatal(err)
	}
	if got := q.TenantIndex("c"); got != 2 {
		t.Errorf("while b waits c has number %d", got)
	}
	for q.tenants[1].queued > 0 || q.tenants[1].inFlight > 0 {
		last := 0
		for i := range q.tenants {
			if q.tenants[i].inFlight > 0 {
				last = i
			}
		}
		if len(q.admitNext(t, 1, last)) == 0 {
			t.Fatal("nobody goes in any more")
		}
	}
	if err := q.SetTenants([]Tenant{{"a", 1}, {"c", 1}, {"d", 1}}); err != nil {
		t.Fatal(err)
	}
	if got := q.TenantIndex("d"); got != 1 || len(q.tenants) != 3 {
		t.Errorf("d has number %d of %d", got, len(q.tenants))
	}
}

// tenantsModel counts the jobs of a Queue whose tenants change, by itself.
type tenantsModel struct {
	q                *Queue
	tenants          map[string]bool
	queued, inFlight map[string]Request
	arrived          int
	maxTenants       int // that there were at a time, with removed ones that still had jobs
}

func (m *tenantsModel) admit(r *rapid.T, a Request) {
	id := a.Token.(string)
	if _, there := m.inFlight[id]; there {
		r.Fatalf("%s is admitted twice", id)
	}
	delete(m.queued, id)
	m.inFlight[id] = a
}

func (m *tenantsModel) setTenants(r *rapid.T) {
	m.tenants = map[string]bool{}
	var tenants []Tenant
	for _, c := range "abcde" {
		if rapid.Bool().Draw(r, "there") {
			m.tenants[string(c)] = true
			tenants = append(tenants, Tenant{string(c), float64(rapid.IntRange(1, 5).Draw(r, "share"))})
		}
	}
	if err := m.q.SetTenants(tenants); err != nil {
		r.Fatal(err)
	}
	here := map[int]bool{}
	for _, all := range []map[string]Request{m.queued, m.inFlight} {
		for _, a := range all {
			here[a.Tenant] = true
		}
	}
	for c := range m.tenants {
		here[m.q.TenantIndex(c)] = true
	}
	if m.maxTenants = max(m.maxTenants, len(here)); len(m.q.tenants) > m.maxTenants {
		r.Fatalf("%d indexes for %d tenants", len(m.q.tenants), m.maxTenants)
	}
}

func (m *tenantsModel) arrive(r *rapid.T) {
	name := string("abcde"[rapid.IntRange(0, 4).Draw(r, "coop")])
	index := m.q.TenantIndex(name)
	if (index >= 0) != m.tenants[name] {
		r.Fatalf("%s has index %d", name, index)
	}
	if index < 0 {
		return
	}
	m.arrived++
	a := Request{Token: fmt.Sprint(name, m.arrived), Tenant: index, Client: name, Cost: 1, MaxWait: time.Hour}
	switch v, _ := m.q.Arrive(time.Second, a); v {
	case Admitted:
		m.admit(r, a)
	case Queued:
		m.queued[a.Token.(string)] = a
	}
}

func (m *tenantsModel) release(r *rapid.T) {
	if len(m.inFlight) > 0 {
		id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.inFlight))).Draw(r, "who")
		m.q.Release(m.inFlight[id].Tenant, m.inFlight[id].Cost)
		delete(m.inFlight, id)
	}
	for {
		a, ok := m.q.Next(time.Second)
		if !ok {
			return
		}
		if w, was := m.queued[a.Token.(string)]; !was || w.Tenant != a.Tenant {
			r.Fatalf("%v of %d is admitted, %v of %d was queued", a.Token, a.Tenant, w.Token, w.Tenant)
		}
		m.admit(r, a)
	}
}

func (m *tenantsModel) check(r *rapid.T) {
	byIndex := map[int]string{}
	for _, all := range []map[string]Request{m.queued, m.inFlight} {
		for id, a := range all {
			if was := byIndex[a.Tenant]; was != "" && was != id[:1] {
				r.Fatalf("index %d is %s's and %s's", a.Tenant, was, id[:1])
			}
			byIndex[a.Tenant] = id[:1]
		}
	}
	if m.q.InFlight() != len(m.inFlight) {
		r.Fatalf("%d in flight, want %d", m.q.InFlight(), len(m.inFlight))
	}
	sum := 0
	for i := range m.q.tenants {
		sum += m.q.Queued(i)
	}
	if sum != len(m.queued) {
		r.Fatalf("%d are queued, want %d", sum, len(m.queued))
	}
}

// A model: each job that is admitted or queued stays so until it ends, whatever tenants come and
// go; an index is one tenant's at a time, and there are no more of them than tenants at a time.
func TestTenantsModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q, _ := New(Options{Tenants: []Tenant{{"a", 1}}, Concurrency: 2, MaxQueued: 100, ClientQueues: 3, Seed: 1})
		m := &tenantsModel{q: q, tenants: map[string]bool{"a": true}, queued: map[string]Request{}, inFlight: map[string]Request{}, maxTenants: 1}
		r.Repeat(map[string]func(*rapid.T){"retune": m.setTenants, "ask": m.arrive, "leave": m.release, "": m.check})
	})
}

// Guards against a tenant that counts twice: removed with queued jobs and added again, it goes on
// at its index, by one share.
func TestTenantIsAddedAgain(t *testing.T) {
	q := newTestQueue(t, 1, Tenant{"a", 1}, Tenant{"b", 1})
	q.arrive(t, "a", 60)
	q.arrive(t, "b", 30)
	for _, tenants := range [][]Tenant{{{"a", 1}}, {{"b", 1}, {"a", 1}}} {
		if err := q.SetTenants(tenants); err != nil {
			t.Fatal(err)
		}
	}
	if got := q.TenantIndex("b"); got != 1 || len(q.tenants) != 2 || q.tenants[1].removed || q.tenants[1].queued != 30 {
		t.Errorf("it has number %d of %d: %+v", got, len(q.tenants), q.tenants[1].removed)
	}
	q.arrive(t, "b", 30)
	if in := q.admitNext(t, 40, 0); math.Abs(float64(in["a"]-in["b"])) > 2 {
		t.Errorf("by equal shares %v went in", in)
	}
}
