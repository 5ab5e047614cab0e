package sedgevale

// Book-keeping of workers, requests and attempts.

import (
	"slices"
	"time"
)

func (d *Dispatcher) setSigma(w *worker, to float64) {
	d.count(w, -1)
	w.sigma = to
	d.count(w, 1)
}

// count keeps the sums of the pools that the worker is in.
func (d *Dispatcher) count(w *worker, sign int) {
	for i, p := range d.pools {
		if w.places[i] < 0 {
			continue
		}
		p.active += sign
		p.weight += float64(sign) * w.size
		p.held += float64(sign) * w.held
		if w.ours {
			p.nearWeight += float64(sign) * w.size
			p.nearHeld += float64(sign) * w.held
		}
		if w.sigma < inf {
			p.limited += sign
			p.limits += float64(sign) * w.sigma
		}
	}
}

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

func (d *Dispatcher) roomAgain() {
	for _, p := range d.pools {
		p.noRoom = false
	}
}

// note keeps a request that has come.
func (d *Dispatcher) note(r *request) {
	t := r.tenant
	t.arrived++
	if t.open++; t.gone && t.open == 1 { // it has its share back
		d.shares()
	}
	d.requests[r.ID], d.serials[r.serial] = r, r
}

// forget frees the request once it has its answer and its attempts are over.
func (d *Dispatcher) forget(r *request) {
	if r.ended && r.out == 0 && d.requests[r.ID] == r {
		r.tenant.open--
		delete(d.requests, r.ID)
		delete(d.serials, r.serial)
	}
}

func (d *Dispatcher) find(id string, n int) (*request, *attempt, error) {
	r := d.requests[id]
	if r == nil {
		return nil, nil, ErrUnknownRequest
	}
	if n < 0 || n >= len(r.attempts) || r.attempts[n].over {
		return nil, nil, ErrUnknownAttempt
	}
	return r, &r.attempts[n], nil
}

func (d *Dispatcher) drop(w *worker) {
	delete(d.byName, w.Worker)
	d.hold(w, -w.beside.Held)
	w.unstarted -= w.beside.Waiting
	d.occupy(w, -w.others.Held)
	w.unstarted -= w.others.Waiting
	w.beside, w.others = Load{}, Load{}
	d.answered(w)
	d.absolve(w)
	d.workers[w.index] = nil
	for _, t := range d.tenants {
		if w.index < len(t.alpha) && t.alpha[w.index].Used {
			t.alpha[w.index] = alpha{}
			t.used = slices.DeleteFunc(t.used, func(i int) bool { return i == w.index })
		}
	}
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

// used notes that the tenant has sent a job to the worker.
func (t *tenant) use(w *worker) {
	t.jobs++
	for len(t.alpha) <= w.index {
		t.alpha = append(t.alpha, alpha{})
	}
	a := &t.alpha[w.index]
	if !a.Used {
		t.used = append(t.used, w.index)
	}
	*a = a.Add(t.jobs, alphaGain)
}

func (d *Dispatcher) newWorker(e *WorkerInfo) *worker {
	w := &worker{WorkerInfo: *e, places: slices.Repeat([]int{-1}, len(d.pools)), sigma: inf, pace: 1,
		index: len(d.workers), cutIn: -1, cordoned: d.cordons[e.Worker]}
	if i := slices.Index(d.workers, nil); i >= 0 {
		w.index = i
		d.workers[i] = w
	} else {
		d.workers = append(d.workers, w)
	}
	d.byName[e.Worker] = w
	return w
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

// mayHaveRun returns the worker of a keyed request's first attempt that may
// have run, or nil.
func (d *Dispatcher) mayHaveRun(r *request) *worker {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.proven && r.class.Effect == Keyed {
			return a.w
		}
	}
	return nil
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

// meter learns from a worker asked twice within two rounds.
func (d *Dispatcher) meter(now time.Duration, w *worker, p *Report) {
	if since := now - w.freeAt; w.freeAt > 0 && since <= 2*roundEvery && since >= roundEvery/2 {
		d.metered = d.metered*(1-meanGain) + since.Seconds()
		d.changes *= 1 - meanGain
		if w.told != *p {
			d.changes++
		}
	}
	w.told = *p
}

// touch notes that the worker had a clean outcome in this round.
func (d *Dispatcher) touch(w *worker) {
	if !w.outcomes {
		w.outcomes = true
		d.touched = append(d.touched, w)
	}
}

// sizeOf is the worker's listed size where the list tells it. Live weights
// sink below the size, which is the most that was seen of the kind.
func (d *Dispatcher) sizeOf(e *WorkerInfo) float64 {
	if d.set.Weights == WeightNone || e.Weight <= 0 {
		return 1
	}
	if d.set.Weights == WeightLive {
		return d.kindSize[e.Kind]
	}
	return e.Weight
}

func (t *tenant) unknow(w *worker) {
	t.known = slices.DeleteFunc(t.known, func(v *worker) bool { return v == w })
}

func (t *tenant) know(w *worker) {
	t.unknow(w)
	if len(t.known) == knownMost {
		t.known = slices.Delete(t.known, 0, 1)
	}
	t.known = append(t.known, w)
}
