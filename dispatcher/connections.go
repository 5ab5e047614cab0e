package dispatcher

import "time"

// Connections that fall silent, and starts that come late.

const (
	promptStartGain              = 1.0 / 32 // EWMA weight of one start
	minPromptStartRate           = 0.35     // share of attempts that start at once, for a reschedule to be worth it
	minUnresponsiveConnections   = 1.0      // decayed count, for running attempts to be hedged
	unresponsiveConnectionsDecay = 0.01     // of that count, a round
)

// connectionHealth is what attempts tell of connections and of queues at workers.
type connectionHealth struct {
	silent              float64 // decayed count of connections that fell silent under an attempt
	promptStartRate     float64 // EWMA share of attempts that started at once
	rescheduleAllowedAt time.Duration
}

// observeStart notes whether an attempt had started when it should have.
func (c *connectionHealth) observeStart(started bool) {
	c.promptStartRate += promptStartGain * (boolToFloat(started) - c.promptStartRate)
}

// endRound decays the count.
func (c *connectionHealth) endRound() { c.silent *= 1 - unresponsiveConnectionsDecay }

// becomeUnresponsive reports whether connections are known to fall silent now.
func (c *connectionHealth) becomeUnresponsive() bool { return c.silent > minUnresponsiveConnections }

// mayReschedule reports whether to cancel an attempt can be worth it: most attempts start
// at once, and no worker has rejected any lately.
func (c *connectionHealth) mayReschedule(now time.Duration) bool {
	return c.promptStartRate > minPromptStartRate && now >= c.rescheduleAllowedAt
}
