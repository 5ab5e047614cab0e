package jobs

import (
	"strings"
	"testing"
	"time"
)

// Traps 2 and 5: a start is ordered only once it is durable, and a job is shown only then.
func TestNothingHappensBeforeItIsDurable(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  client j = unknown
	20  orders a = nothing
	30  disk commit
	30  client j = running
	30  orders a = start j.0.0.0/1
	60  worker a cpu=4000 active j.0.0.0/1
	200 worker a cpu=4000 end 1/j.0.0.0/1/done
	210 client j = running
	210 orders a = nothing
	220 disk commit
	220 client j = completed
	220 orders a = noted 1`)
}

// Trap 4: an end that comes again changes nothing; a task that has ended done never starts again.
func TestNotedEndsStand(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 2x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1 start j.0.0.1/1
	60  worker a cpu=4000 active j.0.0.1/1 end 1/j.0.0.0/1/done
	70  worker a cpu=4000 active j.0.0.1/1 end 1/j.0.0.0/1/done
	80  disk commit
	90  failover
	100 worker a cpu=4000 active j.0.0.1/1 end 1/j.0.0.0/1/done
	110 disk commit
	110 orders a = noted 1
	120 worker a cpu=4000 end 1/j.0.0.0/1/done end 2/j.0.0.1/1/done
	130 disk commit
	140 client j = completed`)
}

// Trap 5: an owner that comes back takes every start that it wrote down for one that may have been sent, sends the
// same one again, and starts the task elsewhere only once the hold has surely lapsed.
func TestNewOwnerWaitsForWhatMayRun(t *testing.T) {
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

// A start that was not durable when the owner died was never sent; the next owner decides anew.
func TestUnwrittenStartIsForgotten(t *testing.T) {
	play(t, `
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  worker a cpu=4000
	40  failover
	50  worker b cpu=4000
	60  disk commit
	70  orders b = start j.0.0.0/1`)
}

func TestLapsedWorkersTasksGoElsewhere(t *testing.T) {
	play(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100 keep
	20   disk commit
	30   orders a = start j.0.0.0/1
	60   worker a cpu=4000 active j.0.0.0/1#saved
	70   worker b cpu=4000
	4990 worker b cpu=4000
	5000 worker a cpu=4000 lapsed
	5010 disk commit
	5020 orders b = start j.0.0.0/2#saved`)
}

func TestWorkerUnderANewNameReplacesTheCrashedOne(t *testing.T) {
	play(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100
	20   disk commit
	30   orders a = start j.0.0.0/1
	60   worker a cpu=4000 active j.0.0.0/1
	900  worker a instance=i-a2 cpu=4000
	910  disk commit
	920  orders a2 = start j.0.0.0/2`)
}

// A worker that announced its end may still be at work when its successor comes.
func TestDrainingWorkerIsNotTakenForDead(t *testing.T) {
	play(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100
	20   disk commit
	30   orders a = start j.0.0.0/1
	60   worker a cpu=4000 active j.0.0.0/1 draining 5000
	900  worker a instance=i-a2 cpu=4000
	910  disk commit
	920  orders a2 = nothing`)
}

// Trap 9: what cannot end in time moves, with its checkpoint; what can stays.
func TestDrainMovesWhatCannotEnd(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit long 1x cpu=500 est=60000 keep
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

// ORDER: a step starts once all tasks of the steps before it have ended done.
func TestStepsWaitForThoseBefore(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 2x cpu=500 est=100 | 1x cpu=500 est=100 after=0
	20  disk commit
	30  orders a = start j.0.0.0/1 start j.0.0.1/1
	60  worker a cpu=4000 active j.0.0.1/1 end 1/j.0.0.0/1/done
	70  disk commit
	80  orders a = noted 1
	90  worker a cpu=4000 end 2/j.0.0.1/1/done
	100 disk commit
	110 orders a = noted 2 start j.0.1.0/1`)
}

// BUDGET: a job whose task failed as often as the queue allows is failed; other ends do not count.
func TestFailuresCount(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  worker a cpu=4000 end 1/j.0.0.0/1/failed
	40  disk commit
	50  worker a cpu=4000 end 2/j.0.0.0/2/stopped
	60  disk commit
	70  client j = running
	80  worker a cpu=4000 end 3/j.0.0.0/3/failed
	90  disk commit
	90  client j = failed
	95  orders a = noted 3`)
}

// Trap 10: a cancel stops what runs and takes back what was not sent.
func TestCancelStops(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	40  worker a cpu=4000 active j.0.0.0/1
	50  client cancel j
	50  client j = running
	60  disk commit
	60  client j = cancelled
	70  orders a = stop j.0.0.0/1
	80  worker a cpu=4000 end 1/j.0.0.0/1/stopped
	90  disk commit
	95  orders a = noted 1`)
}

func TestCancelOutlivesTheOwner(t *testing.T) {
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

// Trap 11: only start_at_ms reads the time of day.
func TestTimesBecomeDue(t *testing.T) {
	play(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100 at=1000 every=500 repeat=2
	20   disk commit
	990  tick
	990  orders a = nothing
	990  worker a cpu=4000
	1000 tick
	1000 disk commit
	1010 orders a = start j.0.0.0/1
	1100 worker a cpu=4000 end 1/j.0.0.0/1/done
	1490 worker a cpu=4000 end 1/j.0.0.0/1/done
	1500 tick
	1500 disk commit
	1510 client j = running
	1510 orders a = noted 1 start j.1.0.0/1
	1600 worker a cpu=4000 end 2/j.1.0.0/1/done
	1610 disk commit
	1610 client j = completed`)
}

func TestLastingTasksStartAgainHoweverTheyEnd(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 lasts est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	60  worker a cpu=4000 end 1/j.0.0.0/1/failed
	70  disk commit
	80  worker a cpu=4000 end 2/j.0.0.0/2/done
	90  disk commit
	100 worker a cpu=4000 end 3/j.0.0.0/3/failed
	110 disk commit
	120 client j = running
	130 orders a = noted 3 start j.0.0.0/4`)
}

// An order that the side agent gave back is placed anew.
func TestDroppedOrderIsPlacedAnew(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	40  worker b cpu=4000
	50  worker a cpu=4000 draining 3000 dropped j.0.0.0/1
	60  disk commit
	70  orders b = start j.0.0.0/2`)
}

