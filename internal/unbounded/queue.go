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
func (b *Queue[T]) Put(item T) {
	b.mu.Lock()
	first := len(b.items) == 0
	b.items = append(b.items, item)
	b.nonEmpty.Store(true)
	b.mu.Unlock()
	if first {
		b.wake()
	}
}

// TakeAll removes and returns all items in the order in which they were added. The slice is valid until the next TakeAll.
func (b *Queue[T]) TakeAll() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.spare)
	b.nonEmpty.Store(false)
	items := b.items
	b.items, b.spare = b.spare[:0], items
	return items
}

// HasItems reports whether there are items, without a lock.
func (b *Queue[T]) HasItems() bool { return b.nonEmpty.Load() }
