package fleetsim

import (
	"container/heap"
	"time"
)

// clock is virtual time: what is due comes in order, and of the same moment in the order in which it was asked for.
type clock struct {
	now    time.Duration
	serial uint64
	due    events
}

type event struct {
	at     time.Duration
	serial uint64
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1].do = nil
	*e = old[:len(old)-1]
	return x
}

// after has something done later.
func (c *clock) after(d time.Duration, do func()) {
	c.serial++
	heap.Push(&c.due, event{c.now + max(0, d), c.serial, do})
}

// run does all that is due until a moment.
func (c *clock) run(until time.Duration) {
	for len(c.due) > 0 && c.due[0].at <= until {
		e := heap.Pop(&c.due).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}
