package jobs

import "math"

// Resources are the demand of a task or the capacity of a worker.
type Resources struct {
	CPU   int64 // in thousandths of a core
	MemMB int64 // in units of 2^20 bytes
	GPU   int64 // accelerators
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

// Holds reports whether a demand fits into r in each resource.
func (r Resources) Holds(demand Resources) bool {
	return demand.CPU <= r.CPU && demand.MemMB <= r.MemMB && demand.GPU <= r.GPU
}

// dominantShare returns the largest fraction of r that a demand takes of any resource, as in dominant resource fairness
// (Ghodsi et al., NSDI 2011). It is infinite where r has nothing of a resource that is asked for.
func (r Resources) dominantShare(demand Resources) float64 {
	return max(ratio(demand.CPU, r.CPU), ratio(demand.MemMB, r.MemMB), ratio(demand.GPU, r.GPU))
}

// ratio returns part/total: 0 if part is 0, infinity if only total is 0.
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
