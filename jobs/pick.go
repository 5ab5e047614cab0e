package jobs

import (
	"time"

	"sedgevale/admission"
)

// pickGang returns a worker for each member, in one rack if the gang wants that and one has room.
func (b *Book) pickGang(p *pass, u *unit) []*Worker {
	step := &u.job.Spec.Stages[u.stage]
	if step.RackLocal {
		racks := map[string]bool{}
		for _, w := range p.ready {
			racks[w.rack()] = true
		}
		for rack := range racks {
			if chosen := b.tryGang(p, u, rack); chosen != nil {
				return chosen
			}
		}
		if len(u.tasks) > 1 && b.waitsForRack(p, u) {
			return nil
		}
	}
	return b.tryGang(p, u, "")
}

// tryGang looks for workers for all members, in one rack where it is given.
func (b *Book) tryGang(p *pass, u *unit, rack string) []*Worker {
	taken := &tentative{rack: rack, used: map[*Worker]Resources{}, count: map[*Worker]int{}}
	var chosen []*Worker
	demand := u.job.Spec.Stages[u.stage].demand()
	for range u.tasks {
		w := b.pick(p, u, taken)
		if w == nil {
			return nil
		}
		taken.used[w] = taken.used[w].plus(demand)
		taken.count[w]++
		chosen = append(chosen, w)
	}
	return chosen
}

// tentative is what members of a gang would take, before all have a worker.
type tentative struct {
	rack  string
	used  map[*Worker]Resources
	count map[*Worker]int
}

// pick returns a worker for one task of a unit, or nil: a random one of those with room that hold less
// than a threshold. Where tasks take whole accelerators, they are packed instead, so that workers stay
// whole for gangs.
func (b *Book) pick(p *pass, u *unit, taken *tentative) *Worker {
	step := &u.job.Spec.Stages[u.stage]
	fits := b.fitting(p, u, taken)
	fits = prefer(fits, func(w *Worker) bool { return w.failing < failingMost })
	fits = prefer(fits, func(w *Worker) bool { return w.pace < paceMost })
	if step.AffinityTo != "" {
		near := prefer(fits, func(w *Worker) bool { return w.carries(Labels{step.AffinityTo}) })
		if len(near) > 0 && !near[0].carries(Labels{step.AffinityTo}) && b.waitsForRack(p, u) {
			return nil
		}
		fits = near
	}
	if len(fits) == 0 {
		return nil
	}
	if step.GPU > 0 {
		return b.pack(fits, taken)
	}
	candidates := make([]admission.Candidate, len(fits))
	for i, w := range fits {
		candidates[i] = admission.Candidate{Held: w.held}
	}
	return fits[admission.PickBelow(candidates, p.mean+thresholdOver, b.random.IntN)]
}

// waitsForRack reports whether a unit should rather wait for room in the rack of its data, or of its gang, than run
// far away: as long as the wait has not cost a part of what running far away would cost, and the rack has a worker at all.
func (b *Book) waitsForRack(p *pass, u *unit) bool {
	step := &u.job.Spec.Stages[u.stage]
	far := time.Duration((b.options.FarX - 1) * rackPatience * float64(u.queue.expected(step)))
	if p.now-u.since >= min(far, rackWaitMost) {
		return false
	}
	if step.AffinityTo == "" {
		return true
	}
	for _, w := range p.inRack(step.AffinityTo) {
		if w.Capacity.Holds(step.demand()) && w.carries(step.Constraints) {
			return true
		}
	}
	return false
}

// fitting returns workers that may take a task of the unit now: all of them in a small shard, in a large one a few
// from a random place on, so that a placement costs the same there. Those in the rack of the data come first.
func (b *Book) fitting(p *pass, u *unit, taken *tentative) []*Worker {
	if len(p.ready) <= lookAtAll {
		return b.fittingOf(p, u, taken, p.ready, len(p.ready))
	}
	if rack := u.job.Spec.Stages[u.stage].AffinityTo; rack != "" {
		if fits := b.fittingOf(p, u, taken, p.inRack(rack), lookAtMost); len(fits) > 0 {
			return fits
		}
	}
	from := b.random.IntN(len(p.ready))
	fits := b.fittingOf(p, u, taken, p.ready[from:], lookAtMost)
	if len(fits) >= lookAtMost {
		return fits
	}
	return append(fits, b.fittingOf(p, u, taken, p.ready[:from], lookAtMost-len(fits))...)
}

// inRack returns the workers of a rack that take starts.
func (p *pass) inRack(rack string) []*Worker {
	if p.racks == nil {
		p.racks = map[string][]*Worker{}
		for _, w := range p.ready {
			p.racks[w.rack()] = append(p.racks[w.rack()], w)
		}
	}
	return p.racks[rack]
}

// fittingOf returns at most so many of some workers that may take a task of the unit now.
func (b *Book) fittingOf(p *pass, u *unit, taken *tentative, workers []*Worker, most int) []*Worker {
	demand := u.job.Spec.Stages[u.stage].demand()
	var fits []*Worker
	for _, w := range workers {
		if len(fits) >= most {
			break
		}
		wanted := demand
		count := 0
		if taken != nil {
			if taken.rack != "" && w.rack() != taken.rack {
				continue
			}
			wanted = wanted.plus(taken.used[w])
			count = taken.count[w]
		}
		if !w.room(wanted) || !p.mayUse(w, u, wanted) || !b.suits(w, u, count) {
			continue
		}
		fits = append(fits, w)
	}
	return fits
}

// suits reports whether a worker, if it were empty, could take a task of a unit beside so many that are meant for it: by its
// capacity, its labels and the unit's anti-affinity.
func (b *Book) suits(w *Worker, u *unit, meant int) bool {
	step := &u.job.Spec.Stages[u.stage]
	if !w.Capacity.Holds(step.demand()) || !w.carries(step.Constraints) {
		return false
	}
	return step.AntiAffinity <= 0 || b.together(w, u)+meant < step.AntiAffinity
}

// together counts the tasks of a unit's step and time that a worker holds.
func (b *Book) together(w *Worker, u *unit) int {
	n := 0
	for _, run := range w.Runs {
		if run.at.id == u.job.ID && run.at.number == u.time.Number && run.at.stage == u.stage {
			n++
		}
	}
	return n
}

// prefer returns those for which good holds, or all where it holds for none.
func prefer(workers []*Worker, good func(*Worker) bool) []*Worker {
	var kept []*Worker
	for _, w := range workers {
		if good(w) {
			kept = append(kept, w)
		}
	}
	if len(kept) == 0 {
		return workers
	}
	return kept
}

// pack returns the worker with the fewest free accelerators, a random one among equals.
func (b *Book) pack(fits []*Worker, taken *tentative) *Worker {
	var best *Worker
	least, equal := int64(0), 0
	for _, w := range fits {
		free := w.free().GPU
		if taken != nil {
			free -= taken.used[w].GPU
		}
		switch {
		case best == nil || free < least:
			best, least, equal = w, free, 1
		case free == least:
			equal++
			if b.random.IntN(equal) == 0 {
				best = w
			}
		}
	}
	return best
}
