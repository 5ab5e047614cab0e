package jobs

import (
	"math"
	"time"
)

// minCompletions is the number of ends from which on a queue's usual run time counts.
const minCompletions = 8

// learnRunTime takes the run time of a task that ended well.
func (q *Queue) learnRunTime(took, estimate time.Duration) {
	q.completions++
	gain := max(runTimeGain, 1/float64(q.completions))
	seconds := max(took.Seconds(), 0.001)
	q.meanLogRunTime += gain * (math.Log(seconds) - q.meanLogRunTime)
	q.meanLogBias += gain * (math.Log(seconds/max(estimate.Seconds(), 0.001)) - q.meanLogBias)
}

// expectedRunTime returns how long a task of a step is expected to run: the geometric mean of what its queue's
// tasks usually take and of its corrected estimate, since guesses of a task and means of a queue err apart.
func (q *Queue) expectedRunTime(s *Stage) time.Duration {
	estimate := float64(s.EstimateMS) / 1000
	if q.completions < minCompletions || estimate <= 0 {
		return time.Duration(s.EstimateMS) * time.Millisecond
	}
	corrected := math.Log(estimate) + q.meanLogBias
	return time.Duration(math.Exp((q.meanLogRunTime+corrected)/2) * float64(time.Second))
}

// estimatedWork is the estimated work of a task, in core-seconds.
func (s *Book) estimatedWork(group *taskGroup) float64 {
	stage := &group.job.Spec.Stages[group.stage]
	cores := float64(stage.CPU)/1000 + coresPerGPU*float64(stage.GPU)
	return cores * group.queue.expectedRunTime(stage).Seconds()
}
