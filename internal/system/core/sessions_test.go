package core

import "testing"

// A report that was delayed by a partition is of no current session: found by a hunt on fosse-sedgevale-grown
// (trouble-2 --seed 734137710468, TWICE), where one of a crashed worker arrived after its next incarnation had started runs.
func TestLateReportIsNotTaken(t *testing.T) {
	s := sessions{}
	first, ok := s.admit("side", "", 1)
	if ok {
		t.Error("a report without a session was admitted")
	}
	if _, ok := s.admit("side", first, 3); !ok {
		t.Error("the next report was not admitted")
	}
	if _, ok := s.admit("side", first, 2); ok {
		t.Error("an earlier report of the session was admitted")
	}
	second, _ := s.admit("side", "of an earlier owner", 9)
	if _, ok := s.admit("side", first, 10); ok || second == first {
		t.Error("a session was continued after a newer one had begun")
	}
}
