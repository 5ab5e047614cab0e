package slopes

import "time"

// kind is what is due.
type kind uint8

const (
	dueJob kind = iota // the next short job comes
	dueTask
	dueTimer
	dueStarted
	dueEnded
	dueCancelled
	dueProbed
	dueTick
	dueDatagram
)

// event is something due at a scheduler. It holds no function, so that the clock allocates nothing for a job.
type event struct {
	at     time.Duration
	serial uint64
	token  uint64
	data   []byte
	to     int32
	job    int32 // or the sender, or the worker
	n      int32
	kind   kind
}

// clock is virtual time: a binary heap of events, those of one moment in the order in which they were asked for.
type clock struct {
	now    time.Duration
	serial uint64
	due    []event
}

func before(a, b *event) bool { return a.at < b.at || a.at == b.at && a.serial < b.serial }

func (c *clock) after(d time.Duration, e event) {
	c.serial++
	e.at, e.serial = c.now+max(0, d), c.serial
	c.due = append(c.due, e)
	for i := len(c.due) - 1; i > 0; {
		up := (i - 1) / 2
		if !before(&c.due[i], &c.due[up]) {
			break
		}
		c.due[i], c.due[up] = c.due[up], c.due[i]
		i = up
	}
}

// next takes the first event that is due until a moment.
func (c *clock) next(until time.Duration) (e event, ok bool) {
	if len(c.due) == 0 || c.due[0].at > until {
		c.now = until
		return e, false
	}
	e = c.due[0]
	last := len(c.due) - 1
	c.due[0], c.due[last] = c.due[last], event{}
	c.due = c.due[:last]
	for i := 0; ; {
		down := 2*i + 1
		if down >= last {
			break
		}
		if down+1 < last && before(&c.due[down+1], &c.due[down]) {
			down++
		}
		if !before(&c.due[down], &c.due[i]) {
			break
		}
		c.due[i], c.due[down] = c.due[down], c.due[i]
		i = down
	}
	c.now = e.at
	return e, true
}
