package dispatcher

import "time"

// How often reports of load change.

const (
	minMeteredSeconds   = 0.6 // of metering before it counts
	meterIntervalRounds = 32  // later a worker is metered every so many rounds
	maxReportChangeJobs = 2.0 // mean work between changes of a report, at most, for it to be timely
)

// reportMeter learns how often a worker's report changes, by probing one worker in two
// rounds in a row.
type reportMeter struct {
	worker  *worker
	seconds float64 // between such probes, summed and decayed
	changes float64 // of the report in that time
}

// due reports whether to probe a worker in a round: often at first, then every so many.
func (m *reportMeter) due(round int64) bool {
	return m.seconds <= minMeteredSeconds || round%meterIntervalRounds <= 1
}

// observe takes the report of a worker that was probed before.
func (m *reportMeter) observe(since time.Duration, changed bool) {
	m.seconds = m.seconds*(1-meanGain) + since.Seconds()
	m.changes *= 1 - meanGain
	if changed {
		m.changes++
	}
}

// timely reports whether a report changes often enough to show the next request's slot,
// not one of those before: all dispatchers that see an old free slot send there at
// once. No setting tells how often reports change.
func (m *reportMeter) timely(meanWork float64) bool {
	return m.seconds >= minMeteredSeconds && m.seconds < maxReportChangeJobs*meanWork*m.changes
}
