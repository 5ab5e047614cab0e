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

	"sedgevale/dispatcher"
	"sedgevale/internal/unbounded"
)

// Planner owns one Dispatcher and is its Host. All events come in through its queue
// and are read by one goroutine, that of Run, which also keeps the timers. Exported
// methods may be called from any goroutine unless they say otherwise; those of the
// Host come from Run.
type Planner struct {
	clock    Clock
	carrier  Carrier
	watch    func()
	log      *slog.Logger
	settings dispatcher.Settings
	seed     uint64

	dispatcher *dispatcher.Dispatcher
	queue      *unbounded.Queue[event]
	commands   *unbounded.Queue[func()] // of operators: run before each event
	wake       chan struct{}            // holds a token while something waits in queue or commands
	timers     timers
	lastTimer  uint64                           // serial number
	now        time.Duration                    // of the event that is handled
	exchanges  map[string]*Exchange             // by ID: not answered, or with attempts in flight
	workers    map[string]dispatcher.WorkerInfo // the list, for a fresh Dispatcher
	cordoned   map[string]bool                  // workers by name, for the same
	journal    Journal                          // nil: none
	counters   counters                         // counts for a log line, with -tags tally
	sharing
	peerSignals
}

// eventKind says what an event is.
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
	kind     eventKind
	exchange *Exchange
	attempt  *Attempt
	outcome  dispatcher.Outcome
	report   *dispatcher.LoadReport
	result   []byte
	progress float64
	ok       bool
	worker   string
	listKind dispatcher.UpdateKind
	entries  []dispatcher.WorkerInfo
	call     func()
}

// NewPlanner returns a Planner. Watch is called when the Dispatcher asks for the list
// of workers. The error is that of the settings.
func NewPlanner(set dispatcher.Settings, seed uint64, clock Clock, carrier Carrier, watch func(),
	log *slog.Logger) (*Planner, error) {
	p := &Planner{
		clock:     clock,
		carrier:   carrier,
		watch:     watch,
		log:       log,
		settings:  set,
		seed:      seed,
		wake:      make(chan struct{}, 1),
		exchanges: map[string]*Exchange{},
		workers:   map[string]dispatcher.WorkerInfo{},
		cordoned:  map[string]bool{},
		sharing:   sharing{siblings: map[int]*sibling{}},
	}
	p.queue, p.commands = unbounded.New[event](p.wakeUp), unbounded.New[func()](p.wakeUp)
	var err error
	p.dispatcher, err = dispatcher.New(set, seed, p)
	return p, err
}

// wakeUp has Run look at its queues.
func (p *Planner) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// SubmitRequest submits an Exchange, which belongs to the Planner from here on.
func (p *Planner) SubmitRequest(x *Exchange) { p.queue.Put(event{kind: eventRequest, exchange: x}) }

// ClientDisconnected reports that the client has disconnected: nobody waits for an answer any more.
func (p *Planner) ClientDisconnected(x *Exchange) {
	p.queue.Put(event{kind: eventClientDisconnected, exchange: x})
}

// AttemptStarted reports that the worker has begun the attempt.
func (p *Planner) AttemptStarted(a *Attempt) { p.queue.Put(event{kind: eventStarted, attempt: a}) }

// AttemptProgressed reports the share of the job that is done, 0 to 1.
func (p *Planner) AttemptProgressed(a *Attempt, share float64) {
	p.queue.Put(event{kind: eventProgress, attempt: a, progress: share})
}

// AttemptEnded reports how an attempt ended. Result is the worker's answer if it was served.
func (p *Planner) AttemptEnded(a *Attempt, o dispatcher.Outcome, result []byte, report *dispatcher.LoadReport) {
	p.queue.Put(event{kind: eventEnded, attempt: a, outcome: o, result: result, report: report})
}

// ProbeResult brings the answer to a probe, or nil where none came in time.
func (p *Planner) ProbeResult(worker string, report *dispatcher.LoadReport) {
	p.queue.Put(event{kind: eventProbeResult, worker: worker, report: report})
}

// WorkersUpdated brings an update of the list of workers. The Planner keeps the entries.
func (p *Planner) WorkersUpdated(list dispatcher.UpdateKind, entries []dispatcher.WorkerInfo) {
	p.queue.Put(event{kind: eventWorkersUpdated, listKind: list, entries: entries})
}

// Cordon cordons a worker, or uncordons it if cordon is false, before any event that waits
// to be read. Done is called with whether the worker is known, from Run.
func (p *Planner) Cordon(worker string, cordon bool, done func(known bool)) {
	p.putCommand(func() {
		known := p.dispatcher.Cordon(p.now, worker, cordon)
		if delete(p.cordoned, worker); known && cordon {
			p.cordoned[worker] = true
		}
		done(known)
	})
}

