package admission

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestLimitDecreaseAndIncrease(t *testing.T) {
	tuning := LimitTuning{DecreaseFactor: 0.5, IncreaseStep: 0.1, MinLimit: 0.1}
	if got := tuning.Decrease(8, 4); got != 2 {
		t.Errorf("limit decreased to %v, want 2", got)
	}
	if got := tuning.Decrease(0.1, 0); got != 0.1 {
		t.Errorf("limit decreased to %v, want the minimum of 0.1", got)
	}
	if got := tuning.Increase(4, 2); math.Abs(got-4.2) > 1e-9 {
		t.Errorf("limit increased to %v, want 4.2", got)
	}
	if got := tuning.Increase(4, -2); got != 4 {
		t.Errorf("limit increased to %v without unused capacity", got)
	}
}

func TestShareDecays(t *testing.T) {
	const gain = 0.25
	s := Share{}.AddJob(1, gain)
	if s.Value != gain || s.DecayedTo(2, gain) != gain*(1-gain) {
		t.Errorf("share %v after one job, want %v that decays by the next", s, gain)
	}
	if got := SmoothedShare(1, 0, 4); got != 0.25 {
		t.Errorf("share %v without jobs, want the even share of 0.25", got)
	}
}

func TestQuantile(t *testing.T) {
	if got := Quantile([]float64{4, 1, 3, 2, 5}, 0.5); got != 3 {
		t.Errorf("median %v, want 3", got)
	}
	if got := Quantile(nil, 0.5); got != Unlimited {
		t.Errorf("quantile %v of no values, want Unlimited", got)
	}
}

// The max-min fair allocation never exceeds the limit, and uses all of it if the total demand exceeds it.
func TestFairLevelIsMaxMin(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("max-min", prop.ForAll(func(wants []float64) bool {
		if len(wants) == 0 {
			return true
		}
		claimants := make([]Claimant, len(wants))
		total := 0.0
		for i, want := range wants {
			claimants[i] = Claimant{Demand: want, Share: 1 / float64(len(wants))}
			total += want
		}
		const limit = 10
		level := MaxMinLevel(claimants, limit)
		given := 0.0
		for _, c := range claimants {
			given += min(c.Demand, level*c.Share)
		}
		return given <= limit+1e-6 && (total <= limit || given > limit-1e-6)
	}, gen.SliceOf(gen.Float64Range(0, 20))))
	properties.TestingRun(t)
}

func TestLocalShare(t *testing.T) {
	if got := LocalShare(1, Claimant{Demand: 2, Share: 0.5}, 4, 10, 0, 0.5); got != 5 {
		t.Errorf("local share %v with demand within the limit, want 5", got)
	}
	if got := LocalShare(9, Claimant{Demand: 8, Share: 0.5}, 20, 10, 12, 0.5); got != 6 {
		t.Errorf("local share %v with demand beyond the limit, want 6", got)
	}
	if got := LocalShare(9, Claimant{Demand: 1, Share: 0.5}, 20, 10, 12, 0.5); got != 5 {
		t.Errorf("local share %v with demand below the own share of the limit, want 5", got)
	}
}

// Deficit round robin gives two queues equal work although their units of work differ in cost.
func TestDeficitSharesWork(t *testing.T) {
	var deficits [2]Deficit
	costs := [2]float64{1, 7}
	var done [2]float64
	for range 1000 {
		for i := range deficits {
			deficits[i].BeginTurn(5, true)
			for deficits[i] > 0 {
				done[i] += costs[i]
				deficits[i].Charge(costs[i])
			}
		}
	}
	if ratio := done[0] / done[1]; ratio < 0.95 || ratio > 1.05 {
		t.Errorf("released work %v, want equal amounts", done)
	}
	deficits[0].BeginTurn(5, false)
	if deficits[0] != 0 {
		t.Error("a queue without backlog keeps its credit")
	}
}

func TestPickBelowTheThreshold(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	candidates := []Candidate{{0.9}, {0.2}, {0.3}, {0.8}}
	counts := make([]int, len(candidates))
	for range 1000 {
		counts[PickBelowThreshold(candidates, 0.5, random.IntN)]++
	}
	if counts[0]+counts[3] > 0 || counts[1] < 400 || counts[2] < 400 {
		t.Errorf("picks by candidate %v, want only the two below the threshold, evenly", counts)
	}
	if got := PickBelowThreshold(candidates, 0.1, random.IntN); got != 1 {
		t.Errorf("picked candidate %d with all above the threshold, want the least loaded", got)
	}
	if got := PickBelowThreshold(nil, 1, random.IntN); got != -1 {
		t.Errorf("picked %d of no candidates, want -1", got)
	}
}

func TestTurnsUntilCredit(t *testing.T) {
	cases := []struct {
		debts []Deficit
		want  float64
	}{
		{nil, 0},
		{[]Deficit{0}, 1},
		{[]Deficit{-199}, 1},
		{[]Deficit{-200}, 2},
		{[]Deficit{-691200, -450, -1e9}, 3},
	}
	for _, one := range cases {
		turns := TurnsUntilCredit(one.debts, 200)
		if turns != one.want {
			t.Errorf("debts %v: %v turns, want %v", one.debts, turns, one.want)
		}
		credit := false
		for _, d := range one.debts {
			d.BeginTurn(turns*200, true)
			credit = credit || d > 0
		}
		if len(one.debts) > 0 && !credit {
			t.Errorf("debts %v: no queue has credit after %v turns", one.debts, turns)
		}
	}
}
