package upstream

import (
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/http1"
)

// probeTimeout bounds a health check, including the time to connect.
const probeTimeout = time.Second

// call is an attempt, or a health check of a worker, from Send or Probe to its outcome.
type call struct {
	attempt *dispatch.Attempt // nil for a health check
	planner *dispatch.Planner // of the health check
	worker  *worker
	conn    *conn // nil until the request is sent
	done    bool
}

// Send starts an attempt. Its outcome is reported to its planner.
func (p *Pool) Send(a *dispatch.Attempt) {
	p.loop.Do(func() {
		cl := &call{attempt: a, worker: p.workers[a.Worker]}
		p.calls[a] = cl
		p.startCall(cl)
	})
}

// Cancel aborts an attempt by closing its connection.
func (p *Pool) Cancel(a *dispatch.Attempt) {
	p.loop.Do(func() {
		if cl := p.calls[a]; cl != nil {
			p.finishCall(cl, dispatcher.Cancelled, nil, nil)
		}
	})
}

// CancelUnsent ends an attempt unless its request has been sent, at least in part.
func (p *Pool) CancelUnsent(a *dispatch.Attempt) {
	p.loop.Do(func() {
		if cl := p.calls[a]; cl != nil && cl.conn == nil {
			p.finishCall(cl, dispatcher.NotSent, nil, nil)
		}
	})
}

// Probe sends a health check, which asks a worker for its load, and reports the answer to planner.
func (p *Pool) Probe(id string, planner *dispatch.Planner) {
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

// startCall sends a call over an idle connection, or begins to dial a new one.
func (p *Pool) startCall(cl *call) {
	w := cl.worker
	if w == nil || !p.acceptsAttempts(w) {
		p.finishCall(cl, dispatcher.NotSent, nil, nil)
		return
	}
	// A request that is not idempotent has a single attempt. It is not risked on a reused connection while those break.
	for n := len(w.idle); n > 0 && (cl.attempt == nil || !cl.attempt.AtMostOnce || !p.reusedConnsBreak()); n = len(w.idle) {
		c := w.idle[n-1]
		w.idle = w.idle[:n-1]
		if c.isReusable() {
			c.send(cl)
			return
		}
		p.closeConn(c)
	}
	// The descriptor counts from the dial on: while workers do not respond, pending dials hold most of them.
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

// finishCall ends a call and reports its outcome. The connection is closed unless the answer is complete.
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
