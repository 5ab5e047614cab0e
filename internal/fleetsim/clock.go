package fleetsim

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with an event queue. Events run in the order of their times,
// and those with the same time in the order in which they were scheduled.
type clock struct {
	now    time.Duration
	serial uint64
	events events
}

// event is a callback that is due at a time.
type event struct {
	at       time.Duration
	serial   uint64
	callback func()
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
	old[len(old)-1].callback = nil
	*e = old[:len(old)-1]
	return x
}

// after schedules a callback after a delay.
func (c *clock) after(d time.Duration, callback func()) {
	c.serial++
	heap.Push(&c.events, event{c.now + max(0, d), c.serial, callback})
}

// run advances the clock to a time and runs all events that are due by then.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.callback()
	}
	c.now = until
}
