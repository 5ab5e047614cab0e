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

// submit submits jobs of cost 1 of a tenant, none of which may be rejected.
func (q *Queue) submit(t *testing.T, name string, jobs int) {
	t.Helper()
	for i := range jobs {
		if v, _ := q.Arrive(time.Second, Request{Token: fmt.Sprint(name, i), Tenant: q.TenantIndex(name), Client: name, Cost: 1, MaxWait: time.Hour}); v == Rejected {
			t.Fatalf("job %s%d was rejected", name, i)
		}
	}
}

// admitNext releases jobs of cost 1 one by one, beginning with one of the tenant first, and admits
// the next job after each. It returns the number of admitted jobs of each tenant.
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

// Guards a change of shares while jobs are queued: from then on jobs are admitted by the new
// shares, and the state of a tenant that did not change is untouched.
func TestSharesChange(t *testing.T) {
	q := newTestQueue(t, 1, Tenant{"a", 1}, Tenant{"b", 1}, Tenant{"c", 2})
	q.submit(t, "a", 100)
	q.submit(t, "b", 100)
	q.submit(t, "c", 3)
	if in := q.admitNext(t, 40, 0); math.Abs(float64(in["a"]-in["b"])) > 2 {
		t.Errorf("with equal shares %v were admitted", in)
	}
	before := q.tenants[2]
	if err := q.SetTenants([]Tenant{{"e", 7}, {"c", 2}, {"a", 3}, {"b", 1}}); err != nil {
		t.Fatal(err)
	}
	if after := q.tenants[q.TenantIndex("c")]; !reflect.DeepEqual(before, after) {
		t.Errorf("the state of c has changed from %+v to %+v", before, after)
	}
	if in := q.admitNext(t, 80, 1); in["a"] < 57 || in["a"] > 63 {
		t.Errorf("of 80 jobs, with shares of 3 to 1, %v were admitted", in)
	}
	for _, bad := range [][]Tenant{{{"a", 0}}, {{"a", 1}, {"a", 2}}, {{"a", math.Inf(1)}}} {
		if err := q.SetTenants(bad); err == nil || q.TenantIndex("e") < 0 {
			t.Errorf("SetTenants(%v): error %v, index of e %d", bad, err, q.TenantIndex("e"))
		}
	}
}

// Guards the jobs of a removed tenant: they are admitted by its former share, and its index is
// given to a new tenant only after the last of them has ended.
func TestTenantRemovedWithItsJobs(t *testing.T) {
	q := newTestQueue(t, 1, Tenant{"a", 1}, Tenant{"b", 1})
	q.submit(t, "a", 20)
	q.submit(t, "b", 10)
	if err := q.SetTenants([]Tenant{{"a", 1}}); err != nil {
		t.Fatal(err)
	}
	if q.TenantIndex("b") != -1 {
		t.Error("the removed tenant still has an index")
	}
	if in := q.admitNext(t, 18, 0); in["b"] < 8 {
		t.Errorf("of 18 jobs %v were admitted", in)
	}
	if err := q.SetTenants([]Tenant{{"a", 1}, {"c", 1}}); err != nil {
		t.Fatal(err)
	}
	if got := q.TenantIndex("c"); got != 2 {
		t.Errorf("while b has jobs, c has index %d, want 2", got)
	}
	for q.tenants[1].queued > 0 || q.tenants[1].inFlight > 0 {
		last := 0
		for i := range q.tenants {
			if q.tenants[i].inFlight > 0 {
				last = i
			}
		}
		if len(q.admitNext(t, 1, last)) == 0 {
			t.Fatal("no job is admitted although jobs are queued")
		}
	}
	if err := q.SetTenants([]Tenant{{"a", 1}, {"c", 1}, {"d", 1}}); err != nil {
		t.Fatal(err)
	}
	if got := q.TenantIndex("d"); got != 1 || len(q.tenants) != 3 {
		t.Errorf("d has index %d of %d, want 1 of 3", got, len(q.tenants))
	}
}

