package jobs

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// Placement follows the label in constraints, the rack of the data, and the stage's anti-affinity.
func TestPlacementSatisfiesConstraints(t *testing.T) {
	line := play(t, `
	0   worker a cpu=4000 rack=r1
	0   worker b cpu=4000 rack=r2
	10  client submit near 4x cpu=100 affinity=r2 est=100
	10  client submit apart 2x cpu=100 antiaffinity=1 est=100
	10  client submit label 3x cpu=100 label=r1 est=100
	20  disk commit`)
	where := map[string][]string{}
	for _, w := range line.scheduler.workers {
		for key := range w.Runs {
			name, _, _ := strings.Cut(key.Task, ".")
			where[name] = append(where[name], w.Instance)
		}
	}
	if slices.Contains(where["near"], "i-a") || len(where["near"]) != 4 {
		t.Errorf("near its data: %v", where["near"])
	}
	if len(where["apart"]) != 2 || where["apart"][0] == where["apart"][1] {
		t.Errorf("apart: %v", where["apart"])
	}
	if slices.Contains(where["label"], "i-b") || len(where["label"]) != 3 {
		t.Errorf("with the label: %v", where["label"])
	}
}

// Nothing is placed beyond a worker's capacity, also where the admission limit would allow it.
func TestCapacityIsNotExceeded(t *testing.T) {
	line := play(t, `
	0   worker a cpu=1000
	10  client submit j 5x cpu=300 est=100
	20  disk commit
	30  tick`)
	for _, w := range line.scheduler.workers {
		if w.used.CPU > 1000 || len(w.Runs) != 3 {
			t.Errorf("%d runs with %d", len(w.Runs), w.used.CPU)
		}
	}
}

// In a large shard a placement samples workers from a random one on, but finds the only one that is feasible.
func TestLargeShardFindsTheOnlyWorker(t *testing.T) {
	line := newTimeline(t)
	for i := range 300 {
		rack := "r1"
		if i == 217 {
			rack = "r2"
		}
		line.step(0, strings.Fields(fmt.Sprintf("worker w%d cpu=4000 rack=%s", i, rack)), "")
	}
	line.step(1*time.Millisecond, strings.Fields("client submit label 2x cpu=100 label=r2 est=100"), "")
	line.step(1*time.Millisecond, strings.Fields("client submit near 2x cpu=100 affinity=r2 est=100"), "")
	line.step(1*time.Millisecond, strings.Fields("client submit any 100x cpu=100 est=100"), "")
	for ms := 100; ms <= 500; ms += 100 {
		line.step(time.Duration(ms)*time.Millisecond, []string{"tick"}, "")
	}
	at := runsByJob(line.scheduler, func(id string, w *Worker) string { return id + " " + w.rack() })
	if at["label r2"] != 2 || at["near r2"] != 2 || at["any r1"]+at["any r2"] != 100 {
		t.Errorf("placed %v", at)
	}
}

// A task waits for the rack of its data for a fraction of what a run elsewhere would cost, and then runs elsewhere. Found on the
// grown bpwl-portal, where an eighth of all tasks ran three times as long away from their data.
func TestTaskWaitsForRackOfItsData(t *testing.T) {
	play(t, `
	0    worker a cpu=1000 rack=r1
	0    worker b cpu=4000 rack=r2
	10   client submit full 1x cpu=1000 label=r1 est=60000
	20   client submit j 1x cpu=500 affinity=r1 est=1000
	30   disk commit
	40   orders b = nothing
	100  worker a cpu=1000 rack=r1 active full.0.0.0/1
	200  worker b cpu=4000 rack=r2
	200  tick
	210  disk commit
	220  orders b = nothing
	300  worker b cpu=4000 rack=r2
	300  tick
	310  disk commit
	320  orders b = start j.0.0.0/1`)
}

// It does not wait for a rack without a feasible worker, and never for long.
func TestTaskDoesNotWaitForAnEmptyRack(t *testing.T) {
	play(t, `
	0    worker b cpu=4000 rack=r2
	20   client submit j 1x cpu=500 affinity=r1 est=60000
	30   disk commit
	40   orders b = start j.0.0.0/1`)
	play(t, `
	0    worker a cpu=1000 rack=r1
	0    worker b cpu=4000 rack=r2
	10   client submit full 1x cpu=1000 label=r1 est=60000
	20   client submit j 1x cpu=500 affinity=r1 est=60000
	30   disk commit
	1000 worker b cpu=4000 rack=r2
	1500 worker b cpu=4000 rack=r2
	1500 tick
	1510 orders b = nothing
	1600 worker b cpu=4000 rack=r2
	1600 tick
	1610 disk commit
	1620 orders b = start j.0.0.0/1`)
}
