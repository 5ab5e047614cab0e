//go:build tally

package dispatchdriver

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"sedgevale/dispatcher"
)

// Tests that a log line holds the counts since the previous line, and that none is written
// within counterInterval or without any counts.
func TestCountersLogLine(t *testing.T) {
	var buf bytes.Buffer
	log := slog.New(slog.NewTextHandler(&buf, nil))
	var c counters
	first, second := &Attempt{Number: 0}, &Attempt{Number: 1}
	c.sent(first, 0)
	c.sent(second, 10*time.Millisecond)
	c.started(first, 30*time.Millisecond)
	c.started(second, 210*time.Millisecond)
	c.ended(dispatcher.Served)
	c.ended(dispatcher.Cancelled)
	c.cancel()
	c.fail()
	c.logIfDue(log, counterInterval-time.Millisecond)
	if buf.Len() != 0 {
		t.Fatalf("line written within %v: %s", counterInterval, buf.String())
	}
	c.logIfDue(log, counterInterval)
	line := buf.String()
	for _, want := range []string{"sends=2 ", "further=1 ", "cancels=1 ", "failed=1 ", "served=1 ", "cancelled=1 ",
		"starts=2 ", "starts_late=1 ", "start_mean_ms=115"} {
		if !strings.Contains(line, want) {
			t.Errorf("line %q does not contain %q", line, want)
		}
	}
	buf.Reset()
	c.logIfDue(log, 2*counterInterval)
	if buf.Len() != 0 {
		t.Fatalf("line written without counts: %s", buf.String())
	}
}
