//go:build tally

package dispatch

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"sedgevale/dispatcher"
)

// The line sums what happened since the last and comes no sooner than counterInterval.
func TestTallyLine(t *testing.T) {
	var buf bytes.Buffer
	log := slog.New(slog.NewTextHandler(&buf, nil))
	var tl counters
	first, second := &Attempt{Number: 0}, &Attempt{Number: 1}
	tl.sent(first, 0)
	tl.sent(second, 10*time.Millisecond)
	tl.started(first, 30*time.Millisecond)
	tl.started(second, 210*time.Millisecond)
	tl.ended(dispatcher.Served)
	tl.ended(dispatcher.Cancelled)
	tl.cancel()
	tl.fail()
	tl.out(log, counterInterval-time.Millisecond)
	if buf.Len() != 0 {
		t.Fatalf("a line before %v: %s", counterInterval, buf.String())
	}
	tl.out(log, counterInterval)
	line := buf.String()
	for _, want := range []string{"sends=2 ", "further=1 ", "cancels=1 ", "failed=1 ", "served=1 ", "cancelled=1 ",
		"starts=2 ", "starts_late=1 ", "start_mean_ms=115"} {
		if !strings.Contains(line, want) {
			t.Errorf("%q lacks %q", line, want)
		}
	}
	buf.Reset()
	tl.out(log, 2*counterInterval)
	if buf.Len() != 0 {
		t.Fatalf("a line with nothing counted: %s", buf.String())
	}
}
