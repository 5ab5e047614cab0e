package core

import (
	"testing"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/settings"
)

func TestSeatsFollowFaultTolerance(t *testing.T) {
	cases := map[settings.FaultTolerance]int{
		{}: 1, {Machines: 1}: 3, {Machines: 2}: 5, {Zones: 1}: 3, {Regions: 1}: 3, {Machines: 2, Zones: 1}: 5,
	}
	for tolerance, want := range cases {
		if got := seatCount(tolerance, 3); got != want {
			t.Errorf("%+v: %d seats, want %d", tolerance, got, want)
		}
	}
}

// The seeds form a quorum of the seats, whatever number of machine failures the settings ask to tolerate.
func TestSeedsFormAQuorum(t *testing.T) {
	for seeds := 1; seeds <= 3; seeds++ {
		for failures := range 5 {
			m := membership.Bootstrap(seatCount(settings.FaultTolerance{Machines: failures}, seeds), []string{"a", "b", "c"}[:seeds])
			if err := m.Validate(); err != nil || len(m.Voters()) < m.Quorum() {
				t.Errorf("%d seeds, %d failures: %d voters, want a quorum of %d; error %v", seeds, failures, len(m.Voters()), m.Quorum(), err)
			}
		}
	}
}