// tenantsModel is the reference model of a Queue whose tenants change.
type tenantsModel struct {
	q                *Queue
	tenants          map[string]bool
	queued, inFlight map[string]Request
	arrived          int
	maxTenants       int // largest number of tenants at a time, including removed ones with remaining jobs
}

func (m *tenantsModel) admit(r *rapid.T, a Request) {
	id := a.Token.(string)
	if _, there := m.inFlight[id]; there {
		r.Fatalf("job %s was admitted twice", id)
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
	inUse := map[int]bool{}
	for _, all := range []map[string]Request{m.queued, m.inFlight} {
		for _, a := range all {
			inUse[a.Tenant] = true
		}
	}
	for c := range m.tenants {
		inUse[m.q.TenantIndex(c)] = true
	}
	if m.maxTenants = max(m.maxTenants, len(inUse)); len(m.q.tenants) > m.maxTenants {
		r.Fatalf("the queue has %d indexes for at most %d tenants", len(m.q.tenants), m.maxTenants)
	}
}

func (m *tenantsModel) arrive(r *rapid.T) {
	name := string("abcde"[rapid.IntRange(0, 4).Draw(r, "tenant")])
	index := m.q.TenantIndex(name)
	if (index >= 0) != m.tenants[name] {
		r.Fatalf("tenant %s has index %d, configured %t", name, index, m.tenants[name])
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
			r.Fatalf("job %v of tenant %d was admitted, the model has job %v of tenant %d", a.Token, a.Tenant, w.Token, w.Tenant)
		}
		m.admit(r, a)
	}
}

func (m *tenantsModel) check(r *rapid.T) {
	byIndex := map[int]string{}
	for _, all := range []map[string]Request{m.queued, m.inFlight} {
		for id, a := range all {
			if was := byIndex[a.Tenant]; was != "" && was != id[:1] {
				r.Fatalf("index %d is used by tenants %s and %s", a.Tenant, was, id[:1])
			}
			byIndex[a.Tenant] = id[:1]
		}
	}
	if m.q.InFlight() != len(m.inFlight) {
		r.Fatalf("%d jobs in flight, want %d", m.q.InFlight(), len(m.inFlight))
	}
	sum := 0
	for i := range m.q.tenants {
		sum += m.q.Queued(i)
	}
	if sum != len(m.queued) {
		r.Fatalf("%d jobs are queued, want %d", sum, len(m.queued))
	}
}

// Guards the jobs of a Queue over random changes of its tenants: each job that is admitted or
// queued stays so until it ends, an index belongs to one tenant at a time, and there are no more
// indexes than tenants at a time.
func TestTenantsModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q, _ := New(Options{Tenants: []Tenant{{"a", 1}}, Concurrency: 2, MaxQueued: 100, ClientQueues: 3, Seed: 1})
		m := &tenantsModel{q: q, tenants: map[string]bool{"a": true}, queued: map[string]Request{}, inFlight: map[string]Request{}, maxTenants: 1}
		r.Repeat(map[string]func(*rapid.T){"setTenants": m.setTenants, "arrive": m.arrive, "release": m.release, "": m.check})
	})
}

// Guards against a tenant with two shares: if it is removed with queued jobs and added again, it
// keeps its index and is admitted by one share.
func TestTenantIsAddedAgain(t *testing.T) {
	q := newTestQueue(t, 1, Tenant{"a", 1}, Tenant{"b", 1})
	q.submit(t, "a", 60)
	q.submit(t, "b", 30)
	for _, tenants := range [][]Tenant{{{"a", 1}}, {{"b", 1}, {"a", 1}}} {
		if err := q.SetTenants(tenants); err != nil {
			t.Fatal(err)
		}
	}
	if got := q.TenantIndex("b"); got != 1 || len(q.tenants) != 2 || q.tenants[1].removed || q.tenants[1].queued != 30 {
		t.Errorf("b has index %d of %d, removed %t", got, len(q.tenants), q.tenants[1].removed)
	}
	q.submit(t, "b", 30)
	if in := q.admitNext(t, 40, 0); math.Abs(float64(in["a"]-in["b"])) > 2 {
		t.Errorf("with equal shares %v were admitted", in)
	}
}
