package taskgroup

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestGroupWaitsForAllItsGoroutines checks that Shutdown stops and waits for all goroutines, including those of derived groups, and
// that cancelling a derived group does not affect the original one.
func TestGroupWaitsForAllItsGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := New(t.Context())
		derived := group.Derive()
		var ended atomic.Int64
		for range 3 {
			derived.Go(func(ctx context.Context) {
				<-ctx.Done()
				time.Sleep(time.Second)
				ended.Add(1)
			})
		}
		derived.Cancel()
		if group.ctx.Err() != nil {
			t.Error("cancelling a derived group cancelled the group that it is derived from")
		}
		began := time.Now()
		group.Shutdown()
		if ended.Load() != 3 || time.Since(began) != time.Second {
			t.Errorf("Shutdown returned after %v with %d of 3 goroutines ended", time.Since(began), ended.Load())
		}
		if group.Go(func(context.Context) {}) || derived.Go(func(context.Context) {}) {
			t.Error("a group that was shut down started a goroutine")
		}
	})
}
