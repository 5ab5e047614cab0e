package intake

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

// ErrBusy is returned if the budget has no room for a request. The request was not taken.
var ErrBusy = errors.New("the process holds as much for other requests as it may; try again later")

const (
	// stallTimeout is how long a peer may take to send a request, or to read the end of an answer, while others need the room.
	stallTimeout = time.Second
	// roomTimeout limits the wait for the room of peers that were interrupted.
	roomTimeout = 100 * time.Millisecond
)

// Budget counts the bytes and connections that a process holds for its peers against Limits. If they do not suffice, it
// interrupts the peers that have been slow for the longest time. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex // guards all fields below
	limits  Limits
	used    int64         // bytes of all holds
	large   int64         // bytes of the holds with more than SmallRequest
	waiting *list.List    // *Hold whose peer is still sending, the oldest first
	freed   chan struct{} // closed and replaced when bytes are released
	refused uint64        // requests without room
	stalled uint64        // requests interrupted to make room

	connections connectionTable
}

// NewBudget returns an empty Budget.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, waiting: list.New(), freed: make(chan struct{}), connections: newConnectionTable()}
}

// Hold is the part of a Budget that one request uses. A nil Hold uses no budget.
type Hold struct {
	budget    *Budget
	interrupt func() // makes the peer's request fail; must not block

	// The fields below are guarded by budget.mu.
	bytes       int64
	since       time.Time
	element     *list.Element // in budget.waiting; nil once the request is complete
	interrupted bool
}

// NewHold returns a Hold for a request that a peer begins to send. Until Complete is called, the budget may call interrupt to make
// room for others. Release must be called in the end.
func (b *Budget) NewHold(interrupt func()) *Hold {
	h := &Hold{budget: b, interrupt: interrupt, since: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.element = b.waiting.PushBack(h)
	return h
}

// Grow adds bytes to a Hold. If there is no room, it interrupts requests that have been incomplete for stallTimeout and waits
// up to roomTimeout for their bytes. It returns ErrBusy if there still is no room.
func (h *Hold) Grow(bytes int64) error {
	if h == nil {
		return nil
	}
	var timeout <-chan time.Time
	for {
		freed := h.tryGrow(bytes)
		switch {
		case freed == nil:
			return nil
		case freed == noneStalled:
			return h.budget.refuse()
		case timeout == nil:
			timeout = time.After(roomTimeout)
		}
		select {
		case <-freed:
		case <-timeout:
			return h.TryGrow(bytes)
		}
	}
}

// TryGrow is like Grow but does not wait. A negative number of bytes is returned to the budget.
func (h *Hold) TryGrow(bytes int64) error {
	if h == nil || h.tryGrow(bytes) == nil {
		return nil
	}
	return h.budget.refuse()
}

// noneStalled is returned by tryGrow if no request can be interrupted.
var noneStalled = make(chan struct{})

// tryGrow adds bytes to a Hold and returns nil if there is room. Otherwise it interrupts stalled requests and returns a channel
// that is closed when bytes have been released, or noneStalled if no request was interrupted that will release any.
func (h *Hold) tryGrow(bytes int64) (freed chan struct{}) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes <= 0 || b.fits(h, bytes) {
		b.add(h, bytes)
		return nil
	}
	if !b.interruptStalled(h, bytes) {
		return noneStalled
	}
	return b.freed
}

// refuse counts a request for which there is no room, and returns ErrBusy.
func (b *Budget) refuse() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
	return ErrBusy
}

// fits reports whether a Hold may grow. A single large request fits whatever its size, so that every request within the limits of
// its port is served while nothing else is going on. b.mu is held.
func (b *Budget) fits(h *Hold, bytes int64) bool {
	if h.bytes+bytes <= SmallRequest {
		return b.used+bytes <= b.limits.RequestBytes || b.used-b.large+bytes <= b.limits.SmallBytes
	}
	others := b.large
	if h.bytes > SmallRequest {
		others -= h.bytes
	}
	if others == 0 {
		return true
	}
	return others+h.bytes+bytes <= b.limits.RequestBytes-b.limits.SmallBytes && b.used+bytes <= b.limits.RequestBytes
}

// add adds bytes to a Hold, or returns them if they are negative. b.mu is held.
func (b *Budget) add(h *Hold, bytes int64) {
	if h.bytes > SmallRequest {
		b.large -= h.bytes
	}
	h.bytes += bytes
	b.used += bytes
	if h.bytes > SmallRequest {
		b.large += h.bytes
	}
	if bytes < 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// interruptStalled interrupts stalled requests other than h, the oldest first, until their bytes suffice for h. It reports
// whether there are any interrupted requests that have not released their bytes yet. b.mu is held.
func (b *Budget) interruptStalled(h *Hold, bytes int64) (pending bool) {
	latest := time.Now().Add(-stallTimeout)
	for e := b.waiting.Front(); e != nil && bytes > 0; e = e.Next() {
		other := e.Value.(*Hold)
		if other.since.After(latest) {
			break
		}
		if other == h || other.bytes == 0 {
			continue
		}
		if !other.interrupted {
			other.interrupted = true
			b.stalled++
			other.interrupt()
		}
		bytes -= other.bytes
		pending = true
	}
	return pending
}

// Await begins the time in which a request may be interrupted anew: the peer has just made progress, and more is to come.
func (h *Hold) Await() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.leaveWaiting()
	h.since, h.interrupted = time.Now(), false
	h.element = h.budget.waiting.PushBack(h)
}

// Complete ends the time in which a request may be interrupted, and reports whether it was.
func (h *Hold) Complete() (interrupted bool) {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.leaveWaiting()
	return h.interrupted
}

// leaveWaiting removes a Hold from the requests that may be interrupted. budget.mu is held.
func (h *Hold) leaveWaiting() {
	if h.element != nil {
		h.budget.waiting.Remove(h.element)
		h.element = nil
	}
}

// Release returns the bytes of a Hold to the budget. It may be called more than once.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.leaveWaiting()
	b.add(h, -h.bytes)
}

// SetLimits changes the limits. It takes no room from those who have it.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// Usage is the state of a Budget.
type Usage struct {
	Limits      Limits `json:"limits"`
	Bytes       int64  `json:"bytes"`       // of requests and large answers
	Connections int    `json:"connections"` // that the budget counts
	Refused     uint64 `json:"busy"`        // requests without room
	Stalled     uint64 `json:"stalled"`     // requests interrupted to make room
	Evicted     uint64 `json:"evicted"`     // connections closed to make room
	TurnedAway  uint64 `json:"turned_away"` // new connections closed at once
}

// Usage returns the present state of the Budget.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{
		Limits: b.limits, Bytes: b.used, Connections: b.connections.total, Refused: b.refused, Stalled: b.stalled,
		Evicted: b.connections.evicted, TurnedAway: b.connections.turnedAway,
	}
}
