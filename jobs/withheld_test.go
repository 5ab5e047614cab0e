package jobs

import (
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
	s := play(t, `
	0    worker a cpu=4000
	10   client submit j 12x cpu=2000 est=1000
	20   disk commit
	30   failover
	40   worker a cpu=4000 active j.0.0.0/1 active j.0.0.1/1`)
	if got := s.book.queues["q"].wanted; got != 5 {
		t.Errorf("10 tasks of half a worker wait: wanted is %v, 5 is right", got)
	}
	s.step(50*time.Millisecond, []string{"worker", "b", "cpu=12000"}, "a larger worker")
	waiting := 0
	for _, u := range s.book.jobs["j"].units {
		waiting += len(u.tasks)
	}
	if got, want := s.book.queues["q"].wanted, float64(waiting)*0.25; got != want {
		t.Errorf("%d tasks of a quarter of the usual worker wait: wanted is %v, %v is right", waiting, got, want)
	}
}
