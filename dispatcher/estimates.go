package dispatcher

import "time"

// This file estimates the work of requests and the rate at which workers serve it.

const (
	meanGain          = 1.0 / 64 // EWMA weight of one outcome in a class's means
	reportTTLFraction = 0.5      // validity of a load report, as a fraction of the mean work
)

// workEstimates holds the estimated work of requests, in slot seconds, and the rate at
// which workers serve it.
type workEstimates struct {
	meanWork        float64 // mean work of all requests
	meanKnownWork   float64 // mean work of requests whose running time could be estimated
	knownRequests   float64 // number of requests in meanKnownWork
	assumedWork     float64 // work that is assumed, by the settings, while knownRequests is 0
	roundWork       float64 // work served in this round
	workRate        float64 // work that workers serve for this dispatcher, per second and unit of weight
	lowRuntimeRatio float64 // second lowest runtime ratio of the workers, at most 1
}

// observe updates the mean work from a request whose running time could be estimated.
// Other requests must not count: with a mean that included requests of unknown work, the
// dispatchers that a rollout had started together overloaded the cold workers.
func (e *workEstimates) observe(r *request) {
	if r.class.samples > 0 || r.RuntimeHint > 0 {
		e.knownRequests++
		e.meanKnownWork += (r.work - e.meanKnownWork) * max(meanGain, 1/e.knownRequests)
	}
}

// expected returns the mean work, in slot seconds, of requests whose running time could
// be estimated, or assumedWork if there were none yet.
func (e *workEstimates) expected() float64 {
	if e.knownRequests > 0 {
		return e.meanKnownWork
	}
	return e.assumedWork
}

// expectedOf returns the request's work, or the expected work while its running
// time cannot be estimated.
func (e *workEstimates) expectedOf(r *request) float64 {
	if r.class.samples > 0 || r.RuntimeHint > 0 {
		return r.work
	}
	return r.Slots * e.expected()
}

// endRound updates workRate from the work of the round and the weight of the workers that
// this dispatcher sends to.
func (e *workEstimates) endRound(weight float64) {
	e.workRate += 0.05 * (e.roundWork/roundInterval.Seconds()/weight - e.workRate)
	e.roundWork = 0
}

// reportTTL returns how long a load report is valid. It is proportional to the mean work,
// since slots become free and occupied as requests end.
func (e *workEstimates) reportTTL() time.Duration { return seconds(reportTTLFraction * e.meanWork) }
