//go:build !tally

package dispatchdriver

import (
	"testing"
	"unsafe"
)

// Tests that the counters take no memory in a build without the tag tally, neither per planner
// nor per attempt.
func TestCountersAreEmptyWithoutTag(t *testing.T) {
	if n := unsafe.Sizeof(counters{}) + unsafe.Sizeof(attemptCounters{}); n != 0 {
		t.Fatalf("the counters take %d bytes in a build without the tag tally, want 0", n)
	}
}
