package dispatcher

import (
	"slices"
	"time"
)

// The learned state that a dispatcher hands to the one that takes over.

// handoverSamples is how many jobs means that were handed over stand for.
const handoverSamples = 64

// LearnedState is what a dispatcher has learned, for one that takes over from it.
// Times are in seconds, before or after now; work is in slot seconds. Workers,
// classes and tenants go by their names. A limit below 0 stands for none.
type LearnedState struct {
	Classes                 []LearnedClass  `json:"classes"`
	Tenants                 []LearnedTenant `json:"tenants"`
	Workers                 []LearnedWorker `json:"workers"`
	MaxWeights              []float64       `json:"size"`    // by kind
	MaxFreeSlots            []float64       `json:"room"`    // by kind
	Capacity                float64         `json:"jobs"`    // slots in flight that found capacity, at most
	MeanWork                float64         `json:"work"`    // of a request
	WorkRate                float64         `json:"carry"`   // work a second, for each unit of weight
	Arrivals                float64         `json:"arrived"` // decayed count of requests
	PromptStartRate         float64         `json:"prompt"`  // share of attempts that started at once
	UnresponsiveConnections float64         `json:"silent"`  // decayed count
	MeteredSeconds          float64         `json:"metered"` // between probes of one worker, decayed
	ReportChanges           float64         `json:"changes"` // in that time
}

// LearnedClass is what was learned of a class.
type LearnedClass struct {
	Name           string  `json:"name"`
	MeanRuntime    float64 `json:"run"`
	BaseRuntime    float64 `json:"base"` // over long, and rather low
	MeanHint       float64 `json:"hint"`
	MeanCompletion float64 `json:"complete"` // from send to answer
	Samples        float64 `json:"runs"`
}

// LearnedTenant is what was learned of a tenant.
type LearnedTenant struct {
	Name       string  `json:"name"`
	Limit      float64 `json:"sigma"`   // slots
	LocalShare float64 `json:"local"`   // slots
	Arrivals   float64 `json:"arrived"` // decayed count of requests
	Tokens     float64 `json:"tokens"`  // of its quota
}

// LearnedWorker is what was learned of a worker.
type LearnedWorker struct {
	Worker           string  `json:"worker"`
	Limit            float64 `json:"sigma"`              // slots
	RuntimeRatio     float64 `json:"pace"`               // running time over the class's mean
	ErrorRate        float64 `json:"bad,omitempty"`      // share of answers
	FreeSlots        float64 `json:"free,omitempty"`     // by the last report
	FreeSlotsAge     float64 `json:"free_age"`           // of that report; below 0: none yet
	WarmIn           float64 `json:"cold,omitempty"`     // until its slow start ends
	SlowStartCredit  float64 `json:"credit,omitempty"`   // work
	UnhealthyFor     float64 `json:"suspect,omitempty"`  // not to be sent to for so long
	UnhealthyBackoff float64 `json:"backoff,omitempty"`  // the last one
	EjectedFor       float64 `json:"rest,omitempty"`     // not to be sent to for so long
	EjectionBackoff  float64 `json:"rest_for,omitempty"` // the last one
}

// encodeLimit returns -1 for no limit, which JSON cannot express.
func encodeLimit(v float64) float64 {
	if v == unlimited {
		return -1
	}
	return v
}

// decodeLimit is the inverse of encodeLimit.
func decodeLimit(v float64) float64 {
	if v < 0 {
		return unlimited
	}
	return v
}

// LearnedState returns what this dispatcher has learned.
func (d *Dispatcher) LearnedState(now time.Duration) LearnedState {
	l := LearnedState{
		MaxWeights:              slices.Clone(d.workers.maxWeightByKind),
		MaxFreeSlots:            slices.Clone(d.workers.maxFreeByKind),
		Capacity:                d.capacity.slots,
		MeanWork:                d.estimates.meanWork,
		WorkRate:                d.estimates.workRate,
		Arrivals:                d.tenants.arrivals,
		PromptStartRate:         d.connections.promptStartRate,
		UnresponsiveConnections: d.connections.silent,
		MeteredSeconds:          d.meter.seconds,
		ReportChanges:           d.meter.changes,
	}
	for _, c := range d.classes.current {
		l.Classes = append(l.Classes, LearnedClass{
			Name:           c.Name,
			MeanRuntime:    c.meanRuntime,
			BaseRuntime:    c.baseRuntime,
			MeanHint:       c.meanHint,
			MeanCompletion: c.meanCompletion,
			Samples:        c.samples,
		})
	}
	for i, t := range d.settings.Tenants {
		v := d.tenants.byIndex[i]
		l.Tenants = append(l.Tenants, LearnedTenant{
			Name:       t.Name,
			Limit:      encodeLimit(v.limit),
			LocalShare: encodeLimit(v.localShare),
			Arrivals:   v.arrivals,
			Tokens:     v.tokens,
		})
	}
	for _, w := range d.workers.all {
		if w != nil {
			l.Workers = append(l.Workers, w.learned(now))
		}
	}
	return l
}

