//go:build tally

package dispatch

import (
	"log/slog"
	"time"

	"sedgevale/dispatcher"
)

// counters counts what a planner did, for one log line every counterInterval, so that
// a day's logs can be summed across a fleet. It is built only with -tags
// tally: without the tag these methods are empty and cost nothing.
type counters struct {
	since                   time.Duration
	sends, retries, cancels int
	outcomes                [dispatcher.NotSent + 1]int
	rejected, failed        int
	starts, startLate       int
	startSum                time.Duration
}

// counterInterval is how often the line is written, on the planner's clock.
const counterInterval = 5 * time.Second

// lateStartThreshold is the delay from send to start notice that counts as late.
const lateStartThreshold = 100 * time.Millisecond

func (t *counters) sent(a *Attempt, now time.Duration) {
	a.sentAt = now
	t.sends++
	if a.Number > 0 {
		t.retries++
	}
}

func (t *counters) cancel()                    { t.cancels++ }
func (t *counters) reject()                    { t.rejected++ }
func (t *counters) fail()                      { t.failed++ }
func (t *counters) ended(o dispatcher.Outcome) { t.outcomes[o]++ }
func (t *counters) started(a *Attempt, now time.Duration) {
	t.starts++
	delay := now - a.sentAt
	t.startSum += delay
	if delay > lateStartThreshold {
		t.startLate++
	}
}

// out writes the line once counterInterval has passed since the last, if anything
// was counted, and begins the next.
func (t *counters) out(log *slog.Logger, now time.Duration) {
	if now-t.since < counterInterval {
		return
	}
	if t.sends+t.rejected+t.failed > 0 {
		o := &t.outcomes
		var mean time.Duration
		if t.starts > 0 {
			mean = t.startSum / time.Duration(t.starts)
		}
		log.Info("tally", "sends", t.sends, "further", t.retries, "cancels", t.cancels,
			"refused", t.rejected, "failed", t.failed,
			"served", o[dispatcher.Served], "errored", o[dispatcher.Errored], "full", o[dispatcher.Rejected],
			"timed_out", o[dispatcher.TimedOut], "connect_failed", o[dispatcher.ConnectFailed], "lost", o[dispatcher.ConnectionLost],
			"cancelled", o[dispatcher.Cancelled], "not_sent", o[dispatcher.NotSent],
			"starts", t.starts, "starts_late", t.startLate, "start_mean_ms", mean.Milliseconds())
	}
	*t = counters{since: now}
}

// attemptCounters is what an attempt carries for the counters.
type attemptCounters struct{ sentAt time.Duration }
