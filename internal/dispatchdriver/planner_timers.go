package dispatchdriver

import (
	"container/heap"
	"time"
)

// timer is a timer of the Dispatcher or the timeout of an attempt.
type timer struct {
	due     time.Duration // time on the Clock
	serial  uint64        // position in the order in which timers were set
	token   uint64        // argument of TimerFired, for a timer of the Dispatcher
	attempt *Attempt      // nil for a timer of the Dispatcher
	index   int           // index in the heap; -1 once removed
}

func (p *Planner) pushTimer(t *timer) {
	p.lastTimerSerial++
	t.serial = p.lastTimerSerial
	heap.Push(&p.timers, t)
}

// timerHeap implements [heap.Interface], ordered by due time. Among timers that are due at
// the same time, timeouts of attempts come first, so that the Dispatcher learns of them
// before its own timers fire; the remaining order is that in which the timers were set.
type timerHeap []*timer

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool {
	if t[i].due != t[j].due {
		return t[i].due < t[j].due
	}
	if isTimeout := t[i].attempt != nil; isTimeout != (t[j].attempt != nil) {
		return isTimeout
	}
	return t[i].serial < t[j].serial
}

func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *timerHeap) Push(v any) {
	added := v.(*timer)
	added.index = len(*t)
	*t = append(*t, added)
}

func (t *timerHeap) Pop() any {
	old := *t
	removed := old[len(old)-1]
	old[len(old)-1] = nil
	removed.index = -1
	*t = old[:len(old)-1]
	return removed
}
