// Package fdlimit counts the file descriptors that connections hold, so that the process stays within its limit.
package fdlimit

import (
	"math"
	"sync"
	"sync/atomic"
)

// Reserve is the number of descriptors for what is not counted here: pollers, listeners, standard streams, and dials that
// hold two descriptors for a moment.
const Reserve = 64

// Parts of the limit, as divisors, and a lower bound.
const (
	clientIdleDivisor  = 8
	minClientIdle      = 16
	workerSpareDivisor = 8 // of what is left after Reserve: it is for connections to workers alone
)

// Budget counts connections against a limit. When few are left it calls for idle ones to be closed, never for busy ones.
// Those of clients are closed first: a new one costs a client a moment, but a worker capacity that requests need. It is
// safe for concurrent use.
type Budget struct {
	limit          atomic.Int64
	used           atomic.Int64
	otherProcesses atomic.Int64 // descriptors of other processes that share the limit
	mu             sync.Mutex
	onLow          []func(n int) // close so many idle connections of clients
	onCritical     []func(n int) // and of workers
}

// New returns a Budget with a limit of so many descriptors; 0 or less means no limit.
func New(descriptors int) *Budget {
	b := &Budget{}
	b.Limit(descriptors)
	return b
}

// Limit changes the limit. It closes nothing.
func (b *Budget) Limit(descriptors int) { b.limit.Store(int64(descriptors)) }

// Others sets the number of descriptors of other processes that share the limit.
func (b *Budget) Others(n int) { b.otherProcesses.Store(int64(n)) }

// available returns the limit without the descriptors of other processes, at least 1; 0 means no limit.
func (b *Budget) available() int64 {
	if limit := b.limit.Load(); limit > 0 {
		return max(1, limit-b.otherProcesses.Load())
	}
	return 0
}

// OnShort registers a function that closes n idle connections of clients. It is called when few descriptors are left, and
// must not block.
func (b *Budget) OnShort(f func(n int)) {
	b.mu.Lock()
	b.onLow = append(b.onLow, f)
	b.mu.Unlock()
}

// OnCritical registers a function that closes n idle connections to workers. It is called when closing those of clients was
// not enough, and must not block.
func (b *Budget) OnCritical(f func(n int)) {
	b.mu.Lock()
	b.onCritical = append(b.onCritical, f)
	b.mu.Unlock()
}

// Take counts a connection to a worker. It reports false if less than half of Reserve is left: the connection must then not
// be made, and be released.
func (b *Budget) Take() bool { return b.take(0, Reserve/2) }

// TakeClient counts a client's connection. It reports false if less than three quarters of Reserve are left: the connection
// must then be closed, and be released. Idle connections are closed earlier than for Take: many clients must not keep
// requests and the discovery watch from connecting.
func (b *Budget) TakeClient() bool {
	return b.take(max(0, b.available()-Reserve)/workerSpareDivisor, Reserve*3/4)
}

// take counts a connection. Idle ones are closed if less than Reserve and margin are left; it reports false if less than
// minLeft are.
func (b *Budget) take(margin, minLeft int64) bool {
	used, limit := b.used.Add(1), b.available()
	if limit <= 0 || used <= limit-Reserve-margin {
		return true
	}
	b.mu.Lock()
	closers := b.onLow
	if used > limit-Reserve/2 {
		closers = append(append([]func(int){}, closers...), b.onCritical...)
	}
	b.mu.Unlock()
	for _, closeIdle := range closers {
		closeIdle(int(used - limit + Reserve + margin))
	}
	return used <= limit-minLeft
}

// Idle returns how many idle connections of clients an event loop may keep.
func (b *Budget) Idle() int {
	if limit := b.available(); limit > 0 {
		return int(max(minClientIdle, limit/clientIdleDivisor))
	}
	return math.MaxInt
}

// Release uncounts a connection that was closed or not made.
func (b *Budget) Release() { b.used.Add(-1) }

// Used returns the number of connections that are counted.
func (b *Budget) Used() int { return int(b.used.Load()) }
