package jobs

import (
	"strings"
	"testing"
)

// Capacity that the highest priority recently demanded is kept free of other queues, so that it need not preempt. Other queues
// use the capacity after a period without such demand.
func TestHeadroomFollowsRecentDemand(t *testing.T) {
	const text = `
	0   worker a cpu=4000
	10  client submit u 2x cpu=1000 est=100
	20  disk commit
	30  orders a = start u.0.0.0/1 start u.0.0.1/1
	60  worker a cpu=4000 active u.0.0.0/1 active u.0.0.1/1
	100 tick
	150 worker a cpu=4000 end 1/u.0.0.0/1/done end 2/u.0.0.1/1/done
	160 disk commit
	170 orders a = acked 2
	180 client submit low-j 4x cpu=1000 est=5000
	190 disk commit
	200 orders a = start low-j.0.0.0/1 start low-j.0.0.1/1
	210 worker a cpu=4000 active low-j.0.0.0/1 active low-j.0.0.1/1
	220 client submit v 2x cpu=1000 est=100
	230 disk commit
	240 orders a = start v.0.0.0/1 start v.0.0.1/1`
	runScenario(t, text)
	sc := runScenario(t, text+`
	300 worker a cpu=4000 active low-j.0.0.0/1 active low-j.0.0.1/1 end 3/v.0.0.0/1/done end 4/v.0.0.1/1/done
	310 disk commit
	320 orders a = acked 4`)
	for range 200 {
		sc.scheduler.headroom.update(0, 1)
	}
	sc.scheduler.needsCycle = true
	sc.step(330*1e6, []string{"disk", "commit"}, "")
	sc.step(335*1e6, []string{"disk", "commit"}, "")
	sc.step(340*1e6, strings.Fields("orders a = start low-j.0.0.2/1 start low-j.0.0.3/1"), "headroom after 20 s without demand")
}

// Without demand of the highest priority there is no headroom.
func TestNoHeadroomWithoutDemand(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	100 tick
	180 client submit low-j 4x cpu=1000 est=5000
	190 disk commit
	200 orders a = start low-j.0.0.0/1 start low-j.0.0.1/1 start low-j.0.0.2/1 start low-j.0.0.3/1`)
}

// Long-running tasks may use the headroom.
func TestLongRunningTasksUseHeadroom(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit u 4x cpu=1000 est=100
	20  disk commit
	30  orders a = start u.0.0.0/1 start u.0.0.1/1 start u.0.0.2/1 start u.0.0.3/1
	60  worker a cpu=4000 active u.0.0.0/1 active u.0.0.1/1 active u.0.0.2/1 active u.0.0.3/1
	100 tick
	150 worker a cpu=4000 end 1/u.0.0.0/1/done end 2/u.0.0.1/1/done end 3/u.0.0.2/1/done end 4/u.0.0.3/1/done
	160 disk commit
	170 orders a = acked 4
	180 client submit low-j 2x cpu=1000 est=5000
	190 client submit low-l 2x cpu=1000 est=500 longrunning
	200 disk commit
	210 orders a = start low-j.0.0.0/1 start low-l.0.0.0/1 start low-l.0.0.1/1`)
}
