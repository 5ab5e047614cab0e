// Package admission holds the arithmetic by which work is let in: learned limits per worker, the quantile
// over them, shares between queues, and release in turn by estimated work.
//
// It follows Wisp's Algorithm 1: in each round a queue's limit is the lesser of its local share and
// Q(sigma_d/alpha_d, q), where sigma_d is what was learned of worker d and alpha_d the share of the queue's
// work that went there. The request dispatcher and the job scheduler both decide with it. All is pure.
package admission

import (
	"math"
	"slices"
)

// Unlimited is the limit of a worker of which nothing was learned.
var Unlimited = math.Inf(1)

// Tuning says how limits change.
type Tuning struct {
	CutFactor float64 // a limit after a failure, of what was out there
	RiseStep  float64 // what a clean round adds to a limit, of the spare room
	Least     float64 // a limit never falls below this
}

// Cut returns a worker's limit after a failure, when so much was out there.
func (t Tuning) Cut(limit, out float64) float64 {
	return max(t.Least, t.CutFactor*min(limit, out))
}

// Raise returns a worker's limit after a clean round, with so much of it unused.
func (t Tuning) Raise(limit, spare float64) float64 {
	return limit + t.RiseStep*min(1, limit)*max(0, spare)
}

// Share is the exponentially weighted share of a queue's work that one worker got, as of the queue's job At.
type Share struct {
	Value float64
	At    uint64
	Used  bool
}

// Now returns the share after so many jobs of the queue; gain is the weight of one job.
func (s Share) Now(jobs uint64, gain float64) float64 {
	return s.Value * math.Pow(1-gain, float64(jobs-s.At))
}

// Add returns the share after job number jobs went to this worker.
func (s Share) Add(jobs uint64, gain float64) Share {
	return Share{Value: s.Now(jobs, gain) + gain, At: jobs, Used: true}
}

// Smoothed draws a share to the even one by as many jobs as there are workers, since with few jobs a
// share is mostly noise.
func Smoothed(share, jobs, workers float64) float64 {
	return (share*jobs + 1) / (jobs + workers)
}

// Quantile sorts values and returns their q-quantile, or Unlimited for none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return Unlimited
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// Claimant is one who shares a limit with others.
type Claimant struct {
	Want  float64 // how much it could use now
	Share float64 // its part; those of all sum up to 1
}

// FairLevel returns the max-min level: how much there is for a unit of share, once those who want less
// than their part have what they want.
func FairLevel(claimants []Claimant, limit float64) float64 {
	left, shares := limit, 1.0
	for range claimants {
		l, s := limit, 1.0
		for _, c := range claimants {
			if c.Want < left/shares*c.Share {
				l, s = l-c.Want, s-c.Share
			}
		}
		if s <= 1e-9 || s == shares {
			break
		}
		left, shares = l, s
	}
	return left / shares
}

// LocalShare returns a queue's part of the limit of all workers. It ramps by step of what is unused while the
// demand is met; beyond, it is the max-min fair part, but never below the queue's own share.
func LocalShare(local float64, c Claimant, demand, limit, level, step float64) float64 {
	if demand <= limit {
		return max(local, c.Want) + step*(limit-demand)
	}
	return max(min(c.Want, level*c.Share), limit*c.Share)
}

// Deficit is a queue's credit in deficit round robin.
type Deficit float64

// Visit gives the queue its quantum for one turn. Credit is not saved up beyond a few quanta, and a
// queue with nothing to release loses it.
func (d *Deficit) Visit(quantum float64, backlogged bool) {
	if !backlogged {
		*d = 0
		return
	}
	*d = Deficit(min(float64(*d)+quantum, maxQuanta*quantum))
}

// maxQuanta bounds the credit that a blocked queue saves up.
const maxQuanta = 8

// Pay charges released work and reports whether the queue may release more in this turn.
func (d *Deficit) Pay(work float64) bool {
	*d -= Deficit(work)
	return *d > 0
}

// TurnsToCredit returns how many turns it takes until the first of some queues in debt has credit again.
func TurnsToCredit(debts []Deficit, quantum float64) float64 {
	if len(debts) == 0 {
		return 0
	}
	return math.Floor(-float64(slices.Max(debts))/quantum) + 1
}

// Candidate is a worker that may take a task.
type Candidate struct {
	Held float64 // how much of ours it holds
}

// PickBelow returns the index of a random candidate that holds less than the threshold, else of the one
// that holds least; -1 for none. Draw returns a number below n.
func PickBelow(candidates []Candidate, threshold float64, draw func(n int) int) int {
	below, least := 0, -1
	pick := -1
	for i, c := range candidates {
		if least < 0 || c.Held < candidates[least].Held {
			least = i
		}
		if c.Held >= threshold {
			continue
		}
		below++
		if draw(below) == 0 { // reservoir sampling: each is kept with equal chance
			pick = i
		}
	}
	if pick >= 0 {
		return pick
	}
	return least
}
