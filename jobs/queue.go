package jobs

import (
	"github.com/google/btree"

	"sedgevale/admission"
)

// QueueConfig is the configuration of a queue.
type QueueConfig struct {
	Name            string
	Priority        int64   // 0 is the highest priority
	Retries         int64   // number of failures of one task at which its job fails, at least 1
	Extension       float64 // factor applied to the expected run time when computing deadlines
	TargetLatencyMS float64
}

// Queue holds the pending task groups of one route and the statistics of its tasks. Shares, demands and limits are measured in
// workers: 1 is the capacity of one worker.
type Queue struct {
	QueueConfig
	removed     bool // the queue is not in the current configuration
	activeJobs  int  // number of jobs that have not ended
	pendingJobs int  // number of active jobs of which no task has ever run

	pending             *btree.BTreeG[*taskGroup] // sorted by deadline
	pendingDemand       float64                   // demand of all pending tasks
	unschedulableDemand float64                   // demand of pending tasks without a feasible worker in the last cycle
	resumeAt            *taskGroup                // group at which the next turn resumes; nil for the first group
	overdueResumeAt     *taskGroup                // group at which the next overdue scan resumes; nil for the first group
	triages             int                       // number of triages so far
	lastTriaged         *taskGroup                // last group that the latest triage covered; nil if it covered all groups
	overloaded          bool                      // the latest triage deferred a group

	allocated     float64           // sum of the shares of the queue's runs
	meanAllocated float64           // EWMA of allocated while tasks are pending
	localShare    float64           // fair share of the capacity, raised gradually
	limit         float64           // admission limit on allocated
	turnLimit     float64           // limit reduced by the headroom, as of the queue's last turn
	guaranteed    float64           // share of the capacity by weight, below which the headroom does not reduce the limit
	deficit       admission.Deficit // scheduling credit in core-seconds

	meanLogRunTime float64                    // EWMA of the logarithm of the run time in seconds
	meanLogBias    float64                    // EWMA of the logarithm of the ratio of run time to estimate
	completions    int64                      // number of runs in the two means
	starts         uint64                     // number of assignments so far
	workerShares   map[string]admission.Share // fraction of the queue's assignments by worker Ref
}

func newQueue(c QueueConfig) *Queue {
	return &Queue{
		QueueConfig: c,
		pending:     btree.NewG(8, lessGroup),
		localShare:  1, limit: 1,
		workerShares: map[string]admission.Share{},
	}
}

// demand returns the capacity that the queue could use: its allocation plus its schedulable pending demand.
func (q *Queue) demand() float64 { return q.allocated + max(0, q.pendingDemand-q.unschedulableDemand) }

const (
	shareGain     = 1.0 / 128 // EWMA weight of one assignment in a worker's share
	limitQuantile = 0.5       // quantile of the per-worker limits that is the queue's learned limit
)

// countStart updates the workers' shares of the queue's assignments after an assignment to w.
func (q *Queue) countStart(w *Worker) {
	q.starts++
	q.workerShares[w.Ref] = q.workerShares[w.Ref].AddJob(q.starts, shareGain)
}

// learnedLimit returns the allocation of the queue at which a typical worker that it uses reaches its own limit. For each ready
// worker, that allocation is the worker's limit divided by its share of the queue's assignments; the result is the
// limitQuantile over these workers. It reuses buffer for the values.
func (q *Queue) learnedLimit(workers map[string]*Worker, buffer []float64) float64 {
	n := float64(max(1, len(workers)))
	window := min(float64(q.starts), 1/shareGain)
	values := buffer[:0]
	for ref, share := range q.workerShares {
		w := workers[ref]
		if w == nil || w.State != Ready {
			continue
		}
		values = append(values, w.allocationLimit()/admission.SmoothedShare(share.DecayedTo(q.starts, shareGain), window, n))
	}
	return admission.Quantile(values, limitQuantile)
}

// limitFor returns the limit on the queue's allocation that applies to a group. The headroom does not restrict long-running
// tasks, because each of them must run all the time and there are few.
func (q *Queue) limitFor(group *taskGroup) float64 {
	if group.isLongRunning() {
		return q.limit
	}
	return q.turnLimit
}

// isAtLimit reports whether the queue's limit prevents the placement of a group's tasks. A queue without runs may always start
// one.
func (q *Queue) isAtLimit(group *taskGroup) bool {
	return q.allocated >= q.limitFor(group) && q.allocated > 0
}
