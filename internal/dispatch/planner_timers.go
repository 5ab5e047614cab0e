package dispatch

import (
	"container/heap"
	"time"
)

type timer struct {
	due     time.Duration
	serial  uint64
	token   uint64
	attempt *Attempt // its time-out; else the timer is the Dispatcher's
	index   int      // in the heap; -1: not in it
}

func (p *Planner) setTimer(t *timer) {
	p.lastTimer++
	t.serial = p.lastTimer
	heap.Push(&p.timers, t)
}

// timers is a heap. Of those due at once an attempt's time-out comes first: it
// is news to the Dispatcher, whose own timers come in the order of their setting.
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
