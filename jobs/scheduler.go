package jobs

import (
	"math/rand/v2"
	"sort"
	"time"

	"sedgevale/admission"
)

// Options of a Book.
type Options struct {
	// LapseAfter is the time after a side agent was last heard in which all its worker's runs have surely
	// lapsed: the agent's lease, the longest hold on a clock that runs slow, and some slack.
	LapseAfter time.Duration
	// KeepEnded is how long the state of a job that has ended can be asked for.
	KeepEnded time.Duration
	// FarX is how many times longer work takes away from its data.
	FarX float64
}

// Book holds the jobs and workers of one shard.
type Book struct {
	options Options
	random  *rand.Rand

	jobs         map[string]*Job
	queues       map[string]*Queue
	queueOrder   []*Queue // by priority
	workers      map[string]*Worker
	meanCapacity Resources // of the workers that are ready
	delayed      map[string]*Job
	ended        []*Job // in the order of their ends

	dirtyJobs          []*Job
	deletedKeys        []string // keys to drop
	newSpecs           []Change // of new jobs
	newEffects         []func()
	unconfirmedEffects []durableEffect

	groupSequence  uint64
	workersByAgent map[string]map[string]*Worker // workers by side agent and name
	readyWorkers   []*Worker                     // those that take starts
	leastAllocated []*Worker                     // the same, those that hold least first; empty until asked for
	meanAllocated  float64                       // of what they hold
	readyListedAt  time.Duration
	readyStale     bool
	reservations   map[*Worker]*reservation // by the last pass of Schedule
	overdueCycle   bool                     // the next pass places what has waited for too long
	overdueQueue   int                      // the queue at which that goes on
	nextPreemption time.Duration            // when work may be preempted again
	needsCycle     bool                     // something may be placed now
	headroom       headroom
	claimants      []admission.Claimant
	scratch        []float64
}

// New returns an empty Book.
func New(options Options, random *rand.Rand) *Book {
	return &Book{
		options: options, random: random,
		jobs: map[string]*Job{}, queues: map[string]*Queue{}, workers: map[string]*Worker{}, delayed: map[string]*Job{},
		workersByAgent: map[string]map[string]*Worker{}, readyStale: true,
	}
}

// Configure takes the queues of a configuration. Jobs of a queue that is gone are still finished.
func (s *Book) Configure(configs []QueueConfig) {
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

// queue returns a queue, made with cautious settings where no configuration names it: it has jobs that were accepted while
// one did, and takes no more.
func (s *Book) queue(name string) *Queue {
	q := s.queues[name]
	if q == nil {
		q = newQueue(QueueConfig{Name: name, Priority: 3, Retries: 3, Extension: 2, TargetLatencyMS: 3000})
		q.removed = true
		s.queues[name] = q
		s.queueOrder = append(s.queueOrder, q)
	}
	return q
}

// Knows reports whether the configuration has a queue.
func (s *Book) Knows(queue string) bool {
	q := s.queues[queue]
	return q != nil && !q.removed
}

// Worker returns a worker by its name, or nil.
func (s *Book) Worker(ref string) *Worker { return s.workers[ref] }
