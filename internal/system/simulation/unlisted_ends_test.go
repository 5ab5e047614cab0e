package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	crowdedWorkerTasks = 1600 // more than three heartbeats list ends
	crowdedJobTasks    = 2400
	crowdedJobs        = 2
	crowdedFaults      = 6
)

// runCrowded runs a scenario on a cluster whose workers run more tasks at once than a heartbeat lists ends, and checks that all jobs
// complete and no task runs twice. The scenario may submit further jobs.
func runCrowded(t *testing.T, scenario func(c *cluster, submit func())) {
	t.Helper()
	runScenario(t, topology{cores: 3, tolerance: 1}, func(t *testing.T, c *cluster) {
		c.workerTasks = crowdedWorkerTasks
		for i := range sideCount {
			name := fmt.Sprint("side", i)
			c.workers[name].crash()
			c.startWorker(name)
		}
		time.Sleep(6 * time.Second) // the owner knows of the crashes
		var ids []string
		submit := func() {
			id := fmt.Sprintf("%016x", len(ids)+1)
			ids = append(ids, id)
			c.background.Add(1)
			go c.submitJob(id, crowdedJobTasks)
		}
		for range crowdedJobs {
			submit()
		}
		time.Sleep(700 * time.Millisecond)
		scenario(c, submit)
		time.Sleep(40 * time.Second)
		c.checkJobs(t, ids)
		for name, worker := range c.workers {
			t.Logf("%s: %d starts rejected", name, worker.RejectedStarts())
		}
	})
}

// awaitUnlistedEnds waits until a worker has finished runs that its heartbeats do not list.
func (c *cluster) awaitUnlistedEnds(name string) {
	for range 200 {
		if c.workers[name].UnlistedEnds() > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.violation("worker of %s has no unlisted ends", name)
}

// restartCore kills all core machines and starts them again after an outage during which tasks end.
func (c *cluster) restartCore(outage time.Duration) {
	for _, name := range c.coreNames() {
		c.kill(name)
	}
	time.Sleep(outage)
	for _, name := range c.coreNames() {
		c.start(name)
	}
}

// TestUnlistedEndsRunOnce guards against the failure of review/4: runs whose ends a truncated heartbeat did not list were reported as
// never started when their worker drained, and their tasks ran again.
func TestUnlistedEndsRunOnce(t *testing.T) {
	scenarios := map[string]func(c *cluster, _ func()){
		"core restarts, a worker drains": func(c *cluster, _ func()) {
			c.restartCore(1500 * time.Millisecond)
			c.awaitUnlistedEnds("side0")
			c.drainWorker("side0", 2*time.Second)
		},
		"core and a side process restart, its worker drains": func(c *cluster, _ func()) {
			c.kill("side0")
			c.restartCore(1500 * time.Millisecond)
			c.awaitUnlistedEnds("side0")
			c.start("side0")
			c.drainWorker("side0", 2*time.Second)
		},
		"a side process restarts, its worker drains": func(c *cluster, _ func()) {
			c.kill("side1")
			c.awaitUnlistedEnds("side1")
			c.start("side1")
			c.drainWorker("side1", 2*time.Second)
		},
		"core restarts, a worker deregisters at once": func(c *cluster, _ func()) {
			c.restartCore(1500 * time.Millisecond)
			c.awaitUnlistedEnds("side1")
			c.drainWorker("side1", 0)
		},
		"a side process restarts, its worker deregisters at once": func(c *cluster, _ func()) {
			c.kill("side1")
			c.awaitUnlistedEnds("side1")
			c.start("side1")
			c.drainWorker("side1", 0)
		},
		"a worker is cut off until its lease has expired": func(c *cluster, _ func()) {
			c.partitionWorker("side0", true)
			time.Sleep(7 * time.Second)
			c.partitionWorker("side0", false)
			c.drainWorker("side0", 2*time.Second)
		},
		"a side machine is cut off from the core, its worker drains": func(c *cluster, _ func()) {
			c.partition("side0", true, false)
			c.awaitUnlistedEnds("side0")
			c.partition("side0", false, false)
			c.drainWorker("side0", 2*time.Second)
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runCrowded(t, scenario)
		})
	}
}

// TestCrowdedWorkersThroughFaults is TestSystemThroughFaults with workers that run more tasks at once than a heartbeat lists ends.
func TestCrowdedWorkersThroughFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			runCrowded(t, func(c *cluster, submit func()) {
				c.random = rand.New(rand.NewPCG(seed, 78))
				for range crowdedFaults {
					submit()
					time.Sleep(time.Duration(c.intN(1500)) * time.Millisecond)
					c.injectCrowdedFault()
				}
			})
		})
	}
}

// injectCrowdedFault keeps a random worker's ends from its owner for a while, by a random fault. Often the worker drains just after.
func (c *cluster) injectCrowdedFault() {
	name := fmt.Sprint("side", c.intN(sideCount))
	wait := time.Duration(100+c.intN(2500)) * time.Millisecond
	switch c.intN(5) {
	case 0:
		c.restartCore(wait)
	case 1:
		c.kill(name)
		c.restartCore(wait)
		c.start(name)
	default:
		kinds := []peripheralFault{sideKilled, sidePartitioned, workerPartitioned}
		c.injectPeripheralFault(kinds[c.intN(len(kinds))], name, wait, c.intN(2) == 0)
	}
	time.Sleep(time.Duration(c.intN(400)) * time.Millisecond)
	if c.intN(3) > 0 {
		c.injectPeripheralFault(workerDrained, name, time.Duration(c.intN(2500))*time.Millisecond, false)
	}
}
