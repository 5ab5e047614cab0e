package dispatcher

import (
	"container/heap"
	"time"
)

// Queued requests.

const maxSlackFraction = 0.4 // a request is queued for at most this fraction of its slack, since means hide a spread

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
	d.requests.pending++
	heap.Push(&r.tenant.queue, r)
}

// removePending takes the request out of its tenant's queue.
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
