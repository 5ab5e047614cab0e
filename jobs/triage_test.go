package jobs

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// A job that would be tardy and make all later jobs tardy is deferred. The jobs that can be on time are placed first.
func TestTriageDefersTardyJobs(t *testing.T) {
	runScenario(t, `
	0    worker a cpu=1000
	10   client submit x 1x cpu=1000 est=500
	20   disk commit
	30   orders a = start x.0.0.0/1
	40   worker a cpu=1000 active x.0.0.0/1
	50   client submit wide 9x cpu=1000 est=1000
	60   client submit one 1x cpu=1000 est=1000
	70   disk commit
	100  tick
	500  worker a cpu=1000 end 1/x.0.0.0/1/done
	510  disk commit
	520  orders a = acked 1 start one.0.0.0/1`)
}

// Without overload the group with the earliest deadline is placed first, even if it has many tasks.
func TestEarliestDeadlineFirstWithoutOverload(t *testing.T) {
	runScenario(t, `
	0    worker a cpu=1000
	10   client submit x 1x cpu=1000 est=500
	20   disk commit
	30   orders a = start x.0.0.0/1
	40   worker a cpu=1000 active x.0.0.0/1
	50   client submit wide 2x cpu=1000 est=500
	60   client submit one 1x cpu=1000 est=1000
	70   disk commit
	100  tick
	500  worker a cpu=1000 end 1/x.0.0.0/1/done
	510  disk commit
	520  orders a = acked 1 start wide.0.0.0/1`)
}

// Groups that missed their tardy limit are placed after tardy groups, which still have some value.
func TestMissedGroupsArePlacedLast(t *testing.T) {
	now := 20 * time.Second
	q := newQueue(QueueConfig{Name: "q", TargetLatencyMS: 1000, Extension: 2})
	missedGroup := groupOf(q, 1, 0, 3*time.Second)
	tardyGroup := groupOf(q, 2, 14*time.Second, 17*time.Second)
	onTimeGroup := groupOf(q, 3, now, now+3*time.Second)
	s := New(Options{}, nil)
	s.meanCapacity = Resources{CPU: 1000}
	for _, group := range []*taskGroup{missedGroup, tardyGroup, onTimeGroup} {
		q.pending.ReplaceOrInsert(group)
	}
	q.allocated, q.meanAllocated = 1, 1
	s.triage(now, q, 1)
	c := &cycle{now: now, unschedulable: map[*taskGroup]bool{}}
	groups, _ := c.nextGroups(q)
	if len(groups) != 3 || groups[0] != onTimeGroup || groups[1] != tardyGroup || groups[2] != missedGroup {
		t.Errorf("classes are %v, %v, %v, want on time, tardy, missed in this order", onTimeGroup.class, tardyGroup.class, missedGroup.class)
	}
}

// groupOf returns a group of one task with an estimate of 1 s on a full worker of 1000 millicores.
func groupOf(q *Queue, order uint64, due, deadline time.Duration) *taskGroup {
	spec := &Spec{Stages: []Stage{{Count: 1, CPU: 1000, EstimateMS: 1000}}}
	job := &Job{ID: "j", Spec: spec, State: Queued}
	return &taskGroup{job: job, occurrence: job.addOccurrence(0, due), queue: q, tasks: []int{0}, deadline: deadline, sequence: order}
}

