package sedgevale

// Random samples of workers.

import "iter"

// recentThenRandom yields the recent workers from a random one on, then a few of the
// zones in random order.
func (d *Dispatcher) recentThenRandom(recent []*worker, zones [][]*worker) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i, at := 0, d.rng.IntN(len(recent)+1); i < len(recent); i++ {
			if !yield(recent[(i+at)%len(recent)]) {
				return
			}
		}
		d.randomWorkers(zones)(yield)
	}
}

// randomWorkers yields at most maxSampledWorkers workers of the zones in random order.
func (d *Dispatcher) randomWorkers(zones [][]*worker) iter.Seq[*worker] {
	n := 0
	for _, z := range zones {
		n += len(z)
	}
	return func(yield func(*worker) bool) {
		if n == 0 {
			return
		}
		at, step := d.rng.IntN(n), 1
		if n > maxSampledWorkers {
			step += d.rng.IntN(n - 1)
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

// randomWorker returns a random worker that may be sent to, or nil.
func (d *Dispatcher) randomWorker() *worker {
	for w := range d.randomWorkers(d.pools[0].zones) {
		return w
	}
	return nil
}
