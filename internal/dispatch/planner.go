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
	clock    Clock
	carrier  Carrier
	watch    func()
	log      *slog.Logger
	settings sedgevale.Settings
	seed     uint64

	dispatcher *sedgevale.Dispatcher
	queue      *unbounded.Box[event]
	commands   *unbounded.Box[func()] // of operators: taken before each event
	wake       chan struct{}
	timers     timers
	lastTimer  uint64
	now        time.Duration
	exchanges  map[string]*Exchange
	workers    map[string]sedgevale.WorkerInfo // for a fresh Dispatcher
	cordoned   map[string]bool                 // cordoned, for the same
	journal    Journal                         // nil: none
	tally      tally                           // counts for a log line, with -tags tally
	sharing
	peerSignals
}

type eventKind uint8

const (
	eventRequest eventKind = iota
	eventClientDisconnected
	eventIntentRecorded
	eventSent
	eventStarted
	eventProgress
	eventEnded
	eventProbeResult
	eventWorkersUpdated
	eventCall
)

type event struct {
	kind     eventKind
	exchange *Exchange
	attempt  *Attempt
	outcome  sedgevale.Outcome
	report   *sedgevale.Report
	result   []byte
	progress float64
	ok       bool
	worker   string
	listKind sedgevale.ListKind
	entries  []sedgevale.WorkerInfo
	call     func()
}

// NewPlanner returns a Planner. Watch is called when the Dispatcher asks for
// the list of workers.
func NewPlanner(set sedgevale.Settings, seed uint64, clock Clock, carrier Carrier, watch func(),
	log *slog.Logger) (*Planner, error) {
	p := &Planner{clock: clock, carrier: carrier, watch: watch, log: log, settings: set, seed: seed,
		wake: make(chan struct{}, 1), exchanges: map[string]*Exchange{}, workers: map[string]sedgevale.WorkerInfo{}, cordoned: map[string]bool{}, sharing: sharing{partners: map[int]*partner{}}}
	p.queue, p.commands = unbounded.New[event](p.wakeUp), unbounded.New[func()](p.wakeUp)
	var err error
	p.dispatcher, err = sedgevale.New(set, seed, p)
	return p, err
}

// wakeUp has the planner look for what has come.
func (p *Planner) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Request hands in an Exchange.
func (p *Planner) Request(x *Exchange) { p.queue.Put(event{kind: eventRequest, exchange: x}) }

// Gone tells that the client has left; nobody waits for an answer any more.
func (p *Planner) Gone(x *Exchange) { p.queue.Put(event{kind: eventClientDisconnected, exchange: x}) }

// Started tells that the worker has begun.
func (p *Planner) Started(a *Attempt) { p.queue.Put(event{kind: eventStarted, attempt: a}) }

// Progress tells what share of the job is done.
func (p *Planner) Progress(a *Attempt, share float64) {
	p.queue.Put(event{kind: eventProgress, attempt: a, progress: share})
}

// Ended tells how an attempt ended. Result is that of a Served one.
func (p *Planner) Ended(a *Attempt, o sedgevale.Outcome, result []byte, report *sedgevale.Report) {
	p.queue.Put(event{kind: eventEnded, attempt: a, outcome: o, result: result, report: report})
}

// Probed brings the answer to a probe, or nil.
func (p *Planner) Probed(worker string, report *sedgevale.Report) {
	p.queue.Put(event{kind: eventProbeResult, worker: worker, report: report})
}

// Members brings the list of workers. The Planner keeps the entries.
func (p *Planner) Members(list sedgevale.ListKind, entries []sedgevale.WorkerInfo) {
	p.queue.Put(event{kind: eventWorkersUpdated, listKind: list, entries: entries})
}

// Cordon takes a worker out or puts it back, before any event that waits to be
// read. Done is told whether the worker is known.
func (p *Planner) Cordon(worker string, out bool, done func(known bool)) {
	p.putCommand(func() {
		known := p.dispatcher.Cordon(p.now, worker, out)
		if delete(p.cordoned, worker); known && out {
			p.cordoned[worker] = true
		}
		done(known)
	})
}

// Keep has a worker out from the start, also one that no list has named yet.
func (p *Planner) Keep(worker string) {
	p.putCommand(func() {
		p.cordoned[worker] = true
		p.dispatcher.RestoreCordon(worker)
	})
}

// Alive calls f from the Planner's goroutine, to show that it has its turns.
func (p *Planner) Alive(f func()) { p.putCommand(f) }

func (p *Planner) putCommand(f func()) { p.commands.Put(f) }

// runCommands carries out what operators have ordered.
func (p *Planner) runCommands() {
	p.now = p.clock.Now()
	for _, f := range p.commands.Take() {
		p.recoverPanics(f)
	}
}

// Open calls f with the number of exchanges that are not over, once all that
// was handed in before has been read.
func (p *Planner) Open(f func(int)) {
	p.enqueueCall(func() { f(len(p.exchanges)) })
}

