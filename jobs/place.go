package jobs

import (
	"slices"
	"time"

	"sedgevale/admission"
)

const (
	quantum       = 200.0                   // core-seconds that a queue of weight 1 may release in a turn
	maxTurns      = 64                      // turns of all queues in one release
	maxUnits      = 256                     // units of a queue that are looked at in one turn
	gpuCores      = 8                       // what a GPU counts, in cores
	thresholdOver = 0.1                     // over the mean of what workers hold, for the random pick
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
	now        time.Duration
	blocked    map[*unit]bool
	reserved   map[*Worker]*reservation
	ready      []*Worker
	mean       float64              // of what ready workers hold
	racks      map[string][]*Worker // of the ready workers, made when it is asked for
	unreserved bool                 // no reservation holds
	started    int                  // tasks so far
}

// Schedule lets waiting work go to workers: queues of the first priority before others, and among equals by
// deficit round robin, charged by estimated work, each up to its sigma.
func (b *Book) Schedule(now time.Duration) {
	if !b.wake {
		return
	}
	b.wake = false
	p := &pass{now: now, blocked: map[*unit]bool{}, reserved: map[*Worker]*reservation{}}
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
	if b.overdueDue {
		b.overdueDue = false
		b.placeOverdue(p)
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
	b.ready, b.emptiest, b.readyMean = b.ready[:0], nil, 0
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
		before := p.started
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
		if p.started == before {
			skipTurns(queues)
		}
	}
}

// skipTurns gives queues at once the credit of all turns in which none of them could release anything, since those that
// could go on are in debt.
func skipTurns(queues []*Queue) {
	var debts []admission.Deficit
	for _, q := range queues {
		if q.waiting.Len() > 0 && q.deficit <= 0 {
			debts = append(debts, q.deficit)
		}
	}
	turns := admission.TurnsToCredit(debts, quantum)
	for _, q := range queues {
		if q.waiting.Len() > 0 && q.deficit <= 0 {
			q.deficit.Visit(turns*quantum, true)
		}
	}
}

// serve releases units of a queue while it has credit. It reports whether another turn may release more.
func (b *Book) serve(p *pass, q *Queue) bool {
	if q.deficit <= 0 {
		return true
	}
	before := p.started
	q.limit = b.allowed(q)
	units, more := p.inOrder(q)
	for _, u := range units {
		if q.held >= q.limitOf(u) && q.held > 0 {
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
	if p.started > before {
		more = nil
	}
	q.next = more
	return false
}

// inOrder returns units of a queue that are not blocked, by what they can still reach and then by deadline, and the one
// behind them if there are more. Where none of so many could be placed, the next pass goes on behind them: what nobody has
// room for must not hide what somebody has.
func (p *pass) inOrder(q *Queue) (units []*unit, more *unit) {
	var byProspect [prospects][]*unit
	left := maxUnits
	place := q.next
	q.lookFrom(&place, &left, func(u *unit) {
		if p.blocked[u] {
			left++
			return
		}
		byProspect[u.prospect] = append(byProspect[u.prospect], u)
	})
	for _, some := range byProspect {
		units = append(units, some...)
	}
	return units, place
}

// work is the estimated work of a task, in core-seconds.
func (b *Book) work(u *unit) float64 {
	step := &u.job.Spec.Stages[u.stage]
	cores := float64(step.CPU)/1000 + gpuCores*float64(step.GPU)
	return cores * u.queue.expected(step).Seconds()
}

// releaseTasks places tasks of a unit one by one. It reports whether the queue still has credit.
func (b *Book) releaseTasks(p *pass, u *unit) bool {
	for len(u.tasks) > 0 {
		if u.queue.held >= u.queue.limitOf(u) && u.queue.held > 0 {
			return true
		}
		w := b.pick(p, u, nil)
		if w == nil {
			b.block(p, u, 1)
			return true
		}
		if !b.startNext(p, u, w) {
			return false
		}
	}
	return true
}

// startNext starts the next task of a unit. It reports whether the queue still has credit.
func (b *Book) startNext(p *pass, u *unit, w *Worker) bool {
	work := b.work(u)
	index := u.tasks[0]
	b.dequeue(u, 1)
	b.start(p, u, w, index)
	return u.queue.deficit.Pay(work)
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
		b.start(p, u, chosen[i], index)
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
	return slices.ContainsFunc(p.ready, func(w *Worker) bool { return b.suits(w, u, 0) })
}

// start assigns a task to a worker. The order may be sent once the change is durable.
func (b *Book) start(p *pass, u *unit, w *Worker, index int) {
	task := &u.time.Stages[u.stage].Tasks[index]
	u.job.move(task, Assigned)
	task.Attempt++
	task.Worker = w.Ref
	u.job.started = true
	demand := u.job.Spec.Stages[u.stage].demand()
	run := &Run{
		Key: RunRef{TaskName(u.job.ID, u.time.Number, u.stage, index), task.Attempt}, job: u.job,
		at: place{u.job.ID, u.time.Number, u.stage, index}, demand: demand, queue: u.queue,
		part: min(1, w.Capacity.part(demand)), placed: p.now, worker: w.Ref,
	}
	w.add(run)
	p.started++
	if kept := p.reserved[w]; kept != nil && kept.holder != u {
		kept.takeBeside(demand)
	}
	u.queue.use(w)
	b.touch(u.job)
	b.after(func() {
		run.durable = true
		w.dirty = true
	})
}
