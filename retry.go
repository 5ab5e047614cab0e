package sedgevale

// Retries and hedged requests: attempts beyond a request's first, and when they may be made.

import (
	"time"
)

const (
	promptGain   = 1.0 / 32              // EWMA weight of one start
	promptLeast  = 0.35                  // share of attempts that start at once, for another to be worth it
	fullRest     = 30 * time.Second      // after 'full' none is: what was called off may still fill queues
	moveMost     = 2                     // times that a job is called off to try another worker
	lateLeast    = 0.5                   // a late answer that earns less is not waited for
	minGrace     = 20 * time.Millisecond // least wait for a start note before it is late
	maxGrace     = time.Second
	promptWait   = 60 * time.Millisecond // for a start note where a slot should be free
	overtakeGap  = 30 * time.Millisecond // a job sent so much later that starts before has overtaken another
	lateTimes    = 3                     // mean jobs after which a start is not waited for any more
	overdueTimes = 4                     // usual running times after which a job is not counted any more
	silentLeast  = 1.0                   // decayed count of silent connections for running jobs to be copied
	silentDecay  = 0.01                  // of that count, a round
)

// mayTry is rule 2 for sends: it alone decides whether the request may be tried on this worker.
func (d *Dispatcher) mayTry(now time.Duration, r *request, w *worker) bool {
	if r.ended || len(r.attempts) >= d.set.MaxAttempts || r.out > 0 && !d.set.ParallelTries ||
		len(r.attempts) > 0 && !d.withinBudget(now) {
		return false
	}
	c := r.class
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.w == w && !a.over {
			return false
		}
		if a.proven || c.Effect == Safe {
			continue
		}
		same := c.Scope == ScopeAll || c.Scope == ScopeZone && a.w.Zone == w.Zone ||
			c.Scope == ScopeCell && a.w.Cell == w.Cell
		if c.Effect == Unsafe || !same || now >= a.sent+c.Window-min(roundEvery, c.Window/8) {
			return false
		}
	}
	return true
}

// mayHaveRun returns the worker of a keyed request's first attempt that may
// have run, or nil.
func (d *Dispatcher) mayHaveRun(r *request) *worker {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.proven && r.class.Effect == Keyed {
			return a.w
		}
	}
	return nil
}

// again holds a request whose attempts all failed for another one, or ends it.
func (d *Dispatcher) again(now time.Duration, r *request) {
	c := r.class
	uncertain := false
	for i := range r.attempts {
		uncertain = uncertain || !r.attempts[i].proven
	}
	if len(r.attempts) >= d.set.MaxAttempts || uncertain && c.Effect == Unsafe || !d.withinBudget(now) ||
		!d.feasible(now, r, false) {
		d.end(now, r)
		return
	}
	d.enqueue(now, r)
	r.looks = 0
	d.look(now, r)
	d.timer(r.latest-now, tokenHold, r, 0)
}

// copy holds a request for a further attempt beside the one that is out, where it may run twice.
func (d *Dispatcher) copy(now time.Duration, r *request) {
	if !d.set.ParallelTries || r.ended || r.queued || r.stream || r.out != 1 ||
		r.class.Effect == Unsafe || len(r.attempts) >= d.set.MaxAttempts ||
		!d.withinBudget(now) || d.feasibleFor(now, r) <= 0 {
		return
	}
	r.tenant.tokens++ // the same demand comes again
	d.enqueue(now, r)
	d.timer(r.latest-now, tokenHold, r, 0)
}

// mayMove reports whether a job may be called off for another worker: only
// while most attempts start at once, for else another is no better, and not
// while workers are full, which called off jobs may be that still run.
func (d *Dispatcher) mayMove(now time.Duration, r *request) bool {
	return d.set.MayCancel && r.class.Effect != Unsafe && !r.stream && r.out == 1 &&
		len(r.attempts) < min(1+moveMost, d.set.MaxAttempts) && d.prompt > promptLeast &&
		now >= d.moveFrom && d.sparse() && d.withinBudget(now) && d.feasibleFor(now, r) > 0
}

// checkStart acts when no start note has come in good time: the worker has a
// queue, or hangs. Its limit is cut, and until some sign of it comes it gets
// nothing. It guards against queues that no 'full' reveals. The job is called
// off to try another worker where that is allowed, and ended once it must be late.
func (d *Dispatcher) checkStart(now time.Duration, r *request, n int) {
	a := &r.attempts[n]
	if a.over || a.started > 0 {
		return
	}
	a.late = true
	if d.set.MayCancel && r.class.LateShare < lateLeast && !r.stream && d.sparse() {
		last := min(r.deadline, r.aim) - seconds(r.work/r.Slots)
		if now >= last {
			d.end(now, r) // it would only hold up others
			return
		}
		d.timer(last-now, tokenStart, r, n)
	}
	d.cut(a.w, r.Slots)
	if a.w.lastSign < a.sent {
		d.doubt(now, a.w)
	}
	fits := a.w.held <= d.kindRoom[a.w.Kind] && d.ownEyes()
	if fits {
		d.writeOff(r, a) // what goes there next tells whether the worker is full or this connection silent
	}
	if !d.mayMove(now, r) {
		if fits {
			d.copy(now, r)
		}
		return
	}
	a.moved = true
	r.tenant.tokens++ // the same demand comes again
	d.host.Cancel(r.ID, n)
}

// overtaken acts when a worker that starts jobs in order has started one that was sent well after others
// it has not: their connections have fallen silent. Nothing is expected of those any more, and what
// may run twice goes elsewhere as well. It guards against slots that seem taken until the time-outs land.
func (d *Dispatcher) overtaken(now time.Duration, by *attempt) {
	for i := 0; d.set.InOrder && !d.settling && i < len(by.w.out); i++ {
		f := by.w.out[i]
		a := &f.r.attempts[f.n]
		if a.sent+overtakeGap < by.sent && a.started == 0 && !a.off {
			d.silent++
			d.writeOff(f.r, a)
			d.copy(now, f.r)
		}
	}
}

// overdue looks for jobs that have run for far longer than they should without a sign: their slots are
// not counted any more. While connections are known to fall silent, a copy goes out before it is too late.
func (d *Dispatcher) overdue(now time.Duration, w *worker) {
	for i := range w.out {
		f := w.out[i]
		a := &f.r.attempts[f.n]
		if a.off {
			continue
		}
		if a.started == 0 {
			if now-a.sent > seconds(lateTimes*d.meanWork) {
				d.writeOff(f.r, a)
			}
			continue
		}
		usual := seconds(f.r.class.run * max(0.5, w.pace))
		since := now - max(a.started, a.noted)
		if since > overdueTimes*usual+maxGrace/4 {
			d.writeOff(f.r, a)
		}
		if d.silent > silentLeast && since > 2*usual {
			d.copy(now, f.r)
		}
	}
}

// ownEyes reports whether a late start tells of a silent connection: nobody else
// fills the worker's slots, or connections are known to fall silent now.
func (d *Dispatcher) ownEyes() bool { return d.set.Peers == 1 || d.silent > silentLeast }