// Abandon answers what is open as failed and calls f with the number of those.
func (p *Planner) Abandon(f func(int)) {
	p.enqueueCall(func() {
		n := 0
		for _, x := range p.exchanges {
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
		items := p.queue.Take()
		p.runCommands()
		p.readPeerLoad()
		for i := range items {
			if p.commands.Waiting() {
				p.runCommands()
			}
			p.recoverPanics(func() { p.handleEvent(&items[i]) })
		}
		p.recoverPanics(p.runTimers)
		p.publishLoadChanges()
		p.tally.out(p.log, p.now)
		wait := p.notifyPartners()
		if len(p.timers) > 0 {
			wait = min(wait, max(0, p.timers[0].due-p.clock.Now()))
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
		case <-p.wake:
		case <-timer.C:
		}
	}
}

// recoverPanics keeps the program up when the decisions panic: what is open fails, and
// a fresh Dispatcher begins with the list as it stands.
func (p *Planner) recoverPanics(f func()) {
	defer func() {
		fault := recover()
		if fault == nil {
			return
		}
		p.log.Error("decision module panicked, starting it afresh", "panic", fmt.Sprint(fault),
			"open", len(p.exchanges), "stack", string(debug.Stack()))
		for _, x := range p.exchanges {
			for _, a := range x.attempts {
				if !a.ended {
					a.ended, a.neverRan = true, a.awaitsIntent
					p.carrier.Cancel(a)
					if a.recordNumber != 0 {
						p.journal.Ended(a.recordNumber, a.Number, sedgevale.Cancelled, a.neverRan)
					}
				}
			}
			x.answer(Answer{Kind: Failed, Reason: "internal error", Ran: x.mayHaveRun()})
		}
		clear(p.exchanges)
		p.timers = nil
		p.seed++
		d, err := sedgevale.New(p.settings, p.seed, p)
		if err != nil {
			p.log.Error("decision module did not start", "err", err)
			return
		}
		p.dispatcher = d
		entries := make([]sedgevale.WorkerInfo, 0, len(p.workers))
		for _, e := range p.workers {
			entries = append(entries, e)
		}
		p.dispatcher.WorkersUpdated(p.clock.Now(), sedgevale.ListWhole, entries)
		for worker := range p.cordoned {
			p.dispatcher.RestoreCordon(worker)
		}
		p.republishLoad()
	}()
	f()
}

func (p *Planner) handleEvent(e *event) {
	p.now = p.clock.Now()
	switch e.kind {
	case eventRequest:
		p.submit(e.exchange)
	case eventClientDisconnected:
		if !e.exchange.answered {
			e.exchange.answered = true
			if e.exchange.journal != nil {
				e.exchange.journal.Gone(e.exchange.recordNumber)
			}
			p.dispatcher.ClientDisconnected(p.now, e.exchange.ID)
			p.withdrawUnsent(e.exchange)
			p.forgetIfDone(e.exchange)
		}
	case eventIntentRecorded:
		p.intentRecorded(e.attempt, e.ok)
	case eventSent:
		if !e.attempt.ended {
			p.journal.Sent(e.attempt.recordNumber, e.attempt.Number)
		}
	case eventStarted:
		if !e.attempt.ended {
			p.tally.started(e.attempt, p.now)
			if e.attempt.recordNumber != 0 {
				p.journal.Started(e.attempt.recordNumber, e.attempt.Number)
			}
			if !e.attempt.answered {
				e.attempt.client.Started()
			}
			p.loadChanged = true
			p.logUnexpected(p.dispatcher.AttemptStarted(p.now, e.attempt.ID, e.attempt.Number))
		}
	case eventProgress:
		if !e.attempt.ended {
			if !e.attempt.answered {
				e.attempt.client.Progress(e.progress)
			}
			p.logUnexpected(p.dispatcher.AttemptProgressed(p.now, e.attempt.ID, e.attempt.Number, e.progress))
		}
	case eventEnded:
		p.endAttempt(e.attempt, e.outcome, e.result, e.report)
	case eventProbeResult:
		p.dispatcher.ProbeResult(p.now, e.worker, e.report)
	case eventWorkersUpdated:
		p.updateWorkers(e.listKind, e.entries)
	case eventCall:
		e.call()
	}
}

func (p *Planner) submit(x *Exchange) {
	left := x.deadline - p.now
	if p.exchanges[x.ID] != nil || p.openAtPartner(x.ID) {
		x.answer(Answer{Kind: Failed, Reason: "request id in use"})
		return
	}
	class := p.classOf(x)
	if class < 0 {
		x.answer(Answer{Kind: Failed, Reason: "the class is gone"})
		return
	}
	tenant := p.tenantOf(x)
	if tenant < 0 && len(p.settings.Tenants) > 0 {
		x.answer(Answer{Kind: Failed, Reason: "the tenant is gone"})
		return
	}
	if !p.registerInJournal(x) {
		x.answer(Answer{Kind: Refused, After: min(unrecordedRetryAfter, p.settings.MaxRetryAfter), Reason: "it cannot be recorded"})
		return
	}
	p.exchanges[x.ID] = x
	p.noteOpened(x.ID)
	err := p.dispatcher.SubmitRequest(p.now, sedgevale.Request{ID: x.ID, Class: class, Tenant: tenant, Key: x.Key,
		Left: left, Hint: x.Hint, Slots: x.Slots, Retry: x.Retry})
	if err != nil {
		p.log.Error("decision module did not take a request", "err", err)
		x.answer(Answer{Kind: Failed, Reason: "internal error"})
	}
	p.forgetIfDone(x)
}

// classOf returns the index of a job's class in the settings, or -1: a job can
// cross new settings, by which its class is another or none.
func (p *Planner) classOf(x *Exchange) int {
	return slices.IndexFunc(p.settings.Classes, func(c sedgevale.Class) bool { return x.Class != nil && c.Name == x.Class.Name })
}

// tenantOf returns the module's number of a job's tenant, or -1. The number that the job brings is of the
// settings by which it was read; a job that was taken before its tenant went keeps its rights.
func (p *Planner) tenantOf(x *Exchange) int {
	if x.Tenant >= 0 && x.Tenant < len(p.settings.Tenants) && p.settings.Tenants[x.Tenant].Name == x.TenantName ||
		x.Tenant < 0 && len(p.settings.Tenants) == 0 {
		return x.Tenant
	}
	return p.dispatcher.TenantIndex(x.TenantName)
}

// Retune goes on by new settings, which are not changed any more. Jobs under way
// keep their class.
func (p *Planner) Retune(set sedgevale.Settings) {
	p.enqueueCall(func() {
		if err := p.dispatcher.UpdateSettings(set); err != nil {
			p.log.Error("decision module refused new settings", "err", err)
			return
		}
		set.Zone, set.Peers, set.Weights, set.AskForList = p.settings.Zone, p.settings.Peers, p.settings.Weights, p.settings.AskForList
		p.settings = set
	})
}

func (p *Planner) endAttempt(a *Attempt, o sedgevale.Outcome, result []byte, report *sedgevale.Report) {
	if a.ended {
		return
	}
	a.ended = true
	p.tally.ended(o)
	if a.timer.index >= 0 { // else it would keep the request's body until the deadline
		heap.Remove(&p.timers, a.timer.index)
	}
	a.neverRan = a.awaitsIntent || o == sedgevale.ConnectFailed || o == sedgevale.NotSent ||
		o == sedgevale.Full && !p.settings.FullMayHaveRun
	if a.recordNumber != 0 {
		p.journal.Ended(a.recordNumber, a.Number, o, a.neverRan)
	}
	x := a.Exchange
	x.inFlight--
	p.loadChanged = true
	x.lastOutcome = o
	if o == sedgevale.Served {
		x.answer(Answer{Kind: Served, Result: result})
		p.withdrawUnsent(x)
	}
	p.logUnexpected(p.dispatcher.AttemptEnded(p.now, sedgevale.Result{ID: x.ID, Attempt: a.Number, Outcome: o,
		Closed: x.answered, Report: report}))
	p.forgetIfDone(x)
}

func (p *Planner) updateWorkers(list sedgevale.ListKind, entries []sedgevale.WorkerInfo) {
	if list == sedgevale.ListWhole || list == sedgevale.ListStale {
		clear(p.workers)
	}
	for _, e := range entries {
		if p.workers[e.Worker] = e; e.State == sedgevale.Left {
			delete(p.workers, e.Worker)
		}
	}
	p.dispatcher.WorkersUpdated(p.now, list, entries)
}

// forgetIfDone drops what is over: answered, and no attempt out.
func (p *Planner) forgetIfDone(x *Exchange) {
	if x.answered && x.inFlight == 0 && p.exchanges[x.ID] == x {
		delete(p.exchanges, x.ID)
		p.noteEnded(x.ID)
	}
}

func (p *Planner) logUnexpected(err error) {
	if err != nil && !errors.Is(err, sedgevale.ErrUnknownRequest) && !errors.Is(err, sedgevale.ErrUnknownAttempt) {
		p.log.Error("decision module refused an event", "err", err)
	}
}

// runTimers runs the timers that are due.
func (p *Planner) runTimers() {
	p.now = p.clock.Now()
	for len(p.timers) > 0 && p.timers[0].due <= p.now {
		t := heap.Pop(&p.timers).(*timer)
		switch {
		case t.attempt == nil:
			p.dispatcher.TimerFired(p.now, t.token)
		case t.attempt.ended:
		case t.attempt.awaitsIntent:
			p.rejectUnrecorded(t.attempt)
		default:
			p.carrier.Cancel(t.attempt)
			p.endAttempt(t.attempt, sedgevale.TimedOut, nil, nil)
		}
	}
}
