package jobs

import (
	"math"
	"sort"
)

// QueueSummary is the state of a queue for operators. It is sent as Avro, read by the order of the fields.
type QueueSummary struct {
	Name     string
	Priority int64
	Unended  int64   // jobs that have not ended
	Pending  int64   // of these, jobs of which no task ever ran
	Held     float64 // sum of the shares of its runs, in workers
	Wanted   float64 // demand of its pending tasks, in workers
	Sigma    float64 // the admission limit on the shares of its runs
	UsualMS  float64 // mean run time of a task (geometric)
}

// WorkerSummary is the state of a worker for operators. It is sent as Avro, read by the order of the fields.
type WorkerSummary struct {
	Ref     string // WorkerRef
	State   string // a WorkerState
	Runs    int64
	Held    float64 // sum of the shares of its runs
	Sigma   float64 // learned limit on its load, in (0, 1]
	Failing float64 // EWMA of failures among finished runs
	Pace    float64 // EWMA of run time over expected run time
	Free    Resources
}

// Summary returns the state of all queues by priority and of all workers by Ref.
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
