package admission

// Candidate is a worker that may take a task.
type Candidate struct {
	InFlight float64 // work of this scheduler in flight at the worker
}

// PickBelowThreshold returns the index of a random candidate with less in flight than the threshold, or of the candidate
// with the least in flight if there is none, or -1 if there are no candidates. It calls draw, which returns a uniform random
// number in [0, n), once for each candidate below the threshold, in order.
func PickBelowThreshold(candidates []Candidate, threshold float64, draw func(n int) int) int {
	below, least := 0, -1
	pick := -1
	for i, c := range candidates {
		if least < 0 || c.InFlight < candidates[least].InFlight {
			least = i
		}
		if c.InFlight >= threshold {
			continue
		}
		below++
		if draw(below) == 0 { // reservoir sampling with a reservoir of one
			pick = i
		}
	}
	if pick >= 0 {
		return pick
	}
	return least
}
