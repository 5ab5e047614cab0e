package sedgevale

// The learned state that a dispatcher hands to the one that takes over.

import (
	"slices"
	"time"
)

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
