// Package taskgroup manages groups of goroutines that are stopped by a context and that their owner can wait for.
package taskgroup

import (
	"context"
	"sync"
)

// Group starts goroutines that are stopped by one context. It is safe for concurrent use: unlike with a plain sync.WaitGroup, Go
// may be called while Shutdown waits. A derived group shares the counter of running goroutines, so that Shutdown of the original
// group waits for the goroutines of all derived groups.
type Group struct {
	ctx    context.Context // passed to the goroutines
	cancel context.CancelFunc
	count  *counter
}

// counter counts running goroutines.
type counter struct {
	mu      sync.Mutex // guards closed; not held while a task runs
	closed  bool       // set by Shutdown: no goroutine is started any more
	running sync.WaitGroup
}

// New returns a group whose context is cancelled with the given one, or by Cancel or Shutdown.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, count: &counter{}}
}

// Derive returns a group that can be cancelled on its own and is cancelled with this one.
func (g *Group) Derive() *Group {
	derived := New(g.ctx)
	derived.count = g.count
	return derived
}

// Go runs a task in a new goroutine. It returns false without starting the task if Shutdown has been called.
func (g *Group) Go(task func(context.Context)) (started bool) {
	g.count.mu.Lock()
	defer g.count.mu.Unlock()
	if g.count.closed {
		return false
	}
	g.count.running.Go(func() { task(g.ctx) })
	return true
}

// Context returns the context that is passed to the goroutines.
func (g *Group) Context() context.Context { return g.ctx }

// Done returns a channel that is closed when the group's context is cancelled.
func (g *Group) Done() <-chan struct{} { return g.ctx.Done() }

// Cancel cancels the context of the group and does not wait for the goroutines.
func (g *Group) Cancel() { g.cancel() }

// Shutdown cancels the context of this group and of the groups derived from it, and waits for their goroutines.
func (g *Group) Shutdown() {
	g.cancel()
	g.count.mu.Lock()
	g.count.closed = true
	g.count.mu.Unlock()
	g.count.running.Wait()
}
