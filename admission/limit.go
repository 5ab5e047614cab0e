// Package admission implements the arithmetic of admission control: concurrency limits of workers that are learned from
// failures, the quantile over them, weighted max-min fair shares between queues, and deficit round robin by estimated work.
//
// It follows Algorithm 1 of Wisp: L. Suresh, P. Bodik, I. Menache, M. Canini and F. Ciucu, "Distributed Resource
// Management Across Process Boundaries", SoCC 2017. In each control interval a queue's limit is the minimum of its local
// share and Q(sigma_d/alpha_d, q), where sigma_d is the limit learned for worker d, alpha_d the share of the queue's work
// that was sent to d, and Q the q-quantile over the workers.
//
// The request dispatcher and the job scheduler both use this package. Its functions have no side effects beyond their
// arguments. Limits and amounts of work are in the unit of the caller: slots in flight in the dispatcher, fractions of
// a worker's capacity in the job scheduler.
package admission

import (
	"math"
	"slices"
)

// Unlimited is the limit of a worker for which no limit was learned.
var Unlimited = math.Inf(1)

// LimitTuning holds the parameters by which a worker's limit changes: additive increase, multiplicative decrease.
type LimitTuning struct {
	DecreaseFactor float64 // factor of a decrease, between 0 and 1
	IncreaseStep   float64 // increase after an interval without failure, as a fraction of the unused capacity
	MinLimit       float64 // lower bound of a limit
}

// Decrease returns a worker's limit after a failure, with inFlight units of work at the worker.
func (t LimitTuning) Decrease(limit, inFlight float64) float64 {
	return max(t.MinLimit, t.DecreaseFactor*min(limit, inFlight))
}

// Increase returns a worker's limit after an interval without failure, with the given amount of its capacity unused. A limit
// below 1 increases in proportion to itself.
func (t LimitTuning) Increase(limit, unused float64) float64 {
	return limit + t.IncreaseStep*min(1, limit)*max(0, unused)
}

// Quantile returns the q-quantile of values, without interpolation, or Unlimited if there are none. It sorts values in
// place.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return Unlimited
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