// For any jobs, the admitted jobs are on time if they run in order of deadline, and they are at least as many as would be on
// time if all jobs ran in order of deadline.
func TestTriageAdmitsAsManyAsDeadlineOrder(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("admitted jobs are on time and at least as many as in deadline order", prop.ForAll(func(work []int) bool {
		var all []triageCandidate
		q := newQueue(QueueConfig{})
		onTimeInOrder, ahead := 0, 0.0
		deadline := time.Duration(0)
		for i, w := range work {
			deadline += time.Duration(w%7) * 400 * time.Millisecond
			c := triageCandidate{group: groupOf(q, uint64(i), 0, deadline+2*time.Second), work: float64(w) / 4, tail: 0.5}
			all = append(all, c)
			ahead += c.work
			if c.canAchieve(0, onTime, ahead, 1) {
				onTimeInOrder++
			}
		}
		admittedWork, deferred := classify(0, onTime, all, 0, 1)
		if admittedWork < -1e-9 || len(all)-len(deferred) < onTimeInOrder {
			return false
		}
		done := 0.0
		isDeferred := map[*taskGroup]bool{}
		for _, c := range deferred {
			isDeferred[c.group] = true
		}
		for _, c := range all {
			if isDeferred[c.group] {
				continue
			}
			done += c.work
			if c.group.class != onTime || !c.canAchieve(0, onTime, done, 1) {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(1, 20))))
	properties.TestingRun(t)
}

// The deferred groups are passed to the next class in order of deadline, as the algorithm requires, and not in the order in
// which they were deferred.
func TestDeferredGroupsAreSortedByDeadline(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("deferred groups are sorted by deadline", prop.ForAll(func(work []int) bool {
		var all []triageCandidate
		q := newQueue(QueueConfig{})
		for i, w := range work {
			deadline := time.Duration(i+1) * 300 * time.Millisecond
			all = append(all, triageCandidate{group: groupOf(q, uint64(i), 0, deadline), order: i, work: float64(w) / 4})
		}
		_, deferred := classify(0, onTime, all, 0, 1)
		return slices.IsSortedFunc(deferred, func(a, b triageCandidate) int { return cmp.Compare(a.group.deadline, b.group.deadline) })
	}, gen.SliceOf(gen.IntRange(1, 20))))
	properties.TestingRun(t)
}

// Under overload, groups after the last triaged group count as tardy: they are placed after the tardy groups, whose deadlines
// are earlier, and before the missed ones. New groups count as on time, and so do all groups if none was deferred.
func TestClassOfGroupsAfterLastTriaged(t *testing.T) {
	now := 20 * time.Second
	s := New(Options{}, nil)
	s.meanCapacity = Resources{CPU: 1000}
	triagedQueue := func(rate float64) (q *Queue, untriaged, added *taskGroup) {
		q = newQueue(QueueConfig{Name: "q", TargetLatencyMS: 1000, Extension: 2})
		for i := range maxTriagedGroups {
			q.pending.ReplaceOrInsert(groupOf(q, uint64(i), now, now+3*time.Second))
		}
		untriaged = groupOf(q, maxTriagedGroups, now, now+4*time.Second)
		q.pending.ReplaceOrInsert(untriaged)
		q.allocated, q.meanAllocated = rate, rate
		s.triage(now, q, rate)
		added = groupOf(q, maxTriagedGroups+1, now, now+2*time.Second)
		q.pending.ReplaceOrInsert(added)
		return q, untriaged, added
	}
	q, untriaged, added := triagedQueue(1)
	if got := q.classOf(untriaged); got != tardy {
		t.Errorf("class of a group after the triaged ones of an overloaded queue is %v, want tardy", got)
	}
	if got := q.classOf(added); got != onTime {
		t.Errorf("class of a group added since the triage is %v, want on time", got)
	}
	q.pending.Delete(q.lastTriaged)
	s.triage(now, q, 1)
	q.pending.ReplaceOrInsert(groupOf(q, maxTriagedGroups+2, now, now+5*time.Second))
	if got := q.classOf(untriaged); got != tardy {
		t.Errorf("class after the next triage is %v, want tardy", got)
	}
	q, untriaged, _ = triagedQueue(10_000)
	if got := q.classOf(untriaged); got != onTime {
		t.Errorf("class of a group after the triaged ones of a queue without overload is %v, want on time", got)
	}
}

// BenchmarkTriage measures the triage of a heavily overloaded queue with maxTriagedGroups pending groups.
func BenchmarkTriage(b *testing.B) {
	q := newQueue(QueueConfig{Name: "q", TargetLatencyMS: 1000, Extension: 2})
	for i := range maxTriagedGroups {
		due := time.Duration(i) * 10 * time.Millisecond
		q.pending.ReplaceOrInsert(groupOf(q, uint64(i), due, due+3*time.Second))
	}
	q.allocated, q.meanAllocated = 10, 10
	scheduler := New(Options{}, nil)
	scheduler.meanCapacity = Resources{CPU: 1000}
	for b.Loop() {
		scheduler.triage(5*time.Second, q, 10)
	}
}
