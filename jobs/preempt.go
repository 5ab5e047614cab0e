package jobs

import (
	"sort"
	"time"
)

const (
	preemptAfter = 150 * time.Millisecond // a unit that waits for longer may take the room of less urgent work
	preemptEvery = 100 * time.Millisecond // between two looks for work to preempt
	preemptMost  = 0.5                    // parts of workers that are freed at a time
)

// preempt stops runs of less urgent queues where work of the first priority waits for room. Only tasks that save
// checkpoints are stopped, the ones that have run for the shortest time first, so that little is done twice.
func (b *Book) preempt(p *pass) {
	if p.now < b.preemptAt {
		return
	}
	wanted, labels := b.urgent(p)
	if wanted == 0 {
		return
	}
	b.preemptAt = p.now + preemptEvery
	wanted = min(wanted, preemptMost) - b.freeing()
	for _, run := range b.victims(labels) {
		if wanted <= 0 {
			return
		}
		run.stopping = true
		run.lastSent = 0
		b.workers[run.worker].dirty = true
		wanted -= run.part
	}
}

// urgent returns how much of workers the first priority waits for, in time and for some time already, and what
// labels the first of that asks for.
func (b *Book) urgent(p *pass) (wanted float64, labels Labels) {
	for _, q := range b.order {
		if q.Priority != 0 {
			break
		}
		q.waiting.Ascend(func(u *unit) bool {
			if !p.blocked[u] || p.now-u.since < preemptAfter || u.deadline < p.now || u.gang || !b.placeable(p, u) {
				return true
			}
			if wanted == 0 {
				labels = u.job.Spec.Stages[u.stage].Constraints
			}
			wanted += float64(len(u.tasks)) * b.part(&u.job.Spec.Stages[u.stage])
			return wanted < preemptMost
		})
	}
	return wanted, labels
}

// freeing returns how much of workers is being freed already.
func (b *Book) freeing() float64 {
	sum := 0.0
	for _, w := range b.workers {
		if w.State != Ready {
			continue
		}
		for _, run := range w.Runs {
			if run.stopping {
				sum += run.part
			}
		}
	}
	return sum
}

// victims returns the runs that may be preempted, the least urgent and then the youngest first.
func (b *Book) victims(labels Labels) []*Run {
	var found []*Run
	for _, w := range b.workers {
		if w.State != Ready || !w.carries(labels) {
			continue
		}
		for _, run := range w.Runs {
			if b.mayPreempt(run) {
				found = append(found, run)
			}
		}
	}
	sort.Slice(found, func(i, j int) bool {
		if found[i].queue.Priority != found[j].queue.Priority {
			return found[i].queue.Priority > found[j].queue.Priority
		}
		return found[i].placed > found[j].placed
	})
	return found
}

// mayPreempt reports whether a run can be stopped without losing much of its work.
func (b *Book) mayPreempt(run *Run) bool {
	if run.stopping || !run.reported || run.job == nil || run.queue == nil || run.queue.Priority == 0 {
		return false
	}
	step := &run.job.Spec.Stages[run.at.stage]
	return step.Checkpoints && !step.Gang && !run.job.lasts(run.at.stage) && run.percent < almostDone
}

// almostDone is the progress, in percent, from which on a run is left to end by itself.
const almostDone = 80
