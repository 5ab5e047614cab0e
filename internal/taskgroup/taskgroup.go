// Package taskgroup starts goroutines that end with a context and have an owner that waits for them.
package taskgroup

import (
	"context"
	"sync"
)

// Group starts goroutines that end with one context. It is safe for concurrent use: other than with a sync.WaitGroup alone, a
// goroutine may be started while Shutdown waits. A derived group shares the count of running goroutines, so that whoever shuts
// the first group down waits for all of them.
type Group struct {
	ctx    context.Context // passed to the goroutines
	cancel context.CancelFunc
	count  *counter
}

// counter counts running goroutines.
type counter struct {
	mu      sync.Mutex // guards closed; held for no task
	closed  bool       // no goroutine is started any more; never reset
	running sync.WaitGroup
}

// New returns a group whose goroutines end with the context, or when the group is cancelled.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, count: &counter{}}
}

// Derive returns a group that can be cancelled by itself, and ends with this one.
func (g *Group) Derive() *Group {
	derived := New(g.ctx)
	derived.count = g.count
	return derived
}

// Go starts a goroutine. It reports false, and starts none, once the group is shutting down.
func (g *Group) Go(task func(context.Context)) (started bool) {
	g.count.mu.Lock()
	defer g.count.mu.Unlock()
	if g.count.closed {
		return false
	}
	g.count.running.Go(func() { task(g.ctx) })
	return true
}

// Context returns the context with which the goroutines end.
func (g *Group) Context() context.Context { return g.ctx }

// Done is closed when the goroutines are to end.
func (g *Group) Done() <-chan struct{} { return g.ctx.Done() }

// Cancel has the goroutines of the group end, and waits for none of them.
func (g *Group) Cancel() { g.cancel() }

// Shutdown ends the goroutines of this group and of those derived from it, and waits for them.
func (g *Group) Shutdown() {
	g.cancel()
	g.count.mu.Lock()
	g.count.closed = true
	g.count.mu.Unlock()
	g.count.running.Wait()
}
