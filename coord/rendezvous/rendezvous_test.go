package rendezvous

import (
	"fmt"
	"testing"
)

func TestRemovalMovesOnlyTheMembersKeys(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	for i := range 200 {
		key := fmt.Sprint("key", i)
		before := Highest(key, members)
		after := Highest(key, []string{"a", "b", "c"})
		if before != "d" && before != after {
			t.Errorf("%s moved from %s to %s although only d was removed", key, before, after)
		}
	}
}

func TestHighestWithoutMembers(t *testing.T) {
	if Highest("x", nil) != "" {
		t.Error("Highest returned a member of an empty list")
	}
}
