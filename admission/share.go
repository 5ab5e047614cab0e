package admission

import "math"

// Share is the exponentially weighted moving average of the share of a queue's jobs that were sent to one worker: alpha_d
// of Wisp. It decays lazily, by the number of jobs since its last update.
type Share struct {
	Value   float64
	AsOfJob uint64 // number of the queue's job at which Value was updated
	Used    bool   // at least one job of the queue was sent to the worker
}

// DecayedTo returns the share as of the queue's job with the number jobs, which must not be below AsOfJob; gain is the EWMA
// weight of one job.
func (s Share) DecayedTo(jobs uint64, gain float64) float64 {
	return s.Value * math.Pow(1-gain, float64(jobs-s.AsOfJob))
}

// AddJob returns the share after the queue's job with the number jobs was sent to the worker.
func (s Share) AddJob(jobs uint64, gain float64) Share {
	return Share{Value: s.DecayedTo(jobs, gain) + gain, AsOfJob: jobs, Used: true}
}

// SmoothedShare returns the share with additive (Laplace) smoothing towards the even share 1/workers, since with few jobs
// the share itself is mostly noise.
func SmoothedShare(share, jobs, workers float64) float64 {
	return (share*jobs + 1) / (jobs + workers)
}
