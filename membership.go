package sedgevale

// Updates of the list of workers, and the connections of workers that leave.

import (
	"slices"
	"time"
)

const (
	rewatchFirst = 200 * time.Millisecond
	rewatchMost  = time.Second // with its spread and a failed call: within 6 s of the list's return
)

// Exceptions to the paper's path. Members brings the list of workers, whole or in part. Workers that
// drain or are gone leave the pick at once.
func (d *Dispatcher) Members(now time.Duration, kind ListKind, entries []WorkerInfo) {
	first := !d.running
	d.wake(now)
	d.stoodStill(now)
	if first && d.set.AskForList {
		d.host.Watch()
	}
	if kind == ListBroken {
		d.host.Log("the watch on the list of workers failed; the old list stands, asking again")
		d.host.SetTimer(d.rewatch/2+time.Duration(d.rng.Int64N(int64(d.rewatch))), tokenWatch)
		d.rewatch = min(2*d.rewatch, rewatchMost)
		return
	}
	if kind != ListStale {
		d.rewatch = rewatchFirst
	}
	if kind != ListPatch {
		for _, w := range d.absent(entries) {
			w.State = Left
			d.place(w)
			d.drop(w)
			d.closeIdle(now, w)
		}
	}
	for i := range entries {
		d.member(now, &entries[i])
	}
	d.roomAgain()
	d.release(now)
}

func (d *Dispatcher) member(now time.Duration, e *WorkerInfo) {
	w := d.byName[e.Worker]
	if w == nil {
		if e.State == Left {
			return
		}
		w = d.newWorker(e)
		d.startedAt(now, w)
	} else {
		restarted := e.StartedAt > w.StartedAt
		d.unplace(w)
		w.WorkerInfo = *e
		if restarted {
			w.sigma, w.suspect, w.backoff, w.freeAt = inf, 0, 0, 0
			d.startedAt(now, w)
		}
	}
	d.growKinds(e.Kind)
	d.kindSize[e.Kind] = max(d.kindSize[e.Kind], e.Weight)
	d.unplace(w)
	w.size = d.sizeOf(e)
	d.largest = max(d.largest, w.size)
	d.place(w)
	if d.set.Weights == WeightLive && e.Weight > 0 {
		d.lively(now, w)
	}
	if e.State == Left {
		d.drop(w)
	}
	d.closeIdle(now, w)
}

// absent returns the workers that a whole list no longer has.
func (d *Dispatcher) absent(entries []WorkerInfo) (gone []*worker) {
	named := make(map[string]bool, len(entries))
	for i := range entries {
		named[entries[i].Worker] = true
	}
	for _, w := range d.workers {
		if w != nil && !named[w.Worker] {
			gone = append(gone, w)
		}
	}
	return gone
}

// closeIdle closes what is idle to a worker that leaves, at the notice, after each outcome
// there, and once more later: a connection may still be made for an attempt called off.
func (d *Dispatcher) closeIdle(now time.Duration, w *worker) {
	v := d.byName[w.Worker]
	if d.set.CloseOnDrain == 0 || w.State == Active || v != nil && v.State == Active {
		return
	}
	d.host.CloseIdle(w.Worker)
	if w.closedAt == 0 {
		d.leaving = append(d.leaving, w)
	}
	w.closedAt = now
}

// closeAgain closes once more half the time after the last notice or outcome.
func (d *Dispatcher) closeAgain(now time.Duration) {
	d.leaving = slices.DeleteFunc(d.leaving, func(w *worker) bool {
		if now < w.closedAt+d.set.CloseOnDrain/2 {
			return false
		}
		w.closedAt = 0
		if v := d.byName[w.Worker]; v == nil || v.State != Active {
			d.host.CloseIdle(w.Worker)
		}
		return true
	})
}
