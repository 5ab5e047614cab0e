package dispatcher

import (
	"slices"
	"time"
)

// This file exports the learned state of a dispatcher and restores it in its successor.

// handoverSamples is the number of samples that a restored mean counts for.
const handoverSamples = 64

// LearnedState is the learned state of a dispatcher, for the one that takes over from
// it. Times are in seconds, points in time are relative to now, and work is in slot
// seconds. Workers, classes and tenants are identified by name. A negative limit means
// no limit.
type LearnedState struct {
	Classes                 []LearnedClass  `json:"classes"`
	Tenants                 []LearnedTenant `json:"tenants"`
	Workers                 []LearnedWorker `json:"workers"`
	MaxWeights              []float64       `json:"size"`    // largest weight seen, by machine kind
	MaxFreeSlots            []float64       `json:"room"`    // most free slots reported, by machine kind
	Capacity                float64         `json:"jobs"`    // estimated capacity, in slots
	MeanWork                float64         `json:"work"`    // mean work of a request
	WorkRate                float64         `json:"carry"`   // work per second and unit of weight
	Arrivals                float64         `json:"arrived"` // decayed count of requests
	PromptStartRate         float64         `json:"prompt"`  // share of attempts that started promptly
	UnresponsiveConnections float64         `json:"silent"`  // decayed count of connections that became unresponsive
	MeteredSeconds          float64         `json:"metered"` // decayed sum of the times between two probes of a worker
	ReportChanges           float64         `json:"changes"` // decayed count of changed reports in MeteredSeconds
}

// LearnedClass is the learned state of a class.
type LearnedClass struct {
	Name           string  `json:"name"`
	MeanRuntime    float64 `json:"run"`
	BaseRuntime    float64 `json:"base"` // long-term low estimate
	MeanHint       float64 `json:"hint"`
	MeanCompletion float64 `json:"complete"` // from send to response
	Samples        float64 `json:"runs"`
}

// LearnedTenant is the learned state of a tenant.
type LearnedTenant struct {
	Name       string  `json:"name"`
	Limit      float64 `json:"sigma"`   // slots
	LocalShare float64 `json:"local"`   // slots
	Arrivals   float64 `json:"arrived"` // decayed count of requests
	Tokens     float64 `json:"tokens"`  // unused tokens of its quota
}

// LearnedWorker is the learned state of a worker.
type LearnedWorker struct {
	Worker           string  `json:"worker"`
	Limit            float64 `json:"sigma"`              // slots
	RuntimeRatio     float64 `json:"pace"`               // running time over the class's mean
	ErrorRate        float64 `json:"bad,omitempty"`      // share of responses that are errors
	FreeSlots        float64 `json:"free,omitempty"`     // free slots by the last report
	FreeSlotsAge     float64 `json:"free_age"`           // age of that report; negative if there was none
	WarmIn           float64 `json:"cold,omitempty"`     // remaining time of its slow start
	SlowStartCredit  float64 `json:"credit,omitempty"`   // work that may be sent to it now
	UnhealthyFor     float64 `json:"suspect,omitempty"`  // remaining time for which it counts as unhealthy
	UnhealthyBackoff float64 `json:"backoff,omitempty"`  // last backoff
	EjectedFor       float64 `json:"rest,omitempty"`     // remaining time for which it is ejected
	EjectionBackoff  float64 `json:"rest_for,omitempty"` // last backoff
}

// encodeLimit encodes an unlimited value as -1, since JSON cannot represent infinity.
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

// LearnedState returns the learned state of this dispatcher.
func (d *Dispatcher) LearnedState(now time.Duration) LearnedState {
	l := LearnedState{
		MaxWeights:              slices.Clone(d.workers.maxWeightByKind),
		MaxFreeSlots:            slices.Clone(d.workers.maxFreeByKind),
		Capacity:                d.capacity.slots,
		MeanWork:                d.estimates.meanWork,
		WorkRate:                d.estimates.workRate,
		Arrivals:                d.tenants.arrivals,
		PromptStartRate:         d.connections.promptStartRate,
		UnresponsiveConnections: d.connections.unresponsive,
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
		Worker:           w.Name,
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

// RestoreLearnedState restores the learned state of another dispatcher for the classes,
// tenants and workers that are known here.
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
	d.connections.promptStartRate, d.connections.unresponsive = l.PromptStartRate, l.UnresponsiveConnections
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
	if l.WarmIn > 0 { // the credit remains with the other dispatcher, which still sends
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
