package dispatch

import (
	"time"

	"sedgevale"
)

// Send is called by the Dispatcher.
func (p *Planner) Send(id, worker string, timeout time.Duration) {
	x := p.open[id]
	if x == nil {
		return
	}
	a := &Attempt{Exchange: x, Worker: worker, Number: len(x.attempts), Deadline: x.deadline, Planner: p,
		Single: x.Class.Effect == sedgevale.Unsafe}
	if timeout > 0 {
		a.Deadline = min(a.Deadline, p.now+timeout)
	}
	a.sent, a.expiry = p.now, x.expiry()
	p.tally.sent(a, p.now)
	x.attempts = append(x.attempts, a)
	x.out++
	p.changed = true
	a.timer = &timer{at: a.Deadline, attempt: a}
	p.arm(a.timer)
	p.carry(a)
}

// Reject is called by the Dispatcher.
func (p *Planner) Reject(id string, after time.Duration) {
	if x := p.open[id]; x != nil {
		p.tally.refuse()
		x.answer(Answer{Kind: Refused, After: after, Reason: "cannot be in time"})
		p.withdraw(x)
		p.forget(x)
	}
}

// Fail is called by the Dispatcher.
func (p *Planner) Fail(id string) {
	if x := p.open[id]; x != nil {
		p.tally.fail()
		x.answer(Answer{Kind: Failed, Reason: x.reason(), Ran: x.mayHaveRun()})
		p.withdraw(x)
		p.forget(x)
	}
}

// withdraw sees to it that nothing more begins for an exchange that is answered, or whose
// client has gone, also where the Dispatcher may call nothing off: what is being dialled, or
// waits to be recorded.
func (p *Planner) withdraw(x *Exchange) {
	for _, a := range x.attempts {
		switch {
		case a.over:
		case a.held:
			p.Ended(a, sedgevale.NotSent, nil, nil)
		default:
			p.carrier.Withdraw(a)
		}
	}
}

// Cancel is called by the Dispatcher.
func (p *Planner) Cancel(id string, attempt int) {
	x := p.open[id]
	if x == nil || attempt >= len(x.attempts) || x.attempts[attempt].over {
		return
	}
	p.tally.cancel()
	if a := x.attempts[attempt]; a.held { // the carrier does not have it
		p.Ended(a, sedgevale.NotSent, nil, nil)
	} else {
		p.carrier.Cancel(a)
	}
}

// SetTimer is called by the Dispatcher.
func (p *Planner) SetTimer(after time.Duration, token uint64) {
	p.arm(&timer{at: p.now + after, token: token})
}

// Probe is called by the Dispatcher.
func (p *Planner) Probe(worker string) { p.carrier.Probe(worker, p) }

// CloseIdleConnections is called by the Dispatcher.
func (p *Planner) CloseIdleConnections(worker string) { p.carrier.CloseIdle(worker) }

// WatchWorkers is called by the Dispatcher.
func (p *Planner) WatchWorkers() { p.watch() }

// Log is called by the Dispatcher.
func (p *Planner) Log(text string) { p.log.Warn(text) }

// windowMargin is kept of the window in which workers drop repeats, for the way to them.
const windowMargin = 10 * time.Millisecond

// expiry returns until when a further attempt may begin, or 0: until the end of the window
// of the first that may have run, where workers drop repeats at all.
func (x *Exchange) expiry() time.Duration {
	if x.Class.Effect != sedgevale.Keyed {
		return 0
	}
	for _, a := range x.attempts {
		if !a.unseen {
			return max(1, a.sent+x.Class.Window-windowMargin)
		}
	}
	return 0
}

func (x *Exchange) reason() string {
	if x.out > 0 {
		return "no answer in time"
	}
	switch x.last {
	case sedgevale.Errored:
		return "the worker failed"
	case sedgevale.Lost:
		return "the connection to the worker broke"
	case sedgevale.TimedOut:
		return "no answer in time"
	}
	return "not served"
}
