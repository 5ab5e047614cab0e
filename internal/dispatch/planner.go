package dispatch

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"time"

	"sedgevale"
	"sedgevale/internal/unbounded"
)

// Planner owns one Dispatcher. All that happens comes in through its inbox and
// is read by one goroutine, which also keeps the timers.
type Planner struct {
	clock   Clock
	carrier Carrier
	watch   func()
	log     *slog.Logger
	set     sedgevale.Settings
	seed    uint64

	d       *sedgevale.Dispatcher
	box     *unbounded.Box[event]
	orders  *unbounded.Box[func()] // of operators: taken before each event
	wake    chan struct{}
	timers  timers
	serial  uint64
	now     time.Duration
	open    map[string]*Exchange
	list    map[string]sedgevale.WorkerInfo // for a fresh Dispatcher
	out     map[string]bool                 // cordoned, for the same
	journal Journal                         // nil: none
	tally   tally                           // counts for a log line, with -tags tally
	sharing
	signals
}

type kind uint8

const (
	evRequest kind = iota
	evGone
	evIntended
	evSent
	evStarted
	evProgress
	evEnded
	evProbed
	evMembers
	evCall
)

type event struct {
	kind    kind
	x       *Exchange
	a       *Attempt
	outcome sedgevale.Outcome
	report  *sedgevale.Report
	result  []byte
	share   float64
	ok      bool
	worker  string
	list    sedgevale.ListKind
	entries []sedgevale.WorkerInfo
	call    func()
}

// NewPlanner returns a Planner. Watch is called when the Dispatcher asks for
// the list of workers.
func NewPlanner(set sedgevale.Settings, seed uint64, clock Clock, carrier Carrier, watch func(),
	log *slog.Logger) (*Planner, error) {
	p := &Planner{clock: clock, carrier: carrier, watch: watch, log: log, set: set, seed: seed,
		wake: make(chan struct{}, 1), open: map[string]*Exchange{}, list: map[string]sedgevale.WorkerInfo{}, out: map[string]bool{}, sharing: sharing{partners: map[int]*partner{}}}
	p.box, p.orders = unbounded.New[event](p.poke), unbounded.New[func()](p.poke)
	var err error
	p.d, err = sedgevale.New(set, seed, p)
	return p, err
}

// poke has the planner look for what has come.
func (p *Planner) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Request hands in an Exchange.
func (p *Planner) Request(x *Exchange) { p.box.Put(event{kind: evRequest, x: x}) }

// Gone tells that the client has left; nobody waits for an answer any more.
func (p *Planner) Gone(x *Exchange) { p.box.Put(event{kind: evGone, x: x}) }

// Started tells that the worker has begun.
func (p *Planner) Started(a *Attempt) { p.box.Put(event{kind: evStarted, a: a}) }

// Progress tells what share of the job is done.
func (p *Planner) Progress(a *Attempt, share float64) {
	p.box.Put(event{kind: evProgress, a: a, share: share})
}

// Ended tells how an attempt ended. Result is that of a Served one.
func (p *Planner) Ended(a *Attempt, o sedgevale.Outcome, result []byte, report *sedgevale.Report) {
	p.box.Put(event{kind: evEnded, a: a, outcome: o, result: result, report: report})
}

// Probed brings the answer to a probe, or nil.
func (p *Planner) Probed(worker string, report *sedgevale.Report) {
	p.box.Put(event{kind: evProbed, worker: worker, report: report})
}

// Members brings the list of workers. The Planner keeps the entries.
func (p *Planner) Members(list sedgevale.ListKind, entries []sedgevale.WorkerInfo) {
	p.box.Put(event{kind: evMembers, list: list, entries: entries})
}

// Cordon takes a worker out or puts it back, before any event that waits to be
// read. Done is told whether the worker is known.
func (p *Planner) Cordon(worker string, out bool, done func(known bool)) {
	p.order(func() {
		known := p.d.Cordon(p.now, worker, out)
		if delete(p.out, worker); known && out {
			p.out[worker] = true
		}
		done(known)
	})
}

// Keep has a worker out from the start, also one that no list has named yet.
func (p *Planner) Keep(worker string) {
	p.order(func() {
		p.out[worker] = true
		p.d.RestoreCordon(worker)
	})
}

// Alive calls f from the Planner's goroutine, to show that it has its turns.
func (p *Planner) Alive(f func()) { p.order(f) }

func (p *Planner) order(f func()) { p.orders.Put(f) }

// obey carries out what operators have ordered.
func (p *Planner) obey() {
	p.now = p.clock.Now()
	for _, f := range p.orders.Take() {
		p.guard(f)
	}
}

