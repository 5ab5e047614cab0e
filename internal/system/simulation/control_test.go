package simulation

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// The tests of this file are the scenarios of docs/design/control.md.

// runScenario runs a scenario on a cluster with an initial configuration, and prints the timeline if the test fails.
func runScenario(t *testing.T, size topology, scenario func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, 1, size)
		defer c.logTimeline(t, 1)
		time.Sleep(3 * time.Second)
		if !c.putConfiguration(1, 0) {
			t.Error("the initial configuration was not applied")
		}
		time.Sleep(2 * time.Second)
		scenario(t, c)
		c.checker.mu.Lock()
		for _, violation := range c.checker.violations {
			t.Error(violation)
		}
		c.checker.mu.Unlock()
		c.stop()
		time.Sleep(10 * time.Second)
	})
}

// TestPartitionedCoreServesNoStaleConfiguration checks that a core machine that is partitioned for more than 20
// seconds, fully, partially or in one direction, serves no stale configuration and neither rejects nor acknowledges a
// change. It serves the current configuration within a second after the partition heals.
func TestPartitionedCoreServesNoStaleConfiguration(t *testing.T) {
	partitions := map[string]func(c *cluster, active bool){
		"wholly":     func(c *cluster, active bool) { c.partition("core0", active, false) },
		"one way":    func(c *cluster, active bool) { c.partition("core0", active, true) },
		"other way":  func(c *cluster, active bool) { c.partitionInbound("core0", active) },
		"from seats": func(c *cluster, active bool) { c.partitionFrom("core0", active, "core1", "core2") },
	}
	for name, partition := range partitions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, topology{cores: 4, tolerance: 1}, func(t *testing.T, c *cluster) {
				partition(c, true)
				time.Sleep(time.Second)
				if !c.putNextVersion("core1") {
					t.Error("the other core machines did not apply a change")
				}
				for range 8 {
					if status, version := c.getConfigurationFrom("core0"); status == http.StatusOK && version != c.acknowledgedVersion {
						t.Errorf("the partitioned machine serves version %d, but version %d is current", version, c.acknowledgedVersion)
					}
					for _, baseVersion := range []int64{c.acknowledgedVersion - 1, c.acknowledgedVersion} {
						if status := c.putConfigurationTo("core0", baseVersion, c.acknowledgedVersion+1, "cut"); status < 500 && status != 0 {
							t.Errorf("the partitioned machine responds to a change of base version %d with status %d", baseVersion, status)
						}
					}
					time.Sleep(time.Second)
				}
				partition(c, false)
				time.Sleep(time.Second)
				if status, version := c.getConfigurationFrom("core0"); status != http.StatusOK || version != c.acknowledgedVersion {
					t.Errorf("one second after the partition healed: status %d, version %d, but version %d is current", status, version, c.acknowledgedVersion)
				}
			})
		})
	}
}

// TestConcurrentChangesWithSameVersion checks that of two changes with the same version exactly one is ever acknowledged,
// although both operators retry their change on all machines as if each response were lost.
func TestConcurrentChangesWithSameVersion(t *testing.T) {
	runScenario(t, topology{cores: 4, tolerance: 1}, func(t *testing.T, c *cluster) {
		for round := range 12 {
			version := c.acknowledgedVersion
			acknowledged := make(chan string, 40)
			var senders sync.WaitGroup
			for _, marker := range []string{"one", "two"} {
				for core := range 4 {
					senders.Add(1)
					go func() {
						defer senders.Done()
						for range 3 {
							status := c.putConfigurationTo(fmt.Sprint("core", core), version, version+1, marker)
							if status == http.StatusOK {
								acknowledged <- marker
							}
						}
					}()
				}
			}
			senders.Wait()
			close(acknowledged)
			counts := map[string]int{}
			for marker := range acknowledged {
				counts[marker]++
			}
			if len(counts) != 1 {
				t.Fatalf("round %d: acknowledgements by change: %v, want those of exactly one change", round, counts)
			}
			c.acknowledgedVersion++
			for marker, other := range map[string]string{"one": "two", "two": "one"} {
				if counts[marker] > 0 && (c.putConfigurationTo("core3", version, version+1, marker) != http.StatusOK ||
					c.putConfigurationTo("core2", version, version+1, other) != http.StatusPreconditionFailed) {
					t.Errorf("round %d: a retry got another result than the first attempt", round)
				}
			}
		}
	})
}

// TestInterruptedReplacementToleratesALoss checks that an interrupted replacement does not reduce the fault tolerance. The
// first member is partitioned, and a spare tries to take its seat, but is itself partitioned from the third member. The
// first partition heals, and then the third member is lost.
func TestInterruptedReplacementToleratesALoss(t *testing.T) {
	runScenario(t, topology{cores: 4, tolerance: 1}, func(t *testing.T, c *cluster) {
		c.partition("core0", true, false)
		c.partitionFrom("core3", true, "core2")
		time.Sleep(8 * time.Second)
		c.partition("core0", false, false)
		c.partitionFrom("core3", true, "core2")
		time.Sleep(catchUpTimeout)
		c.kill("core2")
		time.Sleep(catchUpTimeout)
		if !c.putConfiguration(2, 1) {
			t.Error("three machines are up and connected except for one link, but a change was not applied")
		}
	})
}

