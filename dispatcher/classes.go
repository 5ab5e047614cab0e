package dispatcher

import "time"

// This file holds the classes of requests and their learned running times.

const (
	completionDecay = 0.02 // fraction by which a round moves a mean completion time towards the mean running time
)

// class is a class of requests with its learned state. Requests in flight keep their
// class when the settings change.
type class struct {
	Class
	index          int // index into tenant.pendingWork and classSet.inUse
	pool           *pool
	meanRuntime    float64 // mean running time, in seconds
	baseRuntime    float64 // long-term low estimate of the running time, in seconds, which extends latency targets
	meanHint       float64 // mean runtime hint of the requests in meanRuntime, in seconds
	meanCompletion float64 // mean time from send to response, in seconds
	samples        float64 // number of responses in the means
	inFlight       int     // number of attempts that are counted as in flight
}

// classSet holds the classes of the current settings, and removed classes that requests
// in flight still use.
type classSet struct {
	current []*class // classes by index in the settings
	inUse   []*class // current classes and removed ones in use
}

// longestTimeout returns the longest client timeout of all classes in use.
func (s *classSet) longestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.inUse {
		longest = max(longest, c.ClientTimeout)
	}
	return longest
}

// meanLatencyTarget returns the mean latency target of the current classes, in seconds.
func (s *classSet) meanLatencyTarget() float64 {
	sum := 0.0
	for _, c := range s.current {
		sum += c.LatencyTarget.Seconds()
	}
	return sum / float64(len(s.current))
}

// decayCompletions moves the mean completion times towards the mean running times. It is
// called once per round, so that a class whose requests are all rejected recovers.
func (s *classSet) decayCompletions() {
	for _, c := range s.inUse {
		c.meanCompletion += completionDecay * min(0, c.meanRuntime-c.meanCompletion)
	}
}

// slack returns how long a request of the class can wait on arrival, in seconds.
func (c *class) slack() float64 {
	return c.LatencyTarget.Seconds() + c.TargetStretch*c.meanRuntime - c.meanCompletion
}

// mayRepeatAt reports whether the request may be sent to the worker although the attempt
// may have run: always if the class is idempotent, and as long as the worker deduplicates
// the repeat if it is idempotent by key.
func (c *class) mayRepeatAt(now time.Duration, a *attempt, w *worker) bool {
	switch c.Idempotency {
	case Idempotent:
		return true
	case NotIdempotent:
		return false
	}
	sameGroup := c.DedupScope == DedupAll || c.DedupScope == DedupZone && a.worker.Zone == w.Zone ||
		c.DedupScope == DedupCell && a.worker.Cell == w.Cell
	return sameGroup && now < a.sentAt+c.DedupWindow-min(roundInterval, c.DedupWindow/8)
}
