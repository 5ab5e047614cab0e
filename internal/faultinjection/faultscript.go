package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// FaultScript injects a seeded random sequence of faults, one at a time, for a number of rounds or until the context ends.
type FaultScript struct {
	Cluster      *Cluster
	Rounds       int
	Seed         uint64
	DrainWorkers bool // includes the fault that drains and restarts a worker
	// AwaitRecovery is called after each fault. It may block until the cluster has recovered, and returns an error if it has not.
	AwaitRecovery func(fault string) error
	Log           func(format string, args ...any)
}

// scriptedFault is a kind of fault. Inject returns a function that reverts the fault, and a description of its target.
type scriptedFault struct {
	kind     string
	duration time.Duration
	inject   func(r *rand.Rand, script *FaultScript) (undo func() error, on string, err error)
}

// schedulerFaults are the faults of schedulers and links. Their order determines the sequence that a seed yields.
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
	{"partition", 2500 * time.Millisecond, func(r *rand.Rand, script *FaultScript) (func() error, string, error) {
		at := 1 + r.IntN(len(script.Cluster.Schedulers)-1)
		script.setLinkFaults(func(i, j int) (LinkFault, bool) { return LinkFault{Cut: true}, (i < at) != (j < at) })
		return script.heal, fmt.Sprintf("%d from %d", at, len(script.Cluster.Schedulers)-at), nil
	}},
	{"inbound partition", 2500 * time.Millisecond, func(r *rand.Rand, script *FaultScript) (func() error, string, error) {
		receiver := r.IntN(len(script.Cluster.Schedulers))
		script.setLinkFaults(func(_, j int) (LinkFault, bool) { return LinkFault{Cut: true}, j == receiver })
		return script.heal, script.Cluster.Schedulers[receiver].Name, nil
	}},
	{"50% loss", 2500 * time.Millisecond, func(_ *rand.Rand, script *FaultScript) (func() error, string, error) {
		script.setLinkFaults(func(int, int) (LinkFault, bool) { return LinkFault{Loss: 0.5}, true })
		return script.heal, "all", nil
	}},
	{"delay and duplication", 1500 * time.Millisecond, func(_ *rand.Rand, script *FaultScript) (func() error, string, error) {
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

// FaultKindCount is the number of kinds of scheduler and link faults, without worker drains.
var FaultKindCount = len(schedulerFaults)

// workerDrain drains a worker and restarts it.
var workerDrain = scriptedFault{"worker drain", 1200 * time.Millisecond, func(r *rand.Rand, script *FaultScript) (func() error, string, error) {
	worker := r.IntN(len(script.Cluster.Workers))
	script.Cluster.Drain(worker)
	return func() error { script.Cluster.Restart(worker); return nil }, workerName(worker), nil
}}

// randomScheduler returns a random scheduler.
func (script *FaultScript) randomScheduler(r *rand.Rand) *Scheduler {
	return script.Cluster.Schedulers[r.IntN(len(script.Cluster.Schedulers))]
}

// setLinkFaults sets the fault of each directed link from scheduler i to scheduler j for which faultOf returns true.
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

// Run runs the script and returns the number of injected faults by kind. Each kind is injected once before any is repeated.
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
		revert, target, err := f.inject(r, script)
		if err != nil {
			return counts, fmt.Errorf("%s, %s: %w", f.kind, target, err)
		}
		counts[f.kind]++
		script.Log("%s: %s", f.kind, target)
		select {
		case <-time.After(f.duration):
		case <-ctx.Done():
		}
		if err := revert(); err != nil {
			return counts, fmt.Errorf("after %s, %s: %w", f.kind, target, err)
		}
		if err := script.AwaitRecovery(f.kind + ", " + target); err != nil {
			return counts, err
		}
		if ctx.Err() != nil {
			return counts, nil
		}
	}
	return counts, nil
}