// TestLossesAfterReplacements checks that all jobs complete through successive planned and unplanned replacements, with and
// without spares, each followed by the loss of another disk as soon as the new machine votes.
func TestLossesAfterReplacements(t *testing.T) {
	for _, size := range []topology{{3, 1}, {5, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d machines tolerate %d", size.cores, size.tolerance), func(t *testing.T) {
			t.Parallel()
			runScenario(t, size, func(t *testing.T, c *cluster) {
				ids, _ := c.submitJobs(30)
				for round := range 3 {
					c.rotateSeeds()
					c.replacePlanned(c.coreNames()[0])
					time.Sleep(catchUpTimeout - time.Second)
					c.loseDisk(c.coreNames()[0])
					time.Sleep(catchUpTimeout)
					c.replaceLost(c.coreNames()[0])
					time.Sleep(catchUpTimeout)
					c.loseDisk(c.coreNames()[round%2])
					c.powerCycle("")
					time.Sleep(catchUpTimeout)
					if !c.putConfiguration(int64(2+round), int64(1+round)) {
						t.Fatalf("round %d: a change of the configuration was not applied", round)
					}
				}
				time.Sleep(20 * time.Second)
				c.checkJobs(t, ids)
			})
		})
	}
}

// TestGracefulShutdownReplicatesState checks that a member that shuts down gracefully does not exit before its state is
// replicated to other members: no state is lost although another member loses its disk at the moment of the exit.
func TestGracefulShutdownReplicatesState(t *testing.T) {
	runScenario(t, topology{cores: 5, tolerance: 1}, func(t *testing.T, c *cluster) {
		ids, _ := c.submitJobs(30)
		for round := range 4 {
			name := c.coreNames()[round]
			other := c.coreNames()[(round+1)%5]
			c.terminate(name)
			c.loseDisk(other)
			c.start(name)
			time.Sleep(catchUpTimeout)
			if !c.putConfiguration(int64(2+round), int64(1+round)) {
				t.Fatalf("round %d: a change of the configuration was not applied", round)
			}
		}
		time.Sleep(20 * time.Second)
		c.checkJobs(t, ids)
	})
}

// TestMemberCatchesUpAfterManyChanges checks that a member that has missed 1500 changes, and whose log is torn, serves
// no stale configuration after its restart, and catches up within catchUpTimeout. Then one member loses its disk and all
// members lose power, after which the acknowledged configuration is still served.
func TestMemberCatchesUpAfterManyChanges(t *testing.T) {
	runScenario(t, topology{cores: 3, tolerance: 1}, func(t *testing.T, c *cluster) {
		c.kill("core0")
		c.tearLog("core0")
		for range 1500 {
			if !c.putNextVersion("core1") && !c.putNextVersion("core2") {
				t.Fatal("two of three members did not apply a change")
			}
		}
		c.start("core0")
		for began := time.Now(); time.Since(began) < catchUpTimeout; time.Sleep(100 * time.Millisecond) {
			if status, version := c.getConfigurationFrom("core0"); status == http.StatusOK && version != c.acknowledgedVersion {
				t.Errorf("the restarted member serves version %d, but version %d is current", version, c.acknowledgedVersion)
			}
		}
		if status, version := c.getConfigurationFrom("core0"); status != http.StatusOK || version != c.acknowledgedVersion {
			t.Errorf("%v after the restart: status %d, version %d, but version %d is current", catchUpTimeout, status, version, c.acknowledgedVersion)
		}
		c.loseDisk("core1")
		c.powerCycle("")
		time.Sleep(catchUpTimeout)
		if status, version := c.getConfigurationFrom("core0"); status != http.StatusOK || version != c.acknowledgedVersion {
			t.Errorf("after the loss of a disk and of power: status %d, version %d, but version %d is current", status, version, c.acknowledgedVersion)
		}
	})
}

// TestGracefulShutdownCompletesOperatorRequests checks that an operator's request in flight at the start of a graceful
// shutdown gets a response, even if the machine is partitioned from all members that it could hand over to.
func TestGracefulShutdownCompletesOperatorRequests(t *testing.T) {
	runScenario(t, defaultTopology, func(t *testing.T, c *cluster) {
		others := c.coreNames()[1:]
		c.partitionFrom("core0", true, others...)
		time.Sleep(4 * time.Second)
		statuses := make(chan int)
		go func() {
			status, _ := c.getConfigurationFrom("core0")
			statuses <- status
		}()
		time.Sleep(100 * time.Millisecond)
		c.terminate("core0")
		if status := <-statuses; status == 0 {
			t.Error("a request in flight got no response")
		}
		c.partitionFrom("core0", false, others...)
	})
}
