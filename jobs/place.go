package jobs

import (
	"time"

	"sedgevale/admission"
)

const (
	quantum       = 200.0                   // core-seconds that a queue of weight 1 may release in a turn
	maxTurns      = 64                      // turns of all queues in one release
	lateTurn      = 4                       // in one of so many passes late units keep their place
	maxUnits      = 256                     // units of a queue that are looked at in one turn
	gpuCores      = 8                       // what a GPU counts, in cores
	thresholdOver = 0.1                     // over the mean of what workers hold, for the random pick
	reserveAfter  = 300 * time.Millisecond  // a large unit that waits for longer keeps workers for itself
	rackPatience  = 0.5                     // of what running far away costs more, that is waited for room near by
	rackWaitMost  = 1500 * time.Millisecond // and never longer, while workers elsewhere are idle
	lookAtAll     = 64                      // ready workers of a shard that are all looked at for a placement
	lookAtMost    = 16                      // fitting ones that are enough in a larger shard
	readyEvery    = 50 * time.Millisecond   // between two lists of the workers that take starts
	agentSilent   = 900 * time.Millisecond  // a worker whose side agent was not heard for so long gets no starts
	failingMost   = 0.35                    // workers that fail more are left alone while others do
	paceMost      = 2.2                     // workers that are slower are left alone while others do
)

// pass is the state of one release.
type pass struct {
	now       time.Duration
	blocked   map[*unit]bool
	reserved  map[*Worker]*unit
	ready     []*Worker
	mean      float64              // of what ready workers hold
	racks     map[string][]*Worker // of the ready workers, made when it is asked for
	lateFirst bool                 // units that are late already are not put behind
}

// Schedule lets waiting work go to workers: queues of the first priority before others, and among equals by
// deficit round robin, charged by estimated work, each up to its sigma.
func (b *Book) Schedule(now time.Duration) {
	if !b.wake {
		return
	}
	b.wake = false
	b.pass++
	p := &pass{now: now, lateFirst: b.pass%lateTurn == 0, blocked: map[*unit]bool{}, reserved: map[*Worker]*unit{}}
	b.reserved = p.reserved
	b.refreshReady(now)
	p.ready, p.mean = b.ready, b.readyMean
	if len(p.ready) == 0 {
		return
	}
	for _, q := range b.order {
		q.stuck = 0
	}
	for first := 0; first < len(b.order); {
		last := first
		for last < len(b.order) && b.order[last].Priority == b.order[first].Priority {
			last++
		}
		b.release(p, b.order[first:last])
		first = last
	}
	b.preempt(p)
}

// refreshReady lists the workers that take starts. The list is made anew when one comes, goes or changes its state,
// and otherwise now and then, so that a pass does not cost more the more workers there are.
func (b *Book) refreshReady(now time.Duration) {
	if !b.readyStale && now-b.readyAt < readyEvery {
		return
	}
	b.readyStale, b.readyAt = false, now
	b.ready, b.readyMean = b.ready[:0], 0
	for _, w := range b.workers {
		if w.State == Ready && now-w.heard < agentSilent {
			b.ready = append(b.ready, w)
			b.readyMean += w.held
		}
	}
	if len(b.ready) > 0 {
		b.readyMean /= float64(len(b.ready))
	}
}

// release serves queues of one priority in turns until none can release more.
func (b *Book) release(p *pass, queues []*Queue) {
	for range maxTurns {
		more := false
		for _, q := range queues {
			q.deficit.Visit(quantum, q.waiting.Len() > 0)
			if q.waiting.Len() > 0 && b.serve(p, q) {
				more = true
			}
		}
		if !more {
			return
		}
	}
}

// serve releases units of a queue while it has credit. It reports whether another turn may release more.
func (b *Book) serve(p *pass, q *Queue) bool {
	if q.deficit <= 0 {
		return true
	}
	for _, u := range p.inOrder(q) {
		if q.held >= q.sigma && q.held > 0 {
			return false
		}
		credit := true
		if u.gang {
			credit = b.releaseGang(p, u)
		} else {
			credit = b.releaseTasks(p, u)
		}
		if !credit {
			return true
		}
	}
	return false
}

// inOrder returns the units of a queue that are not blocked, the first deadlines first. Those that are late
// already come behind, but for a pass in every few, so that they get their turn too.
func (p *pass) inOrder(q *Queue) []*unit {
	var timely, late []*unit
	q.waiting.Ascend(func(u *unit) bool {
		switch {
		case p.blocked[u]:
		case u.deadline < p.now && !p.lateFirst:
			late = append(late, u)
		default:
			timely = append(timely, u)
		}
		return len(timely)+len(late) < maxUnits
	})
	return append(timely, late...)
}

