package resourcequota

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

// ErrBusy is returned if the quota has no room for a request. The request was not taken.
var ErrBusy = errors.New("the process holds as much for other requests as it may; try again later")

const (
	// stallTimeout is how long a peer may take to send a request, or to read the end of an answer, while others need the room.
	stallTimeout = time.Second
	// roomTimeout limits the wait for the room of peers that were interrupted.
	roomTimeout = 100 * time.Millisecond
)

// Quota counts the bytes and connections that a process holds for its peers against Limits. If they do not suffice, it
// interrupts the peers that have been slow for the longest time. It is safe for concurrent use.
type Quota struct {
	mu      sync.Mutex // guards all fields below
	limits  Limits
	used    int64         // bytes of all reservations
	large   int64         // bytes of the reservations with more than SmallRequest
	waiting *list.List    // *Reservation whose peer is still sending, the oldest first
	freed   chan struct{} // closed and replaced when bytes are released
	refused uint64        // requests without room
	stalled uint64        // requests interrupted to make room

	connections connectionTable
}

// New returns an empty Quota.
func New(limits Limits) *Quota {
	return &Quota{limits: limits, waiting: list.New(), freed: make(chan struct{}), connections: newConnectionTable()}
}

// Reservation is the part of a Quota that one request uses. A nil Reservation uses no quota.
type Reservation struct {
	quota     *Quota
	interrupt func() // makes the peer's request fail; must not block

	// The fields below are guarded by quota.mu.
	bytes       int64
	since       time.Time
	element     *list.Element // in quota.waiting; nil once the request is complete
	interrupted bool
}

// Reserve returns a Reservation for a request that a peer begins to send. Until Complete is called, the quota may call interrupt to make
// room for others. Release must be called in the end.
func (q *Quota) Reserve(interrupt func()) *Reservation {
	r := &Reservation{quota: q, interrupt: interrupt, since: time.Now()}
	q.mu.Lock()
	defer q.mu.Unlock()
	r.element = q.waiting.PushBack(r)
	return r
}

// Grow adds bytes to a Reservation. If there is no room, it interrupts requests that have been incomplete for stallTimeout and waits
// up to roomTimeout for their bytes. It returns ErrBusy if there still is no room.
func (r *Reservation) Grow(bytes int64) error {
	if r == nil {
		return nil
	}
	var timeout <-chan time.Time
	for {
		freed := r.tryGrow(bytes)
		switch {
		case freed == nil:
			return nil
		case freed == noneStalled:
			return r.quota.refuse()
		case timeout == nil:
			timeout = time.After(roomTimeout)
		}
		select {
		case <-freed:
		case <-timeout:
			return r.TryGrow(bytes)
		}
	}
}

// TryGrow is like Grow but does not wait. A negative number of bytes is returned to the quota.
func (r *Reservation) TryGrow(bytes int64) error {
	if r == nil || r.tryGrow(bytes) == nil {
		return nil
	}
	return r.quota.refuse()
}

// noneStalled is returned by tryGrow if no request can be interrupted.
var noneStalled = make(chan struct{})

// tryGrow adds bytes to a Reservation and returns nil if there is room. Otherwise it interrupts stalled requests and returns a channel
// that is closed when bytes have been released, or noneStalled if no request was interrupted that will release any.
func (r *Reservation) tryGrow(bytes int64) (freed chan struct{}) {
	q := r.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	if bytes <= 0 || q.fits(r, bytes) {
		q.add(r, bytes)
		return nil
	}
	if !q.interruptStalled(r, bytes) {
		return noneStalled
	}
	return q.freed
}

// refuse counts a request for which there is no room, and returns ErrBusy.
func (q *Quota) refuse() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refused++
	return ErrBusy
}

// fits reports whether a Reservation may grow. A single large request fits whatever its size, so that every request within the limits of
// its port is served while nothing else is going on. q.mu is held.
func (q *Quota) fits(r *Reservation, bytes int64) bool {
	if r.bytes+bytes <= SmallRequest {
		return q.used+bytes <= q.limits.RequestBytes || q.used-q.large+bytes <= q.limits.SmallBytes
	}
	others := q.large
	if r.bytes > SmallRequest {
		others -= r.bytes
	}
	if others == 0 {
		return true
	}
	return others+r.bytes+bytes <= q.limits.RequestBytes-q.limits.SmallBytes && q.used+bytes <= q.limits.RequestBytes
}

// add adds bytes to a Reservation, or returns them if they are negative. q.mu is held.
func (q *Quota) add(r *Reservation, bytes int64) {
	if r.bytes > SmallRequest {
		q.large -= r.bytes
	}
	r.bytes += bytes
	q.used += bytes
	if r.bytes > SmallRequest {
		q.large += r.bytes
	}
	if bytes < 0 {
		close(q.freed)
		q.freed = make(chan struct{})
	}
}

// interruptStalled interrupts stalled requests other than r, the oldest first, until their bytes suffice for r. It reports
// whether there are any interrupted requests that have not released their bytes yet. q.mu is held.
func (q *Quota) interruptStalled(r *Reservation, bytes int64) (pending bool) {
	latest := time.Now().Add(-stallTimeout)
	for e := q.waiting.Front(); e != nil && bytes > 0; e = e.Next() {
		other := e.Value.(*Reservation)
		if other.since.After(latest) {
			break
		}
		if other == r || other.bytes == 0 {
			continue
		}
		if !other.interrupted {
			other.interrupted = true
			q.stalled++
			other.interrupt()
		}
		bytes -= other.bytes
		pending = true
	}
	return pending
}

// Await begins the time in which a request may be interrupted anew: the peer has just made progress, and more is to come.
func (r *Reservation) Await() {
	if r == nil {
		return
	}
	r.quota.mu.Lock()
	defer r.quota.mu.Unlock()
	r.leaveWaiting()
	r.since, r.interrupted = time.Now(), false
	r.element = r.quota.waiting.PushBack(r)
}

// Complete ends the time in which a request may be interrupted, and reports whether it was.
func (r *Reservation) Complete() (interrupted bool) {
	if r == nil {
		return false
	}
	r.quota.mu.Lock()
	defer r.quota.mu.Unlock()
	r.leaveWaiting()
	return r.interrupted
}

// leaveWaiting removes a Reservation from the requests that may be interrupted. quota.mu is held.
func (r *Reservation) leaveWaiting() {
	if r.element != nil {
		r.quota.waiting.Remove(r.element)
		r.element = nil
	}
}

// Release returns the bytes of a Reservation to the quota. It may be called more than once.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	q := r.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	r.leaveWaiting()
	q.add(r, -r.bytes)
}

// SetLimits changes the limits. It takes no room from those who have it.
func (q *Quota) SetLimits(limits Limits) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits = limits
}

// Usage is the state of a Quota.
type Usage struct {
	Limits      Limits `json:"limits"`
	Bytes       int64  `json:"bytes"`       // of requests and large answers
	Connections int    `json:"connections"` // that the quota counts
	Refused     uint64 `json:"busy"`        // requests without room
	Stalled     uint64 `json:"stalled"`     // requests interrupted to make room
	Evicted     uint64 `json:"evicted"`     // connections closed to make room
	TurnedAway  uint64 `json:"turned_away"` // new connections closed at once
}

// Usage returns the present state of the Quota.
func (q *Quota) Usage() Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Usage{
		Limits: q.limits, Bytes: q.used, Connections: q.connections.total, Refused: q.refused, Stalled: q.stalled,
		Evicted: q.connections.evicted, TurnedAway: q.connections.turnedAway,
	}
}
