package simulation

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	catchUpTimeout  = 4 * time.Second // within which a new or restarted core machine becomes a voter
	faultPhase      = 40 * time.Second
	recoveryPhase   = 30 * time.Second
	overlapJobCount = 40
)

var overlapTopologies = []topology{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {7, 2}}

// TestSystemThroughOverlappingFaults injects overlapping faults: as many core machines at a time as the topology tolerates
// are partitioned, restarted or replaced or lose their disks, while two operators change the configuration, side machines,
// workers and the edge machine fail, connections are reset and seeds are rotated.
func TestSystemThroughOverlappingFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runOverlappingFaults(t, seed) })
		})
	}
}

func runOverlappingFaults(t *testing.T, seed uint64) {
	c := newClusterOf(t, seed, overlapTopologies[seed%uint64(len(overlapTopologies))])
	defer c.logTimeline(t, seed)
	time.Sleep(2 * time.Second)
	h := &history{started: time.Now()}
	if c.putUntilOutcomeKnown(0, configChange{version: 1}, h) != changeApplied {
		t.Error("the initial configuration was not applied")
	}
	ids, widths := c.submitJobs(overlapJobCount)
	stop := make(chan struct{})
	var injectors sync.WaitGroup
	inject := func(loop func()) {
		injectors.Add(1)
		c.background.Add(1)
		go func() {
			defer c.background.Done()
			defer injectors.Done()
			loop()
		}()
	}
	budget := newFaultBudget(c.topology.tolerance)
	for range c.topology.tolerance {
		inject(func() { c.injectCoreFaults(budget, stop) })
	}
	inject(func() { c.injectPeripheralFaults(stop) })
	inject(func() { c.injectNetworkFaults(stop) })
	inject(func() { c.repeatJobs(ids, widths, stop) })
	for client := range 2 {
		c.background.Add(1)
		go c.runOperator(client+1, h, stop)
	}
	time.Sleep(faultPhase)
	close(stop)
	injectors.Wait()
	time.Sleep(recoveryPhase)
	if _, ok := c.readConfiguration(0, h, 3*time.Second); !ok {
		t.Error("CONFIG: the configuration cannot be read after the recovery phase")
	}
	if !h.linearizable() {
		t.Errorf("CONFIG: the operators' calls are not linearizable: %+v", h.calls)
	}
	c.checkJobs(t, ids)
	t.Logf("%d operator calls", len(h.calls))
	c.stop()
	time.Sleep(10 * time.Second)
}

// waitUnlessStopped waits for a delay and returns true, or returns false as soon as stop is closed.
func waitUnlessStopped(stop <-chan struct{}, delay time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(delay):
		return true
	}
}
