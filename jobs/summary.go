package jobs

import (
	"math"
	"sort"
)

// QueueSummary is how a queue stands. Held and Wanted are in parts of workers.
type QueueSummary struct {
	Name     string
	Priority int64
	Unended  int64   // jobs that have not ended
	Pending  int64   // of these, jobs of which no task has begun
	Held     float64 // by what runs
	Wanted   float64 // by what waits
	Sigma    float64 // the admission limit on Held
	UsualMS  float64 // usual run time of a task
}

// WorkerSummary is how a worker stands.
type WorkerSummary struct {
	Ref     string
	State   string
	Runs    int64
	Held    float64 // part of it that runs take
	Sigma   float64 // learned limit on Held
	Failing float64 // share of runs that failed lately
	Pace    float64 // run time over the usual
	Free    Resources
}

// Summary tells how all queues and workers stand, for operators.
func (s *Book) Summary() ([]QueueSummary, []WorkerSummary) {
	var queues []QueueSummary
	for _, q := range s.queueOrder {
		queues = append(queues, QueueSummary{
			Name: q.Name, Priority: q.Priority, Unended: int64(q.activeJobs), Pending: int64(q.pendingJobs),
			Held: q.allocated, Wanted: q.pendingDemand, Sigma: q.limit,
			UsualMS: 1000 * math.Exp(q.meanLogRunTime),
		})
	}
	var workers []WorkerSummary
	for _, w := range s.workers {
		workers = append(workers, WorkerSummary{
			Ref: w.Ref, State: string(w.State), Runs: int64(len(w.Runs)), Held: w.allocated, Sigma: w.loadLimit, Failing: w.failureRate,
			Pace: w.slowdown, Free: w.freeCapacity(),
		})
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].Ref < workers[j].Ref })
	return queues, workers
}
