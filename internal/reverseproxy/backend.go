package reverseproxy

import (
	"slices"
	"time"

	"sedgevale/internal/pool"
)

// pickServer picks a server for a request and acquires a connection slot on it. If no server has a free slot, pickServer
// queues the request, and dispatchQueue submits or rejects it later.
func (b *backend) pickServer(r *proxyRequest) (server int, v pool.Verdict) {
	now := b.proxy.opt.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pool == nil {
		return -1, pool.Unavailable
	}
	h := r.hint
	for i, until := range b.avoidUntil {
		if now < until {
			h.Tried = append(slices.Clip(h.Tried), i)
		}
	}
	i, v := b.pool.Pick(now, h)
	switch v {
	case pool.Assigned:
		b.pool.Acquire(i)
	case pool.Busy:
		if !b.pool.Enqueue(now, r, r.hint) {
			return -1, pool.Unavailable
		}
		b.armTimer(now)
	}
	return i, v
}

// armTimer starts a timer for the queue's next deadline. The caller holds b.mu.
func (b *backend) armTimer(now time.Duration) {
	if until := b.pool.NextDeadline(); until > 0 && !b.timerArmed {
		b.timerArmed = true
		time.AfterFunc(max(time.Millisecond, until-now), func() {
			b.mu.Lock()
			b.timerArmed = false
			b.mu.Unlock()
			b.dispatchQueue()
		})
	}
}

// release releases one connection slot of a server. It takes the server's name rather than its index because a reload may
// have replaced the pool since the slot was acquired.
func (b *backend) release(server string) {
	b.mu.Lock()
	if i := b.index(server); i >= 0 {
		b.pool.Release(i)
	}
	hasQueued := b.pool != nil && b.pool.QueueLen() > 0
	b.mu.Unlock()
	if hasQueued {
		b.dispatchQueue()
	}
}

// recordConnectFailure makes pickServer prefer other servers for connectFailureBackoff.
func (b *backend) recordConnectFailure(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.index(server); i >= 0 {
		b.avoidUntil[i] = b.proxy.opt.Clock.Now() + connectFailureBackoff
	}
}

// dispatchQueue submits the queued requests for which a server has a free slot and rejects those whose
// queue timeout has expired.
func (b *backend) dispatchQueue() {
	type assignment struct {
		request *proxyRequest
		server  int // index in the pool
	}
	var ready []assignment
	var expired []any
	now := b.proxy.opt.Clock.Now()
	b.mu.Lock()
	if b.pool != nil {
		expired = b.pool.Expire(now)
		for {
			token, i, ok := b.pool.NextQueued(now)
			if !ok {
				break
			}
			ready = append(ready, assignment{token.(*proxyRequest), i})
		}
		b.armTimer(now)
	}
	b.mu.Unlock()
	for _, token := range expired {
		token.(*proxyRequest).replyNoServer()
	}
	for _, a := range ready {
		a.request.submit(a.server)
	}
}

// dequeue removes a request from the queue.
func (b *backend) dequeue(r *proxyRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pool != nil {
		b.pool.Dequeue(r)
	}
}
