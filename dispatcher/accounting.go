package dispatcher

import (
	"slices"
	"time"
)

// This file accounts for slots and attempts in flight.

// addInFlight adds slots in flight of this dispatcher, or of its siblings, at the worker.
func (d *Dispatcher) addInFlight(w *worker, slots float64) {
	d.capacity.inFlight += slots
	d.workers.addInFlight(w, slots)
	d.loadChanges.record(w)
}

// startAttempt records a new attempt of the request and returns its number.
func (d *Dispatcher) startAttempt(now time.Duration, r *request, w *worker) int {
	r.attempts = append(r.attempts, attempt{worker: w, sentAt: now})
	r.inFlight++
	r.class.inFlight++
	r.tenant.inFlight += r.Slots
	r.tenant.countSent(w)
	d.addInFlight(w, r.Slots)
	w.notStarted++
	w.freeSlots -= r.Slots
	w.workSent += r.work
	w.attempts = append(w.attempts, attemptRef{r, len(r.attempts) - 1})
	return len(r.attempts) - 1
}

// endAttempt records the end of an attempt.
func (d *Dispatcher) endAttempt(now time.Duration, r *request, a *attempt, o Outcome) {
	d.releaseSlots(r, a)
	a.ended, a.neverRan = true, d.provesNeverRan(o)
	a.avoidWorker = a.avoidWorker || o != NotSent && o != Cancelled && d.workers.pools[0].active > 1
	r.inFlight--
	a.worker.attempts = slices.DeleteFunc(a.worker.attempts, func(ref attemptRef) bool {
		return ref.request == r && &r.attempts[ref.number] == a
	})
	if o == Served || o == Errored || o == Rejected {
		a.worker.markAlive(now)
	}
}

// releaseSlots stops counting the attempt's slots as in flight, when it ends or when its
// connection is taken to be unresponsive.
func (d *Dispatcher) releaseSlots(r *request, a *attempt) {
	if a.slotsReleased {
		return
	}
	a.slotsReleased = true
	r.class.inFlight--
	r.tenant.inFlight -= r.Slots
	d.addInFlight(a.worker, -r.Slots)
	if a.startedAt == 0 {
		a.worker.notStarted--
	}
}

// reacquireSlots counts the slots of a running attempt as in flight again after
// releaseSlots.
func (d *Dispatcher) reacquireSlots(r *request, a *attempt) {
	a.slotsReleased = false
	r.class.inFlight++
	r.tenant.inFlight += r.Slots
	d.addInFlight(a.worker, r.Slots)
}

// provesNeverRan reports whether the outcome proves that the worker did not begin to run
// the attempt.
func (d *Dispatcher) provesNeverRan(o Outcome) bool {
	return o == ConnectFailed || o == NotSent || o == Rejected && !d.settings.RejectedMayHaveRun
}
