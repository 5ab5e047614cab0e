package jobs

import "time"

// Limits, the room kept for the first priority, and reservations decide who goes first. Work that has waited for long, with
// nothing of its job at work, is no longer held back by the first two; by reservations it is, for as long as there is load,
// unless it lasts.
const (
	overdueAfter  = 1500 * time.Millisecond // a unit that waits for longer is not held back by its queue's limit or credit,
	overdueLoaded = 6 * time.Second         // nor one that waits for longer under load, when limits keep room for the urgent
	overdueLook   = 1024                    // waiting units that are looked at in one round
	overdueMost   = 64                      // of these, units that are tried
	mostlyIdle    = 0.6                     // part of the cores in use up to which there is no load
)

// placeOverdue places what has waited for too long, one task of each job, in room that all queues within their limits
// have left in this pass. Reservations hold it back only under load, when they decide who waits, and never tasks that
// last, since each of these is wanted at work all the time.
func (b *Book) placeOverdue(p *pass) {
	idle := b.inUse(p) < mostlyIdle
	for _, u := range b.overdueUnits(p, idle) {
		p.unreserved = idle || u.job.lasts(u.stage)
		b.placeOne(p, u)
	}
}

// inUse returns the part of all cores of ready workers that runs take.
func (b *Book) inUse(p *pass) float64 {
	used, all := int64(0), int64(0)
	for _, w := range p.ready {
		used += w.used.CPU
		all += w.Capacity.CPU
	}
	return ratio(used, all)
}

// overdueUnits returns units that are overdue, of as many waiting ones as one round looks at; the next round goes on behind
// them. What was found to fit nowhere in this pass is left out, unless reservations were all that kept it out.
func (b *Book) overdueUnits(p *pass, idle bool) []*unit {
	var found []*unit
	look := overdueLook
	for range b.order {
		q := b.order[b.overdueFrom%len(b.order)]
		ended := q.lookFrom(&q.overdueNext, &look, func(u *unit) {
			if p.isOverdue(u, idle) && (idle || u.job.lasts(u.stage) || !p.blocked[u]) {
				found = append(found, u)
			}
			if len(found) == overdueMost {
				look = 0
			}
		})
		if !ended {
			return found
		}
		b.overdueFrom++
	}
	return found
}

// isOverdue reports whether a unit has waited for too long: a task that lasts, or one of a job with nothing at work.
func (p *pass) isOverdue(u *unit, idle bool) bool {
	waited := p.now - u.since
	if u.job.lasts(u.stage) {
		return waited >= overdueAfter
	}
	return u.job.assigned == 0 && (waited >= overdueLoaded || idle && waited >= overdueAfter)
}

// lookFrom visits waiting units from a place on, as many as are left to look at, and reports whether it came to the
// end of the queue. The place is moved on.
func (q *Queue) lookFrom(place **unit, left *int, visit func(*unit)) (ended bool) {
	ended = true
	look := func(u *unit) bool {
		if *left == 0 {
			*place, ended = u, false
			return false
		}
		*left--
		visit(u)
		return true
	}
	if from := *place; from != nil {
		q.waiting.AscendGreaterOrEqual(from, look)
	} else {
		q.waiting.Ascend(look)
	}
	if ended {
		*place = nil
	}
	return ended
}

// placeOne places the first task of a unit, all tasks of one that lasts, or a gang as a whole.
func (b *Book) placeOne(p *pass, u *unit) {
	if u.gang {
		b.releaseGang(p, u)
		return
	}
	count := 1
	if u.job.lasts(u.stage) {
		count = len(u.tasks)
	}
	for range count {
		w := b.pick(p, u, nil)
		if w == nil {
			return
		}
		b.startNext(p, u, w)
	}
}
