package core

import (
	"context"
	"math/rand/v2"
	"time"
)

// jitter returns a random duration from 0 to maximum, inclusive.
func jitter(maximum time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(maximum) + 1))
}

// sleep waits until the duration has elapsed or the context ends. It reports whether the context is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// signal wakes the goroutine that receives from it. Notifications sent before it receives are merged into one.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

// notify sends the signal without blocking.
func (s signal) notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}
