package admission

// Claimant is a queue that shares a limit with others.
type Claimant struct {
	Demand float64 // the work that it could have at the workers now
	Share  float64 // its part of the limit, between 0 and 1; the parts of all claimants sum up to 1
}

// minShares is the sum of shares below which rounding errors prevail.
const minShares = 1e-9

// MaxMinLevel returns the level of the weighted max-min fair allocation: the part of the limit for a unit of share, once
// claimants that want less than their part have what they want.
func MaxMinLevel(claimants []Claimant, limit float64) float64 {
	left, shares := limit, 1.0
	for range claimants { // each pass satisfies at least one claimant more, or is the last
		l, s := limit, 1.0
		for _, c := range claimants {
			if c.Demand < left/shares*c.Share {
				l, s = l-c.Demand, s-c.Share
			}
		}
		if s <= minShares || s == shares {
			break
		}
		left, shares = l, s
	}
	return left / shares
}

// LocalShare returns a queue's part of the limit of all workers together, from local, its part in the last interval. While
// the demand of all queues is within the limit the part grows by step of what is unused. Beyond that it is the max-min
// fair part at a level (MaxMinLevel), but not less than the queue's own share of the limit.
func LocalShare(local float64, c Claimant, demand, limit, level, step float64) float64 {
	if demand <= limit {
		return max(local, c.Demand) + step*(limit-demand)
	}
	return max(min(c.Demand, level*c.Share), limit*c.Share)
}
