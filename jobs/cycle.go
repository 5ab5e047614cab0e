package jobs

import (
	"time"

	"sedgevale/admission"
)

const (
	quantum            = 200.0                   // core-seconds that a queue of weight 1 may release in a turn
	maxTurns           = 64                      // turns of all queues in one release
	maxGroupsPerTurn   = 256                     // units of a queue that are looked at in one turn
	coresPerGPU        = 8                       // what a GPU counts, in cores
	pickMargin         = 0.1                     // over the mean of what workers hold, for the random pick
	rackWaitFraction   = 0.5                     // of what running far away costs more, that is waited for room near by
	maxRackWait        = 1500 * time.Millisecond // and never longer, while workers elsewhere are idle
	maxFullScanWorkers = 64                      // ready workers of a shard that are all looked at for a placement
	maxSampledWorkers  = 16                      // fitting ones that are enough in a larger shard
	readyListInterval  = 50 * time.Millisecond   // between two lists of the workers that take starts
	agentTimeout       = 900 * time.Millisecond  // a worker whose side agent was not heard for so long gets no starts
	maxFailureRate     = 0.35                    // workers that fail more are left alone while others do
	maxSlowdown        = 2.2                     // workers that are slower are left alone while others do
)

// cycle is the state of one release.
type cycle struct {
	now                time.Duration
	unschedulable      map[*taskGroup]bool
	reservations       map[*Worker]*reservation
	ready              []*Worker
	meanAllocated      float64              // of what ready workers hold
	workersByRack      map[string][]*Worker // of the ready workers, made when it is asked for
	ignoreReservations bool                 // no reservation holds
	started            int                  // tasks so far
}

// Schedule lets waiting work go to workers: queues of the first priority before others, and among equals by
// deficit round robin, charged by estimated work, each up to its sigma.
func (s *Book) Schedule(now time.Duration) {
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

// refreshReady lists the workers that take starts. The list is made anew when one comes, goes or changes its state,
// and otherwise now and then, so that a pass does not cost more the more workers there are.
func (s *Book) refreshReady(now time.Duration) {
	if !s.readyStale && now-s.readyListedAt < readyListInterval {
		return
	}
	s.readyStale, s.readyListedAt = false, now
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

// serveQueues serves queues of one priority in turns until none can release more.
func (s *Book) serveQueues(c *cycle, queues []*Queue) {
	for range maxTurns {
		before := c.started
		more := false
		for _, q := range queues {
			q.deficit.Visit(quantum, q.pending.Len() > 0)
			if q.pending.Len() > 0 && s.serveQueue(c, q) {
				more = true
			}
		}
		if !more {
			return
		}
		if c.started == before {
			skipTurns(queues)
		}
	}
}

// skipTurns gives queues at once the credit of all turns in which none of them could release anything, since those that
// could go on are in debt.
func skipTurns(queues []*Queue) {
	var debts []admission.Deficit
	for _, q := range queues {
		if q.pending.Len() > 0 && q.deficit <= 0 {
			debts = append(debts, q.deficit)
		}
	}
	turns := admission.TurnsToCredit(debts, quantum)
	for _, q := range queues {
		if q.pending.Len() > 0 && q.deficit <= 0 {
			q.deficit.Visit(turns*quantum, true)
		}
	}
}

// serveQueue releases units of a queue while it has credit. It reports whether another turn may release more.
func (s *Book) serveQueue(c *cycle, q *Queue) bool {
	if q.deficit <= 0 {
		return true
	}
	before := c.started
	q.turnLimit = s.turnLimit(q)
	units, more := c.nextGroups(q)
	for _, group := range units {
		if q.allocated >= q.limitFor(group) && q.allocated > 0 {
			return false
		}
		credit := true
		if group.gang {
			credit = s.placeGang(c, group)
		} else {
			credit = s.placeTasks(c, group)
		}
		if !credit {
			return true
		}
	}
	if c.started > before {
		more = nil
	}
	q.resumeAt = more
	return false
}

// nextGroups returns units of a queue that are not blocked, by what they can still reach and then by deadline, and the one
// behind them if there are more. Where none of so many could be placed, the next pass goes on behind them: what nobody has
// room for must not hide what somebody has.
func (c *cycle) nextGroups(q *Queue) (units []*taskGroup, more *taskGroup) {
	var byProspect [triageClasses][]*taskGroup
	left := maxGroupsPerTurn
	place := q.resumeAt
	q.scanFrom(&place, &left, func(group *taskGroup) {
		if c.unschedulable[group] {
			left++
			return
		}
		byProspect[group.class] = append(byProspect[group.class], group)
	})
	for _, some := range byProspect {
		units = append(units, some...)
	}
	return units, place
}
