package jobs

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Work without a feasible worker claims no share of the capacity, so that others are not held back for it.
// Found by a hunt: mix --seed 122610384008 of a deployment whose only worker of a kind had left (LOST).
func TestUnschedulableWorkHoldsNobodyBack(t *testing.T) {
	line := newTimeline(t)
	line.step(0, strings.Fields("worker a cpu=4000"), "")
	line.step(1*time.Millisecond, strings.Fields("client submit stuck 400x cpu=1000 label=none est=1000"), "")
	for ms := 100; ms < 2000; ms += 100 {
		now := time.Duration(ms) * time.Millisecond
		line.step(now, strings.Fields("worker a cpu=4000"), "")
		line.step(now, []string{"tick"}, "")
		if ms == 500 {
			line.step(now, strings.Fields("client submit low 8x cpu=1000 est=60000"), "")
		}
	}
	for _, w := range line.scheduler.workers {
		if len(w.Runs) != 4 {
			t.Errorf("%d runs on an idle worker with capacity for 4", len(w.Runs))
		}
	}
}

// More unschedulable groups than one cycle considers stand before one that can be placed.
func TestWorkIsNotHiddenBehindUnschedulableWork(t *testing.T) {
	line := play(t, `
	0 worker a cpu=4000`)
	for i := range 3 * maxGroupsPerTurn {
		line.step(time.Millisecond, []string{"client", "submit", fmt.Sprint("never", i), "1x", "cpu=100", "est=10", "label=absent"}, "hopeless")
	}
	line.step(2*time.Millisecond, []string{"client", "submit", "j", "1x", "cpu=100", "est=5000"}, "j")
	for round := range 5 {
		line.step(time.Duration(100*(round+1))*time.Millisecond, []string{"tick"}, "tick")
	}
	line.store.commit(line.scheduler)
	line.step(510*time.Millisecond, []string{"orders", "a", "=", "start", "j.0.0.0/1"}, "j is started within half a second")
}

// A queue that has just started the work of hours is in debt for thousands of turns. While no other queue wants the capacity, its
// next work does not wait for them.
func TestDebtLeavesNoCapacityIdle(t *testing.T) {
	play(t, `
	0  worker a cpu=32000 gpu=8
	0  worker b cpu=32000 gpu=8
	0  worker c cpu=32000 gpu=8
	10 client submit never 1x cpu=1000 est=1000 label=absent
	10 client submit long 2x cpu=32000 gpu=8 est=36000000 gang
	15 tick
	20 client submit short 1x cpu=1000 est=1000
	30 disk commit
	30 client short = running`)
}
