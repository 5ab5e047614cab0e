package sedgevale

// The tenants' queues, and the release from them by deficit round robin.

import (
	"container/heap"
	"time"
)

const (
	maxReleaseTurns   = 64 // rounds of all tenants in one release
	maxQueueScan      = 32 // held jobs of a tenant passed by in the search of those
	maxPlacementTries = 4  // held jobs of a tenant looked at when the first has no home
)

// queue is a heap of a tenant's held jobs by slack (the paper's section 4.2):
// the one that must be sent soonest comes first. Ended ones stay until popped.
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

func (d *Dispatcher) enqueue(now time.Duration, r *request) {
	r.sendBy = now + seconds(maxSlackPart*d.timeToSend(now, r).Seconds())
	d.pushPending(r)
}

func (d *Dispatcher) pushPending(r *request) {
	r.queued = true
	r.tenant.pendingWork[r.class.index] += r.work
	r.tenant.pendingSlots += r.Slots
	d.pendingRequests++
	heap.Push(&r.tenant.queue, r)
}

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

// releasePending sends held jobs by deficit round robin while there is room.
func (d *Dispatcher) releasePending(now time.Duration) {
	if d.catchingUp {
		return
	}
	idle, most, resume := 0, maxReleaseTurns*len(d.tenants), -1
	for _, p := range d.pools {
		p.jobBlocked = false
	}
	for ; d.pendingRequests > 0 && idle < len(d.tenants) && most > 0; idle, most = idle+1, most-1 {
		t := d.tenants[d.turn]
		if len(t.queue) == 0 {
			t.deficit = 0
		} else {
			had := t.deficit
			if !d.turnCredited {
				t.deficit = min(t.deficit, max(4*d.meanWork, t.queue[0].work)) +
					d.meanWork*t.share*float64(len(d.tenants))
				d.turnCredited = true
			}
			sent := d.serveTenant(now, t)
			if sent {
				idle = -1
			}
			// Guards against turns that end with one job each, as room comes slot by slot: then all
			// tenants would get alike. Who has credit left goes on when there is room again.
			if t.blockedByCapacity && resume < 0 {
				resume = d.turn
			} else if t.blockedByCapacity && !sent {
				t.deficit = had
			}
		}
		d.turn, d.turnCredited = (d.turn+1)%len(d.tenants), false
	}
	if resume >= 0 {
		d.turn, d.turnCredited = resume, true
	}
}

// serveTenant sends what the tenant's credit and sigma allow, and reports whether another turn may send more.
func (d *Dispatcher) serveTenant(now time.Duration, t *tenant) (sent bool) {
	t.blockedByCapacity = false
	for i, tried := 0, 0; i < min(len(t.queue), maxQueueScan) && tried < maxPlacementTries; i++ {
		r := t.queue[i]
		p := r.class.pool
		own := d.withinShare(now, t)
		if !r.queued || p.noCapacity && !own || r.probesPending > 0 && now < r.probeDeadline {
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
		if !own && t.inFlight > 0 && t.inFlight+r.Slots > t.limit {
			return sent
		}
		w := d.pickWorker(now, r, own)
		if w == nil && r.probesPending > 0 {
			continue
		}
		if w == nil {
			d.capacityShort, t.blockedByCapacity, p.jobBlocked = true, true, true
			if r.probeRounds >= maxProbeRounds && r.inFlight == 0 { // nothing more will be known in time
				d.endUnserved(now, r)
			} else if r.Key == "" && len(r.attempts) == 0 {
				p.noCapacity = true
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
	if d.settings.TellsStart {
		wait := (min(r.deadline, r.targetAt) - now - seconds(r.class.meanRuntime)) / 2
		if w.inFlight <= d.maxFreeByKind[w.Kind] && d.settings.InOrder && d.lateStartMeansSilence() {
			wait = min(wait, promptStartTimeout) // there should be a free slot
		}
		d.setTimer(min(max(wait, minStartTimeout), maxStartTimeout), tokenStartDue, r, n)
	}
}
