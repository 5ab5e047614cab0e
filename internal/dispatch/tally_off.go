//go:build !tally

package dispatch

import (
	"log/slog"
	"time"

	"sedgevale/dispatcher"
)

// tally is empty without -tags tally; see tally.go.
type tally struct{}

func (*tally) sent(*Attempt, time.Duration)    {}
func (*tally) cancel()                         {}
func (*tally) reject()                         {}
func (*tally) fail()                           {}
func (*tally) ended(dispatcher.Outcome)        {}
func (*tally) started(*Attempt, time.Duration) {}
func (*tally) out(*slog.Logger, time.Duration) {}

type attemptTally struct{}
