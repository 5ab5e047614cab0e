package jobs

import "math"

// Resources is the demand of a task or the capacity of a worker.
type Resources struct {
	CPU   int64 // in millicores
	MemMB int64 // in MiB
	GPU   int64 // number of accelerators
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

// Minus returns the difference of r and o, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

// Holds reports whether the demand fits into r in every resource.
func (r Resources) Holds(demand Resources) bool {
	return demand.CPU <= r.CPU && demand.MemMB <= r.MemMB && demand.GPU <= r.GPU
}

// dominantShare returns the maximum over all resources of the fraction of r that the demand uses, as in dominant resource
// fairness (Ghodsi et al., NSDI 2011). It is infinite if r has none of a requested resource.
func (r Resources) dominantShare(demand Resources) float64 {
	return max(ratio(demand.CPU, r.CPU), ratio(demand.MemMB, r.MemMB), ratio(demand.GPU, r.GPU))
}

// ratio returns part/total. It returns 0 if part is 0, and infinity if only total is 0.
func ratio(part, total int64) float64 {
	if part == 0 {
		return 0
	}
	if total == 0 {
		return math.Inf(1)
	}
	return float64(part) / float64(total)
}

// demand returns the demand of one task of the stage.
func (s *Stage) demand() Resources { return Resources{s.CPU, s.MemMB, s.GPU} }
