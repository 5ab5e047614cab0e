//go:build !tally

package dispatchdriver

import (
	"log/slog"
	"time"

	"sedgevale/dispatcher"
)

// counters is empty without the build tag tally; see tally.go.
type counters struct{}

func (*counters) sent(*Attempt, time.Duration)         {}
func (*counters) cancel()                              {}
func (*counters) reject()                              {}
func (*counters) fail()                                {}
func (*counters) ended(dispatcher.Outcome)             {}
func (*counters) started(*Attempt, time.Duration)      {}
func (*counters) logIfDue(*slog.Logger, time.Duration) {}

type attemptCounters struct{}
