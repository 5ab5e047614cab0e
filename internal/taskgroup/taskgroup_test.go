package taskgroup

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Shutdown ends and waits for all goroutines, those of derived groups too; a derived group can be cancelled by itself.
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
			t.Error("a derived group ended the one that it is derived from")
		}
		began := time.Now()
		group.Shutdown()
		if ended.Load() != 3 || time.Since(began) != time.Second {
			t.Errorf("%d of 3 goroutines ended after %v", ended.Load(), time.Since(began))
		}
		if group.Go(func(context.Context) {}) || derived.Go(func(context.Context) {}) {
			t.Error("a group that was shut down started a goroutine")
		}
	})
}
