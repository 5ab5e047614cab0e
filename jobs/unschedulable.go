package jobs

import "time"

// UnschedulableReason is the reason why a pending group was not placed although a worker has free capacity for one of its
// tasks.
type UnschedulableReason string

// The reasons for not placing a group. The texts are label values of a metric.
const (
	ReasonQueueLimit  UnschedulableReason = "queue limit"  // the queue's allocation has reached its limit
	ReasonHeadroom    UnschedulableReason = "headroom"     // the capacity is kept free for the highest priority
	ReasonCredit      UnschedulableReason = "credit"       // the queue has no credit left in deficit round robin
	ReasonReservation UnschedulableReason = "reservation"  // the workers with free capacity are reserved for other groups
	ReasonWorkerLimit UnschedulableReason = "worker limit" // the workers with free capacity are at their learned limits
	ReasonNotChosen   UnschedulableReason = "choice"       // any other reason, such as a wait for a rack or for the next cycle
)

// UnschedulableGroup is a pending group that was not placed although a worker has free capacity for one of its tasks.
type UnschedulableGroup struct {
	Queue       string // name of the queue
	Job         string // ID of the job
	Occurrence  int    // number of the occurrence
	Stage       int    // index of the stage
	Tasks       int    // number of pending tasks
	WaitedMS    int64
	Reason      UnschedulableReason
	Worker      string // Ref of a worker with free capacity
	ReservedFor string // with ReasonReservation, ID of the job that the worker is reserved for
}

// Bounds on the cost of UnschedulableGroups.
const (
	maxDiagnosedGroups  = 8   // maximum groups per queue, those with the earliest deadlines
	maxDiagnoses        = 64  // maximum results per shard
	maxDiagnosedWorkers = 256 // maximum workers per group
)

// UnschedulableGroups returns the groups that have waited longer than minWait although a worker has free capacity for one of
// their tasks, with the reasons. It omits gangs, and groups of jobs with assigned tasks unless they are long-running.
func (s *Scheduler) UnschedulableGroups(now, minWait time.Duration) []UnschedulableGroup {
	var found []UnschedulableGroup
	for _, q := range s.queueOrder {
		diagnosed := 0
		q.pending.Ascend(func(group *taskGroup) bool {
			if now-group.queuedAt <= minWait || group.gang || (group.job.assigned > 0 && !group.isLongRunning()) {
				return true
			}
			diagnosed++
			if diagnosis, ok := s.diagnose(now, group); ok {
				found = append(found, diagnosis)
			}
			return diagnosed < maxDiagnosedGroups && len(found) < maxDiagnoses
		})
	}
	return found
}

// diagnose reports whether a worker has free capacity for one of the group's tasks, and why the group was not placed there.
func (s *Scheduler) diagnose(now time.Duration, group *taskGroup) (UnschedulableGroup, bool) {
	demand := group.spec().demand()
	diagnosis := UnschedulableGroup{
		Queue: group.queue.Name, Job: group.job.ID, Occurrence: group.occurrence.Number, Stage: group.stage,
		Tasks: len(group.tasks), WaitedMS: (now - group.queuedAt).Milliseconds(), Reason: ReasonNotChosen,
	}
	limited, reserved := 0, 0
	for _, w := range s.readyWorkers[:min(len(s.readyWorkers), maxDiagnosedWorkers)] {
		if !w.freeCapacity().Holds(demand) || !w.isFeasible(group, 0) {
			continue
		}
		diagnosis.Worker = w.Ref
		if r := s.reservations[w]; r != nil && r.group != group && !r.backfillCapacity().Holds(demand) {
			diagnosis.ReservedFor = r.group.job.ID
			reserved++
			continue
		}
		if !w.fits(demand) {
			limited++
			continue
		}
		diagnosis.Reason = group.queue.limitingReason()
		diagnosis.ReservedFor = ""
		return diagnosis, true
	}
	switch {
	case reserved > 0:
		diagnosis.Reason = ReasonReservation
	case limited > 0:
		diagnosis.Reason = ReasonWorkerLimit
	}
	return diagnosis, diagnosis.Worker != ""
}

// limitingReason returns the reason why the queue does not place more tasks.
func (q *Queue) limitingReason() UnschedulableReason {
	switch {
	case q.allocated >= q.limit && q.allocated > 0:
		return ReasonQueueLimit
	case q.allocated >= q.turnLimit && q.allocated > 0:
		return ReasonHeadroom
	case q.deficit <= 0:
		return ReasonCredit
	}
	return ReasonNotChosen
}
