package view

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestOthersMeetEveryQuorum(t *testing.T) {
	for n := 1; n <= 9; n++ {
		// Of n-1 others, any Others(n) and any Majority(n)-1 must share one.
		if n > 1 && Others(n)+Majority(n)-1 <= n-1 {
			t.Errorf("n=%d: %d others and a quorum of %d may miss each other", n, Others(n), Majority(n))
		}
	}
}

func TestNewFillsSlotsFromSeeds(t *testing.T) {
	v := New(5, []string{"a", "b", "c"})
	if v.Occupied() != 3 || v.IndexOf("b") != 1 || v.IndexOf("d") != -1 {
		t.Errorf("view %+v", v)
	}
}

func TestMergeKeepsTheFirstOfOneGeneration(t *testing.T) {
	v := New(3, []string{"a", "b", "c"})
	v.Slots[2] = Slot{Generation: 2, Incarnation: "x", Address: "d"}
	other := v.Clone()
	other.Slots[2] = Slot{Generation: 2, Incarnation: "y", Address: "e"}
	if v.Merge(other) || v.Slots[2].Address != "d" {
		t.Errorf("slot %+v after a rival of the same generation", v.Slots[2])
	}
	other.Slots[2].Generation = 3
	if !v.Merge(other) || v.Slots[2].Address != "e" {
		t.Errorf("slot %+v after a newer generation", v.Slots[2])
	}
}

func TestOutdates(t *testing.T) {
	older := New(3, []string{"a", "b", "c"})
	newer := older.Clone()
	newer.Slots[0].Generation = 2
	if !newer.Outdates(older) || older.Outdates(newer) || older.Outdates(older) {
		t.Error("a newer generation of one slot outdates, an equal view does not")
	}
	if !older.Outdates(View{}) {
		t.Error("an empty view is outdated")
	}
}

// Merging in any order ends in the same generations.
func TestMergeConverges(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	generations := gen.SliceOfN(3, gen.Int64Range(0, 5))
	of := func(g []int64) View {
		v := View{Slots: make([]Slot, 3)}
		for i := range g {
			v.Slots[i].Generation = g[i]
		}
		return v
	}
	properties.Property("order does not matter", prop.ForAll(func(a, b []int64) bool {
		one, two := of(a), of(b)
		one.Merge(of(b))
		two.Merge(of(a))
		return !one.Outdates(two) && !two.Outdates(one)
	}, generations, generations))
	properties.TestingRun(t)
}
