package sedgevale

// Classes with what was learned of them, and the estimates that decisions are made of.

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

// slack returns how many seconds a request of the class can wait when it arrives.
func (c *class) slack() float64 {
	return c.LatencyTarget.Seconds() + c.TargetStretch*c.meanRuntime - c.meanCompletion
}

// observeWork updates the mean work from a request whose running time could be
// estimated. Others must not count: by a mean over requests of no known work, all
// dispatchers that started with a release overloaded its cold workers together.
func (d *Dispatcher) observeWork(r *request) {
	if r.class.samples > 0 || r.RuntimeHint > 0 {
		d.knownRequests++
		d.meanKnownWork += (r.work - d.meanKnownWork) * max(meanGain, 1/d.knownRequests)
	}
}

// expectedWork returns the mean work, in slot seconds, of requests whose running
// time could be estimated. While there were none it goes by the settings: a class's
// running time is taken to be like its latency target.
func (d *Dispatcher) expectedWork() float64 {
	if d.knownRequests > 0 {
		return d.meanKnownWork
	}
	sum := 0.0
	for _, c := range d.classes {
		sum += c.LatencyTarget.Seconds()
	}
	return sum / float64(len(d.classes))
}

// expectedWorkOf returns the request's work, or the expected work while its running
// time cannot be estimated.
func (d *Dispatcher) expectedWorkOf(r *request) float64 {
	if r.class.samples > 0 || r.RuntimeHint > 0 {
		return r.work
	}
	return r.Slots * d.expectedWork()
}

// secondLowestRuntimeRatio returns the runtime ratio of the second fastest active
// worker, 1 at most: a request takes at least that much of its class's mean running
// time.
func (d *Dispatcher) secondLowestRuntimeRatio() float64 {
	first, second := 1.0, 1.0
	for _, w := range d.workers {
		if w == nil || w.State != Active || w.runtimeRatio >= second {
			continue
		}
		if second = w.runtimeRatio; w.runtimeRatio < first {
			first, second = w.runtimeRatio, first
		}
	}
	return second
}
