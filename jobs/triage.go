package jobs

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// triageClass classifies a pending group by the completion time that its job can still achieve. A turn of a queue places groups
// in ascending order of class.
//
// Earliest deadline first alone makes all jobs tardy under overload. Therefore each tick classifies the pending groups of a
// queue with the algorithm of Moore and Hodgson (Management Science 15, 1968), which minimizes the number of tardy jobs: it
// admits groups in order of deadline and, whenever a group would be tardy, defers the largest group admitted so far. Without
// overload, no group is deferred.
type triageClass int

const (
	onTime           triageClass = iota // the job can meet its deadline
	tardy                               // the job can complete by its tardy limit (see tardyFactor), when it still has some value
	missed                              // the job can meet neither its deadline nor its tardy limit
	numTriageClasses                    // number of classes
)

const (
	tardyFactor       = 3.0  // ratio of the tardy limit to the time from dueAt to the deadline
	maxTriagedGroups  = 512  // maximum groups of a queue that are triaged per tick
	meanAllocatedGain = 0.05 // EWMA weight of one tick in Queue.meanAllocated
	minMeanAllocated  = 0.25 // lower bound on the assumed service rate, in workers
)

// triageCandidate is a pending group with the remaining work of its job.
type triageCandidate struct {
	group *taskGroup
	order int     // position of the group in the queue, by deadline
	work  float64 // remaining work, in seconds of one worker's full capacity
	tail  float64 // expected seconds from the start of the group's last task to the end of the job
}

// largestFirst implements heap.Interface with the candidate of the most work at the root.
type largestFirst []triageCandidate

func (h largestFirst) Len() int { return len(h) }

func (h largestFirst) Less(i, j int) bool { return h[i].work > h[j].work }

func (h largestFirst) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *largestFirst) Push(x any) { *h = append(*h, x.(triageCandidate)) }

func (h *largestFirst) Pop() any {
	old := *h
	top := old[len(old)-1]
	*h = old[:len(old)-1]
	return top
}

// triage classifies a queue's pending groups by the completion times that they can achieve at the queue's current service rate.
// The argument capacity is the total capacity of the ready workers.
func (s *Scheduler) triage(now time.Duration, q *Queue, capacity float64) {
	q.triages++
	q.lastTriaged = nil
	if q.pending.Len() == 0 {
		q.meanAllocated = capacity
		return
	}
	q.meanAllocated += meanAllocatedGain * (q.allocated - q.meanAllocated)
	rate := max(q.meanAllocated, q.allocated, minMeanAllocated)
	var all []triageCandidate
	q.pending.Ascend(func(group *taskGroup) bool {
		c := s.newTriageCandidate(group)
		c.order = len(all)
		all = append(all, c)
		return len(all) < maxTriagedGroups
	})
	if q.pending.Len() > len(all) {
		q.lastTriaged = all[len(all)-1].group
	}
	for _, c := range all {
		c.group.triage = q.triages
	}
	ahead := 0.0
	q.overloaded = false
	for class := onTime; class < missed; class++ {
		ahead, all = classify(now, class, all, ahead, rate)
		q.overloaded = q.overloaded || len(all) > 0
	}
	for _, c := range all {
		c.group.class = missed
	}
}

// classOf returns the class of a pending group. A group that was enqueued since the latest triage counts as on time. A group
// after the last triaged one also counts as on time unless the triage deferred groups. In that case it counts as tardy, which
// places it after the tardy groups, since its deadline is later, and before the missed ones.
func (q *Queue) classOf(group *taskGroup) triageClass {
	switch {
	case group.triage == q.triages:
		return group.class
	case q.overloaded && q.lastTriaged != nil && lessGroup(q.lastTriaged, group):
		return tardy
	}
	return onTime
}

// classify assigns a class to as many candidates as can achieve it if the work in workAhead is done first. The candidates must
// be in order of deadline. It returns the total work of workAhead and the admitted candidates, and the deferred candidates in
// order of deadline.
func classify(
	now time.Duration, class triageClass, all []triageCandidate, workAhead, rate float64,
) (ahead float64, deferred []triageCandidate) {
	var admitted largestFirst
	ahead = workAhead
	for _, c := range all {
		heap.Push(&admitted, c)
		ahead += c.work
		for admitted.Len() > 0 && !c.canAchieve(now, class, ahead, rate) {
			largest := heap.Pop(&admitted).(triageCandidate)
			ahead -= largest.work
			deferred = append(deferred, largest)
			if largest.group == c.group {
				break
			}
		}
	}
	for _, c := range admitted {
		c.group.class = class
	}
	slices.SortFunc(deferred, func(a, b triageCandidate) int { return cmp.Compare(a.order, b.order) })
	return ahead, deferred
}

// canAchieve reports whether the candidate's job completes in time for a class if the work ahead, which includes the
// candidate's own, is done at the given rate in workers.
func (c triageCandidate) canAchieve(now time.Duration, class triageClass, ahead, rate float64) bool {
	lastStart := max(0, ahead-c.work/float64(max(1, len(c.group.tasks)))) / rate
	end := now + time.Duration((lastStart+c.tail)*float64(time.Second))
	if class == onTime {
		return end <= c.group.deadline
	}
	due := c.group.occurrence.dueAt
	return end <= due+time.Duration(tardyFactor*float64(c.group.deadline-due))
}

// newTriageCandidate returns a group with the remaining work of its stage and of all later stages of its job.
func (s *Scheduler) newTriageCandidate(group *taskGroup) triageCandidate {
	c := triageCandidate{group: group}
	stages := group.job.Spec.Stages
	tail := make([]float64, len(stages)) // expected seconds from the start of a stage to the end of all stages that depend on it
	for stageIndex := len(stages) - 1; stageIndex >= group.stage; stageIndex-- {
		expected := group.queue.expectedRunTime(&stages[stageIndex]).Seconds()
		for later := stageIndex + 1; later < len(stages); later++ {
			if group.job.dependsOn(later, stageIndex) {
				tail[stageIndex] = max(tail[stageIndex], tail[later])
			}
		}
		tail[stageIndex] += expected
		tasks := len(group.tasks)
		if stageIndex > group.stage {
			tasks = len(group.occurrence.Stages[stageIndex].Tasks) - group.occurrence.Stages[stageIndex].completed
		}
		c.work += float64(tasks) * s.taskShare(&stages[stageIndex]) * expected
	}
	c.tail = tail[group.stage]
	return c
}
