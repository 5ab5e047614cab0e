package simulation

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// The scenarios of docs/design/control.md, one test each.

// runScenario runs a scenario on a cluster with a first configuration, and prints the timeline if it fails.
func runScenario(t *testing.T, size topology, scenario func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, 1, size)
		defer func() {
			if t.Failed() {
				t.Log("\n" + strings.Join(c.timeline, "\n"))
			}
		}()
		time.Sleep(3 * time.Second)
		if !c.putConfiguration(1, 0) {
			t.Error("the first configuration was not applied")
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

// A core machine that is partitioned for over 20 seconds, in any way, serves no stale configuration, rejects no change
// and confirms none. It serves again within a second of the heal.
func TestPartitionedCoreServesNothingStale(t *testing.T) {
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
					t.Error("the others do not apply a change")
				}
				for range 8 {
					if status, version := c.getConfigurationFrom("core0"); status == http.StatusOK && version != c.acknowledgedVersion {
						t.Errorf("it serves version %d, %d is in force", version, c.acknowledgedVersion)
					}
					for _, baseVersion := range []int64{c.acknowledgedVersion - 1, c.acknowledgedVersion} {
						if status := c.putConfigurationTo("core0", baseVersion, c.acknowledgedVersion+1, "cut"); status < 500 && status != 0 {
							t.Errorf("it answers a change on base %d with status %d", baseVersion, status)
						}
					}
					time.Sleep(time.Second)
				}
				partition(c, false)
				time.Sleep(time.Second)
				if status, version := c.getConfigurationFrom("core0"); status != http.StatusOK || version != c.acknowledgedVersion {
					t.Errorf("a second after the heal it answers status %d with version %d, %d is in force", status, version, c.acknowledgedVersion)
				}
			})
		})
	}
}

// Two operators pick one version for different changes, and retry them at all machines as if each response were
// lost. One change is acknowledged, always the same, and the other never.
func TestConcurrentOperatorsWithOneVersion(t *testing.T) {
	runScenario(t, topology{cores: 4, tolerance: 1}, func(t *testing.T, c *cluster) {
		for round := range 12 {
			version := c.acknowledgedVersion
			acknowledged := make(chan string, 40)
			var sent sync.WaitGroup
			for _, marker := range []string{"one", "two"} {
				for core := range 4 {
					sent.Add(1)
					go func() {
						defer sent.Done()
						for range 3 {
							status := c.putConfigurationTo(fmt.Sprint("core", core), version, version+1, marker)
							if status == http.StatusOK {
								acknowledged <- marker
							}
						}
					}()
				}
			}
			sent.Wait()
			close(acknowledged)
			notes := map[string]int{}
			for marker := range acknowledged {
				notes[marker]++
			}
			if len(notes) != 1 {
				t.Fatalf("round %d: acknowledged %v", round, notes)
			}
			c.acknowledgedVersion++
			for marker, other := range map[string]string{"one": "two", "two": "one"} {
				if notes[marker] > 0 && (c.putConfigurationTo("core3", version, version+1, marker) != http.StatusOK ||
					c.putConfigurationTo("core2", version, version+1, other) != http.StatusPreconditionFailed) {
					t.Errorf("round %d: a retry was answered otherwise", round)
				}
			}
		}
	})
}

// An interrupted replacement, and then one loss. The first member is partitioned and a spare seeks its
// seat, but the spare is partitioned from the third member. The first partition heals, then the third member is lost.
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
			t.Error("three machines are up and connected, but for one link, and no change is applied")
		}
	})
}

// Successive replacements, planned and unplanned, each followed by the loss of another disk as soon as the new
// machine votes, with and without spares. All jobs complete.
func TestLossesAfterReplacements(t *testing.T) {
	for _, size := range []topology{{3, 1}, {5, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d machines tolerate %d", size.cores, size.tolerance), func(t *testing.T) {
			t.Parallel()
			runScenario(t, size, func(t *testing.T, c *cluster) {
				ids := c.submitJobs(30)
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
						t.Fatalf("round %d: no change is applied", round)
					}
				}
				time.Sleep(20 * time.Second)
				c.checkJobs(t, ids)
			})
		})
	}
}

// A member that shuts down gracefully does not end before its state is replicated elsewhere. Another
// member loses its disk at the moment in which it ends.
func TestLeavingMemberHandsOver(t *testing.T) {
	runScenario(t, topology{cores: 5, tolerance: 1}, func(t *testing.T, c *cluster) {
		ids := c.submitJobs(30)
		for round := range 4 {
			name := c.coreNames()[round]
			other := c.coreNames()[(round+1)%5]
			c.terminate(name)
			c.loseDisk(other)
			c.start(name)
			time.Sleep(catchUpTimeout)
			if !c.putConfiguration(int64(2+round), int64(1+round)) {
				t.Fatalf("round %d: no change is applied", round)
			}
		}
		time.Sleep(20 * time.Second)
		c.checkJobs(t, ids)
	})
}

// A member that missed hundreds of changes, and whose log is torn, serves no stale configuration when it is back,
// and has caught up within catchUpTimeout. Then one member loses its disk and all the others power: what was
// acknowledged is still there.
func TestMemberAfterHundredsOfChanges(t *testing.T) {
	runScenario(t, topology{cores: 3, tolerance: 1}, func(t *testing.T, c *cluster) {
		c.kill("core0")
		c.tearLog("core0")
		for range 1500 {
			if !c.putNextVersion("core1") && !c.putNextVersion("core2") {
				t.Fatal("two of three apply no change")
			}
		}
		c.start("core0")
		for began := time.Now(); time.Since(began) < catchUpTimeout; time.Sleep(100 * time.Millisecond) {
			if status, version := c.getConfigurationFrom("core0"); status == http.StatusOK && version != c.acknowledgedVersion {
				t.Errorf("it serves version %d, %d is in force", version, c.acknowledgedVersion)
			}
		}
		if status, version := c.getConfigurationFrom("core0"); status != http.StatusOK || version != c.acknowledgedVersion {
			t.Errorf("after %v it answers status %d with version %d, %d is in force", catchUpTimeout, status, version, c.acknowledgedVersion)
		}
		c.loseDisk("core1")
		c.powerCycle("")
		time.Sleep(catchUpTimeout)
		if status, version := c.getConfigurationFrom("core0"); status != http.StatusOK || version != c.acknowledgedVersion {
			t.Errorf("after the loss of a disk and of power it answers status %d with version %d, %d is in force", status, version, c.acknowledgedVersion)
		}
	})
}

// A graceful shutdown answers what was read: an operator's call in flight when it begins gets its response, also if there
// is no member that the machine would wait for.
func TestGracefulShutdownAnswersOperators(t *testing.T) {
	runScenario(t, defaultTopology, func(t *testing.T, c *cluster) {
		others := c.coreNames()[1:]
		c.partitionFrom("core0", true, others...)
		time.Sleep(4 * time.Second)
		answered := make(chan int)
		go func() {
			status, _ := c.getConfigurationFrom("core0")
			answered <- status
		}()
		time.Sleep(100 * time.Millisecond)
		c.terminate("core0")
		if status := <-answered; status == 0 {
			t.Error("a call that was read got no response")
		}
		c.partitionFrom("core0", false, others...)
	})
}
