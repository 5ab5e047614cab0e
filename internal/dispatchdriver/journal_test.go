package dispatchdriver

import (
	"slices"
	"sync"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/testkit"
)

// fakeJournal is a Journal that records the jobs of class "once". An intent becomes durable when
// the test calls the function received from intents.
type fakeJournal struct {
	mu      sync.Mutex
	last    uint64
	full    bool
	records []string
	intents chan func(bool)
}

func (j *fakeJournal) Register(job *Job) (uint64, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if job.Class.Name != "once" {
		return 0, true
	}
	if j.full {
		return 0, false
	}
	j.last++
	return j.last, true
}

func (j *fakeJournal) record(s string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, s)
}

func (j *fakeJournal) RecordIntent(_ uint64, _ int, _, worker string, done func(bool)) {
	j.record("intent " + worker)
	j.intents <- done
}
func (j *fakeJournal) AttemptSent(uint64, int)    { j.record("sent") }
func (j *fakeJournal) AttemptStarted(uint64, int) { j.record("started") }
func (j *fakeJournal) AttemptEnded(_ uint64, _ int, _ dispatcher.Outcome, neverRan bool) {
	if neverRan {
		j.record("never ran")
	} else {
		j.record("ended")
	}
}
func (j *fakeJournal) Answered(_ uint64, a Response) {
	j.record([]string{"served", "rejected", "failed"}[a.Kind])
}
func (j *fakeJournal) ClientDisconnected(uint64) { j.record("client disconnected") }

func (j *fakeJournal) checkRecords(t *testing.T, want ...string) {
	t.Helper()
	j.mu.Lock()
	defer j.mu.Unlock()
	if !slices.Equal(j.records, want) {
		t.Errorf("journal recorded %q, want %q", j.records, want)
	}
}

func startPlannerWithJournal(t *testing.T) (*Planner, *fakeTransport, Clock, *fakeJournal) {
	t.Helper()
	p, transport, clock := startPlanner(t, "w")
	j := &fakeJournal{intents: make(chan func(bool), 16)}
	p.enqueueCall(func() { p.SetJournal(j) })
	return p, transport, clock, j
}

func newOnceExchange(id string, deadline time.Duration, c Client) *Exchange {
	return NewExchange(Job{ID: id, Class: &classes()[1], Tenant: -1}, deadline, c)
}

// Tests that an attempt is not sent before its intent is durable, that other jobs are sent in
// the meantime, and that each step is recorded once.
func TestIntentIsDurableBeforeSend(t *testing.T) {
	p, transport, clock, j := startPlannerWithJournal(t)
	c, idempotentClient := newClient(), newClient()
	p.SubmitRequest(newOnceExchange("r", clock.Now()+5*time.Second, c))
	intentDone := testkit.Await(t, "an intent", j.intents)
	p.SubmitRequest(NewExchange(Job{ID: "free", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, idempotentClient))
	if a := testkit.Await(t, "an attempt", transport.sent); a.ID != "free" || a.InJournal() {
		t.Fatalf("job %s was sent first, in journal %v; want free, not in the journal", a.ID, a.InJournal())
	}
	intentDone(true)
	a := testkit.Await(t, "an attempt", transport.sent)
	if a.ID != "r" || !a.InJournal() {
		t.Fatalf("job %s was sent, in journal %v; want r, in the journal", a.ID, a.InJournal())
	}
	p.AttemptSent(a)
	p.AttemptStarted(a)
	p.AttemptEnded(a, dispatcher.Served, []byte("x"), nil)
	if got := testkit.Await(t, "an answer", c.first); got.Kind != Served {
		t.Errorf("answer %+v, want Served", got)
	}
	countOpen(t, p)
	j.checkRecords(t, "intent w", "sent", "started", "ended", "served")
}

// Guards against a late or missing answer when the disk is slow, and against an attempt that is
// sent after its job has been rejected.
func TestSlowIntentRejectsJobAtDeadline(t *testing.T) {
	p, transport, clock, j := startPlannerWithJournal(t)
	c := newClient()
	deadline := clock.Now() + 300*time.Millisecond
	p.SubmitRequest(newOnceExchange("r", deadline, c))
	intentDone := testkit.Await(t, "an intent", j.intents)
	got := testkit.Await(t, "an answer", c.first)
	if late := clock.Now() - deadline; got.Kind != Rejected || late < 0 || late > 200*time.Millisecond {
		t.Errorf("answer %+v, %v after the deadline; want Rejected within 200ms", got, late)
	}
	intentDone(true)
	if n := countOpen(t, p); n != 0 || len(transport.sent) != 0 || c.count() != 1 {
		t.Errorf("%d open exchanges, %d attempts sent and %d answers, want 0, 0 and 1", n, len(transport.sent), c.count())
	}
	j.checkRecords(t, "intent w", "rejected", "never ran")
}

// Guards against an attempt that is sent although its intent cannot be written, and against a
// job that is accepted while the journal is full.
func TestFullJournalRejectsJobs(t *testing.T) {
	p, transport, clock, j := startPlannerWithJournal(t)
	c := newClient()
	p.SubmitRequest(newOnceExchange("r", clock.Now()+5*time.Second, c))
	testkit.Await(t, "an intent", j.intents)(false)
	if got := testkit.Await(t, "an answer", c.first); got.Kind != Rejected {
		t.Errorf("answer %+v after a failed intent, want Rejected", got)
	}
	j.mu.Lock()
	j.full = true
	j.mu.Unlock()
	c = newClient()
	p.SubmitRequest(newOnceExchange("s", clock.Now()+5*time.Second, c))
	if got := testkit.Await(t, "an answer", c.first); got.Kind != Rejected {
		t.Errorf("answer %+v while the journal is full, want Rejected", got)
	}
	idempotentClient := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "free", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, idempotentClient))
	if a := testkit.Await(t, "an attempt", transport.sent); a.ID != "free" {
		t.Errorf("job %s was sent, want free", a.ID)
	}
	j.checkRecords(t, "intent w", "rejected", "never ran")
}

// Guards against an attempt that is sent once its intent is durable although a panic of the
// dispatcher has ended it in the meantime.
func TestPanicEndsAttemptAwaitingIntent(t *testing.T) {
	p, transport, clock, j := startPlannerWithJournal(t)
	p.SubmitRequest(newOnceExchange("r", clock.Now()+5*time.Second, newClient()))
	intentDone := testkit.Await(t, "an intent", j.intents)
	p.enqueueCall(func() { panic("injected fault") })
	countOpen(t, p)
	intentDone(true)
	if n := countOpen(t, p); n != 0 || len(transport.sent) != 0 {
		t.Errorf("%d open exchanges and %d attempts sent, want none", n, len(transport.sent))
	}
	j.checkRecords(t, "intent w", "never ran", "failed")
}
