package jobs

import "time"

// minTrustedPercent is the progress from which on a run's end is extrapolated.
const minTrustedPercent = 10

// evacuate stops those runs of a worker that would not end before it leaves. They resume elsewhere, from their checkpoints if
// they have any.
func (s *Scheduler) evacuate(now time.Duration, w *Worker) {
	for _, run := range w.Runs {
		if run.stopping || run.job == nil || run.job.hasEnded() || run.queue == nil {
			continue
		}
		if run.job.isLongRunning(run.position.stage) || now+run.remainingTime(now) > w.DrainDeadline {
			run.stop()
		}
	}
}

// remainingTime estimates how long the run may still take.
func (r *Run) remainingTime(now time.Duration) time.Duration {
	expected := r.queue.expectedRunTime(r.spec())
	if r.runningSince == 0 {
		return expected
	}
	elapsed := now - r.runningSince
	if r.percent >= minTrustedPercent {
		return elapsed * time.Duration(100-r.percent) / time.Duration(r.percent)
	}
	return max(expected-elapsed, expected/4)
}
