package sedgevale

// What dispatchers tell each other: two processes of one scheduler while one takes over from the other,
// and several schedulers of one site. Nothing here decides.

import (
	"slices"
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

// Learned is what a dispatcher has learned, for one that takes over from it.
// Times are in seconds, before or after now; workers, classes and tenants go by
// their names. Limits below 0 stand for none.
type Learned struct {
	Classes []LearnedClass  `json:"classes"`
	Tenants []LearnedTenant `json:"tenants"`
	Workers []LearnedWorker `json:"workers"`
	Size    []float64       `json:"size"` // by kind
	Room    []float64       `json:"room"`
	Jobs    float64         `json:"jobs"` // in hand, as the most that found room
	Work    float64         `json:"work"`
	Carry   float64         `json:"carry"`
	Arrived float64         `json:"arrived"`
	Prompt  float64         `json:"prompt"`
	Silent  float64         `json:"silent"`
	Metered float64         `json:"metered"`
	Changes float64         `json:"changes"`
}

// LearnedClass is what is known of a class.
type LearnedClass struct {
	Name     string  `json:"name"`
	Run      float64 `json:"run"`
	Base     float64 `json:"base"`
	Hint     float64 `json:"hint"`
	Complete float64 `json:"complete"`
	Runs     float64 `json:"runs"`
}

// LearnedTenant is what is known of a tenant.
type LearnedTenant struct {
	Name    string  `json:"name"`
	Sigma   float64 `json:"sigma"`
	Local   float64 `json:"local"`
	Arrived float64 `json:"arrived"`
	Tokens  float64 `json:"tokens"`
}

// LearnedWorker is what is known of a worker.
type LearnedWorker struct {
	Worker  string  `json:"worker"`
	Sigma   float64 `json:"sigma"`
	Pace    float64 `json:"pace"`
	Bad     float64 `json:"bad,omitempty"`
	Free    float64 `json:"free,omitempty"`
	FreeAge float64 `json:"free_age"`          // below 0: no report yet
	Cold    float64 `json:"cold,omitempty"`    // for so long
	Credit  float64 `json:"credit,omitempty"`  // of a cold worker
	Suspect float64 `json:"suspect,omitempty"` // for so long
	Backoff float64 `json:"backoff,omitempty"`
	Rest    float64 `json:"rest,omitempty"` // for so long
	RestFor float64 `json:"rest_for,omitempty"`
}

func limited(v float64) float64 {
	if v == inf {
		return -1
	}
	return v
}

func unlimited(v float64) float64 {
	if v < 0 {
		return inf
	}
	return v
}

// Learned returns what this dispatcher has learned.
func (d *Dispatcher) Learned(now time.Duration) Learned {
	l := Learned{Size: slices.Clone(d.kindSize), Room: slices.Clone(d.kindRoom), Jobs: d.room, Work: d.meanWork, Carry: d.carry, Arrived: d.arrived,
		Prompt: d.prompt, Silent: d.silent, Metered: d.metered, Changes: d.changes}
	for _, c := range d.classes {
		l.Classes = append(l.Classes, LearnedClass{c.Name, c.run, c.base, c.hint, c.complete, c.runs})
	}
	for i, t := range d.set.Tenants {
		v := d.named[i]
		l.Tenants = append(l.Tenants, LearnedTenant{t.Name, limited(v.sigma), limited(v.local), v.arrived, v.tokens})
	}
	for _, w := range d.workers {
		if w == nil {
			continue
		}
		age := -1.0
		if w.freeAt > 0 {
			age = (now - w.freeAt).Seconds()
		}
		l.Workers = append(l.Workers, LearnedWorker{w.Worker, limited(w.sigma), w.pace, w.bad, w.free, age,
			max(0, w.coldUntil-now).Seconds(), w.credit, max(0, w.suspect-now).Seconds(), w.backoff.Seconds(),
			max(0, w.rest-now).Seconds(), w.restFor.Seconds()})
	}
	return l
}

// Adopt goes on from what another dispatcher has learned, as far as it speaks of
// classes, tenants and workers that are known here.
func (d *Dispatcher) Adopt(now time.Duration, l Learned) {
	d.wake(now)
	for _, k := range d.classes {
		for _, c := range l.Classes {
			if c.Name == k.Name {
				k.run, k.base, k.hint, k.complete, k.runs = c.Run, c.Base, c.Hint, c.Complete, c.Runs
			}
		}
	}
	for i := range d.set.Tenants {
		for _, t := range l.Tenants {
			if v := d.named[i]; t.Name == d.set.Tenants[i].Name {
				v.sigma, v.local, v.arrived, v.tokens = unlimited(t.Sigma), unlimited(t.Local), t.Arrived, t.Tokens
			}
		}
	}
	for kind, size := range l.Size {
		d.growKinds(kind)
		d.kindSize[kind] = max(d.kindSize[kind], size)
	}
	for kind, room := range l.Room {
		d.growKinds(kind)
		d.kindRoom[kind] = max(d.kindRoom[kind], room)
	}
	d.room, d.meanWork, d.carry, d.arrived = l.Jobs, l.Work, l.Carry, l.Arrived
	d.prompt, d.silent, d.metered, d.changes = l.Prompt, l.Silent, l.Metered, l.Changes
	d.serial = max(d.serial, learnedJobs)
	if l.Work > 0 {
		d.usual, d.weighed = l.Work, max(d.weighed, learnedJobs)
	}
	for _, v := range l.Workers {
		w := d.byName[v.Worker]
		if w == nil {
			continue
		}
		d.setSigma(w, unlimited(v.Sigma))
		w.pace, w.bad, w.free = v.Pace, v.Bad, v.Free
		w.freeAt = 0
		if v.FreeAge >= 0 {
			w.freeAt = now - seconds(v.FreeAge)
		}
		if v.Cold > 0 { // the credit stays with the other, who goes on sending
			w.coldUntil = max(w.coldUntil, now+seconds(v.Cold))
			w.credit, w.creditAt = min(0, v.Credit), now
		}
		w.backoff, w.restFor = seconds(v.Backoff), seconds(v.RestFor)
		if v.Suspect > 0 {
			w.suspect = now + seconds(v.Suspect)
		}
		if v.Rest > 0 {
			w.rest = now + seconds(v.Rest)
		}
	}
}

// learnedJobs is how many jobs means that were handed over stand for.
const learnedJobs = 64