// RestoreCordon cordons a worker as it was in an earlier run, also one that no list has named
// yet.
func (p *Planner) RestoreCordon(worker string) {
	p.putCommand(func() {
		p.cordoned[worker] = true
		p.dispatcher.RestoreCordon(worker)
	})
}

// Ping calls f from Run, which shows that it is alive.
func (p *Planner) Ping(f func()) { p.putCommand(f) }

func (p *Planner) putCommand(f func()) { p.commands.Put(f) }

// runCommands runs the operators' commands.
func (p *Planner) runCommands() {
	p.now = p.clock.Now()
	for _, f := range p.commands.TakeAll() {
		p.recoverPanics(f)
	}
}

// CountOpen calls f with the number of exchanges that are not over, once all that was
// submitted before has been read.
func (p *Planner) CountOpen(f func(int)) {
	p.enqueueCall(func() { f(len(p.exchanges)) })
}

// FailOpen answers all open exchanges as failed and calls f with the number of those.
func (p *Planner) FailOpen(f func(int)) {
	p.enqueueCall(func() {
		n := 0
		for _, x := range p.exchanges {
			if !x.answered {
				n++
				x.answer(Answer{Kind: Failed, Reason: "the scheduler ends", MayHaveRun: x.mayHaveRun()})
			}
		}
		f(n)
	})
}

// Run handles events until the context ends.
func (p *Planner) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		items := p.queue.TakeAll()
		p.runCommands()
		p.readPeerLoad()
		for i := range items {
			if p.commands.HasItems() {
				p.runCommands()
			}
			p.recoverPanics(func() { p.handleEvent(&items[i]) })
		}
		p.recoverPanics(p.runTimers)
		p.publishLoadChanges()
		p.counters.out(p.log, p.now)
		wait := p.notifySiblings()
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

