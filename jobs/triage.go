package jobs

import (
	"container/heap"
	"time"
)

// Under overload the first deadlines first make all work late. So each round sorts what waits in a queue by what it can
// still reach, with the Moore-Hodgson algorithm: units are taken by deadline, and whenever one would be late, the largest
// job of those taken so far is put off, which keeps the most jobs in time. Without overload nothing is put off.

// triageClass is what a unit that waits can still reach.
type triageClass int

const (
	onTime triageClass = iota // its deadline
	tardy                     // lateFactor times its objective, until which a late job is worth something
	missed                    // neither
	triageClasses
)

const (
	tardyFactor       = 3.0
	maxTriagedGroups  = 512  // units of a queue that are looked at in a round
	meanAllocatedGain = 0.05 // weight of one round in how much of the workers a backlogged queue has
	minMeanAllocated  = 0.25 // of one worker, that is assumed at least
)

// triageCandidate is a job's waiting unit and the work that it still wants, in seconds of whole workers.
type triageCandidate struct {
	unit *taskGroup
	work float64
	tail float64 // seconds from the start of its last task to its end
}

// largestFirst is a heap of candidates, the one with the most work on top.
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

// triage sorts a queue's waiting units by what they can still reach, at the rate at which it is served.
func (s *Book) triage(now time.Duration, q *Queue, limit float64) {
	if q.pending.Len() == 0 {
		q.meanAllocated = limit
		return
	}
	q.meanAllocated += meanAllocatedGain * (q.allocated - q.meanAllocated)
	rate := max(q.meanAllocated, q.allocated, minMeanAllocated)
	var all []triageCandidate
	q.pending.Ascend(func(group *taskGroup) bool {
		all = append(all, s.newTriageCandidate(group))
		return len(all) < maxTriagedGroups
	})
	ahead := 0.0
	for class := onTime; class < missed; class++ {
		var putOff []triageCandidate
		ahead, putOff = keepOnTime(now, class, all, ahead, rate)
		all = putOff
	}
	for _, c := range all {
		c.unit.class = missed
	}
}

// keepOnTime gives units a prospect as far as they reach it, behind work that goes before them, and returns the work that
// is before the next ones and those that were put off.
func keepOnTime(now time.Duration, class triageClass, all []triageCandidate, before, rate float64) (ahead float64, putOff []triageCandidate) {
	var kept largestFirst
	ahead = before
	for _, c := range all {
		heap.Push(&kept, c)
		ahead += c.work
		for kept.Len() > 0 && !c.reaches(now, class, ahead, rate) {
			dropped := heap.Pop(&kept).(triageCandidate)
			ahead -= dropped.work
			putOff = append(putOff, dropped)
			if dropped.unit == c.unit {
				break
			}
		}
	}
	for _, c := range kept {
		c.unit.class = class
	}
	return ahead, putOff
}

// reaches reports whether a unit ends in time if so much work, its own included, is done at a rate.
func (c triageCandidate) reaches(now time.Duration, class triageClass, ahead, rate float64) bool {
	lastStart := max(0, ahead-c.work/float64(max(1, len(c.unit.tasks)))) / rate
	end := now + time.Duration((lastStart+c.tail)*float64(time.Second))
	due := c.unit.occurrence.dueAt
	if class == onTime {
		return end <= c.unit.deadline
	}
	return end <= due+time.Duration(tardyFactor*float64(c.unit.deadline-due))
}

// newTriageCandidate returns what a unit's job still wants, with all steps that come after the unit's.
func (s *Book) newTriageCandidate(group *taskGroup) triageCandidate {
	c := triageCandidate{unit: group}
	stages := group.job.Spec.Stages
	tail := make([]float64, len(stages)) // seconds from the start of a step to the end of all that depend on it
	for stageIndex := len(stages) - 1; stageIndex >= group.stage; stageIndex-- {
		expected := group.queue.expectedRunTime(&stages[stageIndex]).Seconds()
		for later := stageIndex + 1; later < len(stages); later++ {
			if dependsOn(group.job, later, stageIndex) {
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
