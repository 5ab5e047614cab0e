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
		if got := seatsFor(tolerance, 3); got != want {
			t.Errorf("%+v: %d seats, %d wanted", tolerance, got, want)
		}
	}
}

// The seeds make a quorum of the seats, however many losses a deployment names.
func TestSeedsMakeAQuorum(t *testing.T) {
	for seeds := 1; seeds <= 3; seeds++ {
		for lost := range 5 {
			m := membership.Bootstrap(seatsFor(settings.FaultTolerance{Machines: lost}, seeds), []string{"a", "b", "c"}[:seeds])
			if err := m.Validate(); err != nil || len(m.Voters()) < m.Quorum() {
				t.Errorf("%d seeds, %d losses: %d voters, a quorum is %d, %v", seeds, lost, len(m.Voters()), m.Quorum(), err)
			}
		}
	}
}
