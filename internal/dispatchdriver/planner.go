package dispatchdriver

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/unbounded"
)

// Planner runs one Dispatcher and implements its Host. Run is an event loop on a single
// goroutine: it handles the events in the queue and fires the timers. The exported methods
// may be called from any goroutine unless they say otherwise, except for the methods of
// [dispatcher.Host], which the Dispatcher calls from Run.
type Planner struct {
	clock        Clock
	transport    Transport
	watchWorkers func()
	log          *slog.Logger
	settings     dispatcher.Settings
	seed         uint64

	dispatcher      *dispatcher.Dispatcher
	queue           *unbounded.Queue[event]
	commands        *unbounded.Queue[func()] // operators' commands, which run before the next event
	wake            chan struct{}            // holds a token while queue or commands has unread items
	timers          timerHeap
	lastTimerSerial uint64
	now             time.Duration                    // time on the Clock of the event being handled
	exchanges       map[string]*Exchange             // by ID; unanswered, or with attempts in flight
	workers         map[string]dispatcher.WorkerInfo // by name; for a new Dispatcher after a panic
	cordoned        map[string]bool                  // by worker name; for a new Dispatcher after a panic
	journal         Journal                          // nil if there is no journal
	counters        counters                         // empty unless built with the tag tally
	siblingTracker
	peerState
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

// event is an entry of the planner's queue. Only the fields of its kind are set.
type event struct {
	kind       eventKind
	exchange   *Exchange
	attempt    *Attempt
	outcome    dispatcher.Outcome
	report     *dispatcher.LoadReport
	result     []byte
	progress   float64
	ok         bool
	worker     string
	updateKind dispatcher.UpdateKind
	entries    []dispatcher.WorkerInfo
	call       func()
}

// NewPlanner returns a Planner. It calls watchWorkers from Run when the Dispatcher requests
// the list of workers. It returns an error if the settings are invalid.
func NewPlanner(settings dispatcher.Settings, seed uint64, clock Clock, transport Transport, watchWorkers func(),
	log *slog.Logger) (*Planner, error) {
	p := &Planner{
		clock:          clock,
		transport:      transport,
		watchWorkers:   watchWorkers,
		log:            log,
		settings:       settings,
		seed:           seed,
		wake:           make(chan struct{}, 1),
		exchanges:      map[string]*Exchange{},
		workers:        map[string]dispatcher.WorkerInfo{},
		cordoned:       map[string]bool{},
		siblingTracker: siblingTracker{siblings: map[int]*sibling{}},
	}
	p.queue, p.commands = unbounded.New[event](p.wakeUp), unbounded.New[func()](p.wakeUp)
	var err error
	p.dispatcher, err = dispatcher.New(settings, seed, p)
	return p, err
}

// wakeUp makes Run check its queues.
func (p *Planner) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// SubmitRequest submits an Exchange. The caller must not modify the Exchange afterwards.
func (p *Planner) SubmitRequest(x *Exchange) { p.queue.Put(event{kind: eventRequest, exchange: x}) }

// ClientDisconnected reports that the client has disconnected and no longer waits for an
// answer.
func (p *Planner) ClientDisconnected(x *Exchange) {
	p.queue.Put(event{kind: eventClientDisconnected, exchange: x})
}

// AttemptStarted reports that the worker has started the attempt.
func (p *Planner) AttemptStarted(a *Attempt) { p.queue.Put(event{kind: eventStarted, attempt: a}) }

// AttemptProgressed reports the completed fraction of the job, from 0 to 1.
func (p *Planner) AttemptProgressed(a *Attempt, share float64) {
	p.queue.Put(event{kind: eventProgress, attempt: a, progress: share})
}

// AttemptEnded reports the outcome of an attempt. Result is the worker's result if the
// outcome is Served. Report is nil if the worker sent no load report.
func (p *Planner) AttemptEnded(a *Attempt, o dispatcher.Outcome, result []byte, report *dispatcher.LoadReport) {
	p.queue.Put(event{kind: eventEnded, attempt: a, outcome: o, result: result, report: report})
}

// ProbeResult reports a worker's response to a probe, or nil if there was none in time.
func (p *Planner) ProbeResult(worker string, report *dispatcher.LoadReport) {
	p.queue.Put(event{kind: eventProbeResult, worker: worker, report: report})
}

// WorkersUpdated reports an update of the list of workers. The Planner retains the entries.
func (p *Planner) WorkersUpdated(kind dispatcher.UpdateKind, entries []dispatcher.WorkerInfo) {
	p.queue.Put(event{kind: eventWorkersUpdated, updateKind: kind, entries: entries})
}

// Cordon cordons a worker, or uncordons it if cordon is false, ahead of all queued events.
// It calls done from Run with whether the worker is known.
func (p *Planner) Cordon(worker string, cordon bool, done func(known bool)) {
	p.enqueueCommand(func() {
		known := p.dispatcher.Cordon(p.now, worker, cordon)
		if delete(p.cordoned, worker); known && cordon {
			p.cordoned[worker] = true
		}
		done(known)
	})
}

// RestoreCordon restores a cordon of an earlier run of the process. The worker need not be
// in the list of workers yet.
func (p *Planner) RestoreCordon(worker string) {
	p.enqueueCommand(func() {
		p.cordoned[worker] = true
		p.dispatcher.RestoreCordon(worker)
	})
}

// Ping calls f from Run, which shows that the event loop makes progress.
func (p *Planner) Ping(f func()) { p.enqueueCommand(f) }

func (p *Planner) enqueueCommand(f func()) { p.commands.Put(f) }

// runCommands runs the queued commands of operators.
func (p *Planner) runCommands() {
	p.now = p.clock.Now()
	for _, f := range p.commands.TakeAll() {
		p.recoverPanics(f)
	}
}

// CountOpen calls f from Run with the number of open exchanges, after all events that were
// queued before the call.
func (p *Planner) CountOpen(f func(int)) {
	p.enqueueCall(func() { f(len(p.exchanges)) })
}

// FailOpen answers all unanswered exchanges as failed and calls f from Run with their number.
func (p *Planner) FailOpen(f func(int)) {
	p.enqueueCall(func() {
		n := 0
		for _, x := range p.exchanges {
			if !x.answered {
				n++
				x.answer(Response{Kind: Failed, Reason: "the scheduler ends", MayHaveRun: x.mayHaveRun()})
			}
		}
		f(n)
	})
}

// Run handles events until the context is done.
func (p *Planner) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		items := p.queue.TakeAll()
		p.runCommands()
		p.applyPeerLoad()
		for i := range items {
			if p.commands.HasItems() {
				p.runCommands()
			}
			p.recoverPanics(func() { p.handleEvent(&items[i]) })
		}
		p.recoverPanics(p.runTimers)
		p.publishLoadChanges()
		p.counters.logIfDue(p.log, p.now)
		wait := p.sendSiblingUpdates()
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

// recoverPanics calls f. If f panics, recoverPanics fails all open exchanges and replaces the
// Dispatcher by a new one with the current list of workers, so that a fault in the Dispatcher
// does not end the process.
func (p *Planner) recoverPanics(f func()) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		p.log.Error("dispatcher panicked; failing all open jobs and restarting it", "panic", fmt.Sprint(reason),
			"open", len(p.exchanges), "stack", string(debug.Stack()))
		for _, x := range p.exchanges {
			for _, a := range x.attempts {
				if !a.ended {
					a.ended, a.neverRan = true, a.awaitingIntent
					p.transport.Cancel(a)
					if a.recordNumber != 0 {
						p.journal.AttemptEnded(a.recordNumber, a.Number, dispatcher.Cancelled, a.neverRan)
					}
				}
			}
			x.answer(Response{Kind: Failed, Reason: "internal error", MayHaveRun: x.mayHaveRun()})
		}
		clear(p.exchanges)
		p.timers = nil
		p.seed++
		d, err := dispatcher.New(p.settings, p.seed, p)
		if err != nil {
			p.log.Error("creating a new dispatcher after a panic failed; continuing with the one that panicked", "err", err)
			return
		}
		p.dispatcher = d
		entries := make([]dispatcher.WorkerInfo, 0, len(p.workers))
		for _, e := range p.workers {
			entries = append(entries, e)
		}
		p.dispatcher.WorkersUpdated(p.clock.Now(), dispatcher.UpdateFull, entries)
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
		p.handleClientDisconnect(e.exchange)
	case eventIntentRecorded, eventSent, eventStarted, eventProgress:
		if !e.attempt.ended {
			p.handleAttemptEvent(e, e.attempt)
		}
	case eventEnded:
		p.endAttempt(e.attempt, e.outcome, e.result, e.report)
	case eventProbeResult:
		p.dispatcher.ProbeResult(p.now, e.worker, e.report)
	case eventWorkersUpdated:
		p.updateWorkers(e.updateKind, e.entries)
	case eventCall:
		e.call()
	}
}

