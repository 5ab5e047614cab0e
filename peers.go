package sedgevale

// Load of other dispatchers: of the same scheduler while one process takes over from another, and of other schedulers of one site.

import (
	"time"
)

// Load is what a dispatcher has out at a worker.
type Load struct {
	Held    float64 `json:"held"`              // slots
	Waiting int     `json:"waiting,omitempty"` // attempts that have not started
	Sent    float64 `json:"sent,omitempty"`    // work ever, in slot seconds
}

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load { return Load{l.Held + m.Held, l.Waiting + m.Waiting, l.Sent + m.Sent} }

// Out returns what this dispatcher has out at each worker, without what Beside
// has told of others.
func (d *Dispatcher) Out() map[string]Load {
	out := map[string]Load{}
	for _, w := range d.workers {
		if w == nil {
			continue
		}
		if l := (Load{w.held - w.beside.Held, w.unstarted - w.beside.Waiting, w.sent}); l != (Load{}) {
			out[w.Worker] = l
		}
	}
	return out
}

// Beside tells what other dispatchers of the same scheduler have out. It counts
// like what is out from here, for limits and for cold workers.
func (d *Dispatcher) Beside(now time.Duration, loads map[string]Load) {
	d.wake(now)
	for _, w := range d.workers {
		if w == nil {
			continue
		}
		l := loads[w.Worker]
		d.hold(w, l.Held-w.beside.Held)
		w.unstarted += l.Waiting - w.beside.Waiting
		if w.coldUntil > now && w.besides {
			w.credit -= max(0, l.Sent-w.beside.Sent)
		}
		w.beside, w.besides = l, true
	}
	d.roomAgain()
	d.release(now)
}

// Told is what somebody has out at a worker.
type Told struct {
	Worker string
	Load
	Full bool // more is out there, from all, than the worker has slots: what waits will go on waiting
}

// Tell has Changed work from now on.
func (d *Dispatcher) Tell() { d.tells = true }

// Changed appends what this dispatcher has out now at each worker where that has changed since it was
// last asked, with what Beside has told of: the other process is the same scheduler.
func (d *Dispatcher) Changed(buf []Told) []Told {
	for i, w := range d.marked {
		w.marked, d.marked[i] = false, nil
		buf = append(buf, Told{w.Worker, Load{w.held - w.others.Held, w.unstarted - w.others.Waiting, w.sent},
			w.held > d.kindRoom[w.Kind]})
	}
	d.marked = d.marked[:0]
	return buf
}

// Others tells what other schedulers of the site have out at some workers, each as a sum that takes the
// place of the one before. It counts against the worker's room, but not as ours. Workers that no list
// has named are passed over.
func (d *Dispatcher) Others(now time.Duration, told []Told) {
	d.wake(now)
	for i := range told {
		w := d.byName[told[i].Worker]
		if w == nil {
			continue
		}
		d.occupy(w, told[i].Held-w.others.Held)
		w.unstarted += told[i].Waiting - w.others.Waiting
		w.others = told[i].Load
	}
	d.roomAgain()
	d.release(now)
}

// Part makes some workers this dispatcher's own part of a fleet: it looks there first. So many
// dispatchers as sharers have a worker in their parts, this one included. An empty part stands for all
// workers alike, as at the start. Workers that no list names yet do not count.
func (d *Dispatcher) Part(now time.Duration, workers []string, sharers int) {
	ours := make(map[string]bool, len(workers))
	for _, name := range workers {
		ours[name] = true
	}
	d.part, d.sharers = 0, max(1, sharers)
	if len(workers) == 0 {
		d.sharers = d.set.Peers
	}
	for _, w := range d.workers {
		if w == nil {
			continue
		}
		if w.ours != ours[w.Worker] {
			d.count(w, -1)
			w.ours = ours[w.Worker]
			d.count(w, 1)
			for _, p := range d.pools {
				p.nearOld = true
			}
		}
		d.part += int(oneIf(w.ours))
	}
	d.roomAgain()
	d.release(now)
}
