package jobs

import "time"

// Reason is why a unit that waits was not placed although a worker has the room for one of its tasks.
type Reason string

// The reasons, in the order in which they are looked for.
const (
	ReasonQueueLimit  Reason = "queue limit"  // the queue holds as much as its sigma allows
	ReasonHeadroom    Reason = "headroom"     // room is kept for the first priority
	ReasonCredit      Reason = "credit"       // deficit round robin owes the others first
	ReasonReservation Reason = "reservation"  // each worker with room is kept for a unit that waits for more
	ReasonWorkerLimit Reason = "worker limit" // the learned limits of the workers with room
	ReasonNotChosen   Reason = "choice"       // anything else, as a wait for a rack, or the next pass
)

// Withheld is a unit that waits beside room that would hold one of its tasks.
type Withheld struct {
	Queue    string
	Job      string
	Time     int
	Stage    int
	Tasks    int // that wait
	WaitedMS int64
	Reason   Reason
	Worker   string // one with the room
	Holder   string // the job that this worker is kept for, if it is
}

const (
	maxDiagnosedGroups  = 8   // of a queue that are looked at, those with the first deadlines
	maxDiagnoses        = 64  // that are told at most
	maxDiagnosedWorkers = 256 // workers that are looked at for each
)

// Withheld returns the units of jobs with nothing at work that have waited for longer than a time although a
// worker has the room for a task of theirs, which should not be; and by what they are held back. Gangs are left out.
func (s *Book) Withheld(now, longer time.Duration) []Withheld {
	var found []Withheld
	for _, q := range s.queueOrder {
		looked := 0
		q.pending.Ascend(func(group *taskGroup) bool {
			if now-group.queuedAt <= longer || group.gang || (group.job.assigned > 0 && !group.job.isLongRunning(group.stage)) {
				return true
			}
			looked++
			if one, ok := s.explainWait(now, group); ok {
				found = append(found, one)
			}
			return looked < maxDiagnosedGroups && len(found) < maxDiagnoses
		})
	}
	return found
}

// explainWait reports whether a worker has room for a task of the unit, and why the task is not there.
func (s *Book) explainWait(now time.Duration, group *taskGroup) (Withheld, bool) {
	stage := &group.job.Spec.Stages[group.stage]
	told := Withheld{
		Queue: group.queue.Name, Job: group.job.ID, Time: group.occurrence.Number, Stage: group.stage, Tasks: len(group.tasks), WaitedMS: (now - group.queuedAt).Milliseconds(),
		Reason: ReasonNotChosen,
	}
	limited, reserved := 0, 0
	for _, w := range s.readyWorkers[:min(len(s.readyWorkers), maxDiagnosedWorkers)] {
		if !w.freeCapacity().Holds(stage.demand()) || !s.feasible(w, group, 0) {
			continue
		}
		told.Worker = w.Ref
		if kept := s.reservations[w]; kept != nil && kept.holder != group && !kept.spareCapacity().Holds(stage.demand()) {
			told.Holder = kept.holder.job.ID
			reserved++
			continue
		}
		if !w.fits(stage.demand()) {
			limited++
			continue
		}
		told.Reason = group.queue.limitingReason()
		told.Holder = ""
		return told, true
	}
	switch {
	case reserved > 0:
		told.Reason = ReasonReservation
	case limited > 0:
		told.Reason = ReasonWorkerLimit
	}
	return told, told.Worker != ""
}

// limitingReason returns what keeps a queue from releasing work.
func (q *Queue) limitingReason() Reason {
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
