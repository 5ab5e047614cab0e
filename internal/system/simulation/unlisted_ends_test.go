package simulation

import (
	"fmt"
	"testing"
	"time"
)

const (
	crowdedWorkerTasks = 1600 // more than three heartbeats list ends
	crowdedJobTasks    = 2400
	crowdedJobs        = 2
)

// runCrowded runs a scenario on a cluster whose workers run more tasks at once than a heartbeat lists ends, and checks that all jobs
// complete and no task runs twice.
func runCrowded(t *testing.T, scenario func(c *cluster)) {
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
		for i := range crowdedJobs {
			ids = append(ids, fmt.Sprintf("%016x", i+1))
			c.background.Add(1)
			go c.submitJob(ids[i], crowdedJobTasks)
		}
		time.Sleep(700 * time.Millisecond)
		scenario(c)
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
	scenarios := map[string]func(c *cluster){
		"core restarts, a worker drains": func(c *cluster) {
			c.restartCore(1500 * time.Millisecond)
			c.awaitUnlistedEnds("side0")
			c.drainWorker("side0", 2*time.Second)
		},
		"core and a side process restart, its worker drains": func(c *cluster) {
			c.kill("side0")
			c.restartCore(1500 * time.Millisecond)
			c.awaitUnlistedEnds("side0")
			c.start("side0")
			c.drainWorker("side0", 2*time.Second)
		},
		"a side process restarts, its worker drains": func(c *cluster) {
			c.kill("side1")
			c.awaitUnlistedEnds("side1")
			c.start("side1")
			c.drainWorker("side1", 2*time.Second)
		},
		"core restarts, a worker deregisters at once": func(c *cluster) {
			c.restartCore(1500 * time.Millisecond)
			c.awaitUnlistedEnds("side1")
			c.drainWorker("side1", 0)
		},
		"a side process restarts, its worker deregisters at once": func(c *cluster) {
			c.kill("side1")
			c.awaitUnlistedEnds("side1")
			c.start("side1")
			c.drainWorker("side1", 0)
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runCrowded(t, scenario)
		})
	}
}
