//go:build tally

package dispatchdriver

import (
	"log/slog"
	"time"

	"sedgevale/dispatcher"
)

// counters counts the actions and events of a planner for a log line that is written every
// counterInterval. Each line holds the counts since the previous one, so that logs can be
// summed over time and across a fleet. It requires the build tag tally; without the tag the
// methods are empty (tally_off.go).
type counters struct {
	intervalStart           time.Duration
	sends, retries, cancels int
	outcomes                [dispatcher.NotSent + 1]int
	rejected, failed        int
	starts, lateStarts      int
	startDelaySum           time.Duration
}

// counterInterval is the minimum time between two log lines.
const counterInterval = 5 * time.Second

// lateStartThreshold is the delay between a send and its start notification above which the
// start counts as late.
const lateStartThreshold = 100 * time.Millisecond

func (c *counters) sent(a *Attempt, now time.Duration) {
	a.sentAt = now
	c.sends++
	if a.Number > 0 {
		c.retries++
	}
}

func (c *counters) cancel()                    { c.cancels++ }
func (c *counters) reject()                    { c.rejected++ }
func (c *counters) fail()                      { c.failed++ }
func (c *counters) ended(o dispatcher.Outcome) { c.outcomes[o]++ }
func (c *counters) started(a *Attempt, now time.Duration) {
	c.starts++
	delay := now - a.sentAt
	c.startDelaySum += delay
	if delay > lateStartThreshold {
		c.lateStarts++
	}
}

// logIfDue starts a new interval once counterInterval has passed since the start of the
// current one. It logs the counts of the old interval if in it any attempt was sent or any
// job was rejected or failed.
func (c *counters) logIfDue(log *slog.Logger, now time.Duration) {
	if now-c.intervalStart < counterInterval {
		return
	}
	if c.sends+c.rejected+c.failed > 0 {
		o := &c.outcomes
		var mean time.Duration
		if c.starts > 0 {
			mean = c.startDelaySum / time.Duration(c.starts)
		}
		log.Info("tally", "sends", c.sends, "further", c.retries, "cancels", c.cancels,
			"refused", c.rejected, "failed", c.failed,
			"served", o[dispatcher.Served], "errored", o[dispatcher.Errored], "full", o[dispatcher.Rejected],
			"timed_out", o[dispatcher.TimedOut], "connect_failed", o[dispatcher.ConnectFailed], "lost", o[dispatcher.ConnectionLost],
			"cancelled", o[dispatcher.Cancelled], "not_sent", o[dispatcher.NotSent],
			"starts", c.starts, "starts_late", c.lateStarts, "start_mean_ms", mean.Milliseconds())
	}
	*c = counters{intervalStart: now}
}

// attemptCounters is the per-attempt state of the counters.
type attemptCounters struct{ sentAt time.Duration }
