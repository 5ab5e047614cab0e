package jobs

import (
	"math"
	"sort"
)

// QueueSummary is the state of a queue for operators. It is sent as Avro, read by the order of the fields.
type QueueSummary struct {
	Name          string
	Priority      int64
	Active        int64   // jobs that have not ended
	Pending       int64   // of these, jobs of which no task ever ran
	Allocated     float64 // sum of the shares of its runs, in workers
	PendingDemand float64 // demand of its pending tasks, in workers
	Limit         float64 // the admission limit on the shares of its runs
	MeanRunMS     float64 // mean run time of a task (geometric)
}

// WorkerSummary is the state of a worker for operators. It is sent as Avro, read by the order of the fields.
type WorkerSummary struct {
	Ref         string // WorkerRef
	State       string // a WorkerState
	Runs        int64
	Allocated   float64 // sum of the shares of its runs
	LoadLimit   float64 // learned limit on its load, in (0, 1]
	FailureRate float64 // EWMA of failures among finished runs
	Slowdown    float64 // EWMA of run time over expected run time
	Free        Resources
}

// Summary returns the state of all queues by priority and of all workers by Ref.
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
