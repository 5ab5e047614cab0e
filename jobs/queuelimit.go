package jobs

import (
	"time"

	"sedgevale/admission"
)

const (
	priorityWeightStep = 8    // a queue's weight over that of the next lower priority
	rampStep           = 0.2  // fraction of the unused capacity by which limits ramp up in a tick
	minIdleFraction    = 0.25 // unused fraction of the capacity from which on all queues' limits ramp up
)

// priorityWeight returns the weight of a queue among the others.
func priorityWeight(priority int64) float64 {
	weight := 1.0
	for range min(priority, 6) {
		weight /= priorityWeightStep
	}
	return weight
}

// updateLimits sets the admission limits of workers and queues once a tick: each queue's is the lower one of its fair share
// and of what its workers' limits let it use.
func (s *Scheduler) updateLimits(now time.Duration) {
	capacity, allocated := 0.0, 0.0
	for _, w := range s.workers {
		w.increaseLimit()
		if w.State == Ready {
			capacity += w.allocationLimit()
			allocated += w.allocated
		}
	}
	demand := s.updateClaimants()
	urgent := 0.0
	for i, q := range s.queueOrder {
		q.guaranteed = capacity * s.claimants[i].Share
		if q.Priority == 0 {
			urgent += s.claimants[i].Demand
		}
	}
	s.headroom.update(urgent, capacity)
	level := 0.0
	if demand > capacity {
		level = admission.MaxMinLevel(s.claimants, capacity)
	}
	unused := max(0, capacity-allocated)
	for i, q := range s.queueOrder {
		q.localShare = admission.LocalShare(q.localShare, s.claimants[i], demand, capacity, level, rampStep)
		learned := q.learnedLimit(s.workers, s.scratch)
		if unused > minIdleFraction*capacity { // others claim it and cannot use it
			ramped := q.allocated + rampStep*unused
			q.localShare = max(q.localShare, ramped)
			learned = max(learned, ramped)
		}
		q.limit = min(q.localShare, learned)
		s.triage(now, q, capacity)
	}
}

// updateClaimants sets the queues' demands and weights, in the order of queueOrder, and returns the sum of the demands.
func (s *Scheduler) updateClaimants() (demand float64) {
	weights := 0.0
	for _, q := range s.queueOrder {
		weights += priorityWeight(q.Priority)
		demand += q.demand()
	}
	s.claimants = s.claimants[:0]
	for _, q := range s.queueOrder {
		s.claimants = append(s.claimants, admission.Claimant{Demand: q.demand(), Share: priorityWeight(q.Priority) / weights})
	}
	return demand
}
