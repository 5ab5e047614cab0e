package jobs

import (
	"math"
	"time"
)

const (
	runTimeGain    = 0.05  // least weight of one run in the means
	minCompletions = 8     // runs from which on the means are used
	minRunSeconds  = 0.001 // bound below for logarithms and ratios
)

// learnRunTime takes in the run time of a task that succeeded, with its estimate.
func (q *Queue) learnRunTime(took, estimate time.Duration) {
	q.completions++
	gain := max(runTimeGain, 1/float64(q.completions))
	seconds := max(took.Seconds(), minRunSeconds)
	q.meanLogRunTime += gain * (math.Log(seconds) - q.meanLogRunTime)
	q.meanLogBias += gain * (math.Log(seconds/max(estimate.Seconds(), minRunSeconds)) - q.meanLogBias)
}

// expectedRunTime returns the expected run time of a task: the geometric mean of its queue's mean run time and of its own
// estimate, corrected by the queue's mean bias. The errors of the two are nearly independent.
func (q *Queue) expectedRunTime(s *Stage) time.Duration {
	estimate := float64(s.EstimateMS) / 1000
	if q.completions < minCompletions || estimate <= 0 {
		return time.Duration(s.EstimateMS) * time.Millisecond
	}
	corrected := math.Log(estimate) + q.meanLogBias
	return time.Duration(math.Exp((q.meanLogRunTime+corrected)/2) * float64(time.Second))
}

// coresPerGPU is the number of cores that an accelerator counts as.
const coresPerGPU = 8

// estimatedWork returns the expected work of one of the group's tasks, in core-seconds.
func (g *taskGroup) estimatedWork() float64 {
	stage := g.spec()
	cores := float64(stage.CPU)/1000 + coresPerGPU*float64(stage.GPU)
	return cores * g.queue.expectedRunTime(stage).Seconds()
}
