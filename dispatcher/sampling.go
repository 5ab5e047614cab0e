package dispatcher

import (
	"iter"
	"math/rand/v2"
)

// This file draws random samples of workers.

const (
	maxSampledWorkers = 16 // maximum number of workers sampled for one placement
)

// recentThenRandom yields all recent workers, beginning with a random one, and then a
// random sample of the workers of the zones.
func recentThenRandom(rng *rand.Rand, recent []*worker, zones [][]*worker) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i, at := 0, rng.IntN(len(recent)+1); i < len(recent); i++ {
			if !yield(recent[(i+at)%len(recent)]) {
				return
			}
		}
		randomWorkers(rng, zones)(yield)
	}
}

// randomWorkers yields at most maxSampledWorkers random workers of the zones.
func randomWorkers(rng *rand.Rand, zones [][]*worker) iter.Seq[*worker] {
	n := 0
	for _, z := range zones {
		n += len(z)
	}
	return func(yield func(*worker) bool) {
		if n == 0 {
			return
		}
		at, step := rng.IntN(n), 1
		if n > maxSampledWorkers {
			step += rng.IntN(n - 1)
		}
		for range min(n, maxSampledWorkers) {
			if !yield(nthWorker(zones, at)) {
				return
			}
			at = (at + step) % n
		}
	}
}

// nthWorker returns worker i of the concatenated zones.
func nthWorker(zones [][]*worker, i int) *worker {
	for _, z := range zones {
		if i < len(z) {
			return z[i]
		}
		i -= len(z)
	}
	return nil
}

// random returns a random worker of the first pool, or nil if that is empty.
func (s *workerSet) random(rng *rand.Rand) *worker {
	for w := range randomWorkers(rng, s.pools[0].zones) {
		return w
	}
	return nil
}

// placementScratch holds the intermediate results of one placement.
type placementScratch struct {
	leastLoaded  *worker   // least loaded worker at which the request may wait
	leastLoad    float64   // load of leastLoaded, in slots per unit of size
	subsetUsable int       // number of sampled workers of the subset that are in service
	owners       []*worker // scratch space of affinityWorkers
}

// reset clears the results before another placement.
func (p *placementScratch) reset() {
	p.leastLoaded, p.leastLoad, p.subsetUsable = nil, unlimited, 0
}

// consider records the worker if its load is the lowest so far.
func (p *placementScratch) consider(w *worker, load float64) {
	if load < p.leastLoad {
		p.leastLoaded, p.leastLoad = w, load
	}
}
