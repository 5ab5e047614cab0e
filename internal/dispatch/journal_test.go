package dispatch

import (
	"slices"
	"sync"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/testkit"
)

// fakeJournal is a Journal that keeps the class "once" and lets the test say when an intent is
// durable.
type fakeJournal struct {
	mu      sync.Mutex
	last    uint64
	full    bool
	notes   []string
	intents chan func(bool)
}

func (b *fakeJournal) Register(j *Job) (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if j.Class.Name != "once" {
		return 0, true
	}
	if b.full {
		return 0, false
	}
	b.last++
	return b.last, true
}

func (b *fakeJournal) note(s string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notes = append(b.notes, s)
}

func (b *fakeJournal) RecordIntent(_ uint64, _ int, _, worker string, done func(bool)) {
	b.note("intent " + worker)
	b.intents <- done
}
func (b *fakeJournal) AttemptSent(uint64, int)    { b.note("sent") }
func (b *fakeJournal) AttemptStarted(uint64, int) { b.note("started") }
func (b *fakeJournal) AttemptEnded(_ uint64, _ int, _ dispatcher.Outcome, neverRan bool) {
	if neverRan {
		b.note("ended unseen")
	} else {
		b.note("ended")
	}
}
func (b *fakeJournal) Answered(_ uint64, a Answer) {
	b.note([]string{"served", "refused", "failed"}[a.Kind])
}
func (b *fakeJournal) ClientDisconnected(uint64) { b.note("gone") }

func (b *fakeJournal) checkNotes(t *testing.T, want ...string) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.Equal(b.notes, want) {
		t.Errorf("recorded: %q, want %q", b.notes, want)
	}
}

func recorded(t *testing.T) (*Planner, *carrier, Clock, *fakeJournal) {
	t.Helper()
	p, carry, clock := begin(t, "w")
	b := &fakeJournal{intents: make(chan func(bool), 16)}
	p.enqueueCall(func() { p.SetJournal(b) })
	return p, carry, clock, b
}

func once(id string, deadline time.Duration, c Client) *Exchange {
	return NewExchange(Job{ID: id, Class: &classes()[1], Tenant: -1}, deadline, c)
}

// Guards the order of steps: nothing is sent to a worker before the intent is durable,
// others go on meanwhile, and each step is recorded once.
func TestIntentComesFirst(t *testing.T) {
	p, carry, clock, b := recorded(t)
	c, free := newClient(), newClient()
	p.SubmitRequest(once("r", clock.Now()+5*time.Second, c))
	durable := testkit.Await(t, "an intent", b.intents)
	p.SubmitRequest(NewExchange(Job{ID: "free", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, free))
	if a := testkit.Await(t, "a send", carry.sent); a.ID != "free" || a.InJournal() {
		t.Fatalf("%s was sent first", a.ID)
	}
	durable(true)
	a := testkit.Await(t, "a send", carry.sent)
	if a.ID != "r" || !a.InJournal() {
		t.Fatalf("%s was sent", a.ID)
	}
	p.AttemptSent(a)
	p.AttemptStarted(a)
	p.AttemptEnded(a, dispatcher.Served, []byte("x"), nil)
	if got := testkit.Await(t, "an answer", c.first); got.Kind != Served {
		t.Errorf("answered %+v", got)
	}
	openNow(t, p)
	b.checkNotes(t, "intent w", "sent", "started", "ended", "served")
}

// Guards against an answer that is too late, or missing, because the disk is slow, and
// against sending once the client has been rejected.
func TestIntentNotDurableInTime(t *testing.T) {
	p, carry, clock, b := recorded(t)
	c := newClient()
	deadline := clock.Now() + 300*time.Millisecond
	p.SubmitRequest(once("r", deadline, c))
	durable := testkit.Await(t, "an intent", b.intents)
	got := testkit.Await(t, "an answer", c.first)
	if late := clock.Now() - deadline; got.Kind != Rejected || late < 0 || late > 200*time.Millisecond {
		t.Errorf("answered %+v, %v after the deadline", got, late)
	}
	durable(true)
	if n := openNow(t, p); n != 0 || len(carry.sent) != 0 || c.count() != 1 {
		t.Errorf("%d open, %d sent, %d answers", n, len(carry.sent), c.count())
	}
	b.checkNotes(t, "intent w", "refused", "ended unseen")
}

// Guards against an attempt that is sent though its intent cannot be written, and against
// a job that is accepted while the journal is full.
func TestFullJournalRejects(t *testing.T) {
	p, carry, clock, b := recorded(t)
	c := newClient()
	p.SubmitRequest(once("r", clock.Now()+5*time.Second, c))
	testkit.Await(t, "an intent", b.intents)(false)
	if got := testkit.Await(t, "an answer", c.first); got.Kind != Rejected {
		t.Errorf("answered %+v", got)
	}
	b.mu.Lock()
	b.full = true
	b.mu.Unlock()
	c = newClient()
	p.SubmitRequest(once("s", clock.Now()+5*time.Second, c))
	if got := testkit.Await(t, "an answer", c.first); got.Kind != Rejected {
		t.Errorf("answered %+v while the journal is full", got)
	}
	free := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "free", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, free))
	if a := testkit.Await(t, "a send", carry.sent); a.ID != "free" {
		t.Errorf("%s was sent", a.ID)
	}
	b.checkNotes(t, "intent w", "refused", "ended unseen")
}

// Guards against a client's disconnect, or a fault of the module, that sends what awaits its intent.
func TestAttemptThatAwaitsItsIntentIsCancelled(t *testing.T) {
	p, carry, clock, b := recorded(t)
	p.SubmitRequest(once("r", clock.Now()+5*time.Second, newClient()))
	durable := testkit.Await(t, "an intent", b.intents)
	p.enqueueCall(func() { panic("a fault") })
	openNow(t, p)
	durable(true)
	if n := openNow(t, p); n != 0 || len(carry.sent) != 0 {
		t.Errorf("%d open, %d sent", n, len(carry.sent))
	}
	b.checkNotes(t, "intent w", "ended unseen", "failed")
}
