package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// FaultScript injects one fault after another, drawn by a seed, for so many rounds or until the context ends.
type FaultScript struct {
	Cluster      *Cluster
	Rounds       int
	Seed         uint64
	DrainWorkers bool // workers drain and come back as well
	// AwaitRecovery is called after each fault and may wait; it returns what is still wrong.
	AwaitRecovery func(fault string) error
	Log           func(format string, args ...any)
}

// scriptedFault is a kind of fault. Inject returns what undoes it, and what it was injected into.
type scriptedFault struct {
	kind     string
	duration time.Duration
	inject   func(r *rand.Rand, script *FaultScript) (undo func() error, on string, err error)
}

// schedulerFaults are the faults of schedulers and links. Seeded scripts depend on their order.
var schedulerFaults = []scriptedFault{
	{"kill -9", 600 * time.Millisecond, func(r *rand.Rand, script *FaultScript) (func() error, string, error) {
		s := script.randomScheduler(r)
		s.Kill()
		return func() error { return script.Cluster.Start(s) }, s.Name, nil
	}},
	{"freeze", 2500 * time.Millisecond, func(r *rand.Rand, script *FaultScript) (func() error, string, error) {
		s := script.randomScheduler(r)
		return s.Thaw, s.Name, s.Freeze()
	}},
	{"split", 2500 * time.Millisecond, func(r *rand.Rand, script *FaultScript) (func() error, string, error) {
		at := 1 + r.IntN(len(script.Cluster.Schedulers)-1)
		script.setLinkFaults(func(i, j int) (LinkFault, bool) { return LinkFault{Cut: true}, (i < at) != (j < at) })
		return script.heal, fmt.Sprintf("%d from %d", at, len(script.Cluster.Schedulers)-at), nil
	}},
	{"deaf", 2500 * time.Millisecond, func(r *rand.Rand, script *FaultScript) (func() error, string, error) {
		deaf := r.IntN(len(script.Cluster.Schedulers))
		script.setLinkFaults(func(_, j int) (LinkFault, bool) { return LinkFault{Cut: true}, j == deaf })
		return script.heal, script.Cluster.Schedulers[deaf].Name, nil
	}},
	{"loss of half", 2500 * time.Millisecond, func(_ *rand.Rand, script *FaultScript) (func() error, string, error) {
		script.setLinkFaults(func(int, int) (LinkFault, bool) { return LinkFault{Loss: 0.5}, true })
		return script.heal, "all", nil
	}},
	{"late and repeated", 1500 * time.Millisecond, func(_ *rand.Rand, script *FaultScript) (func() error, string, error) {
		script.setLinkFaults(func(int, int) (LinkFault, bool) {
			return LinkFault{Repeat: 0.5, Delay: 20 * time.Millisecond, Jitter: 500 * time.Millisecond}, true
		})
		return script.heal, "all", nil
	}},
	{"partition from workers, requests", 1200 * time.Millisecond, func(r *rand.Rand, script *FaultScript) (func() error, string, error) {
		s := script.randomScheduler(r)
		for i := range script.Cluster.Workers {
			script.Cluster.Network.SetFault(s.Name, workerName(i), LinkFault{Cut: true})
		}
		return script.heal, s.Name, nil
	}},
	{"partition from workers, responses", 1200 * time.Millisecond, func(r *rand.Rand, script *FaultScript) (func() error, string, error) {
		s := script.randomScheduler(r)
		for i := range script.Cluster.Workers {
			script.Cluster.Network.SetFault(workerName(i), s.Name, LinkFault{Cut: true})
		}
		return script.heal, s.Name, nil
	}},
	{"slow link to workers", 1500 * time.Millisecond, func(r *rand.Rand, script *FaultScript) (func() error, string, error) {
		s := script.randomScheduler(r)
		for i := range script.Cluster.Workers {
			script.Cluster.Network.SetFault(workerName(i), s.Name, LinkFault{Delay: 40 * time.Millisecond})
		}
		return script.heal, s.Name, nil
	}},
}

// FaultKinds is how many kinds of faults there are.
var FaultKinds = len(schedulerFaults)

// workerDrain is the fault of workers.
var workerDrain = scriptedFault{"worker drains", 1200 * time.Millisecond, func(r *rand.Rand, script *FaultScript) (func() error, string, error) {
	worker := r.IntN(len(script.Cluster.Workers))
	script.Cluster.Drain(worker)
	return func() error { script.Cluster.Restart(worker); return nil }, workerName(worker), nil
}}

// randomScheduler returns a scheduler drawn at random.
func (script *FaultScript) randomScheduler(r *rand.Rand) *Scheduler {
	return script.Cluster.Schedulers[r.IntN(len(script.Cluster.Schedulers))]
}

// setLinkFaults sets the fault of each direction between schedulers for which faultOf returns true.
func (script *FaultScript) setLinkFaults(faultOf func(i, j int) (LinkFault, bool)) {
	for i, a := range script.Cluster.Schedulers {
		for j, b := range script.Cluster.Schedulers {
			if f, ok := faultOf(i, j); ok && i != j {
				script.Cluster.Network.SetFault(a.Name, b.Name, f)
			}
		}
	}
}

func (script *FaultScript) heal() error { script.Cluster.Network.Heal(); return nil }

// Run runs the script and returns the number of faults by kind. Each kind is injected once before any comes again.
func (script *FaultScript) Run(ctx context.Context) (map[string]int, error) {
	r := rand.New(rand.NewPCG(script.Seed, 0x70a))
	kinds := schedulerFaults
	if script.DrainWorkers {
		kinds = append(kinds[:len(kinds):len(kinds)], workerDrain)
	}
	counts := map[string]int{}
	var order []int
	for range script.Rounds {
		if len(order) == 0 {
			order = r.Perm(len(kinds))
		}
		f := kinds[order[0]]
		order = order[1:]
		undo, on, err := f.inject(r, script)
		if err != nil {
			return counts, fmt.Errorf("%s, %s: %w", f.kind, on, err)
		}
		counts[f.kind]++
		script.Log("%s: %s", f.kind, on)
		select {
		case <-time.After(f.duration):
		case <-ctx.Done():
		}
		if err := undo(); err != nil {
			return counts, fmt.Errorf("after %s, %s: %w", f.kind, on, err)
		}
		if err := script.AwaitRecovery(f.kind + ", " + on); err != nil {
			return counts, err
		}
		if ctx.Err() != nil {
			return counts, nil
		}
	}
	return counts, nil
}
