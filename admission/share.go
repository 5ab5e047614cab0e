package admission

import "math"

// Share is the exponentially weighted moving average of the share of a queue's jobs that went to one worker: alpha_d of
// Wisp. It decays lazily, by the number of jobs since its last update.
type Share struct {
	Value   float64
	AsOfJob uint64 // the number of the queue's job as of which Value holds
	Used    bool   // a job of the queue went to the worker
}

// DecayedTo returns the share as of the queue's job with a number, not below AsOfJob; gain is the weight of one job.
func (s Share) DecayedTo(jobs uint64, gain float64) float64 {
	return s.Value * math.Pow(1-gain, float64(jobs-s.AsOfJob))
}

// AddJob returns the share after the queue's job with a number went to the worker.
func (s Share) AddJob(jobs uint64, gain float64) Share {
	return Share{Value: s.DecayedTo(jobs, gain) + gain, AsOfJob: jobs, Used: true}
}

// SmoothedShare returns the share with additive (Laplace) smoothing towards the even share 1/workers: with few jobs the share
// itself is mostly noise.
func SmoothedShare(share, jobs, workers float64) float64 {
	return (share*jobs + 1) / (jobs + workers)
}
