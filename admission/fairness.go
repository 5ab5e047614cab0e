package admission

// Claimant is a queue that shares a limit with other queues.
type Claimant struct {
	Demand float64 // work in flight and queued
	Share  float64 // fraction of the limit, between 0 and 1; the fractions of all claimants sum to 1
}

// minShares is the sum of shares below which rounding errors dominate.
const minShares = 1e-9

// MaxMinLevel returns the level of the weighted max-min fair allocation: the amount per unit of share for claimants whose
// demand is not met, after the demand of the others has been met in full.
func MaxMinLevel(claimants []Claimant, limit float64) float64 {
	remaining, shares := limit, 1.0
	for range claimants { // each pass meets the demand of at least one more claimant, or is the last
		l, s := limit, 1.0
		for _, c := range claimants {
			if c.Demand < remaining/shares*c.Share {
				l, s = l-c.Demand, s-c.Share
			}
		}
		if s <= minShares || s == shares {
			break
		}
		remaining, shares = l, s
	}
	return remaining / shares
}

// LocalShare returns a queue's local share of the limit of all workers together; local is its value in the last interval.
// While the demand of all queues is within the limit, the local share is the larger of its last value and the queue's demand,
// plus the fraction step of the unused limit. If the demand exceeds the limit, it is the max-min fair share at level (see
// MaxMinLevel), but at least the queue's own share of the limit.
func LocalShare(local float64, c Claimant, demand, limit, level, step float64) float64 {
	if demand <= limit {
		return max(local, c.Demand) + step*(limit-demand)
	}
	return max(min(c.Demand, level*c.Share), limit*c.Share)
}
