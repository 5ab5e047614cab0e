package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func TestOnlyKeysOfTheLostMemberMove(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	for i := range 200 {
		key := fmt.Sprint("key", i)
		before := Highest(key, members)
		after := Highest(key, []string{"a", "b", "c"})
		if before != "d" && before != after {
			t.Errorf("%s moved from %s to %s though d was lost", key, before, after)
		}
	}
}

func TestMonitorsAreFewAndOthers(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	watched := map[string]int{}
	for _, self := range members {
		monitors := Monitors(self, members, 3)
		if len(monitors) != 3 || slices.Contains(monitors, self) {
			t.Errorf("%s monitors %v", self, monitors)
		}
		for _, one := range monitors {
			watched[one]++
		}
	}
	if Highest("x", nil) != "" || len(Monitors("a", []string{"a"}, 3)) != 0 {
		t.Error("nobody to choose from")
	}
}
