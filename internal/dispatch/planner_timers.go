package dispatch

import (
	"container/heap"
	"time"
)

// timer is a timer of the Dispatcher, or the time-out of an attempt.
type timer struct {
	due     time.Duration
	serial  uint64
	token   uint64   // of the Dispatcher
	attempt *Attempt // whose time-out it is; nil: the timer is the Dispatcher's
	index   int      // in the heap; -1: not in it
}

func (p *Planner) setTimer(t *timer) {
	p.lastTimer++
	t.serial = p.lastTimer
	heap.Push(&p.timers, t)
}

// timers is a heap. Of those due at the same time the time-outs of attempts come
// first, since the Dispatcher does not know of them yet; its own timers come in the
// order in which they were set.
type timers []*timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].due != t[j].due {
		return t[i].due < t[j].due
	}
	if first := t[i].attempt != nil; first != (t[j].attempt != nil) {
		return first
	}
	return t[i].serial < t[j].serial
}

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *timers) Push(v any) {
	last := v.(*timer)
	last.index = len(*t)
	*t = append(*t, last)
}

func (t *timers) Pop() any {
	old := *t
	v := old[len(old)-1]
	old[len(old)-1] = nil
	v.index = -1
	*t = old[:len(old)-1]
	return v
}
