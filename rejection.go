package sedgevale

// Early rejection: which requests cannot be in time, and how a request ends unserved.

import (
	"time"
)

const (
	shortPart = 0.4 // of the mean: a job may be so short, and its aim so near
	holdPart  = 0.4 // a job is held for at most this part of its slack: means hide a spread
)

// feasible reports whether the request can be in time, on arrival behind the
// work of its tenant that has less slack.
func (d *Dispatcher) feasible(now time.Duration, r *request, behind bool) bool {
	wait := 0.0
	if behind {
		for c, work := range r.tenant.backlog {
			if d.kept[c].slack() <= r.class.slack() {
				wait += work
			}
		}
		wait /= max(minSigma, min(r.tenant.sigma, max(1, d.room))*d.poolPart(r))
	}
	// Guards against refusing a class for good on a mean that no job renews.
	if wait == 0 && r.class.inflight == 0 {
		return now < min(r.deadline, r.aim)
	}
	return wait <= holdPart*d.feasibleFor(now, r).Seconds()
}

// feasibleFor returns how long the request can still wait to be sent: its own
// running time and the class's mean wait at workers come off the time left.
func (d *Dispatcher) feasibleFor(now time.Duration, r *request) time.Duration {
	c := r.class
	return seconds(d.slackAt(now, r, d.quick) - max(0, c.complete-c.run))
}

// slackAt returns how long the request can still wait if a worker of that pace
// runs it. Its own time is not known where there is no hint; it may be short, and
// then its aim is near too. For a further attempt the mean is good enough.
func (d *Dispatcher) slackAt(now time.Duration, r *request, pace float64) float64 {
	part := shortPart
	if r.Hint > 0 || len(r.attempts) > 0 {
		part = 1
	}
	return (min(r.deadline, r.aim) - now).Seconds() - (1-part)*r.class.Stretch*r.own - part*pace*r.work/r.Slots
}

// mayRefuse is rule 2 for refusals.
func (d *Dispatcher) mayRefuse(r *request) bool {
	c := r.class
	if c.Effect == Safe || c.Effect == Keyed && c.Scope == ScopeAll {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].proven {
			return false
		}
	}
	return true
}

// end gives the request its one final answer: refused where that is allowed.
func (d *Dispatcher) end(now time.Duration, r *request) {
	if r.ended {
		return
	}
	if d.mayRefuse(r) {
		d.host.Refuse(r.ID, d.comeBack(now, r))
	} else {
		d.host.Fail(r.ID)
	}
	d.close(r)
}

// comeBack is the advice to a refused client: soon enough for its job to be in time yet, or after
// about a job, when slots have changed hands; spread, so that not all return at once.
func (d *Dispatcher) comeBack(now time.Duration, r *request) time.Duration {
	after := holdPart * d.feasibleFor(now, r).Seconds()
	if after <= 0 {
		after = d.meanWork
	}
	return min(d.set.MaxRetryAfter, seconds(after*d.rng.Float64()))
}
