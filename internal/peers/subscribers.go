package peers

import (
	"cmp"
	"slices"
)

// assignSubscribers returns for each worker, given by the hash of its id, the members that subscribe to it, sorted by number. It
// depends on nothing but the number of members and the workers, so that all who have the same list agree.
//
// Members are ranked by rendezvous hashing; a worker takes the least loaded of its highest, and no member has many more workers
// than the mean. A member that is left with too few joins further workers. Two workers seldom have the same subscribers, so that
// when a worker is full, each of its subscribers has other workers that are not.
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
	a.fillWorkers()
	a.fillMembers()
	for i := range a.subscribers {
		slices.Sort(a.subscribers[i])
	}
	return a.subscribers
}

// assignment is the state of assignSubscribers.
type assignment struct {
	workers     []uint64 // hashes
	subscribers [][]uint16
	load        []int // workers by member
	size        int   // subscribers of a worker
	mean        int   // workers of a member
	slack       int   // by how many those of a member may differ from the mean
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

// fillWorkers gives each worker its subscribers.
func (a *assignment) fillWorkers() {
	order := make([]int, len(a.workers)) // by hash: the order of the list does not count
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(a.workers[x], a.workers[y]) })
	best := newRanking(min(len(a.load), 2*a.size))
	for _, i := range order {
		best.rankMembers(a.workers[i], len(a.load))
		for _, maxLoad := range []int{a.mean, a.mean + a.slack, len(a.workers)} { // members below the mean first
			for _, c := range best.found {
				if m := c.member; len(a.subscribers[i]) < a.size && a.load[m] < maxLoad && !slices.Contains(a.subscribers[i], m) {
					a.subscribe(i, m)
				}
			}
		}
	}
}

// fillMembers has members with too few workers join the highest ranked of the others.
func (a *assignment) fillMembers() {
	for m := range a.load {
		for a.load[m] < a.mean-a.slack {
			top := a.highestOther(m)
			if top < 0 {
				break
			}
			a.subscribe(top, uint16(m))
		}
	}
}

// highestOther returns the highest ranked worker that a member does not subscribe to, or -1.
func (a *assignment) highestOther(member int) int {
	top, rank := -1, uint64(0)
	for i, worker := range a.workers {
		if r := rankOf(worker, member); r >= rank && !slices.Contains(a.subscribers[i], uint16(member)) {
			top, rank = i, r
		}
	}
	return top
}

// rankOf is the weight of a member at a worker in rendezvous hashing.
func rankOf(worker uint64, member int) uint64 {
	return mix(worker ^ (uint64(member)+1)*0x9e3779b97f4a7c15)
}

// candidate is a member and its rank at a worker.
type candidate struct {
	rank   uint64
	member uint16
}

// ranking finds the members of the highest rank at a worker.
type ranking struct {
	found []candidate // the highest first
	size  int         // how many are wanted
}

func newRanking(size int) *ranking { return &ranking{make([]candidate, 0, 2*size), size} }

func byRank(a, b candidate) int { return cmp.Compare(b.rank, a.rank) }

// rankMembers finds the members of the highest rank at a worker.
func (r *ranking) rankMembers(worker uint64, members int) {
	r.found = r.found[:0]
	floor := uint64(0)
	for m := range members {
		rank := rankOf(worker, m)
		if rank <= floor {
			continue
		}
		if r.found = append(r.found, candidate{rank, uint16(m)}); len(r.found) == 2*r.size {
			r.trim()
			floor = r.found[r.size-1].rank
		}
	}
	r.trim()
}

// trim drops all but the wanted number of candidates.
func (r *ranking) trim() {
	slices.SortFunc(r.found, byRank)
	r.found = r.found[:min(len(r.found), r.size)]
}
