package jobs

// peakDecay is the fraction per tick by which headroom.peak decays towards the current demand.
const peakDecay = 0.02

// headroom is the capacity, in workers, that is kept free for the queues of the highest priority. It avoids preemption, which
// would delay their tasks until other runs have stopped. Its size is the difference between the recent peak of their demand,
// which decays over some seconds, and their current demand. So it follows the variation of that demand and is 0 without it.
type headroom struct {
	peak               float64 // decaying peak of the demand of the highest priority
	lowerPriorityLimit float64 // limit on the total allocation of the queues of lower priorities
}

// update recomputes the headroom from the current demand of the highest priority and the total capacity.
func (h *headroom) update(demand, capacity float64) {
	h.peak = max(demand, h.peak-peakDecay*(h.peak-demand))
	h.lowerPriorityLimit = max(0, capacity-h.peak)
}

// limitWithHeadroom returns the limit on a queue's allocation in its turn: the queue's limit, reduced to what the headroom
// leaves but not below its guaranteed share.
func (s *Scheduler) limitWithHeadroom(q *Queue) float64 {
	if q.Priority == 0 || s.headroom.peak == 0 {
		return q.limit
	}
	lowerPriorityAllocated := 0.0
	for _, other := range s.queueOrder {
		if other.Priority > 0 {
			lowerPriorityAllocated += other.allocated
		}
	}
	available := q.allocated + max(0, s.headroom.lowerPriorityLimit-lowerPriorityAllocated)
	return min(q.limit, max(available, q.guaranteed))
}