// handleAttemptEvent handles an event of an attempt that has not ended.
func (p *Planner) handleAttemptEvent(e *event, a *Attempt) {
	switch e.kind {
	case eventIntentRecorded:
		p.handleIntentRecorded(a, e.ok)
	case eventSent:
		p.journal.AttemptSent(a.recordNumber, a.Number)
	case eventStarted:
		p.counters.started(a, p.now)
		if a.recordNumber != 0 {
			p.journal.AttemptStarted(a.recordNumber, a.Number)
		}
		if !a.answered {
			a.client.Started()
		}
		p.siblingUpdateDue = true
		p.logUnexpected(p.dispatcher.AttemptStarted(p.now, a.ID, a.Number))
	case eventProgress:
		if !a.answered {
			a.client.Progress(e.progress)
		}
		p.logUnexpected(p.dispatcher.AttemptProgressed(p.now, a.ID, a.Number, e.progress))
	}
}

func (p *Planner) handleClientDisconnect(x *Exchange) {
	if x.answered {
		return
	}
	x.answered = true
	if x.journal != nil {
		x.journal.ClientDisconnected(x.recordNumber)
	}
	p.dispatcher.ClientDisconnected(p.now, x.ID)
	p.cancelUnsent(x)
	p.removeIfDone(x)
}

