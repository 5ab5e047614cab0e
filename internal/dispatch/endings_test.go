package dispatch

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/testkit"
)

// manualJournal is a journal that makes intents durable only when asked to.
type manualJournal struct{ intents chan func(bool) }

func (n manualJournal) Register(*Job) (uint64, bool) { return 1, true }
func (n manualJournal) RecordIntent(_ uint64, _ int, _, _ string, done func(bool)) {
	n.intents <- done
}
func (manualJournal) AttemptSent(uint64, int)                            {}
func (manualJournal) AttemptStarted(uint64, int)                         {}
func (manualJournal) AttemptEnded(uint64, int, dispatcher.Outcome, bool) {}
func (manualJournal) Answered(uint64, Answer)                            {}
func (manualJournal) ClientDisconnected(uint64)                          {}

// Guards against an attempt that is sent after its client has disconnected, where attempts may
// not be cancelled: one that awaits its intent is not given to the carrier, and one that may
// still be connecting is withdrawn.
func TestNothingIsSentOnceTheClientDisconnected(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		c := &carrier{sent: make(chan *Attempt, 16), cancelled: make(chan *Attempt, 16), withdrawn: make(chan *Attempt, 16)}
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
		p.WorkersUpdated(dispatcher.UpdateFull, []dispatcher.WorkerInfo{{Worker: "w"}})
		x := NewExchange(Job{ID: "r", Class: &classes()[1], Tenant: -1}, clock.Now()+5*time.Second, newClient())
		p.SubmitRequest(x)
		if recorded {
			onRecord := testkit.Await(t, "the intent", j.intents)
			p.ClientDisconnected(x)
			openNow(t, p)
			onRecord(true)
			openNow(t, p)
		} else {
			a := testkit.Await(t, "the attempt", c.sent)
			p.ClientDisconnected(x)
			if testkit.Await(t, "the attempt to be withdrawn", c.withdrawn) != a {
				t.Error("another attempt was withdrawn")
			}
			p.AttemptEnded(a, dispatcher.NotSent, nil, nil)
		}
		if n := openNow(t, p); n != 0 || len(c.sent) > 0 {
			t.Errorf("recorded %v: %d open, %d sent", recorded, n, len(c.sent))
		}
		stop()
		<-done
	}
}

// A retry expires when workers no longer drop it as a repeat: counted from the first attempt
// that may have run, not from one that was never sent. A class without such a window has no
// expiry.
func TestExpiry(t *testing.T) {
	keyed := &dispatcher.Class{Idempotency: dispatcher.IdempotentByKey, DedupWindow: time.Second}
	x := &Exchange{Job: Job{Class: keyed}}
	if got := x.retryExpiry(); got != 0 {
		t.Errorf("of a first attempt: %v", got)
	}
	x.attempts = []*Attempt{{dispatchedAt: time.Second, ended: true, neverRan: true}, {dispatchedAt: 3 * time.Second, ended: true}, {dispatchedAt: 4 * time.Second}}
	if got := x.retryExpiry(); got != 4*time.Second-dedupWindowMargin {
		t.Errorf("after one that may have run: %v", got)
	}
	a := &Attempt{expiry: 4 * time.Second}
	if a.Expired(4*time.Second-1) || !a.Expired(4*time.Second) || (&Attempt{}).Expired(time.Hour) {
		t.Error("the wrong moment")
	}
	x.Class = &dispatcher.Class{Idempotency: dispatcher.NotIdempotent}
	if got := x.retryExpiry(); got != 0 {
		t.Errorf("of another class: %v", got)
	}
}

// The same for a job that is pending, and for one between two attempts: the next worker gets nothing.
func TestPendingJobEndsWithItsClient(t *testing.T) {
	for _, tried := range []bool{false, true} {
		var workers []string
		if tried {
			workers = []string{"w"}
		}
		p, carry, clock := begin(t, workers...)
		c := newClient()
		x := NewExchange(Job{ID: "r", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, c)
		p.SubmitRequest(x)
		if tried {
			p.AttemptEnded(testkit.Await(t, "the attempt", carry.sent), dispatcher.Rejected, nil, nil) // w is left alone for now
		}
		p.ClientDisconnected(x)
		p.WorkersUpdated(dispatcher.UpdateDelta, []dispatcher.WorkerInfo{{Worker: "v"}})
		if n := openNow(t, p); n != 0 || len(carry.sent) > 0 || c.count() > 0 {
			t.Errorf("tried %v: %d open, %d sent, %d answers", tried, n, len(carry.sent), c.count())
		}
		again := newClient()
		p.SubmitRequest(NewExchange(Job{ID: "s", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, again))
		if a := testkit.Await(t, "another job's attempt", carry.sent); a.ID != "s" {
			t.Errorf("tried %v: %s was sent", tried, a.ID)
		}
	}
}