// work is the estimated work of a task, in core-seconds.
func (b *Book) work(u *unit) float64 {
	step := &u.job.Spec.Stages[u.stage]
	cores := float64(step.CPU)/1000 + gpuCores*float64(step.GPU)
	return cores * u.queue.expected(step).Seconds()
}

// releaseTasks places tasks of a unit one by one. It reports whether the queue still has credit.
func (b *Book) releaseTasks(p *pass, u *unit) bool {
	work := b.work(u)
	for len(u.tasks) > 0 {
		if u.queue.held >= u.queue.sigma && u.queue.held > 0 {
			return true
		}
		w := b.pick(p, u, nil)
		if w == nil {
			b.block(p, u, 1)
			return true
		}
		index := u.tasks[0]
		b.dequeue(u, 1)
		b.start(p.now, u, w, index)
		if !u.queue.deficit.Pay(work) {
			return false
		}
	}
	return true
}

// releaseGang places all members of a gang or none.
func (b *Book) releaseGang(p *pass, u *unit) bool {
	step := &u.job.Spec.Stages[u.stage]
	if len(u.tasks) < step.Count {
		p.blocked[u] = true
		return true
	}
	chosen := b.pickGang(p, u)
	if chosen == nil {
		b.block(p, u, step.Count)
		return true
	}
	indexes := append([]int(nil), u.tasks...)
	b.dequeue(u, len(u.tasks))
	for i, index := range indexes {
		b.start(p.now, u, chosen[i], index)
	}
	return u.queue.deficit.Pay(b.work(u) * float64(len(indexes)))
}

// block notes that a unit cannot be placed in this pass. Where no worker could take it even if that were empty, it
// claims no share of the room; else a large one keeps workers for itself.
func (b *Book) block(p *pass, u *unit, members int) {
	p.blocked[u] = true
	if !b.placeable(p, u) {
		u.queue.stuck += float64(len(u.tasks)) * b.part(&u.job.Spec.Stages[u.stage])
		return
	}
	b.reserve(p, u, members)
}

// placeable reports whether a worker that takes tasks could take one of a unit's if it were empty.
func (b *Book) placeable(p *pass, u *unit) bool {
	step := &u.job.Spec.Stages[u.stage]
	for _, w := range p.ready {
		if !w.Capacity.Holds(step.demand()) || !w.carries(step.Constraints) {
			continue
		}
		if step.AntiAffinity == 0 || b.together(w, u) < step.AntiAffinity {
			return true
		}
	}
	return false
}

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
	step := &u.job.Spec.Stages[u.stage]
	demand := step.demand()
	var fits []*Worker
	for _, w := range workers {
		if len(fits) >= most {
			break
		}
		if other := p.reserved[w]; other != nil && other != u {
			continue
		}
		if !w.carries(step.Constraints) {
			continue
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
		if !w.room(wanted) {
			continue
		}
		if step.AntiAffinity > 0 && b.together(w, u)+count >= step.AntiAffinity {
			continue
		}
		fits = append(fits, w)
	}
	return fits
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

// reserve keeps workers for a large unit that has waited for some time: those that could hold it and have
// the most room already, at most half of all.
func (b *Book) reserve(p *pass, u *unit, members int) {
	step := &u.job.Spec.Stages[u.stage]
	if p.now-u.since < reserveAfter || b.part(step) < 0.2 {
		return
	}
	for range members {
		if len(p.reserved)*2 >= len(p.ready) {
			return
		}
		var best *Worker
		for _, w := range p.ready {
			if p.reserved[w] != nil || !w.Capacity.Holds(step.demand()) || !w.carries(step.Constraints) {
				continue
			}
			if best == nil || w.held < best.held {
				best = w
			}
		}
		if best == nil {
			return
		}
		p.reserved[best] = u
	}
}

// start assigns a task to a worker. The order may be sent once the change is durable.
func (b *Book) start(now time.Duration, u *unit, w *Worker, index int) {
	task := &u.time.Stages[u.stage].Tasks[index]
	task.State = Assigned
	task.Attempt++
	task.Worker = w.Ref
	u.job.started = true
	demand := u.job.Spec.Stages[u.stage].demand()
	run := &Run{
		Key: RunRef{TaskName(u.job.ID, u.time.Number, u.stage, index), task.Attempt}, job: u.job,
		at: place{u.job.ID, u.time.Number, u.stage, index}, demand: demand, queue: u.queue,
		part: min(1, w.Capacity.part(demand)), placed: now, worker: w.Ref,
	}
	w.add(run)
	u.queue.use(w)
	b.touch(u.job)
	b.after(func() {
		run.durable = true
		w.dirty = true
	})
}
