package jobs

import (
	"strings"
	"testing"
	"time"
)

// A new owner assumes that every committed start was sent. It sends the same one again, and starts the task elsewhere only
// once the lease has certainly expired.
func TestNewOwnerWaitsForRunsThatMayBeActive(t *testing.T) {
	play(t, `
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
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  failover
	40  worker a cpu=4000
	50  orders a = start j.0.0.0/1`)
}

// The same as long as ticks and commits go on: nothing may start on another worker before the lease has expired.
func TestRestoredRunKeepsItsTaskUntilItsLeaseExpires(t *testing.T) {
	play(t, `
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

// A start that was not committed when the owner died was never sent; the next owner decides anew.
func TestUncommittedStartIsDiscarded(t *testing.T) {
	play(t, `
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  worker a cpu=4000
	40  failover
	50  worker b cpu=4000
	60  disk commit
	70  orders b = start j.0.0.0/1`)
}

func TestCancelSurvivesFailover(t *testing.T) {
	play(t, `
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

// A queue that was removed stays removed when a new owner restores jobs of it: whoever has an older configuration submits
// nothing more to it. Its jobs still run.
func TestRemovedQueueStaysRemovedAfterFailover(t *testing.T) {
	line := play(t, `
	0  worker a cpu=1000
	10 client submit low1 1x cpu=100 est=100
	20 disk commit`)
	testQueues, all := testQueues[:1], testQueues
	line.scheduler.Configure(testQueues)
	if line.scheduler.HasQueue("low") {
		t.Error("a queue that was dropped is known")
	}
	line.configs = testQueues
	for now, row := range []string{"failover", "worker a cpu=1000 active low1.0.0.0/1", "worker a cpu=1000 end 1/low1.0.0.0/1/done",
		"disk commit", "client low1 = completed"} {
		line.step(time.Duration(30+now)*time.Millisecond, strings.Fields(row), row)
	}
	if line.scheduler.HasQueue("low") {
		t.Error("a queue that was dropped is known again after a takeover")
	}
	line.scheduler.Configure(all)
	if !line.scheduler.HasQueue("low") {
		t.Error("a queue that a configuration names is not known")
	}
}

// Pending demand is measured in mean workers. After a failover the mean is not known until workers have
// reported, and it changes as they come and go; demand that was counted by an earlier mean must be counted anew, or its
// queue's limit stays at what it has allocated.
func TestPendingDemandFollowsMeanWorker(t *testing.T) {
	line := play(t, `
	0    worker a cpu=4000
	10   client submit j 12x cpu=2000 est=1000
	20   disk commit
	30   failover
	40   worker a cpu=4000 active j.0.0.0/1 active j.0.0.1/1`)
	if got := line.scheduler.queues["q"].pendingDemand; got != 5 {
		t.Errorf("10 tasks of half a worker wait: wanted is %v, 5 is right", got)
	}
	line.step(50*time.Millisecond, []string{"worker", "b", "cpu=12000"}, "a larger worker")
	waiting := 0
	for _, group := range line.scheduler.jobs["j"].pending {
		waiting += len(group.tasks)
	}
	if got, want := line.scheduler.queues["q"].pendingDemand, float64(waiting)*0.25; got != want {
		t.Errorf("%d tasks of a quarter of the usual worker wait: wanted is %v, %v is right", waiting, got, want)
	}
}