// recoverPanics calls f and keeps the program up if it panics: what is open fails, and
// a fresh Dispatcher begins with the list as it stands.
func (p *Planner) recoverPanics(f func()) {
	defer func() {
		fault := recover()
		if fault == nil {
			return
		}
		p.log.Error("decision module panicked, restarting it", "panic", fmt.Sprint(fault),
			"open", len(p.exchanges), "stack", string(debug.Stack()))
		for _, x := range p.exchanges {
			for _, a := range x.attempts {
				if !a.ended {
					a.ended, a.neverRan = true, a.awaitsIntent
					p.carrier.Cancel(a)
					if a.recordNumber != 0 {
						p.journal.AttemptEnded(a.recordNumber, a.Number, dispatcher.Cancelled, a.neverRan)
					}
				}
			}
			x.answer(Answer{Kind: Failed, Reason: "internal error", MayHaveRun: x.mayHaveRun()})
		}
		clear(p.exchanges)
		p.timers = nil
		p.seed++
		d, err := dispatcher.New(p.settings, p.seed, p)
		if err != nil {
			p.log.Error("decision module did not start", "err", err)
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
		p.clientDisconnected(e.exchange)
	case eventIntentRecorded, eventSent, eventStarted, eventProgress:
		if !e.attempt.ended {
			p.handleAttemptEvent(e, e.attempt)
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

// handleAttemptEvent handles an event of an attempt that has not ended.
func (p *Planner) handleAttemptEvent(e *event, a *Attempt) {
	switch e.kind {
	case eventIntentRecorded:
		p.intentRecorded(a, e.ok)
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
		p.loadChanged = true
		p.logUnexpected(p.dispatcher.AttemptStarted(p.now, a.ID, a.Number))
	case eventProgress:
		if !a.answered {
			a.client.Progress(e.progress)
		}
		p.logUnexpected(p.dispatcher.AttemptProgressed(p.now, a.ID, a.Number, e.progress))
	}
}

func (p *Planner) clientDisconnected(x *Exchange) {
	if x.answered {
		return
	}
	x.answered = true
	if x.journal != nil {
		x.journal.ClientDisconnected(x.recordNumber)
	}
	p.dispatcher.ClientDisconnected(p.now, x.ID)
	p.withdrawUnsent(x)
	p.forgetIfDone(x)
}

// submit passes a request on to the Dispatcher, or answers it where that is not
// possible.
func (p *Planner) submit(x *Exchange) {
	left := x.deadline - p.now
	if p.exchanges[x.ID] != nil || p.openAtSibling(x.ID) {
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
		x.answer(Answer{Kind: Rejected, RetryAfter: min(unrecordedRetryAfter, p.settings.MaxRetryAfter), Reason: "it cannot be recorded"})
		return
	}
	p.exchanges[x.ID] = x
	p.announceOpened(x.ID)
	err := p.dispatcher.SubmitRequest(p.now, dispatcher.Request{ID: x.ID, Class: class, Tenant: tenant, AffinityKey: x.AffinityKey,
		TimeLeft: left, RuntimeHint: x.RuntimeHint, Slots: x.Slots, ClientRetry: x.ClientRetry})
	if err != nil {
		p.log.Error("decision module rejected a request", "err", err)
		x.answer(Answer{Kind: Failed, Reason: "internal error"})
	}
	p.forgetIfDone(x)
}

// classOf returns the index of a job's class in the settings, or -1. While the job
// was on its way here the settings may have changed, and its class with them.
func (p *Planner) classOf(x *Exchange) int {
	return slices.IndexFunc(p.settings.Classes, func(c dispatcher.Class) bool { return x.Class != nil && c.Name == x.Class.Name })
}

// tenantOf returns the Dispatcher's index of a job's tenant, or -1. The index that the
// job brings is of the settings by which it was parsed; a job that was taken before
// its tenant was removed is still served.
func (p *Planner) tenantOf(x *Exchange) int {
	if x.Tenant >= 0 && x.Tenant < len(p.settings.Tenants) && p.settings.Tenants[x.Tenant].Name == x.TenantName ||
		x.Tenant < 0 && len(p.settings.Tenants) == 0 {
		return x.Tenant
	}
	return p.dispatcher.TenantIndex(x.TenantName)
}

// UpdateSettings takes over new settings, which must not be changed any more. Jobs in flight
// keep their class.
func (p *Planner) UpdateSettings(set dispatcher.Settings) {
	p.enqueueCall(func() {
		if err := p.dispatcher.UpdateSettings(set); err != nil {
			p.log.Error("decision module rejected new settings", "err", err)
			return
		}
		set.Zone, set.Dispatchers, set.Weights, set.WatchOnDemand = p.settings.Zone, p.settings.Dispatchers, p.settings.Weights, p.settings.WatchOnDemand
		p.settings = set
	})
}

func (p *Planner) endAttempt(a *Attempt, o dispatcher.Outcome, result []byte, report *dispatcher.LoadReport) {
	if a.ended {
		return
	}
	a.ended = true
	p.counters.ended(o)
	if a.timer.index >= 0 { // it would keep the request's body in memory until the deadline
		heap.Remove(&p.timers, a.timer.index)
	}
	a.neverRan = a.awaitsIntent || o == dispatcher.ConnectFailed || o == dispatcher.NotSent ||
		o == dispatcher.Rejected && !p.settings.RejectedMayHaveRun
	if a.recordNumber != 0 {
		p.journal.AttemptEnded(a.recordNumber, a.Number, o, a.neverRan)
	}
	x := a.Exchange
	x.inFlight--
	p.loadChanged = true
	x.lastOutcome = o
	if o == dispatcher.Served {
		x.answer(Answer{Kind: Served, Result: result})
		p.withdrawUnsent(x)
	}
	p.logUnexpected(p.dispatcher.AttemptEnded(p.now, dispatcher.AttemptResult{ID: x.ID, Attempt: a.Number, Outcome: o,
		Answered: x.answered, Report: report}))
	p.forgetIfDone(x)
}

func (p *Planner) updateWorkers(list dispatcher.UpdateKind, entries []dispatcher.WorkerInfo) {
	if list == dispatcher.UpdateFull || list == dispatcher.UpdateStale {
		clear(p.workers)
	}
	for _, e := range entries {
		if p.workers[e.Worker] = e; e.State == dispatcher.Removed {
			delete(p.workers, e.Worker)
		}
	}
	p.dispatcher.WorkersUpdated(p.now, list, entries)
}

// forgetIfDone forgets an exchange that is answered and has no attempt in flight.
func (p *Planner) forgetIfDone(x *Exchange) {
	if x.answered && x.inFlight == 0 && p.exchanges[x.ID] == x {
		delete(p.exchanges, x.ID)
		p.announceEnded(x.ID)
	}
}

// logUnexpected logs an error of the Dispatcher, unless it is about a request or an
// attempt that has ended meanwhile.
func (p *Planner) logUnexpected(err error) {
	if err != nil && !errors.Is(err, dispatcher.ErrUnknownRequest) && !errors.Is(err, dispatcher.ErrUnknownAttempt) {
		p.log.Error("decision module rejected an event", "err", err)
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
			p.endAttempt(t.attempt, dispatcher.TimedOut, nil, nil)
		}
	}
}
