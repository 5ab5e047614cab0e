package driver

import (
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/fairqueue"
	"sedgevale/internal/testkit"
)

// fakePlanners records the submitted jobs, and those whose clients have disconnected.
type fakePlanners struct {
	submitted    chan *dispatchdriver.Exchange
	disconnected chan *dispatchdriver.Exchange
}

func (p *fakePlanners) SubmitRequest(x *dispatchdriver.Exchange)      { p.submitted <- x }
func (p *fakePlanners) ClientDisconnected(x *dispatchdriver.Exchange) { p.disconnected <- x }

// fakeClient records its answers.
type fakeClient struct {
	answers chan dispatchdriver.Response
}

func (c *fakeClient) Started()                          {}
func (c *fakeClient) Progress(float64)                  {}
func (c *fakeClient) Respond(a dispatchdriver.Response) { c.answers <- a }

// newTestDriver returns a Driver with tenants a and b and a concurrency of 1, its planners, and a function that submits a job.
func newTestDriver(t *testing.T) (*Driver, *fakePlanners, func(id string, tenant int, remaining time.Duration) (*dispatchdriver.Exchange, *fakeClient)) {
	t.Helper()
	p := &fakePlanners{make(chan *dispatchdriver.Exchange, 16), make(chan *dispatchdriver.Exchange, 16)}
	clock := dispatchdriver.NewClock()
	d, err := New(fairqueue.Options{Tenants: []fairqueue.Tenant{{Name: "a", Share: 1}, {Name: "b", Share: 1}}, Concurrency: 1, MaxQueued: 2, Seed: 1}, p, clock,
		2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	class := &dispatcher.Class{Name: "view"}
	return d, p, func(id string, tenant int, remaining time.Duration) (*dispatchdriver.Exchange, *fakeClient) {
		c := &fakeClient{answers: make(chan dispatchdriver.Response, 4)}
		x := dispatchdriver.NewExchange(dispatchdriver.Job{ID: id, Class: class, Tenant: tenant, TenantName: []string{"a", "b"}[tenant], Client: id, Slots: 1}, clock.Now()+remaining, c)
		d.SubmitRequest(x)
		return x, c
	}
}

// With a concurrency of 1, the first job is admitted and others are queued until it is answered. A queued job that can no
// longer meet its deadline is rejected with a Retry-After, one whose client disconnects leaves the queue, and each client
// is answered once.
func TestAdmission(t *testing.T) {
	d, p, submit := newTestDriver(t)
	first, firstClient := submit("first", 0, 10*time.Second)
	if got := testkit.Await(t, "the first", p.submitted); got != first {
		t.Fatalf("%s was admitted", got.ID)
	}
	second, _ := submit("second", 1, 10*time.Second)
	leaving, _ := submit("leaving", 1, 10*time.Second)
	d.ClientDisconnected(leaving)
	_, late := submit("late", 0, 200*time.Millisecond)
	if a := testkit.Await(t, "the answer to the expired job", late.answers); a.Kind != dispatchdriver.Rejected || a.RetryAfter <= 0 || a.RetryAfter > 2*time.Second {
		t.Errorf("answer to the expired job: %+v", a)
	}
	if len(p.submitted) != 0 {
		t.Error("a job was admitted while the first was in flight")
	}
	first.Reject(0, "rejected by a planner")
	testkit.Await(t, "the answer to the first job", firstClient.answers)
	if got := testkit.Await(t, "the second", p.submitted); got != second {
		t.Errorf("%s was admitted", got.ID)
	}
	d.ClientDisconnected(second)
	if got := testkit.Await(t, "the report of the disconnect", p.disconnected); got != second {
		t.Errorf("the disconnect of %s was reported", got.ID)
	}
	third, _ := submit("third", 0, 10*time.Second)
	if got := testkit.Await(t, "the third", p.submitted); got != third {
		t.Errorf("%s was admitted", got.ID)
	}
	if len(firstClient.answers)+len(late.answers) != 0 {
		t.Error("a client was answered twice")
	}
	if s := d.Stats(); s.Admitted != 3 || s.Expired+s.Rejected != 1 {
		t.Errorf("stats %+v, want 3 admitted jobs and 1 rejected or expired", s)
	}
}

// Guards jobs that arrive with tenant indexes of former settings: a job is charged to the tenant of its name, and one whose
// tenant has just been removed bypasses the queue.
func TestTenantsChangeWhileJobsArrive(t *testing.T) {
	d, p, submit := newTestDriver(t)
	first, _ := submit("first", 0, 10*time.Second)
	testkit.Await(t, "the first", p.submitted)
	queued, _ := submit("queued", 1, 10*time.Second)
	if err := d.SetTenants([]fairqueue.Tenant{{Name: "c", Share: 1}, {Name: "a", Share: 1}}); err != nil {
		t.Fatal(err)
	}
	if _, _ = submit("kept", 0, 10*time.Second); d.Queued() != 2 {
		t.Errorf("%d jobs are queued, want 2", d.Queued())
	}
	unqueued, _ := submit("unqueued", 1, 10*time.Second)
	if got := testkit.Await(t, "the job of the removed tenant", p.submitted); got != unqueued {
		t.Errorf("%s was admitted", got.ID)
	}
	first.Reject(0, "ended")
	if got := testkit.Await(t, "the queued job", p.submitted); got != queued {
		t.Errorf("%s was admitted", got.ID)
	}
	queued.Reject(0, "ended")
	if got := testkit.Await(t, "the last", p.submitted); got.ID != "kept" {
		t.Errorf("%s was admitted", got.ID)
	}
}
