package jobs

import (
	"strings"
	"testing"
	"time"
)

// A new owner assumes that every committed start was sent. It sends the same start again to the same worker, and assigns the
// task to another worker only after the lease is certain to have expired.
func TestNewOwnerWaitsForRunsThatMayBeActive(t *testing.T) {
	runScenario(t, `
	0     worker a cpu=4000
	10    client submit j 1x cpu=500 est=100
	20    disk commit
	30    failover
	40    worker b cpu=4000
	50    orders b = nothing
	12000 tick
	12000 orders b = nothing
	13020 worker b cpu=4000
	13040 tick
	13040 disk commit
	13050 orders b = start j.0.0.0/2`)
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  failover
	40  worker a cpu=4000
	50  orders a = start j.0.0.0/1`)
}

// While ticks and commits continue after a failover, the task of a restored run must not start on another worker before the
// lease has expired.
func TestRestoredRunBlocksReassignmentUntilLeaseExpiry(t *testing.T) {
	runScenario(t, `
	0     worker a cpu=4000
	10    client submit j 1x cpu=500 est=100
	20    disk commit
	30    failover
	40    worker b cpu=4000
	100   tick
	110   disk commit
	120   orders b = nothing
	12000 worker b cpu=4000
	12010 tick
	12020 disk commit
	12030 orders b = nothing
	13020 worker b cpu=4000
	13040 tick
	13050 disk commit
	13060 orders b = start j.0.0.0/2`)
}

// A start that was not committed before a failover was never sent, so the new owner assigns the task again.
func TestUncommittedStartIsDiscarded(t *testing.T) {
	runScenario(t, `
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  worker a cpu=4000
	40  failover
	50  worker b cpu=4000
	60  disk commit
	70  orders b = start j.0.0.0/1`)
}

func TestCancelSurvivesFailover(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	50  client cancel j
	60  disk commit
	70  failover
	80  worker a cpu=4000 active j.0.0.0/1
	90  orders a = stop j.0.0.0/1
	95  client j = cancelled`)
}

// A removed queue stays removed when a new owner restores jobs of it, so that clients with an older configuration cannot submit
// to it. Its existing jobs still run.
func TestRemovedQueueStaysRemovedAfterFailover(t *testing.T) {
	sc := runScenario(t, `
	0  worker a cpu=1000
	10 client submit low1 1x cpu=100 est=100
	20 disk commit`)
	testQueues, all := testQueues[:1], testQueues
	sc.scheduler.Configure(testQueues)
	if sc.scheduler.HasQueue("low") {
		t.Error("HasQueue reports a removed queue")
	}
	sc.configs = testQueues
	for now, row := range []string{"failover", "worker a cpu=1000 active low1.0.0.0/1", "worker a cpu=1000 end 1/low1.0.0.0/1/done",
		"disk commit", "client low1 = completed"} {
		sc.step(time.Duration(30+now)*time.Millisecond, strings.Fields(row), row)
	}
	if sc.scheduler.HasQueue("low") {
		t.Error("HasQueue reports a removed queue after a failover")
	}
	sc.scheduler.Configure(all)
	if !sc.scheduler.HasQueue("low") {
		t.Error("HasQueue does not report a configured queue")
	}
}

// Pending demand is measured in mean workers. The mean capacity is unknown after a failover until workers are reported, and it
// changes as workers are added and removed. Unless the demand is then recounted, the queue's limit stays at its allocation.
func TestPendingDemandFollowsMeanWorker(t *testing.T) {
	sc := runScenario(t, `
	0    worker a cpu=4000
	10   client submit j 12x cpu=2000 est=1000
	20   disk commit
	30   failover
	40   worker a cpu=4000 active j.0.0.0/1 active j.0.0.1/1`)
	if got := sc.scheduler.queues["q"].pendingDemand; got != 5 {
		t.Errorf("pending demand of 10 tasks of half a worker is %v, want 5", got)
	}
	sc.step(50*time.Millisecond, []string{"worker", "b", "cpu=12000"}, "add a larger worker")
	pending := 0
	for _, group := range sc.scheduler.jobs["j"].pending {
		pending += len(group.tasks)
	}
	if got, want := sc.scheduler.queues["q"].pendingDemand, float64(pending)*0.25; got != want {
		t.Errorf("pending demand of %d tasks of a quarter of the mean worker is %v, want %v", pending, got, want)
	}
}
