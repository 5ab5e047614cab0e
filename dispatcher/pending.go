package dispatcher

import (
	"container/heap"
	"time"
)

// This file adds requests to the tenants' queues and removes them.

const maxSlackFraction = 0.4 // maximum fraction of a request's slack spent in the queue; the rest covers the variance of running times

// enqueue queues the request and sets the time by which it must be sent.
func (d *Dispatcher) enqueue(now time.Duration, r *request) {
	r.sendBy = now + seconds(maxSlackFraction*d.timeToSend(now, r).Seconds())
	d.pushPending(r)
}

// pushPending adds the request to its tenant's queue.
func (d *Dispatcher) pushPending(r *request) {
	r.queued = true
	r.tenant.pendingWork[r.class.index] += r.work
	r.tenant.pendingSlots += r.Slots
	d.requests.pending++
	heap.Push(&r.tenant.queue, r)
}

// removePending removes the request from its tenant's queue.
func (d *Dispatcher) removePending(r *request) {
	t := r.tenant
	r.queued = false
	t.pendingWork[r.class.index] = max(0, t.pendingWork[r.class.index]-r.work)
	t.pendingSlots -= r.Slots
	d.requests.pending--
	for len(t.queue) > 0 && !t.queue[0].queued {
		heap.Pop(&t.queue)
	}
}
