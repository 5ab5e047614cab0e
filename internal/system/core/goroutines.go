package core

import (
	"context"
	"sync"
)

// goroutineGroup starts goroutines that end with one context. A derived group shares the count of running goroutines, so that
// whoever shuts the first group down waits for all of them.
type goroutineGroup struct {
	ctx    context.Context // passed to the goroutines
	cancel context.CancelFunc
	count  *goroutineCount
}

// goroutineCount counts running goroutines.
type goroutineCount struct {
	mu      sync.Mutex // guards closed; held for no task
	closed  bool       // no goroutine is started any more; never reset
	running sync.WaitGroup
}

// newGoroutineGroup returns a group whose goroutines end with the context, or when the group is closed.
func newGoroutineGroup(ctx context.Context) *goroutineGroup {
	ctx, cancel := context.WithCancel(ctx)
	return &goroutineGroup{ctx: ctx, cancel: cancel, count: &goroutineCount{}}
}

// derive returns a group that can be closed by itself, and ends with this one.
func (g *goroutineGroup) derive() *goroutineGroup {
	derived := newGoroutineGroup(g.ctx)
	derived.count = g.count
	return derived
}

// run starts a goroutine. It reports false, and starts none, once the group is shutting down.
func (g *goroutineGroup) run(task func(context.Context)) bool {
	g.count.mu.Lock()
	defer g.count.mu.Unlock()
	if g.count.closed {
		return false
	}
	g.count.running.Go(func() { task(g.ctx) })
	return true
}

// done is closed when the goroutines are to end.
func (g *goroutineGroup) done() <-chan struct{} { return g.ctx.Done() }

// close has the goroutines of the group end, and waits for none of them.
func (g *goroutineGroup) close() { g.cancel() }

// shutDown ends the goroutines of this group and of those derived from it, and waits for them.
func (g *goroutineGroup) shutDown() {
	g.cancel()
	g.count.mu.Lock()
	g.count.closed = true
	g.count.mu.Unlock()
	g.count.running.Wait()
}
