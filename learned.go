package sedgevale

// The learned state that a dispatcher hands to the one that takes over.

import (
	"slices"
	"time"
)

// LearnedState is what a dispatcher has learned, for one that takes over from it.
// Times are in seconds, before or after now; workers, classes and tenants go by
// their names. Limits below 0 stand for none.
type LearnedState struct {
	Classes           []LearnedClass  `json:"classes"`
	Tenants           []LearnedTenant `json:"tenants"`
	Workers           []LearnedWorker `json:"workers"`
	MaxWeights        []float64       `json:"size"` // by kind
	MaxFreeSlots      []float64       `json:"room"`
	Capacity          float64         `json:"jobs"` // in hand, as the most that found room
	MeanWork          float64         `json:"work"`
	WorkRate          float64         `json:"carry"`
	Arrivals          float64         `json:"arrived"`
	PromptStartRate   float64         `json:"prompt"`
	SilentConnections float64         `json:"silent"`
	MeteredSeconds    float64         `json:"metered"`
	ReportChanges     float64         `json:"changes"`
}

// LearnedClass is what is known of a class.
type LearnedClass struct {
	Name           string  `json:"name"`
	MeanRuntime    float64 `json:"run"`
	BaseRuntime    float64 `json:"base"`
	MeanHint       float64 `json:"hint"`
	MeanCompletion float64 `json:"complete"`
	Samples        float64 `json:"runs"`
}

// LearnedTenant is what is known of a tenant.
type LearnedTenant struct {
	Name       string  `json:"name"`
	Limit      float64 `json:"sigma"`
	LocalShare float64 `json:"local"`
	Arrivals   float64 `json:"arrived"`
	Tokens     float64 `json:"tokens"`
}

// LearnedWorker is what is known of a worker.
type LearnedWorker struct {
	Worker           string  `json:"worker"`
	Limit            float64 `json:"sigma"`
	Pace             float64 `json:"pace"`
	ErrorRate        float64 `json:"bad,omitempty"`
	FreeSlots        float64 `json:"free,omitempty"`
	FreeSlotsAge     float64 `json:"free_age"`          // below 0: no report yet
	WarmIn           float64 `json:"cold,omitempty"`    // for so long
	SlowStartCredit  float64 `json:"credit,omitempty"`  // of a cold worker
	UnhealthyFor     float64 `json:"suspect,omitempty"` // for so long
	UnhealthyBackoff float64 `json:"backoff,omitempty"`
	EjectedFor       float64 `json:"rest,omitempty"` // for so long
	EjectionBackoff  float64 `json:"rest_for,omitempty"`
}

func encodeLimit(v float64) float64 {
	if v == unlimited {
		return -1
	}
	return v
}

func decodeLimit(v float64) float64 {
	if v < 0 {
		return unlimited
	}
	return v
}

// LearnedState returns what this dispatcher has learned.
func (d *Dispatcher) LearnedState(now time.Duration) LearnedState {
	l := LearnedState{MaxWeights: slices.Clone(d.maxWeightByKind), MaxFreeSlots: slices.Clone(d.maxFreeByKind), Capacity: d.capacity, MeanWork: d.meanWork, WorkRate: d.workRate, Arrivals: d.arrivals,
		PromptStartRate: d.promptStartRate, SilentConnections: d.silentConnections, MeteredSeconds: d.meteredSeconds, ReportChanges: d.reportChanges}
	for _, c := range d.classes {
		l.Classes = append(l.Classes, LearnedClass{c.Name, c.meanRuntime, c.baseRuntime, c.meanHint, c.meanCompletion, c.samples})
	}
	for i, t := range d.settings.Tenants {
		v := d.tenantsByIndex[i]
		l.Tenants = append(l.Tenants, LearnedTenant{t.Name, encodeLimit(v.limit), encodeLimit(v.localShare), v.arrivals, v.tokens})
	}
	for _, w := range d.workers {
		if w == nil {
			continue
		}
		age := -1.0
		if w.freeSlotsAt > 0 {
			age = (now - w.freeSlotsAt).Seconds()
		}
		l.Workers = append(l.Workers, LearnedWorker{w.Worker, encodeLimit(w.limit), w.pace, w.errorRate, w.freeSlots, age,
			max(0, w.warmAt-now).Seconds(), w.slowStartCredit, max(0, w.unhealthyUntil-now).Seconds(), w.unhealthyBackoff.Seconds(),
			max(0, w.ejectedUntil-now).Seconds(), w.ejectionBackoff.Seconds()})
	}
	return l
}

// RestoreLearnedState goes on from what another dispatcher has learned, as far as it speaks of
// classes, tenants and workers that are known here.
func (d *Dispatcher) RestoreLearnedState(now time.Duration, l LearnedState) {
	d.startRounds(now)
	for _, k := range d.classes {
		for _, c := range l.Classes {
			if c.Name == k.Name {
				k.meanRuntime, k.baseRuntime, k.meanHint, k.meanCompletion, k.samples = c.MeanRuntime, c.BaseRuntime, c.MeanHint, c.MeanCompletion, c.Samples
			}
		}
	}
	for i := range d.settings.Tenants {
		for _, t := range l.Tenants {
			if v := d.tenantsByIndex[i]; t.Name == d.settings.Tenants[i].Name {
				v.limit, v.localShare, v.arrivals, v.tokens = decodeLimit(t.Limit), decodeLimit(t.LocalShare), t.Arrivals, t.Tokens
			}
		}
	}
	for kind, size := range l.MaxWeights {
		d.growKindTables(kind)
		d.maxWeightByKind[kind] = max(d.maxWeightByKind[kind], size)
	}
	for kind, room := range l.MaxFreeSlots {
		d.growKindTables(kind)
		d.maxFreeByKind[kind] = max(d.maxFreeByKind[kind], room)
	}
	d.capacity, d.meanWork, d.workRate, d.arrivals = l.Capacity, l.MeanWork, l.WorkRate, l.Arrivals
	d.promptStartRate, d.silentConnections, d.meteredSeconds, d.reportChanges = l.PromptStartRate, l.SilentConnections, l.MeteredSeconds, l.ReportChanges
	d.lastSerial = max(d.lastSerial, handoverSamples)
	if l.MeanWork > 0 {
		d.meanKnownWork, d.knownRequests = l.MeanWork, max(d.knownRequests, handoverSamples)
	}
	for _, v := range l.Workers {
		w := d.workersByName[v.Worker]
		if w == nil {
			continue
		}
		d.setLimit(w, decodeLimit(v.Limit))
		w.pace, w.errorRate, w.freeSlots = v.Pace, v.ErrorRate, v.FreeSlots
		w.freeSlotsAt = 0
		if v.FreeSlotsAge >= 0 {
			w.freeSlotsAt = now - seconds(v.FreeSlotsAge)
		}
		if v.WarmIn > 0 { // the credit stays with the other, who goes on sending
			w.warmAt = max(w.warmAt, now+seconds(v.WarmIn))
			w.slowStartCredit, w.slowStartCreditAt = min(0, v.SlowStartCredit), now
		}
		w.unhealthyBackoff, w.ejectionBackoff = seconds(v.UnhealthyBackoff), seconds(v.EjectionBackoff)
		if v.UnhealthyFor > 0 {
			w.unhealthyUntil = now + seconds(v.UnhealthyFor)
		}
		if v.EjectedFor > 0 {
			w.ejectedUntil = now + seconds(v.EjectedFor)
		}
	}
}

// handoverSamples is how many jobs means that were handed over stand for.
const handoverSamples = 64
