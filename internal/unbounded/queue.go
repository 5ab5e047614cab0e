// Package unbounded holds the queue by which one goroutine hands work to another
// without ever waiting for it.
package unbounded

import (
	"sync"
	"sync/atomic"
)

// Box is a queue with many senders and one reader. The reader takes all that
// has come at once, so a burst costs one wake-up.
type Box[T any] struct {
	mu    sync.Mutex
	items []T
	spare []T
	nonEmpty  atomic.Bool
	wake  func()
}

// New returns a Box that calls wake when an item comes into the empty queue.
// The call comes from the sender's goroutine and must not block.
func New[T any](wake func()) *Box[T] { return &Box[T]{wake: wake} }

// Put adds an item.
func (b *Box[T]) Put(item T) {
	b.mu.Lock()
	first := len(b.items) == 0
	b.items = append(b.items, item)
	b.nonEmpty.Store(true)
	b.mu.Unlock()
	if first {
		b.wake()
	}
}

// Take returns all items in the order in which they came. They are valid until
// the next Take.
func (b *Box[T]) Take() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.spare)
	b.nonEmpty.Store(false)
	items := b.items
	b.items, b.spare = b.spare[:0], items
	return items
}

// Waiting reports whether there are items to take, without waiting for anybody.
func (b *Box[T]) Waiting() bool { return b.nonEmpty.Load() }