// Open calls f with the number of exchanges that are not over, once all that
// was handed in before has been read.
func (p *Planner) Open(f func(int)) {
	p.call(func() { f(len(p.open)) })
}

// Abandon answers what is open as failed and calls f with the number of those.
func (p *Planner) Abandon(f func(int)) {
	p.call(func() {
		n := 0
		for _, x := range p.open {
			if !x.answered {
				n++
				x.answer(Answer{Kind: Failed, Reason: "the scheduler ends", Ran: x.mayHaveRun()})
			}
		}
		f(n)
	})
}

// Run works until the context ends.
func (p *Planner) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		items := p.box.Take()
		p.obey()
		p.hear()
		for i := range items {
			if p.orders.Waiting() {
				p.obey()
			}
			p.guard(func() { p.handle(&items[i]) })
		}
		p.guard(p.fire)
		p.signal()
		p.tally.out(p.log, p.now)
		wait := p.share()
		if len(p.timers) > 0 {
			wait = min(wait, max(0, p.timers[0].at-p.clock.Now()))
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
		case <-p.wake:
		case <-timer.C:
		}
	}
}

// guard keeps the program up when the decisions panic: what is open fails, and
// a fresh Dispatcher begins with the list as it stands.
func (p *Planner) guard(f func()) {
	defer func() {
		fault := recover()
		if fault == nil {
			return
		}
		p.log.Error("decision module panicked, starting it afresh", "panic", fmt.Sprint(fault),
			"open", len(p.open), "stack", string(debug.Stack()))
		for _, x := range p.open {
			for _, a := range x.attempts {
				if !a.over {
					a.over, a.unseen = true, a.held
					p.carrier.Cancel(a)
					if a.record != 0 {
						p.journal.Ended(a.record, a.Number, sedgevale.Cancelled, a.unseen)
					}
				}
			}
			x.answer(Answer{Kind: Failed, Reason: "internal error", Ran: x.mayHaveRun()})
		}
		clear(p.open)
		p.timers = nil
		p.seed++
		d, err := sedgevale.New(p.set, p.seed, p)
		if err != nil {
			p.log.Error("decision module did not start", "err", err)
			return
		}
		p.d = d
		entries := make([]sedgevale.WorkerInfo, 0, len(p.list))
		for _, e := range p.list {
			entries = append(entries, e)
		}
		p.d.WorkersUpdated(p.clock.Now(), sedgevale.ListWhole, entries)
		for worker := range p.out {
			p.d.RestoreCordon(worker)
		}
		p.anew()
	}()
	f()
}

func (p *Planner) handle(e *event) {
	p.now = p.clock.Now()
	switch e.kind {
	case evRequest:
		p.request(e.x)
	case evGone:
		if !e.x.answered {
			e.x.answered = true
			if e.x.journal != nil {
				e.x.journal.Gone(e.x.record)
			}
			p.d.ClientDisconnected(p.now, e.x.ID)
			p.withdraw(e.x)
			p.forget(e.x)
		}
	case evIntended:
		p.intended(e.a, e.ok)
	case evSent:
		if !e.a.over {
			p.journal.Sent(e.a.record, e.a.Number)
		}
	case evStarted:
		if !e.a.over {
			p.tally.started(e.a, p.now)
			if e.a.record != 0 {
				p.journal.Started(e.a.record, e.a.Number)
			}
			if !e.a.answered {
				e.a.client.Started()
			}
			p.changed = true
			p.check(p.d.AttemptStarted(p.now, e.a.ID, e.a.Number))
		}
	case evProgress:
		if !e.a.over {
			if !e.a.answered {
				e.a.client.Progress(e.share)
			}
			p.check(p.d.AttemptProgressed(p.now, e.a.ID, e.a.Number, e.share))
		}
	case evEnded:
		p.ended(e.a, e.outcome, e.result, e.report)
	case evProbed:
		p.d.ProbeResult(p.now, e.worker, e.report)
	case evMembers:
		p.members(e.list, e.entries)
	case evCall:
		e.call()
	}
}

