package driver

import (
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/fairqueue"
	"sedgevale/internal/testkit"
)

// planners records the jobs that are admitted, and those whose clients have disconnected.
type planners struct {
	in   chan *dispatch.Exchange
	gone chan *dispatch.Exchange
}

func (p *planners) SubmitRequest(x *dispatch.Exchange)      { p.in <- x }
func (p *planners) ClientDisconnected(x *dispatch.Exchange) { p.gone <- x }

type client struct {
	got chan dispatch.Answer
}

func (c *client) Started()                 {}
func (c *client) Progress(float64)         {}
func (c *client) Answer(a dispatch.Answer) { c.got <- a }

func setUp(t *testing.T) (*Driver, *planners, func(id string, tenant int, left time.Duration) (*dispatch.Exchange, *client)) {
	t.Helper()
	p := &planners{make(chan *dispatch.Exchange, 16), make(chan *dispatch.Exchange, 16)}
	clock := dispatch.NewClock()
	d, err := New(fairqueue.Options{Tenants: []fairqueue.Tenant{{Name: "a", Share: 1}, {Name: "b", Share: 1}}, Concurrency: 1, MaxQueued: 2, Seed: 1}, p, clock,
		2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	class := &dispatcher.Class{Name: "view"}
	return d, p, func(id string, tenant int, left time.Duration) (*dispatch.Exchange, *client) {
		c := &client{got: make(chan dispatch.Answer, 4)}
		x := dispatch.NewExchange(dispatch.Job{ID: id, Class: class, Tenant: tenant, TenantName: []string{"a", "b"}[tenant], Client: id, Slots: 1}, clock.Now()+left, c)
		d.SubmitRequest(x)
		return x, c
	}
}

// Guards admission: one job is admitted, others are queued until its answer, one that cannot meet
// its deadline is rejected with a delay, one whose client disconnects frees its place, and each is answered
// once.
func TestAdmission(t *testing.T) {
	d, p, ask := setUp(t)
	first, one := ask("first", 0, 10*time.Second)
	if got := testkit.Await(t, "the first", p.in); got != first {
		t.Fatalf("%s went in", got.ID)
	}
	second, _ := ask("second", 1, 10*time.Second)
	leaving, _ := ask("leaving", 1, 10*time.Second)
	d.ClientDisconnected(leaving)
	_, late := ask("late", 0, 200*time.Millisecond)
	if a := testkit.Await(t, "the late one's answer", late.got); a.Kind != dispatch.Rejected || a.RetryAfter <= 0 || a.RetryAfter > 2*time.Second {
		t.Errorf("late: %+v", a)
	}
	if len(p.in) != 0 {
		t.Error("somebody went in while one was inside")
	}
	first.Reject(0, "as a planner refuses")
	testkit.Await(t, "the first one's answer", one.got)
	if got := testkit.Await(t, "the second", p.in); got != second {
		t.Errorf("%s went in", got.ID)
	}
	d.ClientDisconnected(second)
	if got := testkit.Await(t, "the news of its leaving", p.gone); got != second {
		t.Errorf("%s is gone", got.ID)
	}
	third, _ := ask("third", 0, 10*time.Second)
	if got := testkit.Await(t, "the third", p.in); got != third {
		t.Errorf("%s went in", got.ID)
	}
	if len(one.got)+len(late.got) != 0 {
		t.Error("answered twice")
	}
	if s := d.Stats(); s.Admitted != 3 || s.Expired+s.Rejected != 1 {
		t.Errorf("%+v", s)
	}
}

// Guards a job that comes with the index of former settings, and one whose tenant has just been
// removed: the first is its own tenant's, the second passes the queue, where it is still known.
func TestTenantsChangeAsJobsCome(t *testing.T) {
	d, p, ask := setUp(t)
	first, _ := ask("first", 0, 10*time.Second)
	testkit.Await(t, "the first", p.in)
	waits, _ := ask("waits", 1, 10*time.Second)
	if err := d.SetTenants([]fairqueue.Tenant{{Name: "c", Share: 1}, {Name: "a", Share: 1}}); err != nil {
		t.Fatal(err)
	}
	if _, _ = ask("own", 0, 10*time.Second); d.Queued() != 2 {
		t.Errorf("%d wait", d.Queued())
	}
	gone, _ := ask("gone", 1, 10*time.Second)
	if got := testkit.Await(t, "the job of a tenant that has gone", p.in); got != gone {
		t.Errorf("%s went in", got.ID)
	}
	first.Reject(0, "over")
	if got := testkit.Await(t, "who waited", p.in); got != waits {
		t.Errorf("%s went in", got.ID)
	}
	waits.Reject(0, "over")
	if got := testkit.Await(t, "the last", p.in); got.ID != "own" {
		t.Errorf("%s went in", got.ID)
	}
}
