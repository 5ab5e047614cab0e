package driver

import (
	"log/slog"
	"testing"
	"time"

	"sedgevale"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/fairqueue"
	"sedgevale/internal/testkit"
)

// planners note what comes in and what is left.
type planners struct {
	in   chan *dispatch.Exchange
	gone chan *dispatch.Exchange
}

func (p *planners) Request(x *dispatch.Exchange) { p.in <- x }
func (p *planners) Gone(x *dispatch.Exchange)    { p.gone <- x }

type client struct {
	got chan dispatch.Answer
}

func (c *client) Started()                 {}
func (c *client) Progress(float64)         {}
func (c *client) Answer(a dispatch.Answer) { c.got <- a }

func setUp(t *testing.T) (*Keeper, *planners, func(id string, coop int, left time.Duration) (*dispatch.Exchange, *client)) {
	t.Helper()
	p := &planners{make(chan *dispatch.Exchange, 16), make(chan *dispatch.Exchange, 16)}
	clock := dispatch.NewClock()
	k, err := New(fairqueue.Options{Coops: []fairqueue.Coop{{Name: "a", Share: 1}, {Name: "b", Share: 1}}, Concurrency: 1, Queue: 2, Seed: 1}, p, clock,
		2*time.Second, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	class := &sedgevale.Class{Name: "view"}
	return k, p, func(id string, coop int, left time.Duration) (*dispatch.Exchange, *client) {
		c := &client{got: make(chan dispatch.Answer, 4)}
		x := dispatch.NewExchange(dispatch.Job{ID: id, Class: class, Tenant: coop, TenantName: []string{"a", "b"}[coop], Client: id, Slots: 1}, clock.Now()+left, c)
		k.Request(x)
		return x, c
	}
}

// Guards the passage: one goes in, others wait for its answer, who cannot be in time is
// told when to come back, who leaves makes room, and each is answered once.
func TestPassage(t *testing.T) {
	k, p, ask := setUp(t)
	first, one := ask("first", 0, 10*time.Second)
	if got := testkit.Await(t, "the first", p.in); got != first {
		t.Fatalf("%s went in", got.ID)
	}
	second, _ := ask("second", 1, 10*time.Second)
	leaving, _ := ask("leaving", 1, 10*time.Second)
	k.Gone(leaving)
	_, late := ask("late", 0, 200*time.Millisecond)
	if a := testkit.Await(t, "the late one's answer", late.got); a.Kind != dispatch.Refused || a.After <= 0 || a.After > 2*time.Second {
		t.Errorf("late: %+v", a)
	}
	if len(p.in) != 0 {
		t.Error("somebody went in while one was inside")
	}
	first.TurnAway(0, "as a planner refuses")
	testkit.Await(t, "the first one's answer", one.got)
	if got := testkit.Await(t, "the second", p.in); got != second {
		t.Errorf("%s went in", got.ID)
	}
	k.Gone(second)
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
	if s := k.Stats(); s.In != 3 || s.Late+s.Refused != 1 {
		t.Errorf("%+v", s)
	}
}

// Guards a job that comes with the number of another time, and one whose co-op has just gone: the first is its own
// co-op's, the second goes past the door, where it is still known.
func TestCoopsChangeAsJobsCome(t *testing.T) {
	k, p, ask := setUp(t)
	first, _ := ask("first", 0, 10*time.Second)
	testkit.Await(t, "the first", p.in)
	waits, _ := ask("waits", 1, 10*time.Second)
	if err := k.Retune([]fairqueue.Coop{{Name: "c", Share: 1}, {Name: "a", Share: 1}}); err != nil {
		t.Fatal(err)
	}
	if _, _ = ask("own", 0, 10*time.Second); k.Waiting() != 2 {
		t.Errorf("%d wait", k.Waiting())
	}
	gone, _ := ask("gone", 1, 10*time.Second)
	if got := testkit.Await(t, "the job of a co-op that has gone", p.in); got != gone {
		t.Errorf("%s went in", got.ID)
	}
	first.TurnAway(0, "over")
	if got := testkit.Await(t, "who waited", p.in); got != waits {
		t.Errorf("%s went in", got.ID)
	}
	waits.TurnAway(0, "over")
	if got := testkit.Await(t, "the last", p.in); got.ID != "own" {
		t.Errorf("%s went in", got.ID)
	}
}
