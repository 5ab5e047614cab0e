// Package fdlimit counts the file descriptors that connections hold, so that the process stays within its limit.
package fdlimit

import (
	"math"
	"sync"
	"sync/atomic"
)

// Reserve is the number of descriptors kept free for uncounted uses: pollers, listeners, standard streams, and dials, which
// briefly hold two descriptors.
const Reserve = 64

// Divisors of the limit, and a lower bound.
const (
	clientIdleDivisor  = 8  // idle client connections may use an eighth of the limit
	minClientIdle      = 16 // idle client connections that are allowed at any limit
	workerSpareDivisor = 8  // an eighth of the limit less Reserve is available only to connections to workers
)

// Limiter counts connections against a limit of file descriptors. When few descriptors are left, it requests that idle
// connections be closed, never busy ones. Idle client connections are closed first: a new connection costs a client only a short
// delay, but costs a worker capacity that requests need. A Limiter is safe for concurrent use.
type Limiter struct {
	limit          atomic.Int64
	used           atomic.Int64
	otherProcesses atomic.Int64 // descriptors of other processes that share the limit
	mu             sync.Mutex
	onLow          []func(n int) // close n idle connections of clients
	onCritical     []func(n int) // close n idle connections to workers
}

// New returns a Limiter with a limit of descriptors; 0 or less means no limit.
func New(descriptors int) *Limiter {
	l := &Limiter{}
	l.SetLimit(descriptors)
	return l
}

// SetLimit changes the limit. It does not close any connection.
func (l *Limiter) SetLimit(descriptors int) { l.limit.Store(int64(descriptors)) }

// SetOtherProcesses sets the number of descriptors of other processes that share the limit.
func (l *Limiter) SetOtherProcesses(n int) { l.otherProcesses.Store(int64(n)) }

// available returns the limit minus the descriptors of other processes, but at least 1; 0 means no limit.
func (l *Limiter) available() int64 {
	if limit := l.limit.Load(); limit > 0 {
		return max(1, limit-l.otherProcesses.Load())
	}
	return 0
}

// OnLow registers a function that closes n idle connections of clients. The Limiter calls it when few descriptors are left. The
// function must not block.
func (l *Limiter) OnLow(f func(n int)) {
	l.mu.Lock()
	l.onLow = append(l.onLow, f)
	l.mu.Unlock()
}

// OnCritical registers a function that closes n idle connections to workers. The Limiter calls it when fewer than half of Reserve
// are left despite the closing of idle client connections. The function must not block.
func (l *Limiter) OnCritical(f func(n int)) {
	l.mu.Lock()
	l.onCritical = append(l.onCritical, f)
	l.mu.Unlock()
}

// Acquire counts a connection to a worker. It returns false if less than half of Reserve is left; the caller must then not open
// the connection, and must call Release.
func (l *Limiter) Acquire() bool { return l.acquire(0, Reserve/2) }

// AcquireClient counts a client's connection. It returns false if less than three quarters of Reserve are left; the caller must
// then close the connection and call Release. Idle connections are closed earlier than by Acquire, so that many clients cannot
// prevent requests to workers and the discovery watch from connecting.
func (l *Limiter) AcquireClient() bool {
	return l.acquire(max(0, l.available()-Reserve)/workerSpareDivisor, Reserve*3/4)
}

// acquire counts a connection. It requests the closing of idle connections if fewer descriptors than Reserve plus margin are left,
// and returns false if fewer than minLeft are left.
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

// MaxIdleClients returns the number of idle client connections that an event loop may keep.
func (l *Limiter) MaxIdleClients() int {
	if limit := l.available(); limit > 0 {
		return int(max(minClientIdle, limit/clientIdleDivisor))
	}
	return math.MaxInt
}

// Release stops counting a connection that was closed or not opened.
func (l *Limiter) Release() { l.used.Add(-1) }

// InUse returns the number of counted connections.
func (l *Limiter) InUse() int { return int(l.used.Load()) }
