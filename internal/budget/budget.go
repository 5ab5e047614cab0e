// Package budget counts the descriptors that connections hold, so that the
// process stays within its limit.
package budget

import (
	"sync"
	"sync/atomic"
)

// reserve is kept for what is not counted here: pollers, listeners, standard
// streams, and dials that hold two descriptors for a moment.
const reserve = 64

// Budget counts connections against a limit. When few are left it asks for
// idle ones to be closed; it never asks for busy ones.
type Budget struct {
	limit int64
	used  atomic.Int64
	mu    sync.Mutex
	short []func()
}

// New returns a Budget for so many descriptors; 0 or less means no limit.
func New(descriptors int) *Budget { return &Budget{limit: int64(descriptors)} }

// OnShort adds a function that closes idle connections. It must not block.
func (b *Budget) OnShort(f func()) {
	b.mu.Lock()
	b.short = append(b.short, f)
	b.mu.Unlock()
}

// Take counts a connection that is open. It reports false where even the
// reserve is almost gone; the connection must then be closed.
func (b *Budget) Take() bool {
	used := b.used.Add(1)
	if b.limit <= 0 || used <= b.limit-reserve {
		return true
	}
	b.mu.Lock()
	short := b.short
	b.mu.Unlock()
	for _, f := range short {
		f()
	}
	return used <= b.limit-reserve/4
}

// Release counts a connection that was closed.
func (b *Budget) Release() { b.used.Add(-1) }

// Used returns how many connections are open.
func (b *Budget) Used() int { return int(b.used.Load()) }
