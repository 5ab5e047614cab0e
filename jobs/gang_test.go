package jobs

import "testing"

// All members of a gang start together; none starts while one member cannot be placed.
func TestGangStartsTogether(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000 gpu=8
	10  client submit j 2x cpu=500 gpu=8 gang est=100
	20  disk commit
	30  orders a = nothing
	40  worker b cpu=4000 gpu=8
	50  disk commit
	60  orders a = start j.0.0.?/1
	60  orders b = start j.0.0.?/1`)
}

// Of two gangs that each need all workers, one is placed. They must not each hold half of the workers.
func TestGangsDoNotDeadlock(t *testing.T) {
	sc := runScenario(t, `
	0   worker a cpu=4000 gpu=8
	0   worker b cpu=4000 gpu=8
	10  client submit j 2x cpu=500 gpu=8 gang est=100
	10  client submit k 2x cpu=500 gpu=8 gang est=100
	20  disk commit`)
	running := runsByJob(sc.scheduler, func(id string, _ *Worker) string { return id })
	if len(running) != 1 {
		t.Errorf("runs by job are %v, want runs of one gang only", running)
	}
}

// After the members of a gang have failed, all of them restart together, and the failure counts once.
func TestGangRestartsTogether(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000 gpu=8
	0   worker b cpu=4000 gpu=8
	10  client submit j 2x cpu=500 gpu=8 gang est=100
	20  disk commit
	60  worker a cpu=4000 gpu=8 endall failed
	60  worker b cpu=4000 gpu=8 endall failed
	70  disk commit
	80  client j = running
	90  orders a = acked 1 start j.0.0.?/2
	90  orders b = acked 1 start j.0.0.?/2`)
}

func TestOneSuccessCompletesGang(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000 gpu=8
	0   worker b cpu=4000 gpu=8
	10  client submit j 2x cpu=500 gpu=8 gang est=100
	20  disk commit
	60  worker a cpu=4000 gpu=8 endall done
	70  disk commit
	70  client j = completed`)
}

// A rack-local gang waits for a bounded time for capacity in one rack and then starts in several racks.
func TestRackLocalGangWaitsForOneRack(t *testing.T) {
	runScenario(t, `
	0    worker a cpu=4000 gpu=8 rack=r1
	0    worker b cpu=4000 gpu=8 rack=r2
	10   client submit j 2x cpu=500 gpu=8 gang racklocal est=1000
	20   disk commit
	30   orders a = nothing
	100  worker a cpu=4000 gpu=8 rack=r1
	100  worker b cpu=4000 gpu=8 rack=r2
	200  tick
	210  orders a = nothing
	300  tick
	310  disk commit
	320  orders a = start j.0.0.?/1`)
}
