package sedgevale

// The tenants' queues, and the release from them by deficit round robin.

import (
	"container/heap"
	"time"
)

const (
	maxReleaseTurns     = 64 // turns of each tenant in one release
	maxQueueScan        = 32 // queued requests of a tenant scanned in one turn
	maxFailedPlacements = 4  // of those, requests tried in a row without a send
)

// queue is a heap of a tenant's pending requests by slack (the paper's section
// 4.2): the one that must be sent soonest comes first. Requests that are not
// queued any more stay until they are popped.
type queue []*request

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool { return q[i].sendBy < q[j].sendBy }

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(r any) { *q = append(*q, r.(*request)) }

func (q *queue) Pop() any {
	old := *q
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return r
}

// enqueue queues the request and sets until when it must be sent.
func (d *Dispatcher) enqueue(now time.Duration, r *request) {
	r.sendBy = now + seconds(maxSlackFraction*d.timeToSend(now, r).Seconds())
	d.pushPending(r)
}

// pushPending adds the request to its tenant's queue.
func (d *Dispatcher) pushPending(r *request) {
	r.queued = true
	r.tenant.pendingWork[r.class.index] += r.work
	r.tenant.pendingSlots += r.Slots
	d.pendingRequests++
	heap.Push(&r.tenant.queue, r)
}

// removePending takes the request out of its tenant's queue.
func (d *Dispatcher) removePending(r *request) {
	t := r.tenant
	r.queued = false
	t.pendingWork[r.class.index] = max(0, t.pendingWork[r.class.index]-r.work)
	t.pendingSlots -= r.Slots
	d.pendingRequests--
	for len(t.queue) > 0 && !t.queue[0].queued {
		heap.Pop(&t.queue)
	}
}

// releasePending sends queued requests by deficit round robin while workers have
// capacity.
func (d *Dispatcher) releasePending(now time.Duration) {
	if d.catchingUp {
		return
	}
	idleTurns, turnsLeft := 0, maxReleaseTurns*len(d.tenants)
	resume := -1 // index of the tenant that the next release begins with; -1: the next in turn
	for _, p := range d.pools {
		p.jobBlocked = false
	}
	for ; d.pendingRequests > 0 && idleTurns < len(d.tenants) && turnsLeft > 0; idleTurns, turnsLeft = idleTurns+1, turnsLeft-1 {
		t := d.tenants[d.turn]
		if len(t.queue) == 0 {
			t.deficit = 0
		} else {
			deficitBefore := t.deficit
			if !d.turnCredited {
				t.deficit = min(t.deficit, max(4*d.meanWork, t.queue[0].work)) +
					d.meanWork*t.share*float64(len(d.tenants))
				d.turnCredited = true
			}
			sent := d.serveTenant(now, t)
			if sent {
				idleTurns = -1
			}
			// Capacity comes slot by slot. If each turn ended with one request, all
			// tenants would get the same, so a tenant with credit left resumes when
			// there is capacity again.
			if t.blockedByCapacity && resume < 0 {
				resume = d.turn
			} else if t.blockedByCapacity && !sent {
				t.deficit = deficitBefore
			}
		}
		d.turn, d.turnCredited = (d.turn+1)%len(d.tenants), false
	}
	if resume >= 0 {
		d.turn, d.turnCredited = resume, true
	}
}

// serveTenant sends what the tenant's credit and limit allow, and reports whether
// another turn may send more.
func (d *Dispatcher) serveTenant(now time.Duration, t *tenant) (sent bool) {
	t.blockedByCapacity = false
	for i, tried := 0, 0; i < min(len(t.queue), maxQueueScan) && tried < maxFailedPlacements; i++ {
		r := t.queue[i]
		p := r.class.pool
		withinShare := d.withinShare(now, t)
		if !r.queued || p.noCapacity && !withinShare || r.awaitsProbes(now) {
			continue
		}
		tried++
		if r.work > t.deficit {
			if tried > 1 {
				continue
			}
			t.blockedByCapacity = p.jobBlocked
			return sent || !p.jobBlocked // another turn brings the credit
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

// placementFailed notes that no worker has capacity for the request, and ends it if
// nothing more will be known in time.
func (d *Dispatcher) placementFailed(now time.Duration, r *request) {
	p := r.class.pool
	d.capacityShort, r.tenant.blockedByCapacity, p.jobBlocked = true, true, true
	if r.probeRounds >= maxProbeRounds && r.inFlight == 0 {
		d.endUnserved(now, r)
	} else if r.AffinityKey == "" && len(r.attempts) == 0 {
		p.noCapacity = true
	}
}

// send sends the request's next attempt to the worker and waits for its start.
func (d *Dispatcher) send(now time.Duration, r *request, w *worker) {
	if len(r.attempts) > 0 {
		d.retryCounter.add(now)
	}
	n := d.startAttempt(now, r, w)
	if w.warmAt > now {
		w.slowStartCredit -= d.expectedWorkOf(r)
	}
	if w.unhealthyUntil > 0 {
		w.lastTrial = now
	}
	d.host.Send(r.ID, w.Worker, 0)
	if d.settings.StartNotified {
		wait := (min(r.deadline, r.targetAt) - now - seconds(r.class.meanRuntime)) / 2
		if w.inFlight <= d.maxFreeByKind[w.Kind] && d.settings.FIFOWorkers && d.overdueStartImpliesSilentConn() {
			wait = min(wait, promptStartTimeout) // a slot should be free
		}
		d.setTimer(min(max(wait, minStartTimeout), maxStartTimeout), tokenStartDue, r, n)
	}
}
