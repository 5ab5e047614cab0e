package scheduler

import (
	"testing"
	"time"

	"sedgevale/dispatcher"
)

// Guards against responses that are lost by SIGKILL. The signal arrives a fixed time after the
// longest client timeout, however short that is, and all responses must have been sent by then.
func TestDrainEndsBeforeSIGKILL(t *testing.T) {
	const killDelay = 700 * time.Millisecond
	for _, limit := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second, 2 * time.Second,
		3 * time.Second, 5 * time.Second, 25 * time.Second} {
		s := &Scheduler{}
		s.settings.Store(&dispatcher.Settings{Classes: []dispatcher.Class{{ClientTimeout: limit / 2}, {ClientTimeout: limit}}})
		longest := s.maxClientTimeout()
		closeIdleAfter, abandonAfter := drainDeadlines(longest)
		kill := min(limit, maxDrainWait) + killDelay
		if abandonAfter+lingerTimeout >= kill {
			t.Errorf("client timeout %v: requests abandoned after %v, SIGKILL after %v", longest, abandonAfter, kill)
		}
		if closeIdleAfter < 400*time.Millisecond || closeIdleAfter > abandonAfter {
			t.Errorf("client timeout %v: idle connections closed after %v, requests abandoned after %v", longest, closeIdleAfter, abandonAfter)
		}
	}
}
