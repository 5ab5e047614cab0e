package dispatcher

import "time"

// Rounds and stalls.

const (
	roundInterval  = 100 * time.Millisecond // Wisp's control interval
	stallThreshold = 25 * time.Millisecond  // a round overdue by more means that this process did not run meanwhile
	catchUpDelay   = time.Millisecond       // its timer fires after all events that wait to be read
)

// roundClock counts the control rounds and notices, by an overdue one, that the
// process did not run for a while.
type roundClock struct {
	running    bool // rounds have begun
	number     int64
	due        time.Duration // of the next round
	catchingUp bool          // after a stall, until all that came meanwhile has been read
}

// start reports whether the rounds begin with this call: it is the first.
func (c *roundClock) start(now time.Duration) bool {
	if c.running {
		return false
	}
	c.running = true
	c.due = now + roundInterval
	return true
}

// detectStall reports whether a stall is noticed by this call.
func (c *roundClock) detectStall(now time.Duration) bool {
	if !c.running || c.catchingUp || now <= c.due+stallThreshold {
		return false
	}
	c.catchingUp = true
	return true
}
