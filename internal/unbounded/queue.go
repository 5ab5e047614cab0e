// Package unbounded is an unbounded queue between goroutines, whose senders never block.
package unbounded

import (
	"sync"
	"sync/atomic"
)

// Queue is a queue with many senders and one receiver. The receiver takes all items at once, so a burst costs one wake-up.
type Queue[T any] struct {
	mu       sync.Mutex // guards items and spare
	items    []T
	spare    []T // the slice of the last TakeAll, to be reused
	nonEmpty atomic.Bool
	wake     func()
}

// New returns a Queue that calls wake when an item is added to the empty queue. The call is made by the sender and must not
// block.
func New[T any](wake func()) *Queue[T] { return &Queue[T]{wake: wake} }

// Put adds an item.
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

// HasItems reports whether there are items, without a lock.
func (q *Queue[T]) HasItems() bool { return q.nonEmpty.Load() }
