package jobs

import (
	"time"

	"sedgevale/admission"
)

const (
	quantumCoreSeconds   = 200.0                  // credit that a queue receives per turn
	maxTurnsPerCycle     = 64                     // maximum turns of each queue in one cycle
	maxGroupsPerTurn     = 256                    // maximum groups of a queue that are considered in one turn
	readyRefreshInterval = 50 * time.Millisecond  // minimum interval between refreshes of the ready workers without state changes
	agentTimeout         = 900 * time.Millisecond // time after a worker's latest report from which it receives no starts
)

// cycle is the state of one scheduling cycle.
type cycle struct {
	now                time.Duration
	ready              []*Worker
	meanAllocated      float64              // mean of allocated over the ready workers
	workersByRack      map[string][]*Worker // ready workers by rack; built on demand
	assigned           int                  // number of tasks assigned in this cycle
	unschedulable      map[*taskGroup]bool  // groups that could not be placed in this cycle
	reservations       map[*Worker]*reservation
	ignoreReservations bool
}

// Schedule runs one scheduling cycle if anything has changed since the last cycle. Queues are served in strict order of
// priority. Queues of equal priority are served by deficit round robin (Shreedhar and Varghese, SIGCOMM 1995) over estimated
// work, each up to its limit. Then the cycle places overdue groups, once per tick, and preempts runs in favor of the highest
// priority.
func (s *Scheduler) Schedule(now time.Duration) {
	if !s.needsCycle {
		return
	}
	s.needsCycle = false
	c := &cycle{now: now, unschedulable: map[*taskGroup]bool{}, reservations: map[*Worker]*reservation{}}
	s.reservations = c.reservations
	s.refreshReady(now)
	c.ready, c.meanAllocated = s.readyWorkers, s.meanAllocated
	if len(c.ready) == 0 {
		return
	}
	for _, q := range s.queueOrder {
		q.unschedulableDemand = 0
	}
	for first := 0; first < len(s.queueOrder); {
		last := first
		for last < len(s.queueOrder) && s.queueOrder[last].Priority == s.queueOrder[first].Priority {
			last++
		}
		s.serveQueues(c, s.queueOrder[first:last])
		first = last
	}
	if s.overdueCycle {
		s.overdueCycle = false
		s.placeOverdueGroups(c)
	}
	s.preempt(c)
}

// refreshReady rebuilds the list of ready workers immediately after a worker was added, was removed or changed its state, and
// otherwise at most once per readyRefreshInterval, so that the cost of most cycles does not grow with the number of workers.
func (s *Scheduler) refreshReady(now time.Duration) {
	if !s.readyStale && now-s.readyRefreshedAt < readyRefreshInterval {
		return
	}
	s.readyStale, s.readyRefreshedAt = false, now
	s.readyWorkers, s.leastAllocated, s.meanAllocated = s.readyWorkers[:0], nil, 0
	for _, w := range s.workers {
		if w.State == Ready && now-w.lastReport < agentTimeout {
			s.readyWorkers = append(s.readyWorkers, w)
			s.meanAllocated += w.allocated
		}
	}
	if len(s.readyWorkers) > 0 {
		s.meanAllocated /= float64(len(s.readyWorkers))
	}
}

// serveQueues serves the queues of one priority in turns until no queue can place more tasks.
func (s *Scheduler) serveQueues(c *cycle, queues []*Queue) {
	for range maxTurnsPerCycle {
		before := c.assigned
		more := false
		for _, q := range queues {
			q.deficit.BeginTurn(quantumCoreSeconds, q.pending.Len() > 0)
			if q.pending.Len() > 0 && s.serveQueue(c, q) {
				more = true
			}
		}
		if !more {
			return
		}
		if c.assigned == before {
			skipTurns(queues)
		}
	}
}

// skipTurns grants the indebted queues at once the credit of all the turns in which none of them could place a task. This keeps
// capacity from staying idle while a queue pays off the debt of a long task over many turns.
func skipTurns(queues []*Queue) {
	var debts []admission.Deficit
	for _, q := range queues {
		if q.pending.Len() > 0 && q.deficit <= 0 {
			debts = append(debts, q.deficit)
		}
	}
	turns := admission.TurnsUntilCredit(debts, quantumCoreSeconds)
	for _, q := range queues {
		if q.pending.Len() > 0 && q.deficit <= 0 {
			q.deficit.BeginTurn(turns*quantumCoreSeconds, true)
		}
	}
}

// serveQueue places groups of a queue while the queue has credit. It reports whether another turn may place more tasks.
func (s *Scheduler) serveQueue(c *cycle, q *Queue) bool {
	if q.deficit <= 0 {
		return true
	}
	before := c.assigned
	q.turnLimit = s.limitWithHeadroom(q)
	groups, more := c.nextGroups(q)
	for _, group := range groups {
		if q.isAtLimit(group) {
			return false
		}
		place := s.placeTasks
		if group.gang {
			place = s.placeGang
		}
		if credit := place(c, group); !credit {
			return true
		}
	}
	if c.assigned > before {
		more = nil
	}
	q.resumeAt = more
	return false
}

// nextGroups returns the next groups of a queue that are not known to be unschedulable, sorted by triage class and then by
// deadline, and the first group after them. If none of them can be placed, the next turn resumes at that group, so that
// unschedulable groups cannot starve the groups behind them.
func (c *cycle) nextGroups(q *Queue) (groups []*taskGroup, more *taskGroup) {
	var byClass [numTriageClasses][]*taskGroup
	budget := maxGroupsPerTurn
	cursor := q.resumeAt
	q.scanFrom(&cursor, &budget, func(group *taskGroup) {
		if c.unschedulable[group] {
			budget++
			return
		}
		class := q.classOf(group)
		byClass[class] = append(byClass[class], group)
	})
	for _, class := range byClass {
		groups = append(groups, class...)
	}
	return groups, cursor
}
