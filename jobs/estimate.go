package jobs

import (
	"math"
	"time"
)

const (
	runTimeGain    = 0.05  // minimum weight of one run in the means
	minCompletions = 8     // number of runs from which the means are used
	minRunSeconds  = 0.001 // lower bound on run times in logarithms and ratios
)

// observeRunTime updates the queue's means with the run time and the estimate of a task that succeeded.
func (q *Queue) observeRunTime(runTime, estimate time.Duration) {
	q.completions++
	gain := max(runTimeGain, 1/float64(q.completions))
	seconds := max(runTime.Seconds(), minRunSeconds)
	q.meanLogRunTime += gain * (math.Log(seconds) - q.meanLogRunTime)
	q.meanLogBias += gain * (math.Log(seconds/max(estimate.Seconds(), minRunSeconds)) - q.meanLogBias)
}

// expectedRunTime returns the expected run time of a task of the stage: the geometric mean of the queue's mean run time and the
// task's own estimate corrected by the queue's mean bias. Averaging helps because the errors of the two are nearly independent.
func (q *Queue) expectedRunTime(s *Stage) time.Duration {
	estimate := float64(s.EstimateMS) / 1000
	if q.completions < minCompletions || estimate <= 0 {
		return time.Duration(s.EstimateMS) * time.Millisecond
	}
	corrected := math.Log(estimate) + q.meanLogBias
	return time.Duration(math.Exp((q.meanLogRunTime+corrected)/2) * float64(time.Second))
}

// coresPerGPU is the number of cores that one accelerator counts as in estimated work.
const coresPerGPU = 8

// estimatedWork returns the expected work of one of the group's tasks, in core-seconds.
func (g *taskGroup) estimatedWork() float64 {
	stage := g.spec()
	cores := float64(stage.CPU)/1000 + coresPerGPU*float64(stage.GPU)
	return cores * g.queue.expectedRunTime(stage).Seconds()
}
