package reverseproxy

import (
	"slices"
	"time"

	"sedgevale/internal/pool"
)

// pick takes a server for a call. The call waits, and is told later, where none has room.
func (b *backend) pick(c *call) (server int, v pool.Verdict) {
	now := b.site.opt.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pool == nil {
		return -1, pool.Nobody
	}
	h := c.hint
	for i, until := range b.shun {
		if now < until {
			h.Not = append(slices.Clip(h.Not), i)
		}
	}
	i, v := b.pool.Pick(now, h)
	switch v {
	case pool.Go:
		b.pool.Begin(i)
	case pool.Wait:
		if !b.pool.Queue(now, c, c.hint) {
			return -1, pool.Nobody
		}
		b.arm(now)
	}
	return i, v
}

// arm sets the timer of the queue. The lock is held.
func (b *backend) arm(now time.Duration) {
	if until := b.pool.Until(); until > 0 && !b.timer {
		b.timer = true
		time.AfterFunc(max(time.Millisecond, until-now), func() {
			b.mu.Lock()
			b.timer = false
			b.mu.Unlock()
			b.advance()
		})
	}
}

// end gives a server's room back, by name: the pool may have been replaced since.
func (b *backend) end(server string) {
	b.mu.Lock()
	if i := b.index(server); i >= 0 {
		b.pool.End(i)
	}
	waiting := b.pool != nil && b.pool.Waiting() > 0
	b.mu.Unlock()
	if waiting {
		b.advance()
	}
}

// failed notes that no connection to a server came up.
func (b *backend) failed(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.index(server); i >= 0 {
		b.shun[i] = b.site.opt.Clock.Now() + shunFor
	}
}

// advance has those go who can, and tells those who have waited in vain.
func (b *backend) advance() {
	type going struct {
		c *call
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
			ready = append(ready, going{token.(*call), i})
		}
		b.arm(now)
	}
	b.mu.Unlock()
	for _, c := range late {
		c.(*call).nobody()
	}
	for _, g := range ready {
		g.c.start(g.i)
	}
}

// leave takes a call out of the queue.
func (b *backend) leave(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pool != nil {
		b.pool.Leave(c)
	}
}
