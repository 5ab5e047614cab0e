package jobs

import (
	"time"

	"sedgevale/admission"
)

// priorityWeightStep is how much more a queue weighs than one of the next lower priority.
const priorityWeightStep = 8

// minIdleFraction is the unused part of the limit from which on every queue's local share ramps.
const minIdleFraction = 0.25

// priorityWeight is a queue's weight beside others, by its priority; 0 comes first.
func priorityWeight(priority int64) float64 {
	weight := 1.0
	for range min(priority, 6) {
		weight /= priorityWeightStep
	}
	return weight
}

// updateLimits is the admission round over all queues: sigma = min(local share, Q(sigma_d/alpha_d, q)).
func (s *Book) updateLimits(now time.Duration) {
	limit, held := 0.0, 0.0
	for _, w := range s.workers {
		w.raiseLimit()
		if w.State == Ready {
			limit += w.allocationLimit()
			held += w.allocated
		}
	}
	claimants := s.claimants[:0]
	demand, weights := 0.0, 0.0
	for _, q := range s.queueOrder {
		weights += priorityWeight(q.Priority)
		demand += q.demand()
	}
	for _, q := range s.queueOrder {
		claimants = append(claimants, admission.Claimant{Want: q.demand(), Share: priorityWeight(q.Priority) / weights})
	}
	s.claimants = claimants
	urgent := 0.0
	for i, q := range s.queueOrder {
		q.guaranteed = limit * claimants[i].Share
		if q.Priority == 0 {
			urgent += claimants[i].Want
		}
	}
	s.headroom.update(urgent, limit)
	level := 0.0
	if demand > limit {
		level = admission.FairLevel(claimants, limit)
	}
	unused := max(0, limit-held)
	for i, q := range s.queueOrder {
		q.localShare = admission.LocalShare(q.localShare, claimants[i], demand, limit, level, rampStep)
		learned := q.learnedLimit(s.workers, s.scratch)
		if unused > minIdleFraction*limit { // what others claim and cannot use is not kept for them
			ramped := q.allocated + rampStep*unused
			q.localShare = max(q.localShare, ramped)
			learned = max(learned, ramped)
		}
		q.limit = min(q.localShare, learned)
		s.triage(now, q, limit)
	}
}
