//go:build !tally

package dispatch

import (
	"testing"
	"unsafe"
)

// Without the tag the counters must cost the platform's path nothing, not even a byte
// of an attempt.
func TestTallyIsEmpty(t *testing.T) {
	if n := unsafe.Sizeof(counters{}) + unsafe.Sizeof(attemptCounters{}); n != 0 {
		t.Fatalf("the tally takes %d bytes without -tags tally", n)
	}
}