// submit passes a request to the Dispatcher, or answers it if it cannot be accepted.
func (p *Planner) submit(x *Exchange) {
	remaining := x.deadline - p.now
	if p.exchanges[x.ID] != nil || p.openAtSibling(x.ID) {
		x.answer(Response{Kind: Failed, Reason: "request id in use"})
		return
	}
	class := p.classIndex(x)
	if class < 0 {
		x.answer(Response{Kind: Failed, Reason: "the class is gone"})
		return
	}
	tenant := p.tenantIndex(x)
	if tenant < 0 && len(p.settings.Tenants) > 0 {
		x.answer(Response{Kind: Failed, Reason: "the tenant is gone"})
		return
	}
	if !p.registerInJournal(x) {
		x.answer(Response{Kind: Rejected, RetryAfter: min(unrecordableRetryAfter, p.settings.MaxRetryAfter), Reason: "it cannot be recorded"})
		return
	}
	p.exchanges[x.ID] = x
	p.announceOpened(x.ID)
	err := p.dispatcher.SubmitRequest(p.now, dispatcher.Request{ID: x.ID, Class: class, Tenant: tenant, AffinityKey: x.AffinityKey,
		RemainingTimeout: remaining, RuntimeHint: x.RuntimeHint, Slots: x.Slots, ClientRetry: x.ClientRetry})
	if err != nil {
		p.log.Error("dispatcher returned an error for a new job; answering the job as failed", "err", err)
		x.answer(Response{Kind: Failed, Reason: "internal error"})
	}
	p.removeIfDone(x)
}

// classIndex returns the index of a job's class in the current settings, or -1 if the class
// has been removed since the job was parsed.
func (p *Planner) classIndex(x *Exchange) int {
	return slices.IndexFunc(p.settings.Classes, func(c dispatcher.Class) bool { return x.Class != nil && c.Name == x.Class.Name })
}

// tenantIndex returns the Dispatcher's index of a job's tenant, or -1 if there is no such
// tenant. The tenant is looked up by name if the index in the job, which refers to the
// settings used for parsing, is no longer valid. A job that was parsed before its tenant was
// removed is still served.
func (p *Planner) tenantIndex(x *Exchange) int {
	if x.Tenant >= 0 && x.Tenant < len(p.settings.Tenants) && p.settings.Tenants[x.Tenant].Name == x.TenantName ||
		x.Tenant < 0 && len(p.settings.Tenants) == 0 {
		return x.Tenant
	}
	return p.dispatcher.TenantIndex(x.TenantName)
}

