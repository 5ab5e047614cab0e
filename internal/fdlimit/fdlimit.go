// Package fdlimit counts the descriptors that connections hold, so that the
// process stays within its limit.
package fdlimit

import (
	"math"
	"sync"
	"sync/atomic"
)

// Reserve is kept for what is not counted here: pollers, listeners, standard
// streams, and dials that hold two descriptors for a moment.
const Reserve = 64

// Of the limit so much is for idle connections of clients, and so many at least.
const (
	idlePart  = 8
	idleLeast = 16
	sparePart = 8 // and so much is left to connections to workers
)

// Budget counts connections against a limit. When few are left it asks for
// idle ones to be closed; it never asks for busy ones. Clients' go first: to make
// one again costs its client a moment, but a worker its own time, which jobs need.
type Budget struct {
	limit atomic.Int64
	used  atomic.Int64
	other atomic.Int64 // descriptors of other processes that share the limit
	mu    sync.Mutex
	short []func(n int) // close so many idle connections of clients
	dire  []func(n int) // and of workers
}

// New returns a Budget for so many descriptors; 0 or less means no limit.
func New(descriptors int) *Budget {
	b := &Budget{}
	b.Limit(descriptors)
	return b
}

// Limit changes the limit; what is over it already stays open.
func (b *Budget) Limit(descriptors int) { b.limit.Store(int64(descriptors)) }

// Others tells how many descriptors other processes hold that share the limit.
func (b *Budget) Others(n int) { b.other.Store(int64(n)) }

func (b *Budget) left() int64 {
	if limit := b.limit.Load(); limit > 0 {
		return max(1, limit-b.other.Load())
	}
	return 0
}

// OnShort adds a function that closes so many idle connections of clients. It
// must not block.
func (b *Budget) OnShort(f func(n int)) {
	b.mu.Lock()
	b.short = append(b.short, f)
	b.mu.Unlock()
}

// OnDire adds a function that closes so many idle connections to workers, which
// is called once closing those of clients was not enough. It must not block.
func (b *Budget) OnDire(f func(n int)) {
	b.mu.Lock()
	b.dire = append(b.dire, f)
	b.mu.Unlock()
}

// Take counts a connection to a worker that is open. It reports false where even the
// reserve is almost gone; the connection must then be closed.
func (b *Budget) Take() bool { return b.take(0, Reserve/2) }

// TakeClient counts a client's connection. Clients are asked to make room before workers
// are, and refused before: a crowd of them must not keep jobs and the watch on discovery
// from connecting.
func (b *Budget) TakeClient() bool {
	return b.take(max(0, b.left()-Reserve)/sparePart, Reserve*3/4)
}

// take counts a connection. Idle ones are closed from so many before the reserve on; it
// reports false where less than least is left.
func (b *Budget) take(spare, least int64) bool {
	used, limit := b.used.Add(1), b.left()
	if limit <= 0 || used <= limit-Reserve-spare {
		return true
	}
	b.mu.Lock()
	asked := b.short
	if used > limit-Reserve/2 {
		asked = append(append([]func(int){}, asked...), b.dire...)
	}
	b.mu.Unlock()
	for _, f := range asked {
		f(int(used - limit + Reserve + spare))
	}
	return used <= limit-least
}

// Idle is how many idle connections of clients an event loop may keep.
func (b *Budget) Idle() int {
	if limit := b.left(); limit > 0 {
		return int(max(idleLeast, limit/idlePart))
	}
	return math.MaxInt
}

// Release counts a connection that was closed.
func (b *Budget) Release() { b.used.Add(-1) }

// Used returns how many connections are open.
func (b *Budget) Used() int { return int(b.used.Load()) }