func (w *worker) learned(now time.Duration) LearnedWorker {
	age := -1.0
	if w.freeSlotsAt > 0 {
		age = (now - w.freeSlotsAt).Seconds()
	}
	return LearnedWorker{
		Worker:           w.Worker,
		Limit:            encodeLimit(w.limit),
		RuntimeRatio:     w.runtimeRatio,
		ErrorRate:        w.errorRate,
		FreeSlots:        w.freeSlots,
		FreeSlotsAge:     age,
		WarmIn:           max(0, w.warmAt-now).Seconds(),
		SlowStartCredit:  w.slowStartCredit,
		UnhealthyFor:     max(0, w.unhealthyUntil-now).Seconds(),
		UnhealthyBackoff: w.unhealthyBackoff.Seconds(),
		EjectedFor:       max(0, w.ejectedUntil-now).Seconds(),
		EjectionBackoff:  w.ejectionBackoff.Seconds(),
	}
}

// RestoreLearnedState goes on from what another dispatcher has learned, as far as it
// concerns classes, tenants and workers that are known here.
func (d *Dispatcher) RestoreLearnedState(now time.Duration, l LearnedState) {
	d.startRounds(now)
	for _, k := range d.classes.current {
		for _, c := range l.Classes {
			if c.Name == k.Name {
				k.meanRuntime, k.baseRuntime, k.meanHint = c.MeanRuntime, c.BaseRuntime, c.MeanHint
				k.meanCompletion, k.samples = c.MeanCompletion, c.Samples
			}
		}
	}
	for i := range d.settings.Tenants {
		for _, t := range l.Tenants {
			if v := d.tenants.byIndex[i]; t.Name == d.settings.Tenants[i].Name {
				v.limit, v.localShare = decodeLimit(t.Limit), decodeLimit(t.LocalShare)
				v.arrivals, v.tokens = t.Arrivals, t.Tokens
			}
		}
	}
	for kind, weight := range l.MaxWeights {
		d.workers.growKindTables(kind)
		d.workers.maxWeightByKind[kind] = max(d.workers.maxWeightByKind[kind], weight)
	}
	for kind, free := range l.MaxFreeSlots {
		d.workers.growKindTables(kind)
		d.workers.maxFreeByKind[kind] = max(d.workers.maxFreeByKind[kind], free)
	}
	d.capacity.slots, d.estimates.meanWork, d.estimates.workRate, d.tenants.arrivals = l.Capacity, l.MeanWork, l.WorkRate, l.Arrivals
	d.connections.promptStartRate, d.connections.silent = l.PromptStartRate, l.UnresponsiveConnections
	d.meter.seconds, d.meter.changes = l.MeteredSeconds, l.ReportChanges
	d.requests.lastSerial = max(d.requests.lastSerial, handoverSamples)
	if l.MeanWork > 0 {
		d.estimates.meanKnownWork, d.estimates.knownRequests = l.MeanWork, max(d.estimates.knownRequests, handoverSamples)
	}
	for i := range l.Workers {
		if w := d.workers.byName[l.Workers[i].Worker]; w != nil {
			d.restoreWorker(now, w, &l.Workers[i])
		}
	}
}

func (d *Dispatcher) restoreWorker(now time.Duration, w *worker, l *LearnedWorker) {
	d.workers.setLimit(w, decodeLimit(l.Limit))
	w.runtimeRatio, w.errorRate, w.freeSlots = l.RuntimeRatio, l.ErrorRate, l.FreeSlots
	w.freeSlotsAt = 0
	if l.FreeSlotsAge >= 0 {
		w.freeSlotsAt = now - seconds(l.FreeSlotsAge)
	}
	if l.WarmIn > 0 { // the credit stays with the other dispatcher, which goes on sending
		w.warmAt = max(w.warmAt, now+seconds(l.WarmIn))
		w.slowStartCredit, w.slowStartCreditAt = min(0, l.SlowStartCredit), now
	}
	w.unhealthyBackoff, w.ejectionBackoff = seconds(l.UnhealthyBackoff), seconds(l.EjectionBackoff)
	if l.UnhealthyFor > 0 {
		w.unhealthyUntil = now + seconds(l.UnhealthyFor)
	}
	if l.EjectedFor > 0 {
		w.ejectedUntil = now + seconds(l.EjectedFor)
	}
}
