package dispatcher

import "time"

// This file counts the control rounds and detects stalls of the process.

const (
	roundInterval  = 100 * time.Millisecond // control interval of Wisp
	stallThreshold = 25 * time.Millisecond  // delay of a round beyond which the process must have stalled
	catchUpDelay   = time.Millisecond       // a timer after this delay fires once all waiting events have been read
)

// roundClock counts the control rounds and detects by an overdue round that the process
// did not run for a while.
type roundClock struct {
	running    bool // rounds have begun
	number     int64
	due        time.Duration // time at which the next round is due
	catchingUp bool          // events that arrived during a stall are still being read
}

// start starts the rounds, and reports whether they were not running before.
func (c *roundClock) start(now time.Duration) bool {
	if c.running {
		return false
	}
	c.running = true
	c.due = now + roundInterval
	return true
}

// detectStall reports whether this call has detected a new stall.
func (c *roundClock) detectStall(now time.Duration) bool {
	if !c.running || c.catchingUp || now <= c.due+stallThreshold {
		return false
	}
	c.catchingUp = true
	return true
}
