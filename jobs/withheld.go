package jobs

import "time"

// Reason is why a unit that waits was not placed although a worker has the room for one of its tasks.
type Reason string

// The reasons, in the order in which they are looked for.
const (
	ByQueueLimit  Reason = "queue limit"  // the queue holds as much as its sigma allows
	ByHeadroom    Reason = "headroom"     // room is kept for the first priority
	ByCredit      Reason = "credit"       // deficit round robin owes the others first
	ByReservation Reason = "reservation"  // each worker with room is kept for a unit that waits for more
	ByWorkerLimit Reason = "worker limit" // the learned limits of the workers with room
	ByChoice      Reason = "choice"       // anything else, as a wait for a rack, or the next pass
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
	withheldUnits = 8   // of a queue that are looked at, those with the first deadlines
	withheldMost  = 64  // that are told at most
	withheldLook  = 256 // workers that are looked at for each
)

// Withheld returns the units of jobs with nothing at work that have waited for longer than a time although a
// worker has the room for a task of theirs, which should not be; and by what they are held back. Gangs are left out.
func (b *Book) Withheld(now, longer time.Duration) []Withheld {
	var found []Withheld
	for _, q := range b.order {
		looked := 0
		q.waiting.Ascend(func(u *unit) bool {
			if now-u.since <= longer || u.gang || (u.job.assigned > 0 && !u.job.lasts(u.stage)) {
				return true
			}
			looked++
			if one, ok := b.withheld(now, u); ok {
				found = append(found, one)
			}
			return looked < withheldUnits && len(found) < withheldMost
		})
	}
	return found
}

// withheld reports whether a worker has room for a task of the unit, and why the task is not there.
func (b *Book) withheld(now time.Duration, u *unit) (Withheld, bool) {
	step := &u.job.Spec.Stages[u.stage]
	told := Withheld{
		Queue: u.queue.Name, Job: u.job.ID, Time: u.time.Number, Stage: u.stage, Tasks: len(u.tasks), WaitedMS: (now - u.since).Milliseconds(),
		Reason: ByChoice,
	}
	limited, reserved := 0, 0
	for _, w := range b.ready[:min(len(b.ready), withheldLook)] {
		if !w.free().Holds(step.demand()) || !b.suits(w, u, 0) {
			continue
		}
		told.Worker = w.Ref
		if kept := b.reserved[w]; kept != nil && kept.holder != u && !kept.room().Holds(step.demand()) {
			told.Holder = kept.holder.job.ID
			reserved++
			continue
		}
		if !w.room(step.demand()) {
			limited++
			continue
		}
		told.Reason = u.queue.heldBackBy()
		told.Holder = ""
		return told, true
	}
	switch {
	case reserved > 0:
		told.Reason = ByReservation
	case limited > 0:
		told.Reason = ByWorkerLimit
	}
	return told, told.Worker != ""
}

// heldBackBy returns what keeps a queue from releasing work.
func (q *Queue) heldBackBy() Reason {
	switch {
	case q.held >= q.sigma && q.held > 0:
		return ByQueueLimit
	case q.held >= q.limit && q.held > 0:
		return ByHeadroom
	case q.deficit <= 0:
		return ByCredit
	}
	return ByChoice
}
