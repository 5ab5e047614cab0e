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

// LoadByWorker returns what this dispatcher has out at each worker, without what Beside
// has told of others.
func (d *Dispatcher) LoadByWorker() map[string]Load {
	out := map[string]Load{}
	for _, w := range d.workers {
		if w == nil {
			continue
		}
		if l := (Load{w.inFlight - w.siblingLoad.Held, w.notStarted - w.siblingLoad.Waiting, w.workSent}); l != (Load{}) {
			out[w.Worker] = l
		}
	}
	return out
}

// SetSiblingLoad tells what other dispatchers of the same scheduler have out. It counts
// like what is out from here, for limits and for cold workers.
func (d *Dispatcher) SetSiblingLoad(now time.Duration, loads map[string]Load) {
	d.startRounds(now)
	for _, w := range d.workers {
		if w == nil {
			continue
		}
		l := loads[w.Worker]
		d.addInFlight(w, l.Held-w.siblingLoad.Held)
		w.notStarted += l.Waiting - w.siblingLoad.Waiting
		if w.warmAt > now && w.siblingLoadKnown {
			w.slowStartCredit -= max(0, l.Sent-w.siblingLoad.Sent)
		}
		w.siblingLoad, w.siblingLoadKnown = l, true
	}
	d.capacityChanged()
	d.releasePending(now)
}

// Told is what somebody has out at a worker.
type Told struct {
	Worker string
	Load
	Full bool // more is out there, from all, than the worker has slots: what waits will go on waiting
}

// TrackLoadChanges has Changed work from now on.
func (d *Dispatcher) TrackLoadChanges() { d.tracksLoadChanges = true }

// AppendLoadChanges appends what this dispatcher has out now at each worker where that has changed since it was
// last asked, with what Beside has told of: the other process is the same scheduler.
func (d *Dispatcher) AppendLoadChanges(buf []Told) []Told {
	for i, w := range d.loadChanged {
		w.loadChanged, d.loadChanged[i] = false, nil
		buf = append(buf, Told{w.Worker, Load{w.inFlight - w.peerLoad.Held, w.notStarted - w.peerLoad.Waiting, w.workSent},
			w.inFlight > d.maxFreeByKind[w.Kind]})
	}
	d.loadChanged = d.loadChanged[:0]
	return buf
}

// UpdatePeerLoad tells what other schedulers of the site have out at some workers, each as a sum that takes the
// place of the one before. It counts against the worker's room, but not as ours. Workers that no list
// has named are passed over.
func (d *Dispatcher) UpdatePeerLoad(now time.Duration, told []Told) {
	d.startRounds(now)
	for i := range told {
		w := d.workersByName[told[i].Worker]
		if w == nil {
			continue
		}
		d.addOccupied(w, told[i].Held-w.peerLoad.Held)
		w.notStarted += told[i].Waiting - w.peerLoad.Waiting
		w.peerLoad = told[i].Load
	}
	d.capacityChanged()
	d.releasePending(now)
}

// SetSubset makes some workers this dispatcher's own part of a fleet: it looks there first. So many
// dispatchers as sharers have a worker in their parts, this one included. An empty part stands for all
// workers alike, as at the start. Workers that no list names yet do not count.
func (d *Dispatcher) SetSubset(now time.Duration, workers []string, sharers int) {
	ours := make(map[string]bool, len(workers))
	for _, name := range workers {
		ours[name] = true
	}
	d.subsetSize, d.subsetSharers = 0, max(1, sharers)
	if len(workers) == 0 {
		d.subsetSharers = d.settings.Peers
	}
	for _, w := range d.workers {
		if w == nil {
			continue
		}
		if w.inSubset != ours[w.Worker] {
			d.adjustPoolSums(w, -1)
			w.inSubset = ours[w.Worker]
			d.adjustPoolSums(w, 1)
			for _, p := range d.pools {
				p.subsetStale = true
			}
		}
		d.subsetSize += int(boolToFloat(w.inSubset))
	}
	d.capacityChanged()
	d.releasePending(now)
}
