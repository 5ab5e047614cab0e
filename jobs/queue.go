package jobs

import (
	"math"
	"time"

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
	waiting     *btree.BTreeG[*unit] // by deadline
	wanted      float64              // parts of a worker that wait
	stuck       float64              // of these, what no worker could take now if it were empty
	held        float64              // parts of workers that its runs hold
	local       float64              // the local share
	sigma       float64              // the admission limit on held
	served      float64              // EWMA of held while work waits
	floor       float64              // its own share of all room
	limit       float64              // what it may hold in this turn: sigma, or less where room is kept for others
	deficit     admission.Deficit
	usual       float64 // EWMA of the logarithm of a task's run time in seconds
	bias        float64 // EWMA of the logarithm of a task's run time over its estimate
	ends        int64   // that the two were learned from
	jobs        uint64
	shares      map[string]admission.Share // alpha, by worker
	removed     bool                       // no configuration has it any more
	unended     int                        // jobs that have not ended
	unbegun     int                        // of these, jobs of which no task has begun
	next        *unit                      // where the next pass goes on, if not with the first unit
	overdueNext *unit                      // where the next look for what is overdue goes on
}

// unit is what waits of one step in one time: its tasks are alike. A gang leaves as a whole.
type unit struct {
	job      *Job
	time     *Time
	stage    int
	queue    *Queue
	tasks    []int // indexes of waiting tasks
	deadline time.Duration
	order    uint64 // between equal deadlines
	since    time.Duration
	gang     bool
	prospect prospect // as of the last round
}

func lessUnit(a, b *unit) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.order < b.order
}

func newQueue(c QueueConfig) *Queue {
	return &Queue{
		QueueConfig: c,
		waiting:     btree.NewG(8, lessUnit),
		local:       1, sigma: 1,
		shares: map[string]admission.Share{},
	}
}

const (
	shareGain = 1.0 / 128 // weight of one start in alpha
	quantileQ = 0.5       // of the learned limits over the workers that a queue used
	rampStep  = 0.2       // of the unused limit, by which a local share ramps in a round
)

// use notes a start at a worker.
func (q *Queue) use(w *Worker) {
	q.jobs++
	q.shares[w.Ref] = q.shares[w.Ref].Add(q.jobs, shareGain)
}

// quantile returns Q(sigma_d/alpha_d, q) over the workers that the queue used.
func (q *Queue) quantile(workers map[string]*Worker, scratch []float64) float64 {
	n := float64(max(1, len(workers)))
	jobs := min(float64(q.jobs), 1/shareGain)
	values := scratch[:0]
	for ref, share := range q.shares {
		w := workers[ref]
		if w == nil || w.State != Ready {
			continue
		}
		values = append(values, w.limit()/admission.Smoothed(share.Now(q.jobs, shareGain), jobs, n))
	}
	return admission.Quantile(values, quantileQ)
}

// learn takes the run time of a task that ended well.
func (q *Queue) learn(took, estimate time.Duration) {
	q.ends++
	gain := max(runTimeGain, 1/float64(q.ends))
	seconds := max(took.Seconds(), 0.001)
	q.usual += gain * (math.Log(seconds) - q.usual)
	q.bias += gain * (math.Log(seconds/max(estimate.Seconds(), 0.001)) - q.bias)
}

// expected returns how long a task of a step is expected to run: the geometric mean of what its queue's
// tasks usually take and of its corrected estimate, since guesses of a task and means of a queue err apart.
func (q *Queue) expected(s *Stage) time.Duration {
	estimate := float64(s.EstimateMS) / 1000
	if q.ends < learnedAfter || estimate <= 0 {
		return time.Duration(s.EstimateMS) * time.Millisecond
	}
	corrected := math.Log(estimate) + q.bias
	return time.Duration(math.Exp((q.usual+corrected)/2) * float64(time.Second))
}

// learnedAfter is the number of ends from which on a queue's usual run time counts.
const learnedAfter = 8

// shareOf is a queue's weight beside others, by its priority; 0 comes first.
func shareOf(priority int64) float64 {
	weight := 1.0
	for range min(priority, 6) {
		weight /= priorityStep
	}
	return weight
}

// priorityStep is how much more a queue weighs than one of the next lower priority.
const priorityStep = 8

// endRound is the admission round over all queues: sigma = min(local share, Q(sigma_d/alpha_d, q)).
func (b *Book) endRound(now time.Duration) {
	limit, held := 0.0, 0.0
	for _, w := range b.workers {
		w.endRound()
		if w.State == Ready {
			limit += w.limit()
			held += w.held
		}
	}
	claimants := b.claimants[:0]
	demand, weights := 0.0, 0.0
	for _, q := range b.order {
		weights += shareOf(q.Priority)
		demand += q.want()
	}
	for _, q := range b.order {
		claimants = append(claimants, admission.Claimant{Want: q.want(), Share: shareOf(q.Priority) / weights})
	}
	b.claimants = claimants
	urgent := 0.0
	for i, q := range b.order {
		q.floor = limit * claimants[i].Share
		if q.Priority == 0 {
			urgent += claimants[i].Want
		}
	}
	b.headroom.endRound(urgent, limit)
	level := 0.0
	if demand > limit {
		level = admission.FairLevel(claimants, limit)
	}
	unused := max(0, limit-held)
	for i, q := range b.order {
		q.local = admission.LocalShare(q.local, claimants[i], demand, limit, level, rampStep)
		learned := q.quantile(b.workers, b.scratch)
		if unused > idlePart*limit { // what others claim and cannot use is not kept for them
			ramped := q.held + rampStep*unused
			q.local = max(q.local, ramped)
			learned = max(learned, ramped)
		}
		q.sigma = min(q.local, learned)
		b.triage(now, q, limit)
	}
}

// want is what a queue could use: what it holds, and what waits and could be placed.
func (q *Queue) want() float64 { return q.held + max(0, q.wanted-q.stuck) }

// idlePart is the unused part of the limit from which on every queue's local share ramps.
const idlePart = 0.25
