package dispatcher

import "time"

// This file releases requests from the tenants' queues by deficit round robin.

const (
	maxReleaseTurns     = 64 // maximum turns per tenant in one release
	maxQueueScan        = 32 // maximum queued requests of a tenant scanned in one turn
	maxFailedPlacements = 4  // maximum consecutive requests of a scan that are tried without a send
)

// releasePending sends queued requests by deficit round robin while workers have
// capacity.
func (d *Dispatcher) releasePending(now time.Duration) {
	if d.rounds.catchingUp {
		return
	}
	idleTurns, remainingTurns := 0, maxReleaseTurns*len(d.tenants.all)
	resume := -1 // index of the tenant with which the next release begins; -1 means the next in turn
	for _, p := range d.workers.pools {
		p.releaseBlocked = false
	}
	for ; d.requests.pending > 0 && idleTurns < len(d.tenants.all) && remainingTurns > 0; idleTurns, remainingTurns = idleTurns+1, remainingTurns-1 {
		t := d.tenants.all[d.tenants.turn]
		if len(t.queue) == 0 {
			t.deficit = 0
		} else {
			deficitBefore := t.deficit
			if !d.tenants.turnCredited {
				t.deficit = min(t.deficit, max(4*d.estimates.meanWork, t.queue[0].work)) +
					d.estimates.meanWork*t.share*float64(len(d.tenants.all))
				d.tenants.turnCredited = true
			}
			sent := d.serveTenant(now, t)
			if sent {
				idleTurns = -1
			}
			// Slots become free one at a time. If each turn ended after one request, all
			// tenants would get equal service regardless of their shares, so a tenant with
			// remaining credit resumes its turn when capacity becomes free.
			if t.blockedByCapacity && resume < 0 {
				resume = d.tenants.turn
			} else if t.blockedByCapacity && !sent {
				t.deficit = deficitBefore
			}
		}
		d.tenants.nextTurn()
	}
	if resume >= 0 {
		d.tenants.turn, d.tenants.turnCredited = resume, true
	}
}

// serveTenant sends the queued requests that the tenant's credit and limit allow. It
// reports whether it sent any or lacked only credit, which further turns add.
func (d *Dispatcher) serveTenant(now time.Duration, t *tenant) (sent bool) {
	t.blockedByCapacity = false
	for i, tried := 0, 0; i < min(len(t.queue), maxQueueScan) && tried < maxFailedPlacements; i++ {
		r := t.queue[i]
		p := r.class.pool
		withinShare := d.tenants.withinShare(now, t, d.capacity.slots)
		if !r.queued || p.noCapacity && !withinShare || r.awaitsProbes(now) {
			continue
		}
		tried++
		if r.work > t.deficit {
			if tried > 1 {
				continue
			}
			t.blockedByCapacity = p.releaseBlocked
			return sent || !p.releaseBlocked // further turns add the missing credit
		}
		if !withinShare && t.inFlight > 0 && t.inFlight+r.Slots > t.limit {
			return sent
		}
		w := d.pickWorker(now, r, withinShare)
		if w == nil {
			if r.probesPending == 0 {
				d.placementFailed(now, r)
			}
			continue
		}
		t.deficit -= r.work
		t.tokens--
		d.removePending(r)
		d.send(now, r, w)
		sent, t.blockedByCapacity, i, tried = true, false, -1, 0
	}
	return sent
}

// placementFailed records that no worker has capacity for the request, and ends the
// request if all of its probe rounds are used up and no attempt is in flight.
func (d *Dispatcher) placementFailed(now time.Duration, r *request) {
	p := r.class.pool
	d.capacity.exhausted, r.tenant.blockedByCapacity, p.releaseBlocked = true, true, true
	if r.probeRounds >= maxProbeRounds && r.inFlight == 0 {
		d.rejectOrFail(now, r)
	} else if r.AffinityKey == "" && len(r.attempts) == 0 {
		p.noCapacity = true
	}
}

// send sends the request's next attempt to the worker and sets the timer for its start
// notice.
func (d *Dispatcher) send(now time.Duration, r *request, w *worker) {
	if len(r.attempts) > 0 {
		d.budget.retries.add(now)
	}
	n := d.startAttempt(now, r, w)
	if w.warmAt > now {
		w.slowStartCredit -= d.estimates.expectedOf(r)
	}
	if w.unhealthyUntil > 0 {
		w.lastTrial = now
	}
	d.host.Send(r.ID, w.Name, 0)
	if d.settings.StartNotified {
		wait := (min(r.deadline, r.targetAt) - now - seconds(r.class.meanRuntime)) / 2
		if w.inFlight <= d.workers.maxFreeByKind[w.Kind] && d.settings.FIFOWorkers && d.overdueStartImpliesUnresponsiveConn() {
			wait = min(wait, promptStartTimeout) // a slot is expected to be free
		}
		d.setTimer(min(max(wait, minStartTimeout), maxStartTimeout), tokenStartDue, r, n)
	}
}
