package jobs

// The first priority preempts, but that costs it the time in which other work is stopped. So some room is kept free of
// other work, as much as the first priority's demand has risen above its present use within the last seconds: it adapts
// to how much that demand is seen to vary, and is nothing where there is no such demand.

// peakDecay is the part by which the remembered peak of the urgent demand falls back to the present one in a round.
const peakDecay = 0.02

// headroom is what is kept for the first priority, in parts of workers.
type headroom struct {
	peak        float64 // of the demand of the first priority, decaying
	othersLimit float64 // what all other queues may hold together
}

// update takes the demand of the first priority and the limit over all workers.
func (h *headroom) update(urgent, limit float64) {
	h.peak = max(urgent, h.peak-peakDecay*(h.peak-urgent))
	h.othersLimit = max(0, limit-h.peak)
}

// turnLimit returns how much a queue may hold in this turn: up to its sigma, and beside the room that is kept for the first
// priority, but never less than its own share.
func (s *Book) turnLimit(q *Queue) float64 {
	if q.Priority == 0 || s.headroom.peak == 0 {
		return q.limit
	}
	held := 0.0
	for _, other := range s.queueOrder {
		if other.Priority > 0 {
			held += other.allocated
		}
	}
	beside := q.allocated + max(0, s.headroom.othersLimit-held)
	return min(q.limit, max(beside, q.guaranteed))
}

// limitFor returns how much the queue may hold before a unit is released. Tasks that last use room that is kept for the first
// priority: each of them is wanted at work all the time, and they are few.
func (q *Queue) limitFor(group *taskGroup) float64 {
	if group.job.isLongRunning(group.stage) {
		return q.limit
	}
	return q.turnLimit
}
