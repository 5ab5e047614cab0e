package jobs

import "testing"

// A task of the highest priority preempts a run of a lower priority that saves checkpoints after it has waited.
func TestHighestPriorityPreempts(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit low 4x cpu=1000 est=60000 checkpoints
	20  disk commit
	30  orders a = start low.0.0.0/1 start low.0.0.1/1 start low.0.0.2/1 start low.0.0.3/1
	40  worker a cpu=4000 active low.0.0.0/1 active low.0.0.1/1 active low.0.0.2/1 active low.0.0.3/1
	50  client submit j 1x cpu=1000 est=500
	60  disk commit
	70  orders a = nothing
	300 tick
	310 orders a = stop low.0.0.?/1`)
}

// Runs without checkpoints are not preempted.
func TestRunsWithoutCheckpointsAreNotPreempted(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit low 4x cpu=1000 est=60000
	20  disk commit
	40  worker a cpu=4000 active low.0.0.0/1 active low.0.0.1/1 active low.0.0.2/1 active low.0.0.3/1
	50  client submit j 1x cpu=1000 est=500
	60  disk commit
	300 tick
	310 orders a = nothing`)
}