// UpdateSettings replaces the settings, except for those that [dispatcher.Dispatcher.UpdateSettings]
// leaves unchanged. The caller must not modify the new settings afterwards. Jobs in flight
// keep their class.
func (p *Planner) UpdateSettings(settings dispatcher.Settings) {
	p.enqueueCall(func() {
		if err := p.dispatcher.UpdateSettings(settings); err != nil {
			p.log.Error("dispatcher rejected new settings; keeping the current settings", "err", err)
			return
		}
		settings.Zone, settings.Dispatchers, settings.WeightMeaning, settings.WatchOnDemand = p.settings.Zone, p.settings.Dispatchers, p.settings.WeightMeaning, p.settings.WatchOnDemand
		p.settings = settings
	})
}

func (p *Planner) endAttempt(a *Attempt, o dispatcher.Outcome, result []byte, report *dispatcher.LoadReport) {
	if a.ended {
		return
	}
	a.ended = true
	p.counters.ended(o)
	if a.timer.index >= 0 { // a timer that remained in the heap would keep the request's body in memory until the deadline
		heap.Remove(&p.timers, a.timer.index)
	}
	a.neverRan = a.awaitingIntent || o == dispatcher.ConnectFailed || o == dispatcher.NotSent ||
		o == dispatcher.Rejected && !p.settings.RejectedMayHaveRun
	if a.recordNumber != 0 {
		p.journal.AttemptEnded(a.recordNumber, a.Number, o, a.neverRan)
	}
	x := a.Exchange
	x.inFlight--
	p.siblingUpdateDue = true
	x.lastOutcome = o
	if o == dispatcher.Served {
		x.answer(Response{Kind: Served, Result: result})
		p.cancelUnsent(x)
	}
	p.logUnexpected(p.dispatcher.AttemptEnded(p.now, dispatcher.AttemptResult{ID: x.ID, Attempt: a.Number, Outcome: o,
		ClientAnswered: x.answered, Report: report}))
	p.removeIfDone(x)
}

func (p *Planner) updateWorkers(kind dispatcher.UpdateKind, entries []dispatcher.WorkerInfo) {
	if kind == dispatcher.UpdateFull || kind == dispatcher.UpdateStale {
		clear(p.workers)
	}
	for _, e := range entries {
		if p.workers[e.Name] = e; e.State == dispatcher.Removed {
			delete(p.workers, e.Name)
		}
	}
	p.dispatcher.WorkersUpdated(p.now, kind, entries)
}

// removeIfDone removes an exchange that is answered and has no attempt in flight.
func (p *Planner) removeIfDone(x *Exchange) {
	if x.answered && x.inFlight == 0 && p.exchanges[x.ID] == x {
		delete(p.exchanges, x.ID)
		p.announceEnded(x.ID)
	}
}

// logUnexpected logs an error returned by the Dispatcher for an event of an attempt, unless it
// only says that the request or the attempt has ended in the meantime.
func (p *Planner) logUnexpected(err error) {
	if err != nil && !errors.Is(err, dispatcher.ErrUnknownRequest) && !errors.Is(err, dispatcher.ErrUnknownAttempt) {
		p.log.Error("dispatcher returned an error for an event of an attempt; ignoring the event", "err", err)
	}
}

// runTimers fires the timers that are due.
func (p *Planner) runTimers() {
	p.now = p.clock.Now()
	for len(p.timers) > 0 && p.timers[0].due <= p.now {
		t := heap.Pop(&p.timers).(*timer)
		switch {
		case t.attempt == nil:
			p.dispatcher.TimerFired(p.now, t.token)
		case t.attempt.ended:
		case t.attempt.awaitingIntent:
			p.rejectUnrecordable(t.attempt)
		default:
			p.transport.Cancel(t.attempt)
			p.endAttempt(t.attempt, dispatcher.TimedOut, nil, nil)
		}
	}
}
