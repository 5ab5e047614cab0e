package dispatchdriver

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/testkit"
)

// manualJournal is a Journal whose intents become durable when the test calls the function
// received from intents.
type manualJournal struct{ intents chan func(bool) }

func (j manualJournal) Register(*Job) (uint64, bool) { return 1, true }
func (j manualJournal) RecordIntent(_ uint64, _ int, _, _ string, done func(bool)) {
	j.intents <- done
}
func (manualJournal) AttemptSent(uint64, int)                            {}
func (manualJournal) AttemptStarted(uint64, int)                         {}
func (manualJournal) AttemptEnded(uint64, int, dispatcher.Outcome, bool) {}
func (manualJournal) Answered(uint64, Response)                          {}
func (manualJournal) ClientDisconnected(uint64)                          {}

// Guards against an attempt that is sent after its client has disconnected, with settings that
// do not allow cancelling: an attempt that awaits its intent must not reach the transport, and
// an attempt whose connection may still be in progress must be cancelled if unsent.
func TestNoAttemptIsSentAfterClientDisconnects(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		c := &fakeTransport{sent: make(chan *Attempt, 16), cancelled: make(chan *Attempt, 16), cancelledUnsent: make(chan *Attempt, 16)}
		clock := NewClock()
		p, err := NewPlanner(dispatcher.Settings{Classes: classes(), MaxAttempts: 3}, 1, clock, c, func() {}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		j := manualJournal{make(chan func(bool), 4)}
		if recorded {
			p.SetJournal(j)
		}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); p.Run(ctx) }()
		p.WorkersUpdated(dispatcher.UpdateFull, []dispatcher.WorkerInfo{{Name: "w"}})
		x := NewExchange(Job{ID: "r", Class: &classes()[1], Tenant: -1}, clock.Now()+5*time.Second, newClient())
		p.SubmitRequest(x)
		if recorded {
			intentDone := testkit.Await(t, "the intent", j.intents)
			p.ClientDisconnected(x)
			countOpen(t, p)
			intentDone(true)
			countOpen(t, p)
		} else {
			a := testkit.Await(t, "the attempt", c.sent)
			p.ClientDisconnected(x)
			if testkit.Await(t, "the call of CancelUnsent", c.cancelledUnsent) != a {
				t.Error("CancelUnsent was called for another attempt")
			}
			p.AttemptEnded(a, dispatcher.NotSent, nil, nil)
		}
		if n := countOpen(t, p); n != 0 || len(c.sent) > 0 {
			t.Errorf("recorded %v: %d open exchanges and %d attempts sent, want none", recorded, n, len(c.sent))
		}
		stop()
		<-done
	}
}

// Tests that a retry expires at the end of the DedupWindow, counted from the first attempt that
// may have run and not from one that was never sent, and that a class that is not
// IdempotentByKey has no expiry.
func TestRetryExpiry(t *testing.T) {
	keyed := &dispatcher.Class{Idempotency: dispatcher.IdempotentByKey, DedupWindow: time.Second}
	x := &Exchange{Job: Job{Class: keyed}}
	if got := x.retryExpiry(); got != 0 {
		t.Errorf("expiry of the first attempt is %v, want 0", got)
	}
	x.attempts = []*Attempt{{dispatchedAt: time.Second, ended: true, neverRan: true}, {dispatchedAt: 3 * time.Second, ended: true}, {dispatchedAt: 4 * time.Second}}
	if got := x.retryExpiry(); got != 4*time.Second-dedupWindowMargin {
		t.Errorf("expiry after an attempt that may have run is %v", got)
	}
	a := &Attempt{expiry: 4 * time.Second}
	if a.Expired(4*time.Second-1) || !a.Expired(4*time.Second) || (&Attempt{}).Expired(time.Hour) {
		t.Error("Expired is not true exactly from the expiry on, or is true without an expiry")
	}
	x.Class = &dispatcher.Class{Idempotency: dispatcher.NotIdempotent}
	if got := x.retryExpiry(); got != 0 {
		t.Errorf("expiry in a class that is not IdempotentByKey is %v, want 0", got)
	}
}

// Guards against a job that is sent after its client has disconnected while the job was
// pending, either before its first attempt or between two attempts.
func TestPendingJobEndsWhenClientDisconnects(t *testing.T) {
	for _, attempted := range []bool{false, true} {
		var workers []string
		if attempted {
			workers = []string{"w"}
		}
		p, transport, clock := startPlanner(t, workers...)
		c := newClient()
		x := NewExchange(Job{ID: "r", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, c)
		p.SubmitRequest(x)
		if attempted {
			p.AttemptEnded(testkit.Await(t, "the attempt", transport.sent), dispatcher.Rejected, nil, nil) // the dispatcher now ejects w
		}
		p.ClientDisconnected(x)
		p.WorkersUpdated(dispatcher.UpdateDelta, []dispatcher.WorkerInfo{{Name: "v"}})
		if n := countOpen(t, p); n != 0 || len(transport.sent) > 0 || c.count() > 0 {
			t.Errorf("attempted %v: %d open exchanges, %d attempts sent and %d answers, want none", attempted, n, len(transport.sent), c.count())
		}
		second := newClient()
		p.SubmitRequest(NewExchange(Job{ID: "s", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, second))
		if a := testkit.Await(t, "another job's attempt", transport.sent); a.ID != "s" {
			t.Errorf("attempted %v: job %s was sent, want s", attempted, a.ID)
		}
	}
}
