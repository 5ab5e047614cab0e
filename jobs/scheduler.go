package jobs

import (
	"math/rand/v2"
	"sort"
	"time"

	"sedgevale/admission"
)

// Options are the settings of a scheduler.
type Options struct {
	// LeaseTimeout is the time since the last report of a worker's agent after which the leases of all its runs have
	// certainly expired: the agent's own lease, the longest run lease on a clock that runs slow, and a margin.
	LeaseTimeout time.Duration
	// EndedJobTTL is how long the state of a job can be queried after the job has ended.
	EndedJobTTL time.Duration
	// RemoteSlowdown is the factor by which a task runs longer outside the rack of its data.
	RemoteSlowdown float64
}

// Scheduler is the scheduler of one shard: its jobs, queues and workers, and all decisions about them. It is not safe for
// concurrent use. Times are offsets on the owner's monotonic clock, except wallMS, which is Unix time in milliseconds.
type Scheduler struct {
	options Options
	random  *rand.Rand

	jobs         map[string]*Job // by ID; ended ones until their TTL is over
	queues       map[string]*Queue
	queueOrder   []*Queue           // by priority, then name
	workers      map[string]*Worker // by Ref
	meanCapacity Resources          // mean over the ready workers
	delayed      map[string]*Job    // jobs with occurrences that are not due yet
	ended        []*Job             // in the order of their ends

	// What changed since the last Flush, and what waits for changes to be committed.
	dirtyJobs          []*Job
	deletedKeys        []string
	newSpecs           []Change
	newEffects         []func()
	unconfirmedEffects []durableEffect // by sequence

	groupSequence  uint64                        // of the last task group
	workersByAgent map[string]map[string]*Worker // by the agent's address and Ref

	// The ready workers, listed anew by refreshReady.
	readyWorkers   []*Worker
	leastAllocated []*Worker // the same, least allocated first; built on demand
	meanAllocated  float64   // mean of their allocated shares
	readyListedAt  time.Duration
	readyStale     bool

	needsCycle     bool                     // a task may have become schedulable since the last cycle
	reservations   map[*Worker]*reservation // of the last cycle
	overdueCycle   bool                     // the next cycle places overdue groups
	overdueQueue   int                      // index into queueOrder, modulo its length, at which the overdue scan resumes
	nextPreemption time.Duration            // not before then
	headroom       headroom

	// Buffers of updateLimits.
	claimants []admission.Claimant
	scratch   []float64
}

// New returns a scheduler without jobs, queues and workers. All its random draws come from random.
func New(options Options, random *rand.Rand) *Scheduler {
	return &Scheduler{
		options: options, random: random,
		jobs: map[string]*Job{}, queues: map[string]*Queue{}, workers: map[string]*Worker{}, delayed: map[string]*Job{},
		workersByAgent: map[string]map[string]*Worker{}, readyStale: true,
	}
}

// Configure replaces the queues by those of a configuration. A queue that was removed accepts no more jobs; its present
// jobs still run.
func (s *Scheduler) Configure(configs []QueueConfig) {
	for _, q := range s.queues {
		q.removed = true
	}
	for _, c := range configs {
		q := s.queue(c.Name)
		q.QueueConfig = c
		q.removed = false
	}
	for name, q := range s.queues {
		if q.removed && q.activeJobs == 0 && q.allocated == 0 {
			delete(s.queues, name)
		}
	}
	s.queueOrder = s.queueOrder[:0]
	for _, q := range s.queues {
		s.queueOrder = append(s.queueOrder, q)
	}
	sort.Slice(s.queueOrder, func(i, j int) bool {
		if s.queueOrder[i].Priority != s.queueOrder[j].Priority {
			return s.queueOrder[i].Priority < s.queueOrder[j].Priority
		}
		return s.queueOrder[i].Name < s.queueOrder[j].Name
	})
	s.needsCycle = true
}

// queue returns the queue of a name. One that no configuration names belongs to jobs that were accepted under an earlier
// configuration; it is created with conservative settings and marked as removed.
func (s *Scheduler) queue(name string) *Queue {
	q := s.queues[name]
	if q == nil {
		q = newQueue(QueueConfig{Name: name, Priority: 3, Retries: 3, Extension: 2, TargetLatencyMS: 3000})
		q.removed = true
		s.queues[name] = q
		s.queueOrder = append(s.queueOrder, q)
	}
	return q
}

// HasQueue reports whether the present configuration has a queue.
func (s *Scheduler) HasQueue(queue string) bool {
	q := s.queues[queue]
	return q != nil && !q.removed
}

// Worker returns the worker with a Ref, or nil.
func (s *Scheduler) Worker(ref string) *Worker { return s.workers[ref] }
