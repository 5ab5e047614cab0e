package jobs

import (
	"strings"
	"testing"
	"time"
)

func TestTasksOfExpiredWorkerAreReassigned(t *testing.T) {
	runScenario(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100 checkpoints
	20   disk commit
	30   orders a = start j.0.0.0/1
	60   worker a cpu=4000 active j.0.0.0/1#saved
	70   worker b cpu=4000
	4990 worker b cpu=4000
	5000 worker a cpu=4000 expired
	5010 disk commit
	5020 orders b = start j.0.0.0/2#saved`)
}

func TestNewIncarnationSupersedesCrashedWorker(t *testing.T) {
	runScenario(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100
	20   disk commit
	30   orders a = start j.0.0.0/1
	60   worker a cpu=4000 active j.0.0.0/1
	900  worker a instance=i-a2 cpu=4000
	910  disk commit
	920  orders a2 = start j.0.0.0/2`)
}

// A draining worker may still have active runs when its successor is reported.
func TestDrainingWorkerIsNotSuperseded(t *testing.T) {
	runScenario(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100
	20   disk commit
	30   orders a = start j.0.0.0/1
	60   worker a cpu=4000 active j.0.0.0/1 draining 5000
	900  worker a instance=i-a2 cpu=4000
	910  disk commit
	920  orders a2 = nothing`)
}

// Runs that cannot end before the drain deadline of their worker are stopped and resume elsewhere from their checkpoints. The
// other runs continue.
func TestDrainStopsRunsThatCannotEnd(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit long 1x cpu=500 est=60000 checkpoints
	10  client submit short 1x cpu=500 est=100
	20  disk commit
	30  orders a = start long.0.0.0/1 start short.0.0.0/1
	60  worker a cpu=4000 active long.0.0.0/1 active short.0.0.0/1
	70  worker b cpu=4000
	80  worker a cpu=4000 active long.0.0.0/1 active short.0.0.0/1 draining 2000
	90  orders a = stop long.0.0.0/1
	300 worker a cpu=4000 draining 1800 end 1/long.0.0.0/1/stopped/s1 end 2/short.0.0.0/1/done
	310 disk commit
	320 orders b = start long.0.0.0/2#s1
	320 client short = completed`)
}

// After a crash, the next incarnation of the worker at the same agent may have other labels and another capacity.
func TestNextIncarnationMayHaveOtherLabels(t *testing.T) {
	runScenario(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100 label=k
	20   disk commit
	30   orders a = start j.0.0.0/1
	60   worker a cpu=4000 active j.0.0.0/1
	900  worker a instance=i-a2 cpu=2000 kind=z
	910  client submit z 4x cpu=500 est=100 label=z
	920  disk commit
	930  orders a2 = start z.0.0.0/1 start z.0.0.1/1 start z.0.0.2/1 start z.0.0.3/1
	940  client j = running`)
}

// Guards against the failure in docs/incidents/inc-a454.md: tasks that were assigned to a partitioned worker waited for the end
// of the partition.
func TestTimedOutAgentGetsNoStarts(t *testing.T) {
	runScenario(t, `
	0    worker a cpu=4000
	1000 client submit j 1x cpu=500 est=100
	1010 disk commit
	1020 orders a = nothing
	1030 worker b cpu=4000
	1040 disk commit
	1050 orders b = start j.0.0.0/1`)
}

// A limit that was decreased below the load increases again even if all runs are long-running. In benchmark runs of
// scale-1 at the second site, the limit of one of five workers stayed at a tenth from second 11 to the end.
func TestLimitBelowLoadIncreases(t *testing.T) {
	sc := newScenario(t)
	sc.step(0, strings.Fields("worker a cpu=4000"), "")
	sc.step(1*time.Millisecond, strings.Fields("client submit service 2x cpu=1000 longrunning est=1000"), "")
	for _, w := range sc.scheduler.workers {
		for range 20 {
			w.decreaseLimit()
			w.limitDecreased = false
		}
	}
	for ms := 100; ms <= 4000; ms += 100 {
		now := time.Duration(ms) * time.Millisecond
		sc.step(now, strings.Fields("worker a cpu=4000 active service.0.0.0/1 active service.0.0.1/1"), "")
		sc.step(now, []string{"tick"}, "")
	}
	for _, w := range sc.scheduler.workers {
		if w.loadLimit < 1 {
			t.Errorf("load limit is %v after 4 s without a decrease, want 1", w.loadLimit)
		}
	}
}
