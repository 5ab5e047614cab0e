package dispatcher

import "time"

// Classes of requests, with what was learned of them.

const (
	completionDecay = 0.02 // by which a round draws a mean completion time towards the running time
)

// class is a class of requests and what was learned of it. Requests point to it: it
// stays as it is for those in flight when the settings change.
type class struct {
	Class
	index          int // in tenant.pendingWork and Dispatcher.classesInUse
	pool           *pool
	meanRuntime    float64 // seconds
	baseRuntime    float64 // seconds, over long, and rather low: latency targets grow by it
	meanHint       float64 // seconds, of the same requests as meanRuntime
	meanCompletion float64 // seconds from send to answer
	samples        float64 // answers that the means are made of
	inFlight       int     // attempts that are counted as in flight
}

// classSet is the classes of the settings, and former ones.
type classSet struct {
	current []*class // by the settings' index
	inUse   []*class // those, and former ones that requests in flight still have
}

// longestTimeout returns how long the most patient clients wait.
func (s *classSet) longestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.inUse {
		longest = max(longest, c.ClientTimeout)
	}
	return longest
}

// meanLatencyTarget returns the mean over the settings' classes, in seconds.
func (s *classSet) meanLatencyTarget() float64 {
	sum := 0.0
	for _, c := range s.current {
		sum += c.LatencyTarget.Seconds()
	}
	return sum / float64(len(s.current))
}

// decayCompletions draws the mean completion times towards the running times, a round.
func (s *classSet) decayCompletions() {
	for _, c := range s.inUse {
		c.meanCompletion += completionDecay * min(0, c.meanRuntime-c.meanCompletion)
	}
}

// slack returns how many seconds a request of the class can wait when it arrives.
func (c *class) slack() float64 {
	return c.LatencyTarget.Seconds() + c.TargetStretch*c.meanRuntime - c.meanCompletion
}

// mayRepeatAt reports whether the worker may get the request again though the attempt
// may have run: always if the class is idempotent; if it is idempotent by key, while
// the worker still drops the repeat.
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
