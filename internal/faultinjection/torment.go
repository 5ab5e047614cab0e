package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// Torment breaks one thing after another, by a seeded script, for so many rounds or until the context ends. After each it
// heals everything and calls settled, which says what is still wrong. It returns how many faults of each kind there were.
type Torment struct {
	Rig    *Rig
	Rounds int
	Seed   uint64
	Boxes  bool // boxes leave and come back as well
	// Settled is called after each fault; it may wait.
	Settled func(fault string) error
	Log     func(format string, args ...any)
}

// fault does something and returns what undoes it.
type fault struct {
	kind string
	last time.Duration
	do   func(r *rand.Rand, t *Torment) (undo func() error, on string, err error)
}

// faults are in the order in which the script's numbers name them.
var faults = []fault{
	{"kill -9", 600 * time.Millisecond, func(r *rand.Rand, t *Torment) (func() error, string, error) {
		s := t.one(r)
		s.Kill()
		return func() error { return t.Rig.Start(s) }, s.Name, nil
	}},
	{"freeze", 2500 * time.Millisecond, func(r *rand.Rand, t *Torment) (func() error, string, error) {
		s := t.one(r)
		return s.Thaw, s.Name, s.Freeze()
	}},
	{"split", 2500 * time.Millisecond, func(r *rand.Rand, t *Torment) (func() error, string, error) {
		at := 1 + r.IntN(len(t.Rig.Schedulers)-1)
		t.between(func(i, j int) (Fault, bool) { return Fault{Cut: true}, (i < at) != (j < at) })
		return t.heal, fmt.Sprintf("%d from %d", at, len(t.Rig.Schedulers)-at), nil
	}},
	{"deaf", 2500 * time.Millisecond, func(r *rand.Rand, t *Torment) (func() error, string, error) {
		deaf := r.IntN(len(t.Rig.Schedulers))
		t.between(func(_, j int) (Fault, bool) { return Fault{Cut: true}, j == deaf })
		return t.heal, t.Rig.Schedulers[deaf].Name, nil
	}},
	{"loss of half", 2500 * time.Millisecond, func(_ *rand.Rand, t *Torment) (func() error, string, error) {
		t.between(func(int, int) (Fault, bool) { return Fault{Loss: 0.5}, true })
		return t.heal, "all", nil
	}},
	{"late and repeated", 1500 * time.Millisecond, func(_ *rand.Rand, t *Torment) (func() error, string, error) {
		t.between(func(int, int) (Fault, bool) {
			return Fault{Repeat: 0.5, Delay: 20 * time.Millisecond, Jitter: 500 * time.Millisecond}, true
		})
		return t.heal, "all", nil
	}},
	{"cut off from boxes, there", 1200 * time.Millisecond, func(r *rand.Rand, t *Torment) (func() error, string, error) {
		s := t.one(r)
		for i := range t.Rig.Boxes {
			t.Rig.Net.Set(s.Name, boxName(i), Fault{Cut: true})
		}
		return t.heal, s.Name, nil
	}},
	{"cut off from boxes, back", 1200 * time.Millisecond, func(r *rand.Rand, t *Torment) (func() error, string, error) {
		s := t.one(r)
		for i := range t.Rig.Boxes {
			t.Rig.Net.Set(boxName(i), s.Name, Fault{Cut: true})
		}
		return t.heal, s.Name, nil
	}},
	{"slow link to boxes", 1500 * time.Millisecond, func(r *rand.Rand, t *Torment) (func() error, string, error) {
		s := t.one(r)
		for i := range t.Rig.Boxes {
			t.Rig.Net.Set(boxName(i), s.Name, Fault{Delay: 40 * time.Millisecond})
		}
		return t.heal, s.Name, nil
	}},
}

// Kinds is how many kinds of faults there are.
var Kinds = len(faults)

// drains are the faults of boxes.
var drains = fault{"a box leaves", 1200 * time.Millisecond, func(r *rand.Rand, t *Torment) (func() error, string, error) {
	box := r.IntN(len(t.Rig.Boxes))
	t.Rig.Drain(box)
	return func() error { t.Rig.Restart(box); return nil }, boxName(box), nil
}}

func (t *Torment) one(r *rand.Rand) *Scheduler {
	return t.Rig.Schedulers[r.IntN(len(t.Rig.Schedulers))]
}

// between sets the directions between schedulers for which which is true.
func (t *Torment) between(which func(i, j int) (Fault, bool)) {
	for i, a := range t.Rig.Schedulers {
		for j, b := range t.Rig.Schedulers {
			if f, is := which(i, j); is && i != j {
				t.Rig.Net.Set(a.Name, b.Name, f)
			}
		}
	}
}

func (t *Torment) heal() error { t.Rig.Net.Heal(); return nil }

// Run carries the script out. Each kind has its turn before any comes again.
func (t *Torment) Run(ctx context.Context) (map[string]int, error) {
	r := rand.New(rand.NewPCG(t.Seed, 0x70a))
	kinds := faults
	if t.Boxes {
		kinds = append(kinds[:len(kinds):len(kinds)], drains)
	}
	counts := map[string]int{}
	var order []int
	for range t.Rounds {
		if len(order) == 0 {
			order = r.Perm(len(kinds))
		}
		f := kinds[order[0]]
		order = order[1:]
		undo, on, err := f.do(r, t)
		if err != nil {
			return counts, fmt.Errorf("%s, %s: %w", f.kind, on, err)
		}
		counts[f.kind]++
		t.Log("%s: %s", f.kind, on)
		select {
		case <-time.After(f.last):
		case <-ctx.Done():
		}
		if err := undo(); err != nil {
			return counts, fmt.Errorf("after %s, %s: %w", f.kind, on, err)
		}
		if err := t.Settled(f.kind + ", " + on); err != nil {
			return counts, err
		}
		if ctx.Err() != nil {
			return counts, nil
		}
	}
	return counts, nil
}
