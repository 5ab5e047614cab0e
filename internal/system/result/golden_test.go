package result_test

import (
	"testing"

	"sedgevale/internal/system/result"
)

// TestCodeValues pins the numbers of the codes, which operators and other releases depend on. docs/RESULTS.md documents
// them.
func TestCodeValues(t *testing.T) {
	for got, want := range map[result.Code]int{
		result.OK: 0, result.BadRequest: 1001, result.NotOwner: 1002, result.NotReady: 1003, result.Fenced: 1004, result.EpochOutdated: 1005,
		result.NotRecovered: 1006, result.NoRoute: 1007, result.NoJob: 1008, result.Overloaded: 1009, result.Conflict: 1010, result.Invalid: 1011,
		result.WrongInstance: 1012, result.BallotOutdated: 1013, result.WrongReplica: 1014, result.Unavailable: 1015,
		result.MembershipInvalid: 1016, result.WrongDeployment: 1017, result.WrongDisk: 1018, result.QueueMoved: 1019,
		result.ConfigOutdated: 1020, result.JobCancelled: 1021, result.JobOutdated: 1022, result.StorageFailed: 2001,
		result.OutcomeUnknown: 2002, result.TransportFailed: 2003,
	} {
		if int(got) != want {
			t.Errorf("code %d, want %d", got, want)
		}
	}
	if got := result.Errorf(result.NoJob, "job %s", "a").Error(); got != "[1008] job a" {
		t.Errorf("error text %q", got)
	}
}
