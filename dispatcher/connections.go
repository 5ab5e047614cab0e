package dispatcher

import "time"

// This file detects unresponsive connections and delayed starts.

const (
	promptStartGain              = 1.0 / 32 // EWMA weight of one start
	minPromptStartRate           = 0.35     // share of prompt starts below which attempts are not rescheduled
	minUnresponsiveConnections   = 1.0      // decayed count above which running attempts are hedged
	unresponsiveConnectionsDecay = 0.01     // fraction by which that count decays per round
)

// connectionHealth summarizes what attempts show of connections and of queues at workers.
type connectionHealth struct {
	unresponsive        float64 // decayed count of connections that became unresponsive with an attempt in flight
	promptStartRate     float64 // EWMA share of attempts that started promptly
	rescheduleAllowedAt time.Duration
}

// observeStart records whether an attempt had started when its start was due.
func (c *connectionHealth) observeStart(started bool) {
	c.promptStartRate += promptStartGain * (boolToFloat(started) - c.promptStartRate)
}

func (c *connectionHealth) endRound() { c.unresponsive *= 1 - unresponsiveConnectionsDecay }

// recentlyUnresponsive reports whether connections have become unresponsive recently.
func (c *connectionHealth) recentlyUnresponsive() bool {
	return c.unresponsive > minUnresponsiveConnections
}

// mayReschedule reports whether cancelling an attempt to try another worker is worthwhile:
// enough attempts start promptly, and no worker has rejected one recently.
func (c *connectionHealth) mayReschedule(now time.Duration) bool {
	return c.promptStartRate > minPromptStartRate && now >= c.rescheduleAllowedAt
}
