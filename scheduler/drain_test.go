package scheduler

import (
	"testing"
	"time"

	"sedgevale/dispatcher"
)

// Guards against answers that are lost by SIGKILL: it comes a fixed time after the longest
// client timeout, however short that is, and all must have been sent by then.
func TestDrainEndsBeforeTheKill(t *testing.T) {
	const killedAfter = 700 * time.Millisecond
	for _, limit := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second, 2 * time.Second,
		3 * time.Second, 5 * time.Second, 25 * time.Second} {
		s := &Scheduler{}
		s.settings.Store(&dispatcher.Settings{Classes: []dispatcher.Class{{ClientTimeout: limit / 2}, {ClientTimeout: limit}}})
		longest := s.maxClientTimeout()
		idle, end := drainDeadlines(longest)
		kill := min(limit, maxDrainWait) + killedAfter
		if end+lingerTimeout >= kill {
			t.Errorf("%v: given up after %v, killed after %v", longest, end, kill)
		}
		if idle < 400*time.Millisecond || idle > end {
			t.Errorf("%v: resting connections are ended after %v, all after %v", longest, idle, end)
		}
	}
}
