package jobs

import (
	"fmt"
	"testing"
	"time"
)

// Incident inc1: tasks of one job run one after the other on the only worker with their label. What they leave free of it
// is enough for another job with that label, which waited for as long as the first one lasted.
func TestWorkRunsBesideWhatAWorkerIsKeptFor(t *testing.T) {
	play(t, `
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

// What a queue waits for is told in parts of the usual worker. After a takeover that is not known until workers were
// heard, and it changes as they come and go; work that was counted by another measure must not count for nothing, or its
// queue is held to what it has.
func TestWaitingWorkIsCountedByTheWorkersThatAreThere(t *testing.T) {
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

// Under load a queue at its limit waits for its share, but not beside room that those who come first cannot use.
func TestOverdueWorkTakesWhatOthersCannotUse(t *testing.T) {
	play(t, `
	0    worker a cpu=32000 gpu=8
	0    worker b cpu=32000 gpu=8 kind=z
	10   client submit low1 1x cpu=1000 gpu=1 est=60000 label=k
	11   client submit large 20x cpu=15000 gpu=7 est=60000
	20   disk commit
	20   orders a = start large.0.0.0/1 start low1.0.0.0/1
	20   orders b = start large.0.0.1/1
	100  worker a cpu=32000 gpu=8 active large.0.0.0/1 active low1.0.0.0/1
	100  worker b cpu=32000 gpu=8 kind=z active large.0.0.1/1
	200  tick
	210  client submit low2 1x cpu=1000 gpu=1 est=60000
	220  disk commit
	900  worker a cpu=32000 gpu=8 active large.0.0.0/1 active low1.0.0.0/1
	900  worker b cpu=32000 gpu=8 kind=z active large.0.0.1/1
	900  tick
	900  client low2 = queued
	1800 worker a cpu=32000 gpu=8 active large.0.0.0/1 active low1.0.0.0/1
	1800 worker b cpu=32000 gpu=8 kind=z active large.0.0.1/1
	1800 tick
	1810 disk commit
	1810 orders b = start low2.0.0.0/1`)
}

// More work than one pass looks at, which no worker can take, stands before work that one can.
func TestWorkIsNotHiddenBehindWhatCannotRun(t *testing.T) {
	line := play(t, `
	0 worker a cpu=4000`)
	for i := range 3 * maxGroupsPerTurn {
		line.step(time.Millisecond, []string{"client", "submit", fmt.Sprint("never", i), "1x", "cpu=100", "est=10", "label=absent"}, "hopeless")
	}
	line.step(2*time.Millisecond, []string{"client", "submit", "j", "1x", "cpu=100", "est=5000"}, "j")
	for round := range 5 {
		line.step(time.Duration(100*(round+1))*time.Millisecond, []string{"tick"}, "tick")
	}
	line.store.commit(line.scheduler)
	line.step(510*time.Millisecond, []string{"orders", "a", "=", "start", "j.0.0.0/1"}, "j is started within half a second")
}

// A queue that has just released the work of hours is in debt for thousands of turns. While nobody else wants the room, its
// next work does not wait for them.
func TestDebtKeepsNoRoomIdle(t *testing.T) {
	play(t, `
	0  worker a cpu=32000 gpu=8
	0  worker b cpu=32000 gpu=8
	0  worker c cpu=32000 gpu=8
	10 client submit never 1x cpu=1000 est=1000 label=absent
	10 client submit long 2x cpu=32000 gpu=8 est=36000000 gang
	15 tick
	20 client submit short 1x cpu=1000 est=1000
	30 disk commit
	30 client short = running`)
}

// Workers are kept among those that are there now, not among those of an earlier list that was as long.
func TestKeptWorkersAreReady(t *testing.T) {
	line := play(t, `
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
	if len(line.scheduler.reservations) == 0 {
		t.Fatal("no worker is kept for what waits")
	}
	for w := range line.scheduler.reservations {
		if line.scheduler.Worker(w.Ref) != w {
			t.Errorf("%s is kept, which is not there any more", w.Ref)
		}
	}
}

// Under load limits keep room for those who are urgent, but not for longer than some seconds.
func TestOverdueWorkWaitsLongerUnderLoad(t *testing.T) {
	const beats = `
	%[1]d worker a cpu=32000 gpu=8 active large.0.0.0/1 active low1.0.0.0/1
	%[1]d worker b cpu=32000 gpu=8 kind=z active large.0.0.1/1
	%[1]d tick`
	rows := `
	0    worker a cpu=32000 gpu=8
	0    worker b cpu=32000 gpu=8 kind=z
	10   client submit low1 1x cpu=1000 gpu=1 est=60000 label=k
	11   client submit large 20x cpu=25000 gpu=7 est=60000
	20   disk commit
	20   orders a = start large.0.0.0/1 start low1.0.0.0/1
	20   orders b = start large.0.0.1/1` + fmt.Sprintf(beats, 100) + `
	210  client submit low2 1x cpu=1000 gpu=1 est=60000
	220  disk commit`
	for ms := 600; ms <= 6000; ms += 600 {
		rows += fmt.Sprintf(beats, ms)
	}
	rows += `
	6010 disk commit
	6010 orders b = nothing` + fmt.Sprintf(beats, 6300) + `
	6310 disk commit
	6310 orders b = start low2.0.0.0/1`
	play(t, rows)
}
