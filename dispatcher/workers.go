package dispatcher

import (
	"slices"
	"time"
)

// The set of workers, their pools, and the sums over these.

// poolOf returns the pool for classes with these kinds and zones, where nil means any
// and an empty list none.
func (s *workerSet) poolOf(kinds, zones []int) *pool {
	for _, p := range s.pools {
		if slices.Equal(p.allowedKinds, kinds) && slices.Equal(p.allowedZones, zones) &&
			(p.allowedKinds == nil) == (kinds == nil) && (p.allowedZones == nil) == (zones == nil) {
			return p
		}
	}
	p := &pool{allowedKinds: slices.Clone(kinds), allowedZones: slices.Clone(zones)}
	s.pools = append(s.pools, p)
	return p
}

// weightShare returns the part, by weight, of all active workers that are in a pool;
// it is 1 while there is none.
func (s *workerSet) weightShare(p *pool) float64 {
	if p.weight > 0 {
		return p.weight / s.pools[0].weight
	}
	return 1
}

// addToPools puts a worker into each pool that admits it now, and takes it out of the
// others.
func (s *workerSet) addToPools(w *worker) {
	s.removeFromPools(w)
	for i, p := range s.pools {
		if !p.admits(w) {
			continue
		}
		for len(p.zones) <= w.Zone {
			p.zones, p.rings = append(p.zones, nil), append(p.rings, nil)
		}
		w.poolPositions[i] = len(p.zones[w.Zone])
		p.zones[w.Zone] = append(p.zones[w.Zone], w)
		p.ringsStale, p.subsetStale = true, true
	}
	if w.poolPositions[0] >= 0 {
		s.cells[w.Cell] = append(s.cells[w.Cell], w)
	}
	s.adjustPoolSums(w, 1)
}

// removeFromPools takes a worker out of all pools.
func (s *workerSet) removeFromPools(w *worker) {
	s.adjustPoolSums(w, -1)
	if w.poolPositions[0] >= 0 {
		s.cells[w.Cell] = slices.DeleteFunc(s.cells[w.Cell], func(v *worker) bool { return v == w })
		if len(s.cells[w.Cell]) == 0 {
			delete(s.cells, w.Cell)
		}
	}
	for i, p := range s.pools {
		if !w.inPool(i) {
			continue
		}
		at := w.poolPositions[i]
		z := p.zones[w.Zone]
		last := z[len(z)-1]
		z[at], last.poolPositions[i] = last, at
		z[len(z)-1] = nil
		p.zones[w.Zone] = z[:len(z)-1]
		w.poolPositions[i] = -1
		p.ringsStale, p.subsetStale = true, true
	}
}

// adjustPoolSums adds the worker to the sums of its pools (sign 1) or subtracts it
// (-1). A change of what is summed needs a call before and after it.
func (s *workerSet) adjustPoolSums(w *worker, sign int) {
	for i, p := range s.pools {
		if !w.inPool(i) {
			continue
		}
		p.active += sign
		p.weight += float64(sign) * w.size
		p.inFlight += float64(sign) * w.inFlight
		if w.inSubset {
			p.subsetWeight += float64(sign) * w.size
			p.subsetInFlight += float64(sign) * w.inFlight
		}
		if w.limit < unlimited {
			p.limitedWorkers += sign
			p.limitSum += float64(sign) * w.limit
		}
	}
}

// subsetZones returns the pool's workers of the subset as one zone, or nil if there
// are none.
func (s *workerSet) subsetZones(p *pool) [][]*worker {
	if s.subsetSize == 0 {
		return nil
	}
	if p.subsetStale {
		p.subsetStale, p.subset[0] = false, p.subset[0][:0]
		for _, z := range p.zones {
			for _, w := range z {
				if w.inSubset {
					p.subset[0] = append(p.subset[0], w)
				}
			}
		}
	}
	if len(p.subset[0]) == 0 {
		return nil
	}
	return p.subset[:]
}

// lightlyLoaded reports whether less than a slot for each worker is known to be taken.
func (s *workerSet) lightlyLoaded() bool {
	if s.subsetSize > 0 {
		return s.pools[0].subsetInFlight < float64(s.subsetSize)
	}
	return s.pools[0].inFlight < float64(s.pools[0].active)
}

// capacityChanged has pools without capacity tried again.
func (s *workerSet) capacityChanged() {
	for _, p := range s.pools {
		p.noCapacity = false
	}
}

