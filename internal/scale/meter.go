package scale

import (
	"context"
	"sync"
	"time"
)

// meter counts how late ticks come, by a clock that a test may replace; the ticks themselves go by the real one.
type meter struct {
	clock func() time.Time

	mu    sync.Mutex
	ticks int
	late  int
	worst time.Duration
}

// note takes in a tick that was due then.
func (m *meter) note(due time.Time) {
	late := m.clock().Sub(due)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ticks++; late > lateAfter {
		m.late++
	}
	m.worst = max(m.worst, late)
}

// read returns what was counted since the last time.
func (m *meter) read() (ticks, late int, worst time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ticks, late, worst = m.ticks, m.late, m.worst
	m.ticks, m.late, m.worst = 0, 0, 0
	return ticks, late, worst
}

// every calls f at even times until the context ends. A tick that was missed is not made up for, and counts as late by
// the next.
func (m *meter) every(ctx context.Context, gap time.Duration, f func()) {
	due := time.Now().Add(gap)
	timer := time.NewTimer(gap)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		m.note(due)
		f()
		now := time.Now()
		if due = due.Add(gap); now.Sub(due) > gap { // as a time.Ticker drops them
			due = now.Add(gap)
		}
		timer.Reset(max(0, due.Sub(now)))
	}
}
