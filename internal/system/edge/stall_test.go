package edge

import (
	"testing"
	"time"
)

// TestStallsAreNoticed checks, for the times in seconds of a series of checks, for how long a request at the last of them may have
// waited.
func TestStallsAreNoticed(t *testing.T) {
	cases := []struct {
		name   string
		checks []float64
		want   float64
	}{
		{"first check", []float64{100}, 0},
		{"no stall", []float64{100, 100.25, 100.5, 100.75}, 0},
		{"late, no stall", []float64{100, 100.25, 101.2}, 0},
		{"just woken", []float64{100, 105}, 5},
		{"backlog", []float64{100, 105, 105.25, 105.5, 105.9}, 5.9},
		{"backlog read", []float64{100, 105, 105.25, 105.5, 105.75, 106, 106.25}, 0},
		{"stalled again at once", []float64{100, 105, 105.5, 107}, 7},
		{"stalled again later", []float64{100, 105, 105.5, 106, 106.5, 108}, 1.5},
	}
	start := time.Now()
	for _, tc := range cases {
		detector, got := &stallDetector{}, time.Duration(0)
		for _, seconds := range tc.checks {
			got = detector.stalledFor(start.Add(time.Duration(seconds * float64(time.Second))))
		}
		if want := time.Duration(tc.want * float64(time.Second)); (got - want).Abs() > time.Millisecond {
			t.Errorf("%s: %v, want %v", tc.name, got, want)
		}
	}
}