// addOccupied adds slots at the worker, whichever dispatcher has them.
func (s *workerSet) addOccupied(w *worker, slots float64) {
	w.inFlight += slots
	for i, p := range s.pools {
		if !w.inPool(i) {
			continue
		}
		p.inFlight += slots
		if w.inSubset {
			p.subsetInFlight += slots
		}
	}
}

// setLimit sets the worker's limit and keeps the sums of its pools.
func (s *workerSet) setLimit(w *worker, to float64) {
	s.adjustPoolSums(w, -1)
	w.limit = to
	s.adjustPoolSums(w, 1)
}

// reportedWait returns how many seconds a request would wait at a worker by its last
// report.
func (s *workerSet) reportedWait(w *worker, r *request) float64 {
	slots := s.maxFreeByKind[w.Kind]
	return max(0, w.lastReport.InFlight+r.Slots-slots-min(0, w.freeSlots)) / slots * r.class.meanRuntime
}

// applyLiveWeight takes over free slots from a live weight, which is the size over 1
// + requests in flight per core. It guards against slots that other dispatchers
// fill.
func (s *workerSet) applyLiveWeight(now time.Duration, w *worker) {
	perCore := s.maxWeightByKind[w.Kind]/w.Weight - 1
	w.freeSlots, w.freeSlotsAt = (1-perCore)*s.maxFreeByKind[w.Kind], now
}

// workerSet is the workers, listed or with attempts in flight, and the pools that they
// are in. Invariants: a worker is in byName and all while the list has it; the sums of
// a pool are those of its workers' sizes, slots in flight and limits, so whoever
// changes one of those calls adjustPoolSums before and after, or addOccupied.
type workerSet struct {
	byName          map[string]*worker
	all             []*worker // by index; nil: free index
	pools           []*pool
	cells           map[int][]*worker // the workers of a cell that may be sent to
	cordons         map[string]bool   // by name, also of workers not listed
	maxWeightByKind []float64
	maxFreeByKind   []float64 // most free slots ever reported, 1 at least
	maxSize         float64
	subsetSize      int // workers in this dispatcher's subset; 0: there is none
}

func newWorkerSet() workerSet {
	return workerSet{byName: map[string]*worker{}, pools: []*pool{{}}, cells: map[int][]*worker{}, cordons: map[string]bool{}}
}

// add adds a worker that the list names for the first time. The lowest free
// index is taken again.
func (s *workerSet) add(e *WorkerInfo) *worker {
	w := &worker{WorkerInfo: *e, poolPositions: slices.Repeat([]int{-1}, len(s.pools)), limit: unlimited, runtimeRatio: 1,
		index: len(s.all), lastDecreaseRound: -1, cordoned: s.cordons[e.Worker]}
	if i := slices.Index(s.all, nil); i >= 0 {
		w.index = i
		s.all[i] = w
	} else {
		s.all = append(s.all, w)
	}
	s.byName[e.Worker] = w
	return w
}

// sizeOf returns the worker's size: its listed weight, or 1 where weights mean
// nothing. Live weights sink below the size, so there it is the largest weight
// seen of the kind.
func (s *workerSet) sizeOf(e *WorkerInfo, meaning WeightMeaning) float64 {
	if meaning == WeightNone || e.Weight <= 0 {
		return 1
	}
	if meaning == WeightLive {
		return s.maxWeightByKind[e.Kind]
	}
	return e.Weight
}

// growKindTables extends the tables that are indexed by kind up to this one.
func (s *workerSet) growKindTables(kind int) {
	for len(s.maxWeightByKind) <= kind {
		s.maxWeightByKind, s.maxFreeByKind = append(s.maxWeightByKind, 0), append(s.maxFreeByKind, 1)
	}
}

// secondLowestRuntimeRatio returns the runtime ratio of the second fastest active
// worker, 1 at most: a request takes at least that much of its class's mean running
// time.
func (s *workerSet) secondLowestRuntimeRatio() float64 {
	first, second := 1.0, 1.0
	for _, w := range s.all {
		if w == nil || w.State != Active || w.runtimeRatio >= second {
			continue
		}
		if second = w.runtimeRatio; w.runtimeRatio < first {
			first, second = w.runtimeRatio, first
		}
	}
	return second
}

// missing returns the workers that a complete list no longer has.
func (s *workerSet) missing(entries []WorkerInfo) (missing []*worker) {
	named := make(map[string]bool, len(entries))
	for i := range entries {
		named[entries[i].Worker] = true
	}
	for _, w := range s.all {
		if w != nil && !named[w.Worker] {
			missing = append(missing, w)
		}
	}
	return missing
}
