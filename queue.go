package sedgevale

// The tenants' queues, and the release from them by deficit round robin.

import (
	"container/heap"
	"time"
)

const (
	maxTurns  = 64 // rounds of all tenants in one release
	scanMost  = 32 // held jobs of a tenant passed by in the search of those
	scanDepth = 4  // held jobs of a tenant looked at when the first has no home
)

// queue is a heap of a tenant's held jobs by slack (the paper's section 4.2):
// the one that must be sent soonest comes first. Ended ones stay until popped.
type queue []*request

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool { return q[i].latest < q[j].latest }

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
	r.latest = now + seconds(holdPart*d.feasibleFor(now, r).Seconds())
	d.queue(r)
}

func (d *Dispatcher) queue(r *request) {
	r.queued = true
	r.tenant.backlog[r.class.index] += r.work
	r.tenant.waiting += r.Slots
	d.backlog++
	heap.Push(&r.tenant.queue, r)
}

func (d *Dispatcher) dequeue(r *request) {
	t := r.tenant
	r.queued = false
	t.backlog[r.class.index] = max(0, t.backlog[r.class.index]-r.work)
	t.waiting -= r.Slots
	d.backlog--
	for len(t.queue) > 0 && !t.queue[0].queued {
		heap.Pop(&t.queue)
	}
}

// release sends held jobs by deficit round robin while there is room.
func (d *Dispatcher) release(now time.Duration) {
	if d.settling {
		return
	}
	idle, most, resume := 0, maxTurns*len(d.tenants), -1
	for _, p := range d.pools {
		p.full = false
	}
	for ; d.backlog > 0 && idle < len(d.tenants) && most > 0; idle, most = idle+1, most-1 {
		t := d.tenants[d.turn]
		if len(t.queue) == 0 {
			t.deficit = 0
		} else {
			had := t.deficit
			if !d.credited {
				t.deficit = min(t.deficit, max(4*d.meanWork, t.queue[0].work)) +
					d.meanWork*t.share*float64(len(d.tenants))
				d.credited = true
			}
			sent := d.serve(now, t)
			if sent {
				idle = -1
			}
			// Guards against turns that end with one job each, as room comes slot by slot: then all
			// tenants would get alike. Who has credit left goes on when there is room again.
			if t.blocked && resume < 0 {
				resume = d.turn
			} else if t.blocked && !sent {
				t.deficit = had
			}
		}
		d.turn, d.credited = (d.turn+1)%len(d.tenants), false
	}
	if resume >= 0 {
		d.turn, d.credited = resume, true
	}
}

// serve sends what the tenant's credit and sigma allow, and reports whether another turn may send more.
func (d *Dispatcher) serve(now time.Duration, t *tenant) (sent bool) {
	t.blocked = false
	for i, tried := 0, 0; i < min(len(t.queue), scanMost) && tried < scanDepth; i++ {
		r := t.queue[i]
		p := r.class.pool
		own := d.withinShare(now, t)
		if !r.queued || p.noRoom && !own || r.looking > 0 && now < r.lookTill {
			continue
		}
		tried++
		if r.work > t.deficit {
			if tried > 1 {
				continue
			}
			t.blocked = p.full
			return sent || !p.full // another turn brings the credit
		}
		if !own && t.inflight > 0 && t.inflight+r.Slots > t.sigma {
			return sent
		}
		w := d.pick(now, r, own)
		if w == nil && r.looking > 0 {
			continue
		}
		if w == nil {
			d.crowded, t.blocked, p.full = true, true, true
			if r.looks >= lookRounds && r.out == 0 { // nothing more will be known in time
				d.end(now, r)
			} else if r.Key == "" && len(r.attempts) == 0 {
				p.noRoom = true
			}
			continue
		}
		t.deficit -= r.work
		t.tokens--
		d.dequeue(r)
		d.send(now, r, w)
		sent, t.blocked, i, tried = true, false, -1, 0
	}
	return sent
}

func (d *Dispatcher) send(now time.Duration, r *request, w *worker) {
	if len(r.attempts) > 0 {
		d.further.add(now)
	}
	n := d.book(now, r, w)
	if w.coldUntil > now {
		w.credit -= d.weightOf(r)
	}
	if w.suspect > 0 {
		w.trial = now
	}
	d.host.Send(r.ID, w.Worker, 0)
	if d.set.TellsStart {
		wait := (min(r.deadline, r.aim) - now - seconds(r.class.run)) / 2
		if w.held <= d.kindRoom[w.Kind] && d.set.InOrder && d.ownEyes() {
			wait = min(wait, promptWait) // there should be a free slot
		}
		d.timer(min(max(wait, minGrace), maxGrace), tokenStart, r, n)
	}
}
