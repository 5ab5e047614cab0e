package jobs

// The first priority preempts, but that costs it the time in which other work is stopped. So some room is kept free of
// other work, as much as the first priority's demand has risen above its present use within the last seconds: it adapts
// to how much that demand is seen to vary, and is nothing where there is no such demand.

// peakDecay is the part by which the remembered peak of the urgent demand falls back to the present one in a round.
const peakDecay = 0.02

// headroom is what is kept for the first priority, in parts of workers.
type headroom struct {
	peak   float64 // of the demand of the first priority, decaying
	others float64 // what all other queues may hold together
}

// endRound takes the demand of the first priority and the limit over all workers.
func (h *headroom) endRound(urgent, limit float64) {
	h.peak = max(urgent, h.peak-peakDecay*(h.peak-urgent))
	h.others = max(0, limit-h.peak)
}

// allowed returns how much a queue may hold in this turn: up to its sigma, and beside the room that is kept for the first
// priority, but never less than its own share.
func (b *Book) allowed(q *Queue) float64 {
	if q.Priority == 0 || b.headroom.peak == 0 {
		return q.sigma
	}
	held := 0.0
	for _, other := range b.order {
		if other.Priority > 0 {
			held += other.held
		}
	}
	beside := q.held + max(0, b.headroom.others-held)
	return min(q.sigma, max(beside, q.floor))
}

// limitOf returns how much the queue may hold before a unit is released. Tasks that last use room that is kept for the first
// priority: each of them is wanted at work all the time, and they are few.
func (q *Queue) limitOf(u *unit) float64 {
	if u.job.lasts(u.stage) {
		return q.sigma
	}
	return q.limit
}