func (p *Planner) request(x *Exchange) {
	left := x.deadline - p.now
	if p.open[x.ID] != nil || p.elsewhere(x.ID) {
		x.answer(Answer{Kind: Failed, Reason: "request id in use"})
		return
	}
	class := p.classOf(x)
	if class < 0 {
		x.answer(Answer{Kind: Failed, Reason: "the class is gone"})
		return
	}
	tenant := p.tenantOf(x)
	if tenant < 0 && len(p.set.Tenants) > 0 {
		x.answer(Answer{Kind: Failed, Reason: "the tenant is gone"})
		return
	}
	if !p.take(x) {
		x.answer(Answer{Kind: Refused, After: min(fullAfter, p.set.MaxRetryAfter), Reason: "it cannot be recorded"})
		return
	}
	p.open[x.ID] = x
	p.opened(x.ID)
	err := p.d.SubmitRequest(p.now, sedgevale.Request{ID: x.ID, Class: class, Tenant: tenant, Key: x.Key,
		Left: left, Hint: x.Hint, Slots: x.Slots, Retry: x.Retry})
	if err != nil {
		p.log.Error("decision module did not take a request", "err", err)
		x.answer(Answer{Kind: Failed, Reason: "internal error"})
	}
	p.forget(x)
}

// classOf returns the index of a job's class in the settings, or -1: a job can
// cross new settings, by which its class is another or none.
func (p *Planner) classOf(x *Exchange) int {
	return slices.IndexFunc(p.set.Classes, func(c sedgevale.Class) bool { return x.Class != nil && c.Name == x.Class.Name })
}

// tenantOf returns the module's number of a job's tenant, or -1. The number that the job brings is of the
// settings by which it was read; a job that was taken before its tenant went keeps its rights.
func (p *Planner) tenantOf(x *Exchange) int {
	if x.Tenant >= 0 && x.Tenant < len(p.set.Tenants) && p.set.Tenants[x.Tenant].Name == x.TenantName ||
		x.Tenant < 0 && len(p.set.Tenants) == 0 {
		return x.Tenant
	}
	return p.d.TenantIndex(x.TenantName)
}

// Retune goes on by new settings, which are not changed any more. Jobs under way
// keep their class.
func (p *Planner) Retune(set sedgevale.Settings) {
	p.call(func() {
		if err := p.d.UpdateSettings(set); err != nil {
			p.log.Error("decision module refused new settings", "err", err)
			return
		}
		set.Zone, set.Peers, set.Weights, set.AskForList = p.set.Zone, p.set.Peers, p.set.Weights, p.set.AskForList
		p.set = set
	})
}

func (p *Planner) ended(a *Attempt, o sedgevale.Outcome, result []byte, report *sedgevale.Report) {
	if a.over {
		return
	}
	a.over = true
	p.tally.ended(o)
	if a.timer.index >= 0 { // else it would keep the request's body until the deadline
		heap.Remove(&p.timers, a.timer.index)
	}
	a.unseen = a.held || o == sedgevale.ConnectFailed || o == sedgevale.NotSent ||
		o == sedgevale.Full && !p.set.FullMayHaveRun
	if a.record != 0 {
		p.journal.Ended(a.record, a.Number, o, a.unseen)
	}
	x := a.Exchange
	x.out--
	p.changed = true
	x.last = o
	if o == sedgevale.Served {
		x.answer(Answer{Kind: Served, Result: result})
		p.withdraw(x)
	}
	p.check(p.d.AttemptEnded(p.now, sedgevale.Result{ID: x.ID, Attempt: a.Number, Outcome: o,
		Closed: x.answered, Report: report}))
	p.forget(x)
}

func (p *Planner) members(list sedgevale.ListKind, entries []sedgevale.WorkerInfo) {
	if list == sedgevale.ListWhole || list == sedgevale.ListStale {
		clear(p.list)
	}
	for _, e := range entries {
		if p.list[e.Worker] = e; e.State == sedgevale.Left {
			delete(p.list, e.Worker)
		}
	}
	p.d.WorkersUpdated(p.now, list, entries)
}

// forget drops what is over: answered, and no attempt out.
func (p *Planner) forget(x *Exchange) {
	if x.answered && x.out == 0 && p.open[x.ID] == x {
		delete(p.open, x.ID)
		p.over(x.ID)
	}
}

func (p *Planner) check(err error) {
	if err != nil && !errors.Is(err, sedgevale.ErrUnknownRequest) && !errors.Is(err, sedgevale.ErrUnknownAttempt) {
		p.log.Error("decision module refused an event", "err", err)
	}
}

// fire runs the timers that are due.
func (p *Planner) fire() {
	p.now = p.clock.Now()
	for len(p.timers) > 0 && p.timers[0].at <= p.now {
		t := heap.Pop(&p.timers).(*timer)
		switch {
		case t.attempt == nil:
			p.d.TimerFired(p.now, t.token)
		case t.attempt.over:
		case t.attempt.held:
			p.turnBack(t.attempt)
		default:
			p.carrier.Cancel(t.attempt)
			p.ended(t.attempt, sedgevale.TimedOut, nil, nil)
		}
	}
}
