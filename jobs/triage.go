package jobs

import (
	"container/heap"
	"time"
)

// Under overload the first deadlines first make all work late. So each round sorts what waits in a queue by what it can
// still reach, with the Moore-Hodgson algorithm: units are taken by deadline, and whenever one would be late, the largest
// job of those taken so far is put off, which keeps the most jobs in time. Without overload nothing is put off.

// prospect is what a unit that waits can still reach.
type prospect int

const (
	inTime   prospect = iota // its deadline
	late                     // lateFactor times its objective, until which a late job is worth something
	hopeless                 // neither
	prospects
)

const (
	lateFactor  = 3.0
	triageMost  = 512  // units of a queue that are looked at in a round
	servedGain  = 0.05 // weight of one round in how much of the workers a backlogged queue has
	leastServed = 0.25 // of one worker, that is assumed at least
)

// candidate is a job's waiting unit and the work that it still wants, in seconds of whole workers.
type candidate struct {
	unit *unit
	work float64
	last float64 // seconds from the start of its last task to its end
}

// largestFirst is a heap of candidates, the one with the most work on top.
type largestFirst []candidate

func (h largestFirst) Len() int           { return len(h) }
func (h largestFirst) Less(i, j int) bool { return h[i].work > h[j].work }
func (h largestFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *largestFirst) Push(x any)        { *h = append(*h, x.(candidate)) }
func (h *largestFirst) Pop() any {
	old := *h
	top := old[len(old)-1]
	*h = old[:len(old)-1]
	return top
}

// triage sorts a queue's waiting units by what they can still reach, at the rate at which it is served.
func (b *Book) triage(now time.Duration, q *Queue, limit float64) {
	if q.waiting.Len() == 0 {
		q.served = limit
		return
	}
	q.served += servedGain * (q.held - q.served)
	rate := max(q.served, q.held, leastServed)
	var all []candidate
	q.waiting.Ascend(func(u *unit) bool {
		all = append(all, b.candidateOf(u))
		return len(all) < triageMost
	})
	ahead := 0.0
	for class := inTime; class < hopeless; class++ {
		var putOff []candidate
		ahead, putOff = keepMost(now, class, all, ahead, rate)
		all = putOff
	}
	for _, c := range all {
		c.unit.prospect = hopeless
	}
}

// keepMost gives units a prospect as far as they reach it, behind work that goes before them, and returns the work that
// is before the next ones and those that were put off.
func keepMost(now time.Duration, class prospect, all []candidate, before, rate float64) (ahead float64, putOff []candidate) {
	var kept largestFirst
	ahead = before
	for _, c := range all {
		heap.Push(&kept, c)
		ahead += c.work
		for kept.Len() > 0 && !c.reaches(now, class, ahead, rate) {
			dropped := heap.Pop(&kept).(candidate)
			ahead -= dropped.work
			putOff = append(putOff, dropped)
			if dropped.unit == c.unit {
				break
			}
		}
	}
	for _, c := range kept {
		c.unit.prospect = class
	}
	return ahead, putOff
}

// reaches reports whether a unit ends in time if so much work, its own included, is done at a rate.
func (c candidate) reaches(now time.Duration, class prospect, ahead, rate float64) bool {
	lastStart := max(0, ahead-c.work/float64(max(1, len(c.unit.tasks)))) / rate
	end := now + time.Duration((lastStart+c.last)*float64(time.Second))
	due := c.unit.time.due
	if class == inTime {
		return end <= c.unit.deadline
	}
	return end <= due+time.Duration(lateFactor*float64(c.unit.deadline-due))
}

// candidateOf returns what a unit's job still wants, with all steps that come after the unit's.
func (b *Book) candidateOf(u *unit) candidate {
	c := candidate{unit: u}
	stages := u.job.Spec.Stages
	tail := make([]float64, len(stages)) // seconds from the start of a step to the end of all that depend on it
	for stage := len(stages) - 1; stage >= u.stage; stage-- {
		expected := u.queue.expected(&stages[stage]).Seconds()
		for later := stage + 1; later < len(stages); later++ {
			if dependsOn(u.job, later, stage) {
				tail[stage] = max(tail[stage], tail[later])
			}
		}
		tail[stage] += expected
		tasks := len(u.tasks)
		if stage > u.stage {
			tasks = len(u.time.Stages[stage].Tasks) - u.time.Stages[stage].done
		}
		c.work += float64(tasks) * b.part(&stages[stage]) * expected
	}
	c.last = tail[u.stage]
	return c
}
