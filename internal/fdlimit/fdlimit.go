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

// Limiter counts connections against a limit. When few are left it calls for idle ones to be closed, never for busy ones.
// Those of clients are closed first: a new one costs a client a moment, but a worker capacity that requests need. It is
// safe for concurrent use.
type Limiter struct {
	limit          atomic.Int64
	used           atomic.Int64
	otherProcesses atomic.Int64 // descriptors of other processes that share the limit
	mu             sync.Mutex
	onLow          []func(n int) // close so many idle connections of clients
	onCritical     []func(n int) // and of workers
}

// New returns a Limiter with a limit of so many descriptors; 0 or less means no limit.
func New(descriptors int) *Limiter {
	l := &Limiter{}
	l.SetLimit(descriptors)
	return l
}

// SetLimit changes the limit. It closes nothing.
func (l *Limiter) SetLimit(descriptors int) { l.limit.Store(int64(descriptors)) }

// SetOtherProcesses sets the number of descriptors of other processes that share the limit.
func (l *Limiter) SetOtherProcesses(n int) { l.otherProcesses.Store(int64(n)) }

// available returns the limit without the descriptors of other processes, at least 1; 0 means no limit.
func (l *Limiter) available() int64 {
	if limit := l.limit.Load(); limit > 0 {
		return max(1, limit-l.otherProcesses.Load())
	}
	return 0
}

// OnLow registers a function that closes n idle connections of clients. It is called when few descriptors are left, and
// must not block.
func (l *Limiter) OnLow(f func(n int)) {
	l.mu.Lock()
	l.onLow = append(l.onLow, f)
	l.mu.Unlock()
}

// OnCritical registers a function that closes n idle connections to workers. It is called when closing those of clients was
// not enough, and must not block.
func (l *Limiter) OnCritical(f func(n int)) {
	l.mu.Lock()
	l.onCritical = append(l.onCritical, f)
	l.mu.Unlock()
}

// Acquire counts a connection to a worker. It reports false if less than half of Reserve is left: the connection must then not
// be made, and be released.
func (l *Limiter) Acquire() bool { return l.acquire(0, Reserve/2) }

// AcquireClient counts a client's connection. It reports false if less than three quarters of Reserve are left: the connection
// must then be closed, and be released. Idle connections are closed earlier than for Acquire: many clients must not keep
// requests and the discovery watch from connecting.
func (l *Limiter) AcquireClient() bool {
	return l.acquire(max(0, l.available()-Reserve)/workerSpareDivisor, Reserve*3/4)
}

// acquire counts a connection. Idle ones are closed if less than Reserve and margin are left; it reports false if less than
// minLeft are.
func (l *Limiter) acquire(margin, minLeft int64) bool {
	used, limit := l.used.Add(1), l.available()
	if limit <= 0 || used <= limit-Reserve-margin {
		return true
	}
	l.mu.Lock()
	closers := l.onLow
	if used > limit-Reserve/2 {
		closers = append(append([]func(int){}, closers...), l.onCritical...)
	}
	l.mu.Unlock()
	for _, closeIdle := range closers {
		closeIdle(int(used - limit + Reserve + margin))
	}
	return used <= limit-minLeft
}

// MaxIdleClients returns how many idle connections of clients an event loop may keep.
func (l *Limiter) MaxIdleClients() int {
	if limit := l.available(); limit > 0 {
		return int(max(minClientIdle, limit/clientIdleDivisor))
	}
	return math.MaxInt
}

// Release uncounts a connection that was closed or not made.
func (l *Limiter) Release() { l.used.Add(-1) }

// InUse returns the number of connections that are counted.
func (l *Limiter) InUse() int { return int(l.used.Load()) }
