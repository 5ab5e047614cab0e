package reverseproxy

import (
	"slices"
	"time"

	"sedgevale/internal/pool"
)

// pickServer takes a server for a call. The call waits, and is told later, where none has room.
func (b *backend) pickServer(r *proxyRequest) (server int, v pool.Verdict) {
	now := b.site.opt.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pool == nil {
		return -1, pool.Nobody
	}
	h := r.hint
	for i, until := range b.avoidUntil {
		if now < until {
			h.Not = append(slices.Clip(h.Not), i)
		}
	}
	i, v := b.pool.Pick(now, h)
	switch v {
	case pool.Go:
		b.pool.Begin(i)
	case pool.Wait:
		if !b.pool.Queue(now, r, r.hint) {
			return -1, pool.Nobody
		}
		b.armTimer(now)
	}
	return i, v
}

// armTimer sets the timer of the queue. The lock is held.
func (b *backend) armTimer(now time.Duration) {
	if until := b.pool.Until(); until > 0 && !b.timerArmed {
		b.timerArmed = true
		time.AfterFunc(max(time.Millisecond, until-now), func() {
			b.mu.Lock()
			b.timerArmed = false
			b.mu.Unlock()
			b.dispatchQueue()
		})
	}
}

// release gives a server's room back, by name: the pool may have been replaced since.
func (b *backend) release(server string) {
	b.mu.Lock()
	if i := b.index(server); i >= 0 {
		b.pool.End(i)
	}
	waiting := b.pool != nil && b.pool.Waiting() > 0
	b.mu.Unlock()
	if waiting {
		b.dispatchQueue()
	}
}

// noteConnectFailure notes that no connection to a server came up.
func (b *backend) noteConnectFailure(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.index(server); i >= 0 {
		b.avoidUntil[i] = b.site.opt.Clock.Now() + connectFailureBackoff
	}
}

// dispatchQueue has those go who can, and tells those who have waited in vain.
func (b *backend) dispatchQueue() {
	type going struct {
		c *proxyRequest
		i int
	}
	var ready []going
	var late []any
	now := b.site.opt.Clock.Now()
	b.mu.Lock()
	if b.pool != nil {
		late = b.pool.Expire(now)
		for {
			token, i, ok := b.pool.Next(now)
			if !ok {
				break
			}
			ready = append(ready, going{token.(*proxyRequest), i})
		}
		b.armTimer(now)
	}
	b.mu.Unlock()
	for _, c := range late {
		c.(*proxyRequest).noServer()
	}
	for _, g := range ready {
		g.c.submit(g.i)
	}
}

// leaveQueue takes a call out of the queue.
func (b *backend) leaveQueue(r *proxyRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pool != nil {
		b.pool.Leave(r)
	}
}
