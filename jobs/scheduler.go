package jobs

import (
	"math/rand/v2"
	"sort"
	"time"

	"sedgevale/admission"
)

// Options configures a Scheduler.
type Options struct {
	// LeaseTimeout is the time after the latest report of a worker's agent at which all run leases on the worker are certain to
	// have expired. It is the sum of the agent's own lease, the longest run lease on a slow clock, and a margin.
	LeaseTimeout time.Duration
	// EndedJobTTL is the time after the end of a job during which its state can be queried.
	EndedJobTTL time.Duration
	// RemoteSlowdown is the factor by which a task's run time increases outside the rack of its input data.
	RemoteSlowdown float64
}

// Scheduler holds the jobs, queues and workers of one shard and assigns tasks to workers. It is not safe for concurrent use.
// Times are offsets on the owner's monotonic clock, except for wallMS, which is Unix time in milliseconds.
type Scheduler struct {
	options Options
	random  *rand.Rand

	jobs         map[string]*Job    // keyed by ID; includes ended jobs until EndedJobTTL has elapsed
	queues       map[string]*Queue  // keyed by name
	queueOrder   []*Queue           // sorted by priority, then name
	workers      map[string]*Worker // keyed by Ref
	meanCapacity Resources          // mean capacity of the ready workers
	delayed      map[string]*Job    // jobs with occurrences that are not yet due, keyed by ID
	ended        []*Job             // ended jobs, in the order in which they ended
	pendingJobs  map[pendingKey]int // number of active jobs of which no task has ever run

	cancellations *cancellations // of jobs that were unknown

	// Changes since the last Flush, and callbacks that wait for commits.
	dirtyJobs            []*Job
	deletedKeys          []string
	newRecords           []Change // records that are written once
	newCallbacks         []func()
	uncommittedCallbacks []commitCallback // sorted by sequence

	rejectedCheckpoints int // number of reported checkpoints that exceeded a limit

	groupSequence  uint64                        // sequence of the latest task group
	workersByAgent map[string]map[string]*Worker // keyed by AgentAddress, then Ref

	// The ready workers, as of the last refreshReady.
	readyWorkers     []*Worker
	leastAllocated   []*Worker // readyWorkers in ascending order of allocated; built on demand
	meanAllocated    float64   // mean of allocated over readyWorkers
	readyRefreshedAt time.Duration
	readyStale       bool // readyWorkers must be refreshed by the next cycle

	needsCycle     bool                     // a task may have become schedulable since the last cycle
	reservations   map[*Worker]*reservation // reservations of the last cycle
	overdueCycle   bool                     // the next cycle also places overdue groups
	overdueQueue   int                      // index into queueOrder, modulo its length, at which the next overdue scan resumes
	nextPreemption time.Duration            // earliest time of the next preemption
	headroom       headroom

	// Buffers that updateLimits reuses.
	claimants    []admission.Claimant
	workerLimits []float64
}

// New returns a scheduler without jobs, queues and workers. It draws all random numbers from random.
func New(options Options, random *rand.Rand) *Scheduler {
	return &Scheduler{
		options: options, random: random,
		jobs: map[string]*Job{}, queues: map[string]*Queue{}, workers: map[string]*Worker{}, delayed: map[string]*Job{},
		pendingJobs: map[pendingKey]int{}, cancellations: newCancellations(),
		workersByAgent: map[string]map[string]*Worker{}, readyStale: true,
	}
}

// Configure replaces the queue configurations. A queue that is no longer configured is marked as removed, so HasQueue no longer
// reports it, but its existing jobs still run. Configure deletes a removed queue that has no active jobs and no allocation.
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

// queue returns the queue with the given name. A missing queue belongs to jobs that were accepted under an earlier
// configuration. It is created with conservative settings and marked as removed.
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

// HasQueue reports whether the current configuration contains the queue.
func (s *Scheduler) HasQueue(queue string) bool {
	q := s.queues[queue]
	return q != nil && !q.removed
}

// Worker returns the worker with the given Ref, or nil.
func (s *Scheduler) Worker(ref string) *Worker { return s.workers[ref] }