// An order that was not seen at the worker is sent again, as the same start.
func TestUnseenOrderIsSentAgain(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	100 orders a = nothing
	400 orders a = start j.0.0.0/1
	500 worker a cpu=4000 held j.0.0.0/1
	900 orders a = nothing
	950 worker a life=2 cpu=4000
	960 orders a = start j.0.0.0/1`)
}

// A run that nothing wants is stopped.
func TestStrayRunIsStopped(t *testing.T) {
	play(t, `
	0   worker a cpu=4000 active x.0.0.0/1
	10  orders a = stop x.0.0.0/1`)
}

// A good end that arrives after its worker was given up still counts while the task waits.
func TestLateGoodEndCounts(t *testing.T) {
	play(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100
	20   disk commit
	30   worker a cpu=4000 active j.0.0.0/1
	5000 worker a cpu=4000 lapsed
	5010 disk commit
	5020 worker a cpu=0 life=2 end 1/j.0.0.0/1/done
	5030 disk commit
	5040 client j = completed`)
}

// The same ID comes again: before its 2xx, seconds after it, after a failover and after the job's end. It stays one job.
func TestSameIDStaysOneJob(t *testing.T) {
	play(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100
	15   client submit j 1x cpu=500 est=100
	20   disk commit
	30   orders a = start j.0.0.0/1
	40   worker a cpu=4000 active j.0.0.0/1
	3000 client submit j 1x cpu=500 est=100
	3010 disk commit
	3020 orders a = nothing
	3100 failover
	3110 client submit j 1x cpu=500 est=100
	3120 worker a cpu=4000 active j.0.0.0/1
	3130 disk commit
	3140 orders a = nothing
	3200 worker a cpu=4000 end 1/j.0.0.0/1/done
	3210 disk commit
	3215 orders a = noted 1
	3220 client j = completed
	6000 client submit j 1x cpu=500 est=100
	6010 disk commit
	6020 orders a = nothing
	6030 client j = completed`)
}

// What GET of a queue tells: accepted jobs of which no task has begun, also after a takeover.
func TestPendingCountsWhatHasNotBegun(t *testing.T) {
	play(t, `
	0   worker a cpu=1000
	10  client submit j 2x cpu=1000 est=100
	10  client submit k 1x cpu=1000 est=100
	10  client submit later 1x cpu=1000 est=100 at=60000
	20  disk commit
	20  pending q = 3
	50  worker a cpu=1000 held j.0.0.0/1
	50  pending q = 3
	90  worker a cpu=1000 active j.0.0.0/1
	90  pending q = 2
	200 worker a cpu=1000 end 1/j.0.0.0/1/failed
	200 pending q = 2
	210 disk commit
	220 failover
	220 pending q = 2
	230 worker a cpu=1000
	240 client cancel k
	240 pending q = 1
	250 worker a cpu=1000 endall done
	260 client cancel later
	260 pending q = 0`)
}

// A route that was dropped stays unknown when a new owner finds jobs of it: whoever has an older configuration hands in
// nothing more. Its jobs are still finished.
func TestDroppedQueueStaysUnknownAfterATakeover(t *testing.T) {
	line := play(t, `
	0  worker a cpu=1000
	10 client submit low1 1x cpu=100 est=100
	20 disk commit`)
	testQueues, all := testQueues[:1], testQueues
	line.scheduler.Configure(testQueues)
	if line.scheduler.Knows("low") {
		t.Error("a queue that was dropped is known")
	}
	line.configs = testQueues
	for now, row := range []string{"failover", "worker a cpu=1000 active low1.0.0.0/1", "worker a cpu=1000 end 1/low1.0.0.0/1/done",
		"disk commit", "client low1 = completed"} {
		line.step(time.Duration(30+now)*time.Millisecond, strings.Fields(row), row)
	}
	if line.scheduler.Knows("low") {
		t.Error("a queue that was dropped is known again after a takeover")
	}
	line.scheduler.Configure(all)
	if !line.scheduler.Knows("low") {
		t.Error("a queue that a configuration names is not known")
	}
}

// One call to a side agent carries so many starts at most; the rest follow in the next.
func TestOrdersComeInParts(t *testing.T) {
	line := play(t, `
	0  worker a cpu=64000
	10 client submit j 2500x cpu=10 est=1000
	20 disk commit`)
	for part, want := range []int{maxStartsPerCall, maxStartsPerCall, 2500 - 2*maxStartsPerCall} {
		orders := line.scheduler.Orders(time.Duration(30+part)*time.Millisecond, line.scheduler.Worker("i-a@side-a"), 0)
		if orders == nil || len(orders.Starts) != want {
			t.Fatalf("part %d: %+v", part, orders)
		}
	}
}

// After a crash the next life may be of another kind, at the same address.
func TestNextLifeMayBeOfAnotherKind(t *testing.T) {
	play(t, `
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
