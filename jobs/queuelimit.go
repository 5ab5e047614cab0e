package jobs

import (
	"time"

	"sedgevale/admission"
)

const (
	priorityWeightStep = 8    // ratio of a queue's weight to that of the next lower priority
	rampStep           = 0.2  // fraction of the unused capacity by which a limit may rise per tick
	minIdleFraction    = 0.25 // unused fraction of the capacity above which the limits of all queues rise
)

// priorityWeight returns the weight in the fair sharing of capacity of a queue with the given priority.
func priorityWeight(priority int64) float64 {
	weight := 1.0
	for range min(priority, 6) {
		weight /= priorityWeightStep
	}
	return weight
}

// updateLimits updates the admission limits of workers and queues once per tick and triages the queues. The limit of a queue is
// the minimum of its fair share of the capacity and its learned limit.
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
	highestPriorityDemand := 0.0
	for i, q := range s.queueOrder {
		q.guaranteed = capacity * s.claimants[i].Share
		if q.Priority == 0 {
			highestPriorityDemand += s.claimants[i].Demand
		}
	}
	s.headroom.update(highestPriorityDemand, capacity)
	level := 0.0
	if demand > capacity {
		level = admission.MaxMinLevel(s.claimants, capacity)
	}
	unused := max(0, capacity-allocated)
	for i, q := range s.queueOrder {
		q.localShare = admission.LocalShare(q.localShare, s.claimants[i], demand, capacity, level, rampStep)
		learned := q.learnedLimit(s.workers, s.workerLimits)
		if unused > minIdleFraction*capacity { // other queues claim the unused capacity but cannot use it
			ramped := q.allocated + rampStep*unused
			q.localShare = max(q.localShare, ramped)
			learned = max(learned, ramped)
		}
		q.limit = min(q.localShare, learned)
		s.triage(now, q, capacity)
	}
}

// updateClaimants rebuilds claimants from the queues' demands and weights, in the order of queueOrder. It returns the total
// demand.
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
