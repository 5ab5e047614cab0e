package jobs

import "time"

// Tick is the round: times that became due, workers that are surely gone, and the limits of admission.
func (s *Book) Tick(now time.Duration, wallMS int64) {
	for _, job := range s.delayed {
		s.startDueOccurrences(now, wallMS, job)
	}
	for _, w := range s.workers {
		w.failureRate *= failureRateDecay
		if silent := now-w.lastReport >= agentTimeout; silent != w.agentTimedOut {
			w.agentTimedOut = silent
			if silent && w.State == Ready {
				w.cutLimit()
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
}

// expireWorker ends all runs of a worker whose hold has surely run out.
func (s *Book) expireWorker(now time.Duration, w *Worker) {
	for key := range w.Runs {
		s.completeRun(now, w, key, "lapsed", "")
	}
	w.setState(Lapsed)
	s.readyStale = true
}
