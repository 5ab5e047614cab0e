package dispatcher

import "time"

// This file measures how often load reports change.

const (
	minMeteredSeconds       = 0.6 // seconds of metering before reports can count as timely
	meterIntervalRounds     = 32  // rounds between two measurements after that
	maxReportChangeMultiple = 2.0 // maximum time between changes of a timely report, in multiples of the mean work
)

// reportMeter learns how often load reports change, by probing one worker in two
// consecutive rounds.
type reportMeter struct {
	worker  *worker
	seconds float64 // decayed sum of the times between two probes, in seconds
	changes float64 // decayed count of changed reports in that time
}

// due reports whether to probe a worker in this round: in every round at first, later in
// two rounds of every meterIntervalRounds.
func (m *reportMeter) due(round int64) bool {
	return m.seconds <= minMeteredSeconds || round%meterIntervalRounds <= 1
}

// observe records the second report of a worker and whether it differs from the first.
func (m *reportMeter) observe(since time.Duration, changed bool) {
	m.seconds = m.seconds*(1-meanGain) + since.Seconds()
	m.changes *= 1 - meanGain
	if changed {
		m.changes++
	}
}

// timely reports whether load reports change often enough to be used for placement. All
// dispatchers that see the same outdated free slot would send there at once. The rate of
// change is measured because no setting provides it.
func (m *reportMeter) timely(meanWork float64) bool {
	return m.seconds >= minMeteredSeconds && m.seconds < maxReportChangeMultiple*meanWork*m.changes
}
