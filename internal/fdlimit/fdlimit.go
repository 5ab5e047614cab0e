// Package fdlimit counts the file descriptors that connections hold, so that the process stays
// within its limit (RLIMIT_NOFILE, or less by the configuration).
package fdlimit

import (
	"math"
	"sync"
	"sync/atomic"
)

// Reserve is how many descriptors are left to what is not counted here: pollers, listeners,
// standard streams, and dials that hold two descriptors for a moment.
const Reserve = 64

const (
	// An event loop may keep 1/idleFraction of the limit in idle connections of clients, and
	// minIdle at least.
	idleFraction  = 8
	minIdle       = 16
	spareFraction = 8 // clients leave 1/spareFraction of the limit to connections to workers
)

// Budget counts connections against a limit. When few descriptors are left it asks for idle
// connections to be closed, never for busy ones. Clients' go first: to make one again costs
// its client a moment, but a worker its own time, which jobs need.
type Budget struct {
	limit        atomic.Int64
	used         atomic.Int64
	others       atomic.Int64  // descriptors of other processes that share the limit
	mu           sync.Mutex    // guards the functions below
	closeClients []func(n int) // close n idle connections of clients
	closeWorkers []func(n int) // and to workers
}

// New returns a Budget with a limit; 0 or less means no limit.
func New(descriptors int) *Budget {
	b := &Budget{}
	b.Limit(descriptors)
	return b
}

// Limit changes the limit. Connections beyond it stay open.
func (b *Budget) Limit(descriptors int) { b.limit.Store(int64(descriptors)) }

// Others sets how many descriptors other processes hold that share the limit.
func (b *Budget) Others(n int) { b.others.Store(int64(n)) }

// share returns this process's part of the limit, 0 for no limit.
func (b *Budget) share() int64 {
	if limit := b.limit.Load(); limit > 0 {
		return max(1, limit-b.others.Load())
	}
	return 0
}

// OnShort adds a function that closes n idle connections of clients. It must not block.
func (b *Budget) OnShort(f func(n int)) {
	b.mu.Lock()
	b.closeClients = append(b.closeClients, f)
	b.mu.Unlock()
}

// OnDire adds a function that closes n idle connections to workers. It is called when closing
// those of clients was not enough. It must not block.
func (b *Budget) OnDire(f func(n int)) {
	b.mu.Lock()
	b.closeWorkers = append(b.closeWorkers, f)
	b.mu.Unlock()
}

// Take counts an open connection to a worker. It reports false if half the reserve is used up;
// the connection must then be closed.
func (b *Budget) Take() bool { return b.take(0, Reserve/2) }

// TakeClient counts an open connection of a client. Clients' connections are closed before those
// to workers, and rejected before: a crowd of clients must not keep jobs and the watch on
// discovery from connecting. If it reports false, the connection must be closed.
func (b *Budget) TakeClient() bool {
	return b.take(max(0, b.share()-Reserve)/spareFraction, Reserve*3/4)
}

// take counts a connection. Idle ones are closed from spare descriptors before the reserve on; it
// reports false if less than minLeft descriptors are left.
func (b *Budget) take(spare, minLeft int64) bool {
	used, limit := b.used.Add(1), b.share()
	if limit <= 0 || used <= limit-Reserve-spare {
		return true
	}
	b.mu.Lock()
	asked := b.closeClients
	if used > limit-Reserve/2 {
		asked = append(append([]func(int){}, asked...), b.closeWorkers...)
	}
	b.mu.Unlock()
	for _, f := range asked {
		f(int(used - limit + Reserve + spare))
	}
	return used <= limit-minLeft
}

// Idle returns how many idle connections of clients an event loop may keep.
func (b *Budget) Idle() int {
	if limit := b.share(); limit > 0 {
		return int(max(minIdle, limit/idleFraction))
	}
	return math.MaxInt
}

// Release counts a connection as closed.
func (b *Budget) Release() { b.used.Add(-1) }

// Used returns how many connections are counted as open.
func (b *Budget) Used() int { return int(b.used.Load()) }
