package dispatcher

import (
	"iter"
	"math/rand/v2"
)

// Random samples of workers.

const (
	maxSampledWorkers = 16 // workers sampled for one placement
)

// recentThenRandom yields the recent workers from a random one on, then a few of the
// zones in random order.
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

// randomWorkers yields at most maxSampledWorkers workers of the zones in random order.
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

// nthWorker returns worker i of all zones together.
func nthWorker(zones [][]*worker, i int) *worker {
	for _, z := range zones {
		if i < len(z) {
			return z[i]
		}
		i -= len(z)
	}
	return nil
}

// random returns a random worker that may be sent to, or nil.
func (s *workerSet) random(rng *rand.Rand) *worker {
	for w := range randomWorkers(rng, s.pools[0].zones) {
		return w
	}
	return nil
}

// placementScratch is what one placement has found so far.
type placementScratch struct {
	leastLoaded  *worker   // by the last sample, for a request that may wait at a worker
	leastLoad    float64   // of leastLoaded, in slots for each unit of size
	subsetUsable int       // workers of the subset that were met and are usable
	homes        []*worker // reused by homeWorkers
}

// reset begins another placement.
func (p *placementScratch) reset() {
	p.leastLoaded, p.leastLoad, p.subsetUsable = nil, unlimited, 0
}

// consider notes a worker if its load is the least so far.
func (p *placementScratch) consider(w *worker, load float64) {
	if load < p.leastLoad {
		p.leastLoaded, p.leastLoad = w, load
	}
}
