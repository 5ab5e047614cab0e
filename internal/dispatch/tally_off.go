//go:build !tally

package dispatch

import (
	"log/slog"
	"time"

	"sedgevale/dispatcher"
)

// tally is empty without -tags tally; see tally.go.
type counters struct{}

func (*counters) sent(*Attempt, time.Duration)    {}
func (*counters) cancel()                         {}
func (*counters) reject()                         {}
func (*counters) fail()                           {}
func (*counters) ended(dispatcher.Outcome)        {}
func (*counters) started(*Attempt, time.Duration) {}
func (*counters) out(*slog.Logger, time.Duration) {}

type attemptCounters struct{}
