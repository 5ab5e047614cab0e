package jobs

import "time"

// failureRateDecay is the factor applied to a worker's failure rate per tick, so that an avoided worker is tried again.
const failureRateDecay = 0.98

// Tick performs the time-driven work: it starts due occurrences, expires workers, updates the admission limits, and forgets
// ended jobs and cancellations. The owner calls it at a fixed interval.
func (s *Scheduler) Tick(now time.Duration, wallMS int64) {
	for _, job := range s.delayed {
		s.startDueOccurrences(now, wallMS, job)
	}
	for _, w := range s.workers {
		w.failureRate *= failureRateDecay
		if timedOut := now-w.lastReport >= agentTimeout; timedOut != w.agentTimedOut {
			w.agentTimedOut = timedOut
			if timedOut && w.State == Ready {
				w.decreaseLimit()
			}
		}
		if now >= w.leaseExpiry {
			s.expireWorker(now, w)
			s.removeWorker(w)
			s.updateMeanCapacity()
		}
	}
	s.updateLimits(now)
	s.overdueCycle = true
	s.needsCycle = true
	s.deleteEndedJobs(now)
	s.forgetCancellations(now)
}

// expireWorker ends all runs of a worker whose lease is certain to have expired.
func (s *Scheduler) expireWorker(now time.Duration, w *Worker) {
	for key := range w.Runs {
		s.finishRun(now, w, key, outcomeLeaseExpired, "")
	}
	w.setState(LeaseExpired)
	s.readyStale = true
}
