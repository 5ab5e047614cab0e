package jobs

import "time"

// minExtrapolationPercent is the reported progress from which a run's remaining time is extrapolated.
const minExtrapolationPercent = 10

// stopRunsBeforeDrain stops the runs of a draining or departed worker that are not expected to end before its drain deadline.
// Their tasks resume on other workers, from their checkpoints if they have any.
func (s *Scheduler) stopRunsBeforeDrain(now time.Duration, w *Worker) {
	for _, run := range w.Runs {
		if run.stopping || run.job == nil || run.job.hasEnded() || run.queue == nil {
			continue
		}
		if run.job.isLongRunning(run.position.stage) || now+run.remainingTime(now) > w.DrainDeadline {
			run.stop()
		}
	}
}

// remainingTime returns the expected remaining run time.
func (r *Run) remainingTime(now time.Duration) time.Duration {
	expected := r.queue.expectedRunTime(r.spec())
	if r.runningSince == 0 {
		return expected
	}
	elapsed := now - r.runningSince
	if r.percent >= minExtrapolationPercent {
		return elapsed * time.Duration(100-r.percent) / time.Duration(r.percent)
	}
	return max(expected-elapsed, expected/4)
}
