// Package unbounded provides an unbounded FIFO queue between goroutines whose senders never block.
package unbounded

import (
	"sync"
	"sync/atomic"
)

// Queue is a FIFO queue with many senders and one receiver. The receiver takes all items at once, so that a burst of items causes
// only one wake-up.
type Queue[T any] struct {
	mu       sync.Mutex // guards items and spare
	items    []T
	spare    []T // slice that the last TakeAll returned, for reuse
	nonEmpty atomic.Bool
	wake     func()
}

// New returns a Queue that calls wake when an item is added to the empty queue. Put calls wake on the sender's goroutine, so it
// must not block.
func New[T any](wake func()) *Queue[T] { return &Queue[T]{wake: wake} }

// Put appends an item.
func (q *Queue[T]) Put(item T) {
	q.mu.Lock()
	first := len(q.items) == 0
	q.items = append(q.items, item)
	q.nonEmpty.Store(true)
	q.mu.Unlock()
	if first {
		q.wake()
	}
}

// TakeAll removes and returns all items in the order in which they were added. The slice is valid until the next TakeAll.
func (q *Queue[T]) TakeAll() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.spare)
	q.nonEmpty.Store(false)
	items := q.items
	q.items, q.spare = q.spare[:0], items
	return items
}

// HasItems reports whether the queue has items. It takes no lock.
func (q *Queue[T]) HasItems() bool { return q.nonEmpty.Load() }
