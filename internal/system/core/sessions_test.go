package core

import "testing"

// A report that a network partition has delayed is rejected, since it does not belong to the current session. A run of the
// fault injection (trouble-2 --seed 734137710468, violation TWICE) failed because a report of a crashed worker arrived after
// the worker's next incarnation had started runs.
func TestDelayedReportIsRejected(t *testing.T) {
	s := sessions{}
	first, ok := s.admit("side", "", 1)
	if ok {
		t.Error("a report without a session was admitted")
	}
	if _, ok := s.admit("side", first, 3); !ok {
		t.Error("the next report was not admitted")
	}
	if _, ok := s.admit("side", first, 2); ok {
		t.Error("a report with a lower sequence number was admitted")
	}
	second, _ := s.admit("side", "of an earlier owner", 9)
	if _, ok := s.admit("side", first, 10); ok || second == first {
		t.Error("a report of an earlier session was admitted, or the new session reused its name")
	}
}
