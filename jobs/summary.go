package jobs

import (
	"math"
	"sort"
)

// QueueSummary is the state of a queue as shown to operators. It is encoded as Avro and read by field order.
type QueueSummary struct {
	Name          string
	Priority      int64
	Active        int64   // number of jobs that have not ended
	Pending       int64   // number of active jobs of which no task has ever run
	Allocated     float64 // sum of the shares of the queue's runs, in workers
	PendingDemand float64 // demand of the pending tasks, in workers
	Limit         float64 // admission limit on Allocated, in workers
	MeanRunMS     float64 // geometric mean of the run times
}

// WorkerSummary is the state of a worker as shown to operators. It is encoded as Avro and read by field order.
type WorkerSummary struct {
	Ref         string    // unique name, see WorkerRef
	State       string    // the worker's WorkerState
	Runs        int64     // number of assigned runs
	Allocated   float64   // sum of the shares of the worker's runs
	LoadLimit   float64   // learned limit on the load, in (0, 1]
	FailureRate float64   // EWMA of the fraction of finished runs that failed, decayed per tick
	Slowdown    float64   // EWMA of the ratio of run time to expected run time
	Free        Resources // capacity that is not used by runs
}

// Summary returns the state of all queues, sorted by priority and name, and of all workers, sorted by Ref.
func (s *Scheduler) Summary() ([]QueueSummary, []WorkerSummary) {
	var queues []QueueSummary
	for _, q := range s.queueOrder {
		queues = append(queues, QueueSummary{
			Name: q.Name, Priority: q.Priority, Active: int64(q.activeJobs), Pending: int64(q.pendingJobs),
			Allocated: q.allocated, PendingDemand: q.pendingDemand, Limit: q.limit,
			MeanRunMS: 1000 * math.Exp(q.meanLogRunTime),
		})
	}
	var workers []WorkerSummary
	for _, w := range s.workers {
		workers = append(workers, WorkerSummary{
			Ref: w.Ref, State: string(w.State), Runs: int64(len(w.Runs)), Allocated: w.allocated, LoadLimit: w.loadLimit, FailureRate: w.failureRate,
			Slowdown: w.slowdown, Free: w.freeCapacity(),
		})
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].Ref < workers[j].Ref })
	return queues, workers
}
