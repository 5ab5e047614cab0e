package dispatcher

import "time"

// Means over all requests.

const (
	meanGain          = 1.0 / 64 // EWMA weight of one outcome in a class's means
	reportTTLFraction = 0.5      // of the mean work: how long a report holds
)

// workEstimates are means over requests, and the rate at which workers serve them.
type workEstimates struct {
	meanWork        float64 // of all requests
	meanKnownWork   float64 // of requests whose running time could be estimated
	knownRequests   float64 // the number of those
	assumedWork     float64 // by the settings, while there are none
	roundWork       float64 // done in this round
	workRate        float64 // work a second, for each unit of weight, that workers do for this dispatcher
	lowRuntimeRatio float64 // runtime ratio of the fastest workers, 1 at most
}

// observe updates the mean work from a request whose running time could be
// estimated. Others must not count: by a mean over requests of no known work, all
// dispatchers that started with a release overloaded its cold workers together.
func (e *workEstimates) observe(r *request) {
	if r.class.samples > 0 || r.RuntimeHint > 0 {
		e.knownRequests++
		e.meanKnownWork += (r.work - e.meanKnownWork) * max(meanGain, 1/e.knownRequests)
	}
}

// expected returns the mean work, in slot seconds, of requests whose running
// time could be estimated, or assumedWork while there were none.
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

// endRound takes the work of a round into the rate, over the weight of the workers that
// this dispatcher sends to.
func (e *workEstimates) endRound(weight float64) {
	e.workRate += 0.05 * (e.roundWork/roundInterval.Seconds()/weight - e.workRate)
	e.roundWork = 0
}

// reportTTL returns how long a report holds: slots change hands as requests end.
func (e *workEstimates) reportTTL() time.Duration { return seconds(reportTTLFraction * e.meanWork) }
