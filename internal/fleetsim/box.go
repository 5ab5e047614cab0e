package fleetsim

import (
	"math/rand/v2"
	"time"
)

// task is a job at a box.
type task struct {
	slots   int
	work    time.Duration // core time at speed 1, of each slot
	extra   time.Duration // for a new connection
	started func()
	ended   func(ok bool, report float64)
	off     bool // called off
	running bool
}

// box has slots, a queue served in order, and a speed. One that has just started is cold: its speed rises evenly with
// time.
type box struct {
	c      *clock
	rand   *rand.Rand
	set    *Box
	cores  int
	speed  float64
	factor float64 // of the speed, in trouble
	fails  float64 // share of errors
	upFrom time.Duration
	cold   bool
	gone   bool

	busy   int // slots
	queue  []*task
	report float64 // free slots, as of the last report

	worked time.Duration // core time given
	came   []arrival     // while it was cold
}

func newBox(c *clock, r *rand.Rand, set *Box, cores int, speed float64) *box {
	b := &box{c: c, rand: r, set: set, cores: cores, speed: speed, factor: 1, report: float64(cores)}
	c.after(ms(between(r, set.ReportMS)), b.refresh)
	return b
}

func between(r *rand.Rand, of [2]float64) float64 { return of[0] + (of[1]-of[0])*r.Float64() }

func (b *box) refresh() {
	if b.gone {
		return
	}
	b.report = float64(b.cores - b.busy)
	b.c.after(ms(between(b.rand, b.set.ReportMS)), b.refresh)
}

// rate is how fast a core is now.
func (b *box) rate() float64 {
	rate := b.speed * b.factor
	if age := (b.c.now - b.upFrom).Seconds(); b.cold && age < b.set.ColdS {
		rate *= b.set.ColdFrom + (1-b.set.ColdFrom)*age/b.set.ColdS
	}
	return rate
}

// take takes a task, or returns false if the queue is full.
func (b *box) take(t *task) bool {
	b.reached(t)
	if b.gone || len(b.queue) >= b.set.Queue && (b.busy+t.slots > b.cores || len(b.queue) > 0) {
		return false
	}
	b.queue = append(b.queue, t)
	b.start()
	return true
}

// callOff drops a task that has not started, where the box does that.
func (b *box) callOff(t *task) {
	t.off = true
	if !t.running && b.set.DropsCalled {
		for i, other := range b.queue {
			if other == t {
				b.queue = append(b.queue[:i], b.queue[i+1:]...)
				break
			}
		}
		b.start() // it may have been the head
	}
}

func (b *box) start() {
	for len(b.queue) > 0 && b.busy+b.queue[0].slots <= b.cores {
		t := b.queue[0]
		b.queue = b.queue[1:]
		t.running = true
		b.busy += t.slots
		t.started()
		took, ok := time.Duration(float64(t.work)/b.rate())+t.extra, true
		if b.fails > 0 && b.rand.Float64() < b.fails {
			took, ok = time.Millisecond, false
		}
		b.worked += took * time.Duration(t.slots)
		b.c.after(took, func() {
			b.busy -= t.slots
			t.ended(ok, b.report)
			b.start()
		})
	}
}
