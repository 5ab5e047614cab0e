package jobs

import "time"

// evacuate stops the runs of a worker that is to leave which would not end before. They go on elsewhere, from
// their checkpoints where they have any.
func (s *Book) evacuate(now time.Duration, w *Worker) {
	for _, run := range w.Runs {
		if run.stopping || run.job == nil || run.job.hasEnded() || run.queue == nil {
			continue
		}
		if run.job.isLongRunning(run.position.stage) || now+s.remainingTime(now, run) > w.DrainDeadline {
			run.stopping = true
			run.lastSent = 0
		}
	}
}

// remainingTime is how long a run may still take.
func (s *Book) remainingTime(now time.Duration, run *Run) time.Duration {
	usual := run.queue.expectedRunTime(&run.job.Spec.Stages[run.position.stage])
	if run.runningSince == 0 {
		return usual
	}
	elapsed := now - run.runningSince
	if run.percent >= minTrustedPercent {
		return elapsed * time.Duration(100-run.percent) / time.Duration(run.percent)
	}
	return max(usual-elapsed, usual/4)
}
