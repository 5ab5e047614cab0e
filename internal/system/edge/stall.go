package edge

import (
	"context"
	"sync"
	"time"
)

const (
	stallCheckInterval = 250 * time.Millisecond
	minStall           = time.Second // shortest time between two checks that counts as a stall
	stallBacklogTime   = time.Second // time after a stall within which requests are read that were sent before or during it
)

// stallDetector notices that the process was not running for a while, for example since its machine was frozen. What clients sent
// meanwhile is read only after the stall, when they may have given up. It is safe for concurrent use.
type stallDetector struct {
	mu          sync.Mutex
	lastCheck   time.Time
	since, till time.Time // the latest stall; one that begins within stallBacklogTime after another extends that one
}

// run checks for stalls until ctx is cancelled.
func (d *stallDetector) run(ctx context.Context) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		d.stalledFor(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// stalledFor returns the upper limit on the time for which a request that is read now may have waited because of a stall; 0 if there
// was none lately.
func (d *stallDetector) stalledFor(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lastCheck.IsZero() && now.Sub(d.lastCheck) >= minStall {
		if d.lastCheck.Sub(d.till) > stallBacklogTime {
			d.since = d.lastCheck
		}
		d.till = now
	}
	if now.After(d.lastCheck) {
		d.lastCheck = now
	}
	if now.Sub(d.till) > stallBacklogTime {
		return 0
	}
	return now.Sub(d.since)
}
