package upstream

import (
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/http1"
)

// probeTimeout is the timeout of a health check, including the dial.
const probeTimeout = time.Second

// call is an attempt or a health check of a worker, from Send or Probe until its outcome is reported.
type call struct {
	attempt *dispatchdriver.Attempt // nil for a health check
	planner *dispatchdriver.Planner // receives the result of a health check; nil for an attempt
	worker  *worker
	conn    *conn // nil until the request is sent
	done    bool
}

// Send starts an attempt. The outcome is reported to the attempt's planner.
func (p *Pool) Send(a *dispatchdriver.Attempt) {
	p.loop.Do(func() {
		cl := &call{attempt: a, worker: p.workers[a.Worker]}
		p.calls[a] = cl
		p.startCall(cl)
	})
}

// Cancel ends an attempt and closes its connection.
func (p *Pool) Cancel(a *dispatchdriver.Attempt) {
	p.loop.Do(func() {
		if cl := p.calls[a]; cl != nil {
			p.finishCall(cl, dispatcher.Cancelled, nil, nil)
		}
	})
}

// CancelUnsent ends an attempt if no part of its request has been sent; otherwise it does nothing.
func (p *Pool) CancelUnsent(a *dispatchdriver.Attempt) {
	p.loop.Do(func() {
		if cl := p.calls[a]; cl != nil && cl.conn == nil {
			p.finishCall(cl, dispatcher.NotSent, nil, nil)
		}
	})
}

// Probe sends a health check, which requests the load of a worker, and reports the result to planner.
func (p *Pool) Probe(id string, planner *dispatchdriver.Planner) {
	p.loop.Do(func() {
		cl := &call{planner: planner, worker: p.workers[id]}
		if cl.worker == nil {
			planner.ProbeResult(id, nil)
			return
		}
		p.startCall(cl)
		time.AfterFunc(probeTimeout, func() {
			p.loop.Do(func() { p.finishCall(cl, dispatcher.TimedOut, nil, nil) })
		})
	})
}

// startCall sends a call over an idle connection, or dials a new one if there is none.
func (p *Pool) startCall(cl *call) {
	w := cl.worker
	if w == nil || !p.acceptsAttempts(w) {
		p.finishCall(cl, dispatcher.NotSent, nil, nil)
		return
	}
	// A request that is not idempotent has a single attempt. While reused connections break, it is sent over a new one.
	for n := len(w.idle); n > 0 && (cl.attempt == nil || !cl.attempt.AtMostOnce || !p.reusedConnsBreak()); n = len(w.idle) {
		c := w.idle[n-1]
		w.idle = w.idle[:n-1]
		if c.isReusable() {
			c.send(cl)
			return
		}
		p.closeConn(c)
	}
	// The descriptor is acquired before the dial: while workers do not respond, most descriptors belong to pending dials.
	if !p.opt.Descriptors.Acquire() {
		p.opt.Descriptors.Release()
		p.finishCall(cl, dispatcher.NotSent, nil, nil)
		return
	}
	w.dialing[cl] = struct{}{}
	c := &conn{pool: p, call: cl, parser: http1.NewParser(http1.Response)}
	p.loop.Dial(w.addr, p.opt.DialTimeout, c, func(error) {
		p.opt.Descriptors.Release()
		p.finishCall(cl, dispatcher.ConnectFailed, nil, nil)
	})
}

// finishCall ends a call and reports its outcome. It closes the connection unless the outcome is part of a response, after
// which the connection can be reused.
func (p *Pool) finishCall(cl *call, o dispatcher.Outcome, result []byte, report *dispatcher.LoadReport) {
	if cl.done {
		return
	}
	cl.done = true
	if cl.worker != nil {
		delete(cl.worker.dialing, cl)
	}
	if c := cl.conn; c != nil && !c.closed && o != dispatcher.Served && !c.outcomeKnown {
		p.closeConn(c)
	}
	if cl.attempt == nil {
		cl.planner.ProbeResult(cl.worker.id, report)
		return
	}
	delete(p.calls, cl.attempt)
	cl.attempt.Planner.AttemptEnded(cl.attempt, o, result, report)
}
