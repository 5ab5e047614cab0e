package sedgevale

// Accounting of slots and attempts in flight.

import (
	"slices"
	"time"
)

// hold books slots of ours at the worker.
func (d *Dispatcher) hold(w *worker, slots float64) {
	d.held += slots
	d.occupy(w, slots)
	if d.tells && !w.marked {
		w.marked = true
		d.marked = append(d.marked, w)
	}
}

// occupy books slots at the worker, whoever has them.
func (d *Dispatcher) occupy(w *worker, slots float64) {
	w.held += slots
	for i, p := range d.pools {
		if w.places[i] < 0 {
			continue
		}
		p.held += slots
		if w.ours {
			p.nearHeld += slots
		}
	}
}

// book puts an attempt on the books and returns its number.
func (d *Dispatcher) book(now time.Duration, r *request, w *worker) int {
	r.attempts = append(r.attempts, attempt{w: w, sent: now})
	r.out++
	r.class.inflight++
	r.tenant.inflight += r.Slots
	r.tenant.use(w)
	d.hold(w, r.Slots)
	w.unstarted++
	w.free -= r.Slots
	w.sent += r.work
	w.out = append(w.out, flight{r, len(r.attempts) - 1})
	return len(r.attempts) - 1
}

// settle takes an attempt off the books.
func (d *Dispatcher) settle(now time.Duration, r *request, a *attempt, o Outcome) {
	d.writeOff(r, a)
	a.over, a.proven = true, d.neverRan(o)
	a.moved = a.moved || o != NotSent && o != Cancelled && d.pools[0].active > 1
	r.out--
	a.w.out = slices.DeleteFunc(a.w.out, func(f flight) bool { return f.r == r && &r.attempts[f.n] == a })
	if o == Served || o == Errored || o == Full {
		a.w.sign(now)
	}
}

// writeOff takes an attempt off the books of what workers and tenants have in
// hand, when it ends or before.
func (d *Dispatcher) writeOff(r *request, a *attempt) {
	if a.off {
		return
	}
	a.off = true
	r.class.inflight--
	r.tenant.inflight -= r.Slots
	d.hold(a.w, -r.Slots)
	if a.started == 0 {
		a.w.unstarted--
	}
}

// writeOn puts a running attempt on the books that was written off, or that had
// waited until now.
func (d *Dispatcher) writeOn(r *request, a *attempt) {
	a.off = false
	r.class.inflight++
	r.tenant.inflight += r.Slots
	d.hold(a.w, r.Slots)
}
