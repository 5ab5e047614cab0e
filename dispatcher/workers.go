package dispatcher

import (
	"slices"
	"time"
)

// This file holds the set of workers and maintains their pools.

// poolOf returns the pool for classes with these kinds and zones, where nil allows any
// and an empty list allows none. It creates the pool if necessary.
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

// weightShare returns the fraction, by weight, of all active workers that are in the
// pool, or 1 if the pool is empty.
func (s *workerSet) weightShare(p *pool) float64 {
	if p.weight > 0 {
		return p.weight / s.pools[0].weight
	}
	return 1
}

// addToPools adds a worker to each pool that admits it, and removes it from the others.
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

// removeFromPools removes a worker from all pools.
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

// adjustPoolSums adds the worker to the sums of its pools (sign 1) or subtracts it from
// them (-1). It must be called before and after each change of a summed value.
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

// subsetZones returns the pool's workers in the subset as a single zone, or nil if there
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

// lightlyLoaded reports whether fewer slots are known to be in flight than there are
// workers, in the subset if there is one.
func (s *workerSet) lightlyLoaded() bool {
	if s.subsetSize > 0 {
		return s.pools[0].subsetInFlight < float64(s.subsetSize)
	}
	return s.pools[0].inFlight < float64(s.pools[0].active)
}

// capacityChanged makes the next release try pools again in which no capacity was found.
func (s *workerSet) capacityChanged() {
	for _, p := range s.pools {
		p.noCapacity = false
	}
}

// addInFlight adds slots in flight at the worker, of any dispatcher.
func (s *workerSet) addInFlight(w *worker, slots float64) {
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

// setLimit sets the worker's limit and updates the sums of its pools.
func (s *workerSet) setLimit(w *worker, to float64) {
	s.adjustPoolSums(w, -1)
	w.limit = to
	s.adjustPoolSums(w, 1)
}

// reportedWait returns the time that a request would wait at a worker by the last probe
// result, in seconds.
func (s *workerSet) reportedWait(w *worker, r *request) float64 {
	slots := s.maxFreeByKind[w.Kind]
	return max(0, w.lastReport.InFlight+r.Slots-slots-min(0, w.freeSlots)) / slots * r.class.meanRuntime
}

// applyLiveWeight derives the worker's free slots from a live weight, which is the size
// divided by 1 + requests in flight per core. It guards against sending to slots that
// other dispatchers occupy.
func (s *workerSet) applyLiveWeight(now time.Duration, w *worker) {
	perCore := s.maxWeightByKind[w.Kind]/w.Weight - 1
	w.freeSlots, w.freeSlotsAt = (1-perCore)*s.maxFreeByKind[w.Kind], now
}

// workerSet holds the listed workers and the pools that they are in. Invariants: a worker
// is in byName and all while it is listed; the sums of a pool are those of its workers'
// sizes, slots in flight and limits, so a change of one of these must be enclosed in calls
// of adjustPoolSums or made by addInFlight.
type workerSet struct {
	byName          map[string]*worker
	all             []*worker // by index; nil for a free index
	pools           []*pool
	cells           map[int][]*worker // by cell, its workers in the first pool
	cordons         map[string]bool   // names of cordoned workers, which need not be listed
	maxWeightByKind []float64
	maxFreeByKind   []float64 // most free slots ever reported, at least 1
	maxSize         float64
	subsetSize      int // number of workers in this dispatcher's subset; 0 if there is no subset
}

func newWorkerSet() workerSet {
	return workerSet{byName: map[string]*worker{}, pools: []*pool{{}}, cells: map[int][]*worker{}, cordons: map[string]bool{}}
}

// add adds a newly listed worker and gives it the lowest free index.
func (s *workerSet) add(e *WorkerInfo) *worker {
	w := &worker{WorkerInfo: *e, poolPositions: slices.Repeat([]int{-1}, len(s.pools)), limit: unlimited, runtimeRatio: 1,
		index: len(s.all), lastDecreaseRound: -1, cordoned: s.cordons[e.Name]}
	if i := slices.Index(s.all, nil); i >= 0 {
		w.index = i
		s.all[i] = w
	} else {
		s.all = append(s.all, w)
	}
	s.byName[e.Name] = w
	return w
}

// sizeOf returns the worker's size: its listed weight, or 1 if weights are ignored or not
// positive. Live weights fall below the size under load, so for these the size is the
// largest weight seen of the kind.
func (s *workerSet) sizeOf(e *WorkerInfo, meaning WeightMeaning) float64 {
	if meaning == WeightNone || e.Weight <= 0 {
		return 1
	}
	if meaning == WeightLive {
		return s.maxWeightByKind[e.Kind]
	}
	return e.Weight
}

// growKindTables extends the tables that are indexed by kind to include this kind.
func (s *workerSet) growKindTables(kind int) {
	for len(s.maxWeightByKind) <= kind {
		s.maxWeightByKind, s.maxFreeByKind = append(s.maxWeightByKind, 0), append(s.maxFreeByKind, 1)
	}
}

// secondLowestRuntimeRatio returns the runtime ratio of the second fastest active worker,
// at most 1. It serves as the lower bound on a request's running time, relative to the
// mean of its class.
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

// missing returns the known workers that a complete worker list does not contain.
func (s *workerSet) missing(entries []WorkerInfo) (missing []*worker) {
	named := make(map[string]bool, len(entries))
	for i := range entries {
		named[entries[i].Name] = true
	}
	for _, w := range s.all {
		if w != nil && !named[w.Name] {
			missing = append(missing, w)
		}
	}
	return missing
}
