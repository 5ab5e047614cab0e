package jobs

// Preemption costs the first priority the time until other runs have stopped. So some capacity, the headroom, is kept free of
// other queues: as much as the first priority's demand has exceeded its present one within the last seconds. It follows how
// much that demand varies, and is nothing without such demand.

// peakDecay is the fraction by which the peak of the urgent demand falls towards the present demand in a tick.
const peakDecay = 0.02

// headroom is the capacity that is reserved for queues of the first priority, in workers.
type headroom struct {
	peak        float64 // decaying peak of the demand of the first priority
	othersLimit float64 // limit on what all other queues have allocated together
}

// update takes the present demand of the first priority and the capacity of all workers.
func (h *headroom) update(urgent, capacity float64) {
	h.peak = max(urgent, h.peak-peakDecay*(h.peak-urgent))
	h.othersLimit = max(0, capacity-h.peak)
}

// limitWithHeadroom returns what a queue may have allocated in its turn: its limit, lowered to what the headroom
// leaves, but not below its guaranteed share.
func (s *Scheduler) limitWithHeadroom(q *Queue) float64 {
	if q.Priority == 0 || s.headroom.peak == 0 {
		return q.limit
	}
	others := 0.0
	for _, other := range s.queueOrder {
		if other.Priority > 0 {
			others += other.allocated
		}
	}
	available := q.allocated + max(0, s.headroom.othersLimit-others)
	return min(q.limit, max(available, q.guaranteed))
}
