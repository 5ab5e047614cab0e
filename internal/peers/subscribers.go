package peers

import (
	"cmp"
	"slices"
)

// assignSubscribers returns for each worker, given by the hash of its ID, the numbers of the members that subscribe to it, sorted. The
// result depends only on the arguments, not on the order of the workers, so that all members with the same list agree on it.
//
// Rendezvous hashing gives each member a weight for each worker. Each worker is assigned members of the highest weights, those with
// fewer workers first, which bounds the number of workers per member. A member with too few workers then subscribes to further ones.
// Two workers rarely have the same subscribers, so that when a worker is full, each of its subscribers has other workers that are not.
func assignSubscribers(members int, workers []uint64, minSubscribers, minSubset int) [][]uint16 {
	a := assignment{workers: workers, subscribers: make([][]uint16, len(workers)), load: make([]int, members)}
	if len(workers) == 0 || members == 0 {
		return a.subscribers
	}
	minSubset = min(minSubset, len(workers))
	a.size = max(minSubscribers, (minSubset*members+len(workers)-1)/len(workers))
	if a.size >= members {
		a.subscribeAll()
		return a.subscribers
	}
	a.mean = (a.size*len(workers) + members - 1) / members
	a.slack = max(1, a.mean/10)
	a.assignWorkers()
	a.fillUnderloadedMembers()
	for i := range a.subscribers {
		slices.Sort(a.subscribers[i])
	}
	return a.subscribers
}

// assignment is the state of assignSubscribers.
type assignment struct {
	workers     []uint64   // hashes of the worker IDs
	subscribers [][]uint16 // member numbers by worker
	load        []int      // number of workers by member
	size        int        // number of subscribers per worker
	mean        int        // mean number of workers per member
	slack       int        // allowed deviation of a member's load from mean
}

func (a *assignment) subscribeAll() {
	all := make([]uint16, len(a.load))
	for m := range all {
		all[m] = uint16(m)
	}
	for i := range a.subscribers {
		a.subscribers[i] = all
	}
}

func (a *assignment) subscribe(worker int, member uint16) {
	a.subscribers[worker] = append(a.subscribers[worker], member)
	a.load[member]++
}

// assignWorkers assigns size subscribers to each worker.
func (a *assignment) assignWorkers() {
	order := make([]int, len(a.workers)) // sorted by hash, so that the order of the list does not matter
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(a.workers[x], a.workers[y]) })
	top := newRanking(min(len(a.load), 2*a.size))
	for _, i := range order {
		top.rankMembers(a.workers[i], len(a.load))
		for _, maxLoad := range []int{a.mean, a.mean + a.slack, len(a.workers)} { // members with a load below the mean come first
			for _, c := range top.candidates {
				if m := c.member; len(a.subscribers[i]) < a.size && a.load[m] < maxLoad && !slices.Contains(a.subscribers[i], m) {
					a.subscribe(i, m)
				}
			}
		}
	}
}

// fillUnderloadedMembers subscribes each member with too few workers to further workers, for which it has the highest weights.
func (a *assignment) fillUnderloadedMembers() {
	for m := range a.load {
		for a.load[m] < a.mean-a.slack {
			highest := a.highestOther(m)
			if highest < 0 {
				break
			}
			a.subscribe(highest, uint16(m))
		}
	}
}

// highestOther returns the index of the worker for which a member has the highest weight among those that it does not subscribe to,
// or -1.
func (a *assignment) highestOther(member int) int {
	highest, weight := -1, uint64(0)
	for i, worker := range a.workers {
		if r := rendezvousWeight(worker, member); r >= weight && !slices.Contains(a.subscribers[i], uint16(member)) {
			highest, weight = i, r
		}
	}
	return highest
}

// rendezvousWeight returns the weight of a member for a worker in rendezvous hashing.
func rendezvousWeight(worker uint64, member int) uint64 {
	return fmix64(worker ^ (uint64(member)+1)*0x9e3779b97f4a7c15)
}

// candidate is a member and its weight for a worker.
type candidate struct {
	weight uint64
	member uint16
}

// ranking finds the members with the highest weights for a worker.
type ranking struct {
	candidates []candidate // sorted by descending weight after rankMembers
	size       int         // number of candidates to keep
}

func newRanking(size int) *ranking { return &ranking{make([]candidate, 0, 2*size), size} }

func compareWeight(a, b candidate) int { return cmp.Compare(b.weight, a.weight) }

// rankMembers sets candidates to the members with the highest weights for a worker.
func (r *ranking) rankMembers(worker uint64, members int) {
	r.candidates = r.candidates[:0]
	floor := uint64(0)
	for m := range members {
		weight := rendezvousWeight(worker, m)
		if weight <= floor {
			continue
		}
		if r.candidates = append(r.candidates, candidate{weight, uint16(m)}); len(r.candidates) == 2*r.size {
			r.trim()
			floor = r.candidates[r.size-1].weight
		}
	}
	r.trim()
}

// trim keeps the size highest candidates.
func (r *ranking) trim() {
	slices.SortFunc(r.candidates, compareWeight)
	r.candidates = r.candidates[:min(len(r.candidates), r.size)]
}
