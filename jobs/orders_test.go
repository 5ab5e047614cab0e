package jobs

import (
	"testing"
	"time"
)

// A task whose start the agent reports as dropped is assigned again.
func TestDroppedStartIsReassigned(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	40  worker b cpu=4000
	50  worker a cpu=4000 draining 3000 dropped j.0.0.0/1
	60  disk commit
	70  orders b = start j.0.0.0/2`)
}

// A start that the agent does not report is sent again with the same attempt.
func TestUnconfirmedStartIsResent(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	100 orders a = nothing
	400 orders a = start j.0.0.0/1
	500 worker a cpu=4000 inflight j.0.0.0/1
	900 orders a = nothing
	950 worker a incarnation=2 cpu=4000
	960 orders a = start j.0.0.0/1`)
}

// An active run without an assignment is stopped.
func TestOrphanedRunIsStopped(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000 active x.0.0.0/1
	10  orders a = stop x.0.0.0/1`)
}

// A success that is reported after the worker has expired still counts while the task is pending.
func TestLateSuccessCounts(t *testing.T) {
	runScenario(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100
	20   disk commit
	30   worker a cpu=4000 active j.0.0.0/1
	5000 worker a cpu=4000 expired
	5010 disk commit
	5020 worker a cpu=0 incarnation=2 end 1/j.0.0.0/1/done
	5030 disk commit
	5040 client j = completed`)
}

// One call to an agent carries a bounded number of starts. The remaining starts follow in the next calls.
func TestOrdersAreSplit(t *testing.T) {
	sc := runScenario(t, `
	0  worker a cpu=64000
	10 client submit j 2500x cpu=10 est=1000
	20 disk commit`)
	for call, want := range []int{maxStartsPerCall, maxStartsPerCall, 2500 - 2*maxStartsPerCall} {
		orders := sc.scheduler.Orders(time.Duration(30+call)*time.Millisecond, sc.scheduler.Worker("i-a@agent-a"), 0)
		if orders == nil || len(orders.Starts) != want {
			t.Fatalf("call %d: got orders %+v, want %d starts", call, orders, want)
		}
	}
}
