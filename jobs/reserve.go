package jobs

import (
	"cmp"
	"slices"
	"time"
)

const (
	reserveAfter = 300 * time.Millisecond // a large unit that waits for longer keeps workers for itself
	reservePart  = 0.2                    // of a usual worker, from which on a task is large
)

// reservation keeps a worker for one task of a unit that waits for room there. It holds for one pass.
type reservation struct {
	holder *unit
	worker *Worker
	beside Resources // what others may take without keeping the holder from its room
	known  bool      // beside was worked out
}

// room returns what others may take of the worker without keeping the holder from its room.
func (r *reservation) room() Resources {
	if !r.known {
		r.known = true
		r.beside = r.worker.beside(r.holder.job.Spec.Stages[r.holder.stage].demand())
	}
	return r.beside
}

// takeBeside counts what another unit takes of the room beside the holder.
func (r *reservation) takeBeside(demand Resources) {
	if r.known {
		left := r.beside.minus(demand)
		r.beside = Resources{max(0, left.CPU), max(0, left.MemMB), max(0, left.GPU)}
	}
}

// reserve keeps workers for a large unit that has waited for some time: those that could hold it and have the most
// room already, at most half of all.
func (b *Book) reserve(p *pass, u *unit, members int) {
	step := &u.job.Spec.Stages[u.stage]
	if p.now-u.since < reserveAfter || b.part(step) < reservePart {
		return
	}
	for _, w := range b.emptiestFirst() {
		if members == 0 || len(p.reserved)*2 >= len(p.ready) {
			return
		}
		if p.reserved[w] != nil || !b.suits(w, u, 0) {
			continue
		}
		p.reserved[w] = &reservation{holder: u, worker: w}
		members--
	}
}

// emptiestFirst returns the ready workers, those that held least first when it was asked for the first time since they were
// listed.
func (b *Book) emptiestFirst() []*Worker {
	if len(b.emptiest) != len(b.ready) {
		b.emptiest = slices.Clone(b.ready)
		slices.SortStableFunc(b.emptiest, func(a, b *Worker) int { return cmp.Compare(a.held, b.held) })
	}
	return b.emptiest
}

// beside returns what a worker has left for others once a task with some demand runs there. Of what runs now the
// smallest stays, as much as fits beside that task: the rest has to end before the task can start anyway.
func (w *Worker) beside(demand Resources) Resources {
	left := w.Capacity.minus(demand)
	runs := make([]*Run, 0, len(w.Runs))
	for _, run := range w.Runs {
		if !run.stopping {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *Run) int { return cmp.Compare(a.part, b.part) })
	for _, run := range runs {
		if !left.Holds(run.demand) {
			break
		}
		left = left.minus(run.demand)
	}
	return left
}

// mayUse reports whether a unit may take so much of a worker as far as reservations go.
func (p *pass) mayUse(w *Worker, u *unit, wanted Resources) bool {
	kept := p.reserved[w]
	return kept == nil || kept.holder == u || p.unreserved || kept.room().Holds(wanted)
}
