package jobs

import "testing"

// Guards against the failure in docs/incidents/inc1.md: the tasks of one job run one at a time on the only worker with their
// label, which is reserved for the next one. Another job with that label fits into the remaining capacity, but waited until the
// first job had ended.
func TestBackfillOnReservedWorker(t *testing.T) {
	runScenario(t, `
	0    worker a cpu=32000 mem=131072 gpu=8 kind=a
	0    worker b cpu=32000 mem=131072 gpu=8 kind=b
	0    worker c cpu=32000 mem=131072 gpu=8 kind=b
	10   client submit large 5x cpu=15000 mem=81000 gpu=4 label=a est=5600
	20   disk commit
	20   orders a = start large.0.0.?/1
	500  worker a cpu=32000 mem=131072 gpu=8 kind=a active large.0.0.0/1
	1000 worker a cpu=32000 mem=131072 gpu=8 kind=a active large.0.0.0/1
	1000 worker b cpu=32000 mem=131072 gpu=8 kind=b
	1000 worker c cpu=32000 mem=131072 gpu=8 kind=b
	1010 client submit low 3x cpu=2800 mem=14992 gpu=1 label=a est=3000
	1020 disk commit
	1020 orders a = start low.0.0.0/1 start low.0.0.1/1 start low.0.0.2/1`)
}

// Only ready workers are reserved, not workers of an earlier list of ready workers that has the same length.
func TestReservedWorkersAreReady(t *testing.T) {
	sc := runScenario(t, `
	0    worker a cpu=8000
	0    worker b cpu=8000 kind=z
	10   client submit busy 1x cpu=5000 est=60000 label=k
	10   client submit less 1x cpu=4000 est=60000 label=z
	20   disk commit
	100  worker a cpu=8000 active busy.0.0.0/1
	100  worker b cpu=8000 kind=z active less.0.0.0/1
	110  client submit large 1x cpu=6000 est=60000
	500  tick
	600  worker a cpu=8000 active busy.0.0.0/1
	600  worker b cpu=8000 kind=z active less.0.0.0/1
	700  worker b cpu=8000 kind=z instance=i-next
	710  client submit more 1x cpu=7000 est=60000
	720  disk commit
	1400 worker a cpu=8000 active busy.0.0.0/1
	1400 worker b cpu=8000 kind=z instance=i-next
	1400 tick`)
	if len(sc.scheduler.reservations) == 0 {
		t.Fatal("no worker is reserved for the pending group")
	}
	for w := range sc.scheduler.reservations {
		if sc.scheduler.Worker(w.Ref) != w {
			t.Errorf("worker %s is reserved although it was removed", w.Ref)
		}
	}
}

// A worker is reserved for a task only if it is feasible. Here anti-affinity forbids a second task of the stage on one worker.
func TestOnlyFeasibleWorkersAreReserved(t *testing.T) {
	sc := runScenario(t, `
	0   worker a cpu=4000 rack=r1
	0   worker b cpu=4000 rack=r2
	10  client submit x 1x cpu=3500 label=r2 est=9000
	20  client submit low-apart 2x cpu=3000 antiaffinity=1 est=9000
	30  disk commit
	600 worker a cpu=4000 rack=r1
	600 worker b cpu=4000 rack=r2
	610 tick`)
	if len(sc.scheduler.reservations) == 0 {
		t.Fatal("no worker is reserved for the pending task")
	}
	for w := range sc.scheduler.reservations {
		if w.Instance != "i-b" {
			t.Errorf("worker %s is reserved although a task of the stage already runs there", w.Instance)
		}
	}
}
