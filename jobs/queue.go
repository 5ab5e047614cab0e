package jobs

import (
	"github.com/google/btree"

	"sedgevale/admission"
)

// QueueConfig is what the configuration says of a queue. Times are in milliseconds.
type QueueConfig struct {
	Name            string
	Priority        int64
	Retries         int64
	Extension       float64
	TargetLatencyMS float64
}

// Queue holds the work of one route and what was learned for it.
type Queue struct {
	QueueConfig
	pending             *btree.BTreeG[*taskGroup] // by deadline
	pendingDemand       float64                   // parts of a worker that wait
	unschedulableDemand float64                   // of these, what no worker could take now if it were empty
	allocated           float64                   // parts of workers that its runs hold
	localShare          float64                   // the local share
	limit               float64                   // the admission limit on held
	meanAllocated       float64                   // EWMA of held while work waits
	guaranteed          float64                   // its own share of all room
	turnLimit           float64                   // what it may hold in this turn: sigma, or less where room is kept for others
	deficit             admission.Deficit
	meanLogRunTime      float64 // EWMA of the logarithm of a task's run time in seconds
	meanLogBias         float64 // EWMA of the logarithm of a task's run time over its estimate
	completions         int64   // that the two were learned from
	starts              uint64
	workerShares        map[string]admission.Share // alpha, by worker
	removed             bool                       // no configuration has it any more
	activeJobs          int                        // jobs that have not ended
	pendingJobs         int                        // of these, jobs of which no task has begun
	resumeAt            *taskGroup                 // where the next pass goes on, if not with the first unit
	overdueResumeAt     *taskGroup                 // where the next look for what is overdue goes on
}

func newQueue(c QueueConfig) *Queue {
	return &Queue{
		QueueConfig: c,
		pending:     btree.NewG(8, lessGroup),
		localShare:  1, limit: 1,
		workerShares: map[string]admission.Share{},
	}
}

// demand is what a queue could use: what it holds, and what waits and could be placed.
func (q *Queue) demand() float64 { return q.allocated + max(0, q.pendingDemand-q.unschedulableDemand) }

const (
	shareGain     = 1.0 / 128 // weight of one start in alpha
	limitQuantile = 0.5       // of the learned limits over the workers that a queue used
	rampStep      = 0.2       // of the unused limit, by which a local share ramps in a round
)

// countStart notes a start at a worker.
func (q *Queue) countStart(w *Worker) {
	q.starts++
	q.workerShares[w.Ref] = q.workerShares[w.Ref].Add(q.starts, shareGain)
}

// learnedLimit returns Q(sigma_d/alpha_d, q) over the workers that the queue used.
func (q *Queue) learnedLimit(workers map[string]*Worker, scratch []float64) float64 {
	n := float64(max(1, len(workers)))
	jobs := min(float64(q.starts), 1/shareGain)
	values := scratch[:0]
	for ref, share := range q.workerShares {
		w := workers[ref]
		if w == nil || w.State != Ready {
			continue
		}
		values = append(values, w.allocationLimit()/admission.Smoothed(share.Now(q.starts, shareGain), jobs, n))
	}
	return admission.Quantile(values, limitQuantile)
}
