package jobs

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// Placement satisfies the label constraints, the affinity to a rack and the anti-affinity of a stage.
func TestPlacementSatisfiesConstraints(t *testing.T) {
	sc := runScenario(t, `
	0   worker a cpu=4000 rack=r1
	0   worker b cpu=4000 rack=r2
	10  client submit near 4x cpu=100 affinity=r2 est=100
	10  client submit apart 2x cpu=100 antiaffinity=1 est=100
	10  client submit label 3x cpu=100 label=r1 est=100
	20  disk commit`)
	workers := map[string][]string{}
	for _, w := range sc.scheduler.workers {
		for key := range w.Runs {
			name, _, _ := strings.Cut(key.Task, ".")
			workers[name] = append(workers[name], w.Instance)
		}
	}
	if slices.Contains(workers["near"], "i-a") || len(workers["near"]) != 4 {
		t.Errorf("tasks with affinity to rack r2 run on %v", workers["near"])
	}
	if len(workers["apart"]) != 2 || workers["apart"][0] == workers["apart"][1] {
		t.Errorf("tasks with anti-affinity run on %v", workers["apart"])
	}
	if slices.Contains(workers["label"], "i-b") || len(workers["label"]) != 3 {
		t.Errorf("tasks with constraint r1 run on %v", workers["label"])
	}
}

// Tasks are not placed beyond a worker's capacity even if the admission limit permits it.
func TestCapacityIsNotExceeded(t *testing.T) {
	sc := runScenario(t, `
	0   worker a cpu=1000
	10  client submit j 5x cpu=300 est=100
	20  disk commit
	30  tick`)
	for _, w := range sc.scheduler.workers {
		if w.used.CPU > 1000 || len(w.Runs) != 3 {
			t.Errorf("%d runs use %d millicores, want 3 runs within 1000", len(w.Runs), w.used.CPU)
		}
	}
}

// In a large shard a placement samples workers, starting at a random one, but still finds the only feasible worker.
func TestSamplingFindsTheOnlyFeasibleWorker(t *testing.T) {
	sc := newScenario(t)
	for i := range 300 {
		rack := "r1"
		if i == 217 {
			rack = "r2"
		}
		sc.step(0, strings.Fields(fmt.Sprintf("worker w%d cpu=4000 rack=%s", i, rack)), "")
	}
	sc.step(1*time.Millisecond, strings.Fields("client submit label 2x cpu=100 label=r2 est=100"), "")
	sc.step(1*time.Millisecond, strings.Fields("client submit near 2x cpu=100 affinity=r2 est=100"), "")
	sc.step(1*time.Millisecond, strings.Fields("client submit any 100x cpu=100 est=100"), "")
	for ms := 100; ms <= 500; ms += 100 {
		sc.step(time.Duration(ms)*time.Millisecond, []string{"tick"}, "")
	}
	runs := runsByJob(sc.scheduler, func(id string, w *Worker) string { return id + " " + w.rack() })
	if runs["label r2"] != 2 || runs["near r2"] != 2 || runs["any r1"]+runs["any r2"] != 100 {
		t.Errorf("runs by job and rack are %v", runs)
	}
}

// A task waits for the rack of its input data for a fraction of the extra run time in another rack and then runs elsewhere.
// Without the wait, an eighth of all tasks ran three times as long outside the rack of their data in the enlarged bpwl-portal
// scenario.
func TestTaskWaitsForRackOfItsData(t *testing.T) {
	runScenario(t, `
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

// A task does not wait for a rack without a feasible worker, and never longer than maxRackWait.
func TestRackWaitIsBounded(t *testing.T) {
	runScenario(t, `
	0    worker b cpu=4000 rack=r2
	20   client submit j 1x cpu=500 affinity=r1 est=60000
	30   disk commit
	40   orders b = start j.0.0.0/1`)
	runScenario(t, `
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
