package jobs

import "math"

// Resources are what a task asks for or a worker has.
type Resources struct {
	CPU   int64 // thousandths of a core
	MemMB int64
	GPU   int64
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

// Holds reports whether a demand fits into r.
func (r Resources) Holds(demand Resources) bool {
	return demand.CPU <= r.CPU && demand.MemMB <= r.MemMB && demand.GPU <= r.GPU
}

// dominantShare returns the largest part of r that a demand takes of any resource.
func (r Resources) dominantShare(demand Resources) float64 {
	return max(ratio(demand.CPU, r.CPU), ratio(demand.MemMB, r.MemMB), ratio(demand.GPU, r.GPU))
}

func ratio(part, whole int64) float64 {
	if part == 0 {
		return 0
	}
	if whole == 0 {
		return math.Inf(1)
	}
	return float64(part) / float64(whole)
}

// demand returns what one task of a step asks for.
func (s *Stage) demand() Resources { return Resources{s.CPU, s.MemMB, s.GPU} }
